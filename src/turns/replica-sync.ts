/**
 * Keeps a replica level with the others: pulls the log of each, position by position, and fetches
 * the turns it lacks.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { CompletenessCheck } from './completeness-check.js';
import type { MemberDirectory } from './member-directory.js';
import { SilenceTracker } from './silence-tracker.js';
import type { SilenceReport } from './silence-tracker.js';
import { hasMember, majorityOf, readQuorumOfPreviousRecord } from './membership.js';
import type { Member } from './membership.js';
import { URGENT_POLL_MILLISECONDS, PULL_INTERVAL_MILLISECONDS } from './membership-timings.js';
import type { MembershipTimings } from './membership-timings.js';
import type { ReplicaReply } from './messages.js';
import type { PeerProgress, PeerView } from './peer-progress.js';
import type { ReplicaCaller } from './replica-caller.js';
import type { Replica } from './replica.js';
import { packDigests, unpackDigests } from './reservation-digests.js';

/** Pause while this replica is not ready or behind, in milliseconds. */
const BEHIND_PULL_MILLISECONDS = 40;
/** The same while turns are being copied from some replica: asking others again brings nothing sooner. */
const COPYING_PULL_MILLISECONDS = 120;
/** Longest wait for a reply of another replica, in milliseconds. */
export const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Lateness of a look that shows that this process stood still: others were not silent, it was deaf. */
const STALL_THRESHOLD_MILLISECONDS = 500;
/** Time for which a member that left is still read, so that it can hand over, in milliseconds. */
const FORMER_MEMBER_MILLISECONDS = 10_000;

type PullReply = Extract<ReplicaReply, { type: 'pulled' | 'pulledFresh' }>;

/** The reply of a member to a pull; what another process at its address says isn't. */
function pullReplyFrom({ id }: Member, reply: ReplicaReply | undefined): PullReply | undefined {
  const isPulled = reply?.type === 'pulled' || reply?.type === 'pulledFresh';
  return isPulled && reply.log.startsWith(`${id} `) ? reply : undefined;
}

/**
 * Time for which the word of a member that it knows no newer record counts. A member that is cut off
 * goes on giving out its share of quotas for as long, while others may have taken its place.
 */
const QUORUM_LEASE_MILLISECONDS = 1_500;

/** What the synchronisation is made with. */
export interface ReplicaSyncOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Members that the record is to name: while it names as many, others stand by and read nothing. */
  readonly wantedMembers: number;
  readonly timings: MembershipTimings;
}

/** See the head of this file. */
export class ReplicaSync {
  private readonly peers = new Map<string, PeerProgress>();
  private readonly pulling = new Set<string>();
  /** Turns that are being copied: one that several others have is asked of one of them only. */
  private readonly copying = new Set<string>();
  /** Local time at which a member was last seen in the record, in milliseconds. */
  private readonly listedAt = new Map<string, number>();
  private readonly silenceTracker: SilenceTracker;
  private readonly startedAt: number;
  /** Local time at which the next look is due, in milliseconds. */
  private pollDueAt: number;
  /** Local time at which a pull was sent that a member answered without a newer record, by member. */
  private readonly confirmedAt = new Map<string, number>();
  private cancelPoll: CancelTimer = () => undefined;
  private readonly completenessCheck: CompletenessCheck;
  private closed = false;

  constructor(private readonly options: ReplicaSyncOptions) {
    const viewOf = (member: string): PeerView | undefined => this.view(member);
    this.completenessCheck = new CompletenessCheck({ ...options, viewOf });
    this.silenceTracker = new SilenceTracker(options.runtime);
    this.startedAt = options.runtime.now();
    this.pollDueAt = this.startedAt;
    options.directory.onChange(() => this.pullFromAll());
    this.poll();
  }

  /** What is known of a member; undefined before its first reply. */
  view(member: string): PeerView | undefined {
    return this.peers.get(member);
  }

  /** Whether this replica has lately read all that another has. */
  isCaughtUpWith(member: string, withinMilliseconds: number): boolean {
    const peer = this.peers.get(member);
    const epoch = this.options.directory.current?.epoch ?? 0;
    const since = this.options.runtime.now() - withinMilliseconds;
    return peer !== undefined && peer.caughtUpAt >= since && peer.caughtUpEpoch >= epoch;
  }

  /** Whether a majority of the members has lately known no newer record. */
  get holdsQuorum(): boolean {
    const record = this.options.directory.current;
    if (record === undefined) {
      return false;
    }
    const since = this.options.runtime.now() - QUORUM_LEASE_MILLISECONDS;
    const confirmed = this.otherMembers().filter(
      ({ id }) => (this.confirmedAt.get(id) ?? -Infinity) >= since,
    );
    return confirmed.length + 1 >= majorityOf(record);
  }

