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
  private readonly waiting: Member[];
  private readonly needed: number;
  private readonly replies: ReplicaReply[] = [];
  private readonly outcomes = new Map<Member, MemberOutcome>();
  private readonly until: number;
  private open = 0;
  private over = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly caller: ReplicaCaller,
    private readonly write: QuorumWriteRequest,
    private readonly done: (replies: readonly ReplicaReply[] | undefined) => void,
  ) {
    this.waiting = membersForKey(write.record, write.key);
    this.needed = majorityOf(write.record);
    this.until = runtime.now() + write.timeoutMilliseconds;
  }

  start(): void {
    this.ask(this.needed + SPARE_REPLICAS);
    if (this.waiting.length > 0) {
      this.runtime.setTimer(HEDGE_MILLISECONDS, () => this.ask(this.waiting.length));
    }
    this.endIfHopeless();
  }

  private ask(count: number): void {
    const left = this.until - this.runtime.now();
    if (this.over || left <= 0) {
      return;
    }
    const asked = this.waiting.splice(0, count);
    this.open += asked.length;
    for (const member of asked) {
      this.outcomes.set(member, 'none');
      this.caller.call(member, this.write.request, left, (reply) => this.take(member, reply));
    }
  }

  private take(member: Member, reply: ReplicaReply | undefined): void {
    this.open -= 1;
    if (this.over) {
      return;
    }
    const outcome = reply !== undefined && 'outcome' in reply ? reply.outcome : 'none';
    this.outcomes.set(member, outcome);
    if (reply !== undefined && outcome === 'done') {
      this.replies.push(reply);
    } else {
      this.ask(1);
    }
    if (this.replies.length >= this.needed) {
      this.finish(this.replies);
    } else {
      this.endIfHopeless();
    }
  }

  private endIfHopeless(): void {
    const possible = this.replies.length + this.open + this.waiting.length;
    if (!this.over && possible < this.needed) {
      this.write.onFailed?.(this.outcomes);
      this.finish(undefined);
    }
  }

  private finish(replies: readonly ReplicaReply[] | undefined): void {
    this.over = true;
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
