/**
 * One replica of a shard's log: elections with pre-vote, replication, leader leases, snapshots and
 * leadership transfer, after Ongaro's "Consensus: Bridging Theory and Practice" (2014).
 * Driven by calls of `tick` and `receive`; sends and persists through its options.
 */
import type { NodeId, ShardId } from '../model/identifiers.js';
import type {
  AppendEntries,
  AppendReply,
  InstallSnapshot,
  Message,
  ReplicationMessage,
  VoteReply,
  VoteRequest,
} from '../wire/messages.js';
import type { Command } from '../program/commands.js';
import type { Runtime } from '../runtime/runtime.js';
import { AppliedLog } from './applied-log.js';
import { Ballot } from './ballot.js';
import type { LogEntry, PersistedReplica, ReplicaStorage } from './log-entry.js';
import { LeaderProgress } from './leader-progress.js';
import type { FollowerProgress } from './leader-progress.js';
import { PendingProposals } from './proposals.js';
import type { ProposalListener } from './proposals.js';
import { ReplicaLog } from './replica-log.js';
import type { ReplicaStateMachine } from './state-machine.js';

/** Minimum time without a leader before an election, in milliseconds. */
export const ELECTION_TIMEOUT_MILLISECONDS = 600;
/** Interval of a leader's heartbeats, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 120;
/** Duration of a lease as a fraction of the election timeout; the rest allows for clock drift. */
const LEASE_FRACTION = 0.8;

/** Current role of a replica. */
export type ReplicaRole = 'follower' | 'candidate' | 'leader';

/** Identity, dependencies and initial state of a replica. */
export interface RaftReplicaOptions<Outcome> {
  readonly shard: ShardId;
  readonly self: NodeId;
  readonly runtime: Runtime;
  readonly storage: ReplicaStorage;
  readonly persisted: PersistedReplica;
  readonly stateMachine: ReplicaStateMachine<Outcome>;
  readonly send: (to: NodeId, message: Message) => void;
  /** Called with true when this replica leads and has applied all earlier terms, with false when that ends. */
  readonly onLeadership: (leading: boolean) => void;
}

/** One replica of one shard. */
export class RaftReplica<Outcome> {
  private role: ReplicaRole = 'follower';
  private term: number;
  private votedFor: NodeId;
  private voters: readonly NodeId[];
  private readonly log: ReplicaLog;
  private commitIndex: number;
  private readonly applied: AppliedLog<Outcome>;
  private durableIndex: number;
  private leader: NodeId = '';
  private lastLeaderContactAt: number;
  private electionDeadline = 0;
  private lastHeartbeatAt = 0;
  /** Votes of the election or pre-vote in progress; undefined when there is none. */
  private ballot: Ballot | undefined;
  private progress: LeaderProgress;
  private readonly pending = new PendingProposals<Outcome>();
  private flushScheduled = false;
  private firstIndexOfTerm = 0;
  private serving = false;
  private transferring = false;
  private transferStartedAt = 0;
  private acknowledgedIndex: number;
  private candidacyEnabled = true;
  private stopped = false;

  constructor(private readonly options: RaftReplicaOptions<Outcome>) {
    const { persisted, runtime } = options;
    this.term = persisted.term;
    this.votedFor = persisted.votedFor;
    this.voters = persisted.snapshot.voters;
    this.progress = new LeaderProgress([], options.self, 0, -Infinity);
    this.log = new ReplicaLog(persisted.snapshot, persisted.entries);
    this.commitIndex = persisted.snapshot.lastIndex;
    this.durableIndex = this.log.lastIndex;
    this.acknowledgedIndex = persisted.acknowledgedIndex ?? 0;
    // A restarted voter does not know whose lease it supports, so it grants no vote for one timeout.
    this.lastLeaderContactAt = runtime.now();
    const { storage, stateMachine } = options;
    this.applied = new AppliedLog({ log: this.log, storage, stateMachine, pending: this.pending });
    this.resetElectionDeadline();
  }

  /** The node believed to lead; empty when unknown. */
  get leaderHint(): NodeId {
    return this.leader;
  }

  get currentTerm(): number {
    return this.term;
  }

