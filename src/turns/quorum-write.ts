/**
 * Writes to the replicas of one epoch until a majority has acknowledged. The write is first sent to one replica more
 * than a majority, chosen by rank, by distance where there are several regions, and by rendezvous hashing of the key; the
 * other replicas of a large group receive it by batched replication. They are written to directly when a replica rejects
 * the write or is slow.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import { majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaOutcome, ReplicaReply } from './messages.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';

/** Time after which the write is also sent to the remaining replicas, in milliseconds. */
const HEDGE_MILLISECONDS = 60;
/** Number of replicas beyond the majority in the first round. */
const SPARE_REPLICAS = 1;

/** The parameters of one quorum write. */
export interface QuorumWriteRequest {
  readonly record: MemberRecord;
  readonly request: UnnumberedRequest;
  /** Determines the order of the replicas: writes with the same key go to the same replicas first. */
  readonly key: string;
  readonly timeoutMilliseconds: number;
  /** Where there are several regions, near replicas come first, and equally near ones in the order of the key. */
  readonly distances?: ZoneDistances | undefined;
  /** Members of a lower rank are written to first. @default the same for all */
  readonly rankOf?: ((member: Member) => number) | undefined;
  /** Called with the outcome at each member when no majority acknowledged. */
  readonly onFailed?: (outcomes: MemberOutcomes) => void;
}

/** The outcome of a write at one member; `none` while there is no reply, or when the call failed. */
export type MemberOutcome = ReplicaOutcome | 'none';

/** The latest outcome at each member that the write was sent to. */
export type MemberOutcomes = ReadonlyMap<Member, MemberOutcome>;

/** Returns the members in the order in which writes with a key are sent to them. */
export function membersForKey(record: MemberRecord, key: string): Member[] {
  const weight = (member: Member): number => hashToNumber(`${key} ${member.id}`);
  return [...record.members].sort((left, right) => weight(right) - weight(left));
}

/** Returns the members by ascending rank; members of the same rank keep their order. */
export function sortByRank(
  members: readonly Member[],
  rankOf: (member: Member) => number = () => 0,
): Member[] {
  return [...members].sort((left, right) => rankOf(left) - rankOf(right));
}

class QuorumWrite {
  private readonly unaskedMembers: Member[];
  private readonly needed: number;
  private readonly replies: ReplicaReply[] = [];
  private readonly outcomes = new Map<Member, MemberOutcome>();
  private readonly deadline: number;
  private pendingCalls = 0;
  private finished = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly caller: ReplicaCaller,
    private readonly write: QuorumWriteRequest,
    private readonly done: (replies: readonly ReplicaReply[] | undefined) => void,
  ) {
    const members = membersForKey(write.record, write.key);
    const nearestFirst = write.distances?.nearestFirst(members) ?? members;
    this.unaskedMembers = sortByRank(nearestFirst, write.rankOf);
    this.needed = majorityOf(write.record);
    this.deadline = runtime.now() + write.timeoutMilliseconds;
  }

  start(): void {
    const hedgeMilliseconds = HEDGE_MILLISECONDS + this.allowanceMilliseconds();
    this.sendToNext(this.needed + SPARE_REPLICAS);
    if (this.unaskedMembers.length > 0) {
      this.runtime.setTimer(hedgeMilliseconds, () => this.sendToNext(this.unaskedMembers.length));
    }
    this.failIfImpossible();
  }

  /** Round trip to the farthest member of the majority that is asked first, in milliseconds; 0 within one region. */
  private allowanceMilliseconds(): number {
    const { distances } = this.write;
    const majority = this.unaskedMembers.slice(0, this.needed);
    return Math.max(0, ...majority.map(({ zone }) => distances?.allowanceMilliseconds(zone) ?? 0));
  }

  private sendToNext(count: number): void {
    const remainingMilliseconds = this.deadline - this.runtime.now();
    if (this.finished || remainingMilliseconds <= 0) {
      return;
    }
    const asked = this.unaskedMembers.splice(0, count);
    this.pendingCalls += asked.length;
    for (const member of asked) {
      this.outcomes.set(member, 'none');
      this.caller.call(member, this.write.request, remainingMilliseconds, (reply) =>
        this.handleReply(member, reply),
      );
    }
  }

  private handleReply(member: Member, reply: ReplicaReply | undefined): void {
    this.pendingCalls -= 1;
    if (this.finished) {
      return;
    }
    const outcome = reply !== undefined && 'outcome' in reply ? reply.outcome : 'none';
    this.outcomes.set(member, outcome);
    if (reply !== undefined && outcome === 'done') {
      this.replies.push(reply);
    } else {
      this.sendToNext(1);
    }
    if (this.replies.length >= this.needed) {
      this.finish(this.replies);
    } else {
      this.failIfImpossible();
    }
  }

  private failIfImpossible(): void {
    const possible = this.replies.length + this.pendingCalls + this.unaskedMembers.length;
    if (!this.finished && possible < this.needed) {
      this.write.onFailed?.(this.outcomes);
      this.finish(undefined);
    }
  }

  private finish(replies: readonly ReplicaReply[] | undefined): void {
    this.finished = true;
    this.done(replies);
  }
}

/** Starts a write; calls back once, with the replies of a majority or with undefined when none was reached. */
export function writeToQuorum(
  runtime: Runtime,
  caller: ReplicaCaller,
  write: QuorumWriteRequest,
  done: (replies: readonly ReplicaReply[] | undefined) => void,
): void {
  new QuorumWrite(runtime, caller, write, done).start();
}
