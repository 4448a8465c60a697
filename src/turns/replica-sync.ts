/** Anti-entropy between replicas: pulls the logs of the other members and fetches missing reservations and turns. */
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
import type { ReplicaCaller, ReplyListener, UnnumberedRequest } from './replica-caller.js';
import type { Replica } from './replica.js';
import { packDigests, unpackDigests } from './reservation-digests.js';

/** Pause between pulls while this replica is incomplete or behind, in milliseconds. */
const BEHIND_PULL_MILLISECONDS = 40;
/** Pause between pulls while turns are being copied, which more frequent pulls would not speed up, in milliseconds. */
const COPYING_PULL_MILLISECONDS = 120;
/** Timeout of a call to another replica, in milliseconds. */
export const CALL_TIMEOUT_MILLISECONDS = 1_000;
/** Timeout of a quota request that is passed on; its sender waits for it. */
const FORWARD_TIMEOUT_MILLISECONDS = 100;
/** Delay of a poll from which on this process counts as stalled and observed silences are discarded, in ms. */
const STALL_THRESHOLD_MILLISECONDS = 500;
/** Time for which the log of a former member is still pulled, so that it can hand over its state, in milliseconds. */
const FORMER_MEMBER_MILLISECONDS = 10_000;
/** The same time while the former member's machine is being retired, in which it may restart, in milliseconds. */
const RETIRING_MEMBER_MILLISECONDS = 600_000;

type PullReply = Extract<ReplicaReply, { type: 'pulled' | 'pulledFresh' | 'pulledAndLent' }>;

/** Whether the member states that it has acknowledged nothing as the current member. */
function isFreshReply(reply: PullReply): boolean {
  return reply.type === 'pulledFresh' || (reply.type === 'pulledAndLent' && reply.fresh);
}

/** Returns the reply if it is a member's own reply to a pull, and not that of another process at its address. */
function pullReplyFrom({ id }: Member, reply: ReplicaReply | undefined): PullReply | undefined {
  const isPulled =
    reply?.type === 'pulled' || reply?.type === 'pulledFresh' || reply?.type === 'pulledAndLent';
  return isPulled && reply.log.startsWith(`${id} `) ? reply : undefined;
}

/**
 * Time for which a member's confirmation that it knows no newer record is valid, in milliseconds. A partitioned member
 * continues to grant its share of quotas for this long, even if it has been replaced.
 */
const QUORUM_LEASE_MILLISECONDS = 1_500;

/** Dependencies of a {@link ReplicaSync}. */
export interface ReplicaSyncOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Target number of members; while as many are present, other replicas are idle standbys. */
  readonly wantedMembers: number;
  /**
   * Whether this replica should become a member when these members are present.
   * @default when they are fewer than wanted
   */
  readonly isJoinUseful?: ((presentMembers: readonly Member[]) => boolean) | undefined;
  /** Whether the machine of this name is being retired. @default none is */
  readonly isRetiring?: ((node: string) => boolean) | undefined;
  readonly timings: MembershipTimings;
}

/** Pulls the logs of the other members, tracking the progress in each log and the silence of each member. */
export class ReplicaSync {
  private readonly peers = new Map<string, PeerProgress>();
  private readonly pulling = new Set<string>();
  /** Ids of turns that are being copied, so that a turn is not fetched from several replicas at once. */
  private readonly copying = new Set<string>();
  /** Local time at which a member was last in the record, in milliseconds, by member. */
  private readonly listedAt = new Map<string, number>();
  private readonly silenceTracker: SilenceTracker;
  private readonly startedAt: number;
  /** Local time at which the next poll is due, in milliseconds. */
  private pollDueAt: number;
  /** Local send time of the last pull whose reply showed no newer record, in milliseconds, by member. */
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

  /** Read progress in a member's log; undefined before its first reply. */
  view(member: string): PeerView | undefined {
    return this.peers.get(member);
  }

  /** Whether this replica has recently reached the end of a member's log under the current epoch. */
  isCaughtUpWith(member: string, withinMilliseconds: number): boolean {
    const peer = this.peers.get(member);
    const epoch = this.options.directory.current?.epoch ?? 0;
    const since = this.options.runtime.now() - withinMilliseconds;
    return peer !== undefined && peer.caughtUpAt >= since && peer.caughtUpEpoch >= epoch;
  }

  /** Whether a majority of the members has recently confirmed that it knows no newer record. */
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
   * Whether this replica holds every write acknowledged under earlier records. For that it must have read, under the
   * current epoch, the logs of all members that are not silent, and of at least a read quorum of a record with one more
   * member. Until then, a write acknowledged by a removed member and one other may exist on that other member only.
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

  /** Time since a member's last known reply, in milliseconds. */
  silenceOf(member: string): number {
    return this.silenceTracker.silenceOf(member);
  }

  /** This replica's own observations of the silence of each other member. */
  silenceReports(): SilenceReport[] {
    return this.otherMembers().map(({ id }) => this.silenceTracker.ownReport(id));
  }

  /** Number of members whose silence is below the removal threshold, including this replica. */
  get presentMembers(): number {
    return this.membersHeardWithin(this.options.timings.removalMilliseconds).length;
  }

  private membersHeardWithin(milliseconds: number): readonly Member[] {
    const members = this.options.directory.current?.members ?? [];
    const own = this.options.id;
    return members.filter(
      ({ id }) => id === own || this.silenceTracker.silenceOf(id) < milliseconds,
    );
  }