  /** Nodes whose votes count. */
  get currentVoters(): readonly NodeId[] {
    return this.voters;
  }

  /** Highest index that this replica knows to be committed. */
  get committedIndex(): number {
    return this.commitIndex;
  }

  get currentRole(): ReplicaRole {
    return this.role;
  }

  /**
   * True when this replica is certain to be the leader: a quorum has answered it within the lease, and
   * every entry of earlier terms is applied. After a long pause of the process the lease has expired.
   */
  canServe(): boolean {
    return this.role === 'leader' && this.serving && !this.transferring && this.holdsLease();
  }

  /** Proposes a command; the listener is called exactly once. */
  propose(command: Command, listener: ProposalListener<Outcome>): void {
    if (this.role !== 'leader' || this.transferring || this.stopped) {
      listener({ type: 'notLeader' });
      return;
    }
    this.appendAsLeader(command, listener);
  }

  /** Drives heartbeats and elections; must be called several times per heartbeat interval. */
  tick(): void {
    if (this.stopped) {
      return;
    }
    const now = this.options.runtime.now();
    if (this.role === 'leader') {
      this.tickLeader(now);
    } else if (now >= this.electionDeadline) {
      this.startElection(true, false);
    }
  }

  /** Handles a message from another replica of this shard. */
  receive(from: NodeId, message: ReplicationMessage): void {
    if (this.stopped) {
      return;
    }
    switch (message.type) {
      case 'appendEntries':
        return this.receiveAppend(from, message);
      case 'appendReply':
        return this.receiveAppendReply(from, message);
      case 'voteRequest':
        return this.receiveVoteRequest(from, message);
      case 'voteReply':
        return this.receiveVoteReply(from, message);
      case 'installSnapshot':
        return this.receiveSnapshot(from, message);
      case 'timeoutNow':
        if (message.term === this.term && this.role === 'follower') {
          this.startElection(false, true);
        }
    }
  }

  /** Transfers leadership to the most up-to-date responsive follower; false if none can take over. */
  transferLeadership(): boolean {
    if (this.role !== 'leader' || this.transferring) {
      // A second attempt would postpone the timeout of the first one.
      return this.transferring;
    }
    const activeSince = this.options.runtime.now() - ELECTION_TIMEOUT_MILLISECONDS;
    const target = this.progress.mostAdvanced(activeSince);
    if (target === undefined) {
      return false;
    }
    this.transferring = true;
    this.transferStartedAt = this.options.runtime.now();
    this.sendAppend(target);
    this.options.send(target, {
      type: 'timeoutNow',
      shard: this.options.shard,
      term: this.term,
    });
    return true;
  }

  /** Keeps this replica from becoming a candidate; it still votes and replicates. */
  disableCandidacy(): void {
    this.candidacyEnabled = false;
  }

  /** Stops all activity and reports pending proposals as `unknown`. */
  stop(): void {
    this.stopped = true;
    this.pending.abandon();
  }

  /** False while the log lacks entries that this replica has acknowledged. */
  private get canTakePartInElections(): boolean {
    if (this.log.lastIndex >= this.acknowledgedIndex) {
      // Once the log has caught up, a leader may truncate it again without losing committed entries.
      this.acknowledgedIndex = 0;
    }
    return this.acknowledgedIndex === 0;
  }

  private get otherVoters(): NodeId[] {
    return this.voters.filter((voter) => voter !== this.options.self);
  }

  private tickLeader(now: number): void {
    if (now - this.lastHeartbeatAt >= HEARTBEAT_INTERVAL_MILLISECONDS) {
      this.lastHeartbeatAt = now;
      this.broadcastAppend();
    }
    // A leader without answers from a quorum steps down, so that callers look for another one.
    if (now - this.progress.quorumAcknowledgedAt(now) > 2 * ELECTION_TIMEOUT_MILLISECONDS) {
      this.becomeFollower(this.term, '');
    }
    // A delayed `timeoutNow` may still start an election that bypasses the lease, so a leader whose
    // transfer has timed out must not serve again in this term.
    if (this.transferring && now - this.transferStartedAt > ELECTION_TIMEOUT_MILLISECONDS) {
      this.becomeFollower(this.term, '');
    }
  }