  /**
   * Whether this replica has all that members acknowledged under earlier records: since the one in force came it
   * has read to their ends the logs of all that are heard, and of as many as a majority of one member more leaves.
   * Until then, what a member that left acknowledged with one other may be on that one alone.
   */
  get hasReadEarlierEpochs(): boolean {
    const record = this.options.directory.current;
    if (record === undefined) {
      return false;
    }
    const isRead = ({ id }: Member): boolean =>
      (this.peers.get(id)?.caughtUpEpoch ?? 0) >= record.epoch;
    const unread = this.otherMembers().filter((member) => !isRead(member));
    const readCount = record.members.length - unread.length;
    const isSilentTooLong = ({ id }: Member): boolean =>
      this.silenceTracker.silenceOf(id) >= this.options.timings.removalMilliseconds;
    return readCount >= readQuorumOfPreviousRecord(record) && unread.every(isSilentTooLong);
  }

  /** Time since a member was last heard, as far as is known here, in milliseconds. */
  silenceOf(member: string): number {
    return this.silenceTracker.silenceOf(member);
  }

  /** What this replica itself can say of the silence of each other member. */
  silenceReports(): SilenceReport[] {
    return this.otherMembers().map(({ id }) => this.silenceTracker.ownReport(id));
  }

  /** Members of the record that are not silent for so long that they are to be taken out. */
  get presentMembers(): number {
    return this.membersHeardWithin(this.options.timings.removalMilliseconds);
  }

  private membersHeardWithin(milliseconds: number): number {
    const members = this.options.directory.current?.members ?? [];
    const own = this.options.id;
    return members.filter(
      ({ id }) => id === own || this.silenceTracker.silenceOf(id) < milliseconds,
    ).length;
  }

  /** Stops pulling. */
  close(): void {
    this.closed = true;
    this.cancelPoll();
  }

  private otherMembers(): readonly Member[] {
    const members = this.options.directory.current?.members ?? [];
    return members.filter((member) => member.id !== this.options.id);
  }

  private pullFromAll(): void {
    if (!this.isIdleStandby) {
      this.otherMembers().forEach((member) => this.pull(member));
    }
    this.completenessCheck.check();
  }

  private get isNonMember(): boolean {
    const { id, directory } = this.options;
    return directory.current !== undefined && !hasMember(directory.current, id);
  }

  /** Whether this replica is no member and has no reason to read from those that are. */
  private get isIdleStandby(): boolean {
    return this.isNonMember && !this.isNewReplica && !this.isMemberSuspected;
  }

  /**
   * Whether this replica may be the successor of a machine that is gone. It reads from its first second on, so
   * that taking the place is a change of the record and nothing else.
   */
  private get isNewReplica(): boolean {
    const age = this.options.runtime.now() - this.startedAt;
    return this.options.replica.startedEmpty && age < this.options.timings.catchUpMilliseconds;
  }

  private get isMemberSuspected(): boolean {
    const { wantedMembers, timings } = this.options;
    return this.membersHeardWithin(timings.suspicionMilliseconds) < wantedMembers;
  }

  /** Outside the record, asks the members about one another; unless it stands by, reads from them. */
  private poll(): void {
    if (this.closed) {
      return;
    }
    if (this.options.runtime.now() - this.pollDueAt > STALL_THRESHOLD_MILLISECONDS) {
      this.silenceTracker.resetAfterStall();
    }
    if (this.isNonMember) {
      this.otherMembers().forEach((member) => this.requestSilences(member));
    }
    this.pullFromAll();
    const isUrgent = this.isNonMember && this.isMemberSuspected;
    const pause = isUrgent ? URGENT_POLL_MILLISECONDS : this.options.timings.pollMilliseconds;
    this.pollDueAt = this.options.runtime.now() + pause;
    this.cancelPoll = this.options.runtime.setTimer(pause, () => this.poll());
  }

  private requestSilences(member: Member): void {
    this.silenceTracker.startPolling(member.id);
    this.options.caller.call(
      member,
      { type: 'askSilences' },
      CALL_TIMEOUT_MILLISECONDS,
      (reply) => {
        if (reply?.type === 'silencesTold' && reply.from === member.id) {
          this.silenceTracker.recordReply(member.id);
          this.silenceTracker.recordReports(member.id, reply.words);
        }
        // An older build says nothing of the others; that it is there itself shows by what can be read from it.
        if (reply?.type === 'notKnown') {
          this.pull(member);
        }
      },
    );
  }

  private pull(member: Member): void {
    const { id, directory, caller, runtime } = this.options;
    if (this.closed || this.pulling.has(member.id)) {
      return;
    }
    this.pulling.add(member.id);
    this.silenceTracker.startPolling(member.id);
    const peer = this.peers.get(member.id);
    const { log = '', position = 0 } = peer ?? {};
    const members = directory.currentText;
    const sentAt = runtime.now();
    caller.call(
      member,
      { type: 'pull', from: id, members, log, after: position },
      CALL_TIMEOUT_MILLISECONDS,
      (anyReply) => {
        const reply = pullReplyFrom(member, anyReply);
        if (reply === undefined) {
          this.pullLater(member, PULL_INTERVAL_MILLISECONDS);
          return;
        }
        this.recordPullReply(member, reply);
        if (reply.epoch <= (directory.current?.epoch ?? 0)) {
          this.confirmedAt.set(member.id, sentAt);
        }
        this.storeMissing(member, reply, (complete) => {
          if (complete) {
            this.advancePosition(member, reply);
          }
          const behind = !complete || reply.next < reply.end || !this.options.replica.ready;
          this.pullLater(member, behind ? this.behindPause : PULL_INTERVAL_MILLISECONDS);
        });
      },
    );
    if (peer === undefined) {
      const fields = { event: 'replica.pull', member: member.id };
      runtime.log('info', 'pulling from a replica', fields);
    }
  }