  /** Passes a quota request on to another member; it is not passed on again there. */
  forwardQuotaRequest(id: string, request: UnnumberedRequest, listener: ReplyListener): void {
    const member = this.otherMembers().find((other) => other.id === id);
    if (member === undefined || request.type !== 'spendForProgram') {
      listener(undefined);
      return;
    }
    const forwarded = { ...request, request: { ...request.request, isFallback: false } };
    this.options.caller.call(member, forwarded, FORWARD_TIMEOUT_MILLISECONDS, listener);
  }

  /** Stops polling and pulling. */
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

  /** Whether this replica is a non-member that has no reason to pull from the members. */
  private get isIdleStandby(): boolean {
    return this.isNonMember && !this.isNewReplica && !this.isJoinLikely;
  }

  /**
   * Whether this replica was started recently with an empty disk and so may be the successor of a lost machine. Such a
   * replica pulls from the start, so that replacing the member only takes a change of the record.
   */
  private get isNewReplica(): boolean {
    const age = this.options.runtime.now() - this.startedAt;
    return this.options.replica.startedEmpty && age < this.options.timings.catchUpMilliseconds;
  }

  /** Whether this replica, as a non-member, will probably join the members. */
  private get isJoinLikely(): boolean {
    const { wantedMembers, timings, isJoinUseful } = this.options;
    const unsuspected = this.membersHeardWithin(timings.suspicionMilliseconds);
    return isJoinUseful?.(unsuspected) ?? unsuspected.length < wantedMembers;
  }

  /** Pulls from the members, unless idle; as a non-member, also asks the members for each other's silences. */
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
    const isUrgent = this.isNonMember && this.isJoinLikely;
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
        // An older build does not report silences; a pull shows at least whether the member itself replies.
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
    const type = this.options.replica.servesQuotas ? 'pullAndBorrow' : 'pull';
    caller.call(
      member,
      { type, from: id, members, log, after: position },
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
        if (reply.type === 'pulledAndLent') {
          this.options.replica.borrowShares(member.id, reply.lent, reply.epoch, sentAt);
        }
        this.storeMissing(member, reply, (stored) => {
          // On a full disk, what this replica already has in memory may not be durable.
          const complete = stored && !this.options.replica.isDiskFull;
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
      runtime.log('info', 'first pull from a replica', fields);
    }
  }

  private get behindPause(): number {
    return this.copying.size > 0 ? COPYING_PULL_MILLISECONDS : BEHIND_PULL_MILLISECONDS;
  }

  private pullLater(member: Member, pause: number): void {
    this.options.runtime.setTimer(pause, () => {
      this.pulling.delete(member.id);
      if (!this.isIdleStandby && this.isWorthPulling(member)) {
        this.pull(member);
      } else {
        this.silenceTracker.stopPolling(member.id);
      }
    });
  }

  private isWorthPulling({ id, node }: Member): boolean {
    const { directory, runtime, isRetiring } = this.options;
    if (hasMember(directory.current, id)) {
      this.listedAt.set(id, runtime.now());
      return true;
    }
    const unlistedMilliseconds = runtime.now() - (this.listedAt.get(id) ?? -Infinity);
    const isAwaited = isRetiring?.(node) ?? false;
    return (
      unlistedMilliseconds < (isAwaited ? RETIRING_MEMBER_MILLISECONDS : FORMER_MEMBER_MILLISECONDS)
    );
  }

  private recordPullReply(member: Member, reply: PullReply): void {
    this.silenceTracker.recordReply(member.id);
    const { log, active } = reply;
    const freshEpoch = isFreshReply(reply) ? reply.epoch : 0;
    const peer = this.peers.get(member.id);
    if (peer === undefined || peer.log !== log) {
      const unread = { position: 0, caughtUpEpoch: 0, caughtUpAt: -Infinity };
      this.peers.set(member.id, { log, active, freshEpoch, ...unread });
      return;
    }
    // The end of the log must be reached again, since the peer stored entries while it became complete.
    const caughtUpEpoch = active && !peer.active ? 0 : peer.caughtUpEpoch;
    Object.assign(peer, { active, freshEpoch, caughtUpEpoch });
  }

  /** Fetches and stores the reservations and turns of a pull reply that this replica lacks. */
  private storeMissing(member: Member, reply: PullReply, done: (complete: boolean) => void): void {
    const { state } = this.options.replica;
    const missing = state.missingDigests(unpackDigests(reply.digests));
    this.fetchEntries(member, missing, (complete) => {
      if (complete) {
        // A turn that is here without its predecessors may need none of them at the other member.
        const turns = reply.turns.filter((turn) => !state.hasChain(turn));
        this.copyTurns(member, turns, done);
      } else {
        done(false);
      }
    });
  }

  /** Copies turns from a member; not complete if some of them are being copied from other replicas. */
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
    if (this.options.replica.isMemoryExhausted) {
      done(false);
      return;
    }
    const request = { type: 'fetch' as const, turns: [...turns] };
    this.options.caller.call(member, request, CALL_TIMEOUT_MILLISECONDS, (reply) => {
      if (reply?.type !== 'fetched') {
        done(false);
        return;
      }
      if (reply.turns.length === 0) {
        // The turns have expired at that member in the meantime.
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