  private resetElectionDeadline(): void {
    const { runtime } = this.options;
    const jitter = runtime.random.uniform() * ELECTION_TIMEOUT_MILLISECONDS;
    this.electionDeadline = runtime.now() + ELECTION_TIMEOUT_MILLISECONDS + jitter;
  }

  private startElection(preVote: boolean, transfer: boolean): void {
    if (
      !this.candidacyEnabled ||
      !this.canTakePartInElections ||
      !this.voters.includes(this.options.self)
    ) {
      return;
    }
    this.resetElectionDeadline();
    if (!preVote) {
      this.role = 'candidate';
      this.leader = '';
      this.term += 1;
      this.votedFor = this.options.self;
    }
    const term = preVote ? this.term + 1 : this.term;
    this.ballot = new Ballot(this.options.self, preVote, term);
    const requestVotes = (): void => {
      if (this.stopped || this.role === 'leader' || (!preVote && this.term !== term)) {
        return;
      }
      this.sendVoteRequests(term, preVote, transfer);
      this.countVotes();
    };
    if (preVote) {
      requestVotes();
    } else {
      this.persistVote(requestVotes);
    }
  }

  private sendVoteRequests(term: number, preVote: boolean, transfer: boolean): void {
    for (const voter of this.otherVoters) {
      this.options.send(voter, {
        type: 'voteRequest',
        shard: this.options.shard,
        term,
        preVote,
        transfer,
        lastIndex: this.log.lastIndex,
        lastTerm: this.log.lastTerm,
      });
    }
  }

  private persistVote(done: () => void): void {
    const vote = { term: this.term, votedFor: this.votedFor };
    this.options.storage.persist({ vote }, done);
  }

  private receiveVoteRequest(from: NodeId, message: VoteRequest): void {
    const heardFromLeaderRecently =
      this.options.runtime.now() - this.lastLeaderContactAt < ELECTION_TIMEOUT_MILLISECONDS;
    const isLeaderProtected = this.role === 'leader' ? this.holdsLease() : heardFromLeaderRecently;
    // A voter that supports a leader's lease elects no other node while the lease may be in use.
    if ((isLeaderProtected && !message.transfer) || !this.canTakePartInElections) {
      this.replyToVote(from, message, false);
      return;
    }
    if (message.preVote) {
      this.replyToVote(from, message, message.term > this.term && this.isUpToDate(message));
      return;
    }
    if (message.term > this.term) {
      this.becomeFollower(message.term, '');
    }
    const canVote = this.votedFor === '' || this.votedFor === from;
    const granted = message.term === this.term && canVote && this.isUpToDate(message);
    if (!granted) {
      this.replyToVote(from, message, false);
      return;
    }
    this.votedFor = from;
    this.resetElectionDeadline();
    this.persistVote(() => this.replyToVote(from, message, true));
  }

  private isUpToDate(message: VoteRequest): boolean {
    if (message.lastTerm !== this.log.lastTerm) {
      return message.lastTerm > this.log.lastTerm;
    }
    return message.lastIndex >= this.log.lastIndex;
  }

  private replyToVote(to: NodeId, request: VoteRequest, granted: boolean): void {
    this.options.send(to, {
      type: 'voteReply',
      shard: this.options.shard,
      term: granted ? request.term : this.term,
      preVote: request.preVote,
      granted,
    });
  }

  private receiveVoteReply(from: NodeId, message: VoteReply): void {
    if (!message.granted) {
      if (message.term > this.term) {
        this.becomeFollower(message.term, '');
      }
      return;
    }
    const { ballot } = this;
    const expected = message.preVote === ballot?.preVote && message.term === ballot.term;
    if (this.role === 'leader' || !expected) {
      return;
    }
    ballot.add(from);
    this.countVotes();
  }

  private countVotes(): void {
    if (this.ballot?.isWon(this.voters) !== true) {
      return;
    }
    if (this.ballot.preVote) {
      this.startElection(false, false);
    } else if (this.role === 'candidate') {
      this.becomeLeader();
    }
  }