  private get behindPause(): number {
    return this.copying.size > 0 ? COPYING_PULL_MILLISECONDS : BEHIND_PULL_MILLISECONDS;
  }

  private pullLater(member: Member, pause: number): void {
    this.options.runtime.setTimer(pause, () => {
      this.pulling.delete(member.id);
      if (!this.isIdleStandby && this.isWorthPulling(member.id)) {
        this.pull(member);
      } else {
        this.silenceTracker.stopPolling(member.id);
      }
    });
  }

  private isWorthPulling(member: string): boolean {
    const { directory, runtime } = this.options;
    if (hasMember(directory.current, member)) {
      this.listedAt.set(member, runtime.now());
      return true;
    }
    return runtime.now() - (this.listedAt.get(member) ?? -Infinity) < FORMER_MEMBER_MILLISECONDS;
  }

  private recordPullReply(member: Member, reply: PullReply): void {
    this.silenceTracker.recordReply(member.id);
    const { log, active } = reply;
    const freshEpoch = reply.type === 'pulledFresh' ? reply.epoch : 0;
    const peer = this.peers.get(member.id);
    if (peer === undefined || peer.log !== log) {
      const unread = { position: 0, caughtUpEpoch: 0, caughtUpAt: -Infinity };
      this.peers.set(member.id, { log, active, freshEpoch, ...unread });
      return;
    }
    // What it took in while it became complete is still to be read.
    const caughtUpEpoch = active && !peer.active ? 0 : peer.caughtUpEpoch;
    Object.assign(peer, { active, freshEpoch, caughtUpEpoch: caughtUpEpoch });
  }

  /** Fetches and stores what a pull named and this replica lacks. */
  private storeMissing(member: Member, reply: PullReply, done: (complete: boolean) => void): void {
    const { state } = this.options.replica;
    const missing = state.missingDigests(unpackDigests(reply.digests));
    this.fetchEntries(member, missing, (complete) => {
      if (complete) {
        const turns = reply.turns.filter((turn) => !state.hasTurn(turn));
        this.copyTurns(member, turns, done);
      } else {
        done(false);
      }
    });
  }

  /** Fetches and stores turns; not complete while some of them come from other replicas. */
  private copyTurns(
    member: Member,
    turns: readonly string[],
    done: (complete: boolean) => void,
  ): void {
    const unclaimed = turns.filter((turn) => !this.copying.has(turn));
    unclaimed.forEach((turn) => this.copying.add(turn));
    this.fetchTurns(member, unclaimed, (complete) => {
      unclaimed.forEach((turn) => this.copying.delete(turn));
      done(complete && unclaimed.length === turns.length);
    });
  }

  private fetchEntries(
    member: Member,
    digests: readonly string[],
    done: (complete: boolean) => void,
  ): void {
    if (digests.length === 0) {
      done(true);
      return;
    }
    const request = { type: 'readEntries' as const, digests: packDigests(digests) };
    this.options.caller.call(member, request, CALL_TIMEOUT_MILLISECONDS, (reply) => {
      if (reply?.type === 'entriesRead') {
        this.options.replica.storeEntries(reply.entries, done);
      } else {
        done(false);
      }
    });
  }

  private fetchTurns(
    member: Member,
    turns: readonly string[],
    done: (complete: boolean) => void,
  ): void {
    if (turns.length === 0) {
      done(true);
      return;
    }
    const request = { type: 'fetch' as const, turns: [...turns] };
    this.options.caller.call(member, request, CALL_TIMEOUT_MILLISECONDS, (reply) => {
      if (reply?.type !== 'fetched') {
        done(false);
        return;
      }
      if (reply.turns.length === 0) {
        // They are past their time there by now.
        done(true);
        return;
      }
      const fields = { event: 'replica.repaired', member: member.id, turns: reply.turns.length };
      this.options.runtime.log('info', 'turns copied from a replica', fields);
      this.options.replica.storeTurns(reply.turns, (durable) => {
        const received = new Set(reply.turns.map((turn) => turn.id));
        const remaining = turns.filter((turn) => !received.has(turn));
        if (durable) {
          this.fetchTurns(member, remaining, done);
        } else {
          done(false);
        }
      });
    });
  }

  private advancePosition(member: Member, reply: PullReply): void {
    const peer = this.peers.get(member.id);
    if (peer === undefined || peer.log !== reply.log) {
      return;
    }
    peer.position = reply.next;
    if (reply.next === reply.end) {
      peer.caughtUpAt = this.options.runtime.now();
      peer.caughtUpEpoch = reply.epoch;
      this.completenessCheck.check();
    }
  }
}
