/**
 * Writes to the replicas of one epoch until a majority has acknowledged. One replica more than a
 * majority is asked first, by rendezvous hashing of the key, so that the others of a large group learn
 * it by levelling, in batches; they are asked too when one refuses or is slow.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import { majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaOutcome, ReplicaReply } from './messages.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';

/** Time after which the replicas left out are asked as well, in milliseconds. */
const HEDGE_MILLISECONDS = 60;
/** Replicas asked first beyond the majority. */
const SPARE_REPLICAS = 1;

/** One write. */
export interface QuorumWriteRequest {
  readonly record: MemberRecord;
  readonly request: UnnumberedRequest;
  /** Writes with the same key go to the same replicas first. */
  readonly key: string;
  readonly timeoutMilliseconds: number;
  /** Told what the members said when no majority acknowledged. */
  readonly onFailed?: (outcomes: MemberOutcomes) => void;
}

/** How a member took a write; `none` while it has not answered, or when it did not. */
export type MemberOutcome = ReplicaOutcome | 'none';

/** What each member that was asked said last. */
export type MemberOutcomes = ReadonlyMap<Member, MemberOutcome>;

/** Members in the order in which they are asked for a key. */
export function membersForKey(record: MemberRecord, key: string): Member[] {
  const weight = (member: Member): number => hashToNumber(`${key} ${member.id}`);
  return [...record.members].sort((left, right) => weight(right) - weight(left));
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
    this.unaskedMembers = membersForKey(write.record, write.key);
    this.needed = majorityOf(write.record);
    this.deadline = runtime.now() + write.timeoutMilliseconds;
  }

  start(): void {
    this.sendToNext(this.needed + SPARE_REPLICAS);
    if (this.unaskedMembers.length > 0) {
      this.runtime.setTimer(HEDGE_MILLISECONDS, () => this.sendToNext(this.unaskedMembers.length));
    }
    this.failIfImpossible();
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

/** Starts a write; calls back once with a majority's replies, or undefined when there is none. */
export function writeToQuorum(
  runtime: Runtime,
  caller: ReplicaCaller,
  write: QuorumWriteRequest,
  done: (replies: readonly ReplicaReply[] | undefined) => void,
): void {
  new QuorumWrite(runtime, caller, write, done).start();
}