  private becomeLeader(): void {
    this.role = 'leader';
    this.leader = this.options.self;
    this.serving = false;
    this.transferring = false;
    const now = this.options.runtime.now();
    this.progress = new LeaderProgress(
      this.voters,
      this.options.self,
      this.log.lastIndex + 1,
      now - ELECTION_TIMEOUT_MILLISECONDS,
    );
    this.firstIndexOfTerm = this.log.lastIndex + 1;
    this.lastHeartbeatAt = now;
    this.appendAsLeader({ type: 'noop' }, () => undefined);
  }

  private becomeFollower(term: number, leader: NodeId): void {
    const wasLeader = this.role === 'leader';
    const newTerm = term > this.term;
    this.role = 'follower';
    this.leader = leader;
    this.ballot = undefined;
    if (newTerm) {
      this.term = term;
      this.votedFor = '';
      this.persistVote(() => undefined);
    }
    if (wasLeader) {
      this.resetElectionDeadline();
      this.pending.abandon();
      if (this.serving) {
        this.serving = false;
        this.options.onLeadership(false);
      }
    }
  }

  private appendAsLeader(command: Command, listener: ProposalListener<Outcome>): void {
    const index = this.log.lastIndex + 1;
    const entry: LogEntry = { term: this.term, command };
    this.log.replaceFrom(index, [entry]);
    this.pending.add(index, this.term, listener);
    this.persistEntries(index, [entry], () => this.advanceCommit());
    this.scheduleFlush();
  }

  private persistEntries(fromIndex: number, entries: readonly LogEntry[], done: () => void): void {
    const lastIndex = fromIndex + entries.length - 1;
    const lastTerm = entries[entries.length - 1]?.term;
    this.durableIndex = Math.min(this.durableIndex, fromIndex - 1);
    this.options.storage.persist({ append: { fromIndex, entries } }, () => {
      if (this.stopped) {
        return;
      }
      // The entries may have been replaced while they were being written.
      if (this.log.termAt(lastIndex) === lastTerm) {
        this.durableIndex = Math.max(this.durableIndex, lastIndex);
      }
      done();
    });
  }

  private scheduleFlush(): void {
    if (this.flushScheduled) {
      return;
    }
    this.flushScheduled = true;
    this.options.runtime.setTimer(0, () => {
      this.flushScheduled = false;
      if (this.role === 'leader' && !this.stopped) {
        this.broadcastAppend();
      }
    });
  }

  private broadcastAppend(): void {
    for (const voter of this.otherVoters) {
      this.sendAppend(voter);
    }
  }

  private sendAppend(to: NodeId): void {
    const progress = this.progress.get(to);
    if (progress === undefined) {
      return;
    }
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = this.log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.sendSnapshot(to, progress);
      return;
    }
    const entries = this.log.entriesFrom(progress.nextIndex);
    // Assumes delivery: after a lost message the follower rejects the next one.
    progress.nextIndex += entries.length;
    this.options.send(to, {
      type: 'appendEntries',
      shard: this.options.shard,
      term: this.term,
      previousIndex,
      previousTerm,
      commitIndex: this.commitIndex,
      sentAt: this.options.runtime.now(),
      entries,
    });
  }

  private sendSnapshot(to: NodeId, progress: FollowerProgress): void {
    const snapshot = this.log.snapshot;
    progress.nextIndex = snapshot.lastIndex + 1;
    this.options.send(to, {
      type: 'installSnapshot',
      shard: this.options.shard,
      term: this.term,
      ...snapshot,
      sentAt: this.options.runtime.now(),
    });
  }

  private acceptLeader(from: NodeId, term: number): boolean {
    if (term < this.term) {
      return false;
    }
    if (term > this.term || this.role !== 'follower') {
      this.becomeFollower(term, from);
    }
    this.leader = from;
    this.ballot = undefined;
    this.lastLeaderContactAt = this.options.runtime.now();
    this.resetElectionDeadline();
    return true;
  }

  private receiveAppend(from: NodeId, message: AppendEntries): void {
    if (!this.acceptLeader(from, message.term)) {
      this.replyToAppend(from, message.sentAt, false, 0);
      return;
    }
    if (message.previousIndex < this.log.snapshot.lastIndex) {
      this.replyToAppend(from, message.sentAt, true, this.commitIndex);
      return;
    }
    if (this.log.termAt(message.previousIndex) !== message.previousTerm) {
      const hint = Math.min(this.log.lastIndex, message.previousIndex - 1);
      this.replyToAppend(from, message.sentAt, false, Math.max(hint, this.commitIndex));
      return;
    }
    this.storeEntries(from, message);
  }

  private storeEntries(from: NodeId, message: AppendEntries): void {
    const matchIndex = message.previousIndex + message.entries.length;
    const firstNew = message.entries.findIndex(
      (entry, offset) => this.log.termAt(message.previousIndex + 1 + offset) !== entry.term,
    );
    const finish = (): void => {
      this.replyToAppend(from, message.sentAt, true, matchIndex);
    };
    if (firstNew >= 0) {
      const fromIndex = message.previousIndex + 1 + firstNew;
      const entries = message.entries.slice(firstNew);
      this.log.replaceFrom(fromIndex, entries);
      this.persistEntries(fromIndex, entries, finish);
    } else if (this.durableIndex >= matchIndex) {
      finish();
    } else {
      // The entries are in memory but not durable yet: the reply waits for the write in progress.
      this.options.storage.persist({}, finish);
    }
    this.commitTo(Math.min(message.commitIndex, matchIndex));
  }

  private replyToAppend(to: NodeId, sentAt: number, success: boolean, matchIndex: number): void {
    this.options.send(to, {
      type: 'appendReply',
      shard: this.options.shard,
      term: this.term,
      success,
      matchIndex,
      sentAt,
    });
  }

  private receiveAppendReply(from: NodeId, message: AppendReply): void {
    if (message.term > this.term) {
      this.becomeFollower(message.term, '');
      return;
    }
    const progress = this.progress.get(from);
    if (this.role !== 'leader' || message.term < this.term || progress === undefined) {
      return;
    }
    progress.acknowledgedAt = Math.max(progress.acknowledgedAt, message.sentAt);
    if (!message.success) {
      // The match index goes back when the follower's disk has lost its newest entries.
      progress.matchIndex = Math.min(progress.matchIndex, message.matchIndex);
      progress.nextIndex = message.matchIndex + 1;
      this.sendAppend(from);
      return;
    }
    progress.matchIndex = Math.max(progress.matchIndex, message.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    this.advanceCommit();
    if (progress.nextIndex <= this.log.lastIndex) {
      this.sendAppend(from);
    }
  }

  private receiveSnapshot(from: NodeId, message: InstallSnapshot): void {
    if (!this.acceptLeader(from, message.term)) {
      this.replyToAppend(from, message.sentAt, false, 0);
      return;
    }
    if (message.lastIndex <= this.commitIndex) {
      this.replyToAppend(from, message.sentAt, true, this.commitIndex);
      return;
    }
    const { lastIndex, lastTerm, voters, state } = message;
    this.voters = voters;
    this.commitIndex = lastIndex;
    this.applied.install({ lastIndex, lastTerm, voters, state }, () =>
      this.replyToAppend(from, message.sentAt, true, lastIndex),
    );
    this.durableIndex = Math.max(this.durableIndex, lastIndex);
  }

  private advanceCommit(): void {
    if (this.role !== 'leader') {
      return;
    }
    const index = this.progress.quorumMatch(this.durableIndex);
    // Only entries of the current term are committed by counting replicas (Raft, section 5.4.2).
    if (index > this.commitIndex && this.log.termAt(index) === this.term) {
      this.commitTo(index);
      this.scheduleFlush();
    }
  }

  private commitTo(index: number): void {
    if (index <= this.commitIndex) {
      return;
    }
    this.commitIndex = index;
    this.applied.applyTo(index);
    if (this.role === 'leader' && !this.serving && index >= this.firstIndexOfTerm) {
      this.serving = true;
      this.options.onLeadership(true);
    }
    this.applied.takeSnapshotIfLong(this.voters);
  }

  private holdsLease(): boolean {
    const leaseMilliseconds = ELECTION_TIMEOUT_MILLISECONDS * LEASE_FRACTION;
    const now = this.options.runtime.now();
    return now < this.progress.quorumAcknowledgedAt(now) + leaseMilliseconds;
  }
}
