/**
 * A gateway's side of the tenants' quotas: asks one replica whether a request may run, and the next
 * ones when that one has nothing left to give or doesn't answer. Each member gives out its own share,
 * so one grant is enough; what a member has refused is remembered until it has room again.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MemberDirectory } from './member-directory.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import type { ToldQuota } from './quota-buckets.js';
import type { ReplicaCaller } from './replica-caller.js';

/** How asking ended. */
export type QuotaOutcome =
  | { readonly tag: 'Granted' }
  /** Every member that answered has given out its share. */
  | { readonly tag: 'Exhausted'; readonly waitMilliseconds: number }
  /** No member answered. */
  | { readonly tag: 'OutOfReach' };

/** What the client is made with. */
export interface QuotaClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
}

/** Time after which the next member is asked beside one that is slow, in milliseconds. */
const HEDGE_MILLISECONDS = 40;
/** Refusals that are remembered; beyond, those that are over are dropped. */
const MANY_REFUSALS = 2_000;

/** A question on its way from member to member. */
interface Spending {
  readonly quota: ToldQuota;
  /** Requests that the program is expected to need which begins; 0 for one under way. */
  readonly beginsRequests: number;
  readonly record: MemberRecord;
  readonly until: number;
  readonly done: (outcome: QuotaOutcome) => void;
  readonly waiting: Member[];
  open: number;
  over: boolean;
  /** Shortest time until a member that refused has room, in milliseconds; undefined before any refusal. */
  waitMilliseconds: number | undefined;
}

/** See the head of this file. */
export class QuotaClient {
  /** Local time at which a member has room again, by member, tenant and kind of request. */
  private readonly refusedUntil = new Map<string, number>();

  constructor(private readonly options: QuotaClientOptions) {}

  /**
   * Asks whether one request may run.
   * @param beginsRequests see {@link QuotaBuckets.take}
   */
  spend(
    quota: ToldQuota,
    beginsRequests: number,
    timeoutMilliseconds: number,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const { runtime, directory } = this.options;
    const record = directory.current;
    if (record === undefined) {
      done({ tag: 'OutOfReach' });
      return;
    }
    const spending: Spending = {
      quota,
      beginsRequests,
      record,
      until: runtime.now() + timeoutMilliseconds,
      done,
      waiting: [],
      open: 0,
      over: false,
      waitMilliseconds: undefined,
    };
    for (const member of this.inDrawnOrder(record.members)) {
      const left = this.refusalLeft(spending, member);
      if (left > 0) {
        noteRefusal(spending, left);
      } else {
        spending.waiting.push(member);
      }
    }
    this.askNext(spending);
  }

  private inDrawnOrder(members: readonly Member[]): Member[] {
    const { random } = this.options.runtime;
    const left = [...members];
    const drawn: Member[] = [];
    while (left.length > 0) {
      drawn.push(...left.splice(random.integer(0, left.length - 1), 1));
    }
    return drawn;
  }

  private askNext(spending: Spending): void {
    const { runtime, caller } = this.options;
    const left = spending.until - runtime.now();
    if (spending.over) {
      return;
    }
    const member = left > 0 ? spending.waiting.shift() : undefined;
    if (member === undefined) {
      this.endIfAnswered(spending);
      return;
    }
    spending.open += 1;
    const { quota, beginsRequests, record } = spending;
    const request = { type: 'spend' as const, epoch: record.epoch, quota, beginsRequests };
    caller.call(member, request, left, (reply) => {
      spending.open -= 1;
      this.take(spending, member, reply);
    });
    runtime.setTimer(HEDGE_MILLISECONDS, () => {
      if (spending.waiting.length > 0) {
        this.askNext(spending);
      }
    });
  }

  private take(spending: Spending, member: Member, reply: ReplicaReply | undefined): void {
    if (spending.over) {
      return;
    }
    if (reply?.type === 'spent' && reply.outcome === 'done') {
      if (reply.granted) {
        finish(spending, { tag: 'Granted' });
        return;
      }
      this.rememberRefusal(spending, member, reply.waitMilliseconds);
      noteRefusal(spending, reply.waitMilliseconds);
    }
    this.askNext(spending);
  }

  private endIfAnswered(spending: Spending): void {
    if (spending.open > 0 && spending.until > this.options.runtime.now()) {
      return;
    }
    const { waitMilliseconds } = spending;
    finish(
      spending,
      waitMilliseconds === undefined
        ? { tag: 'OutOfReach' }
        : { tag: 'Exhausted', waitMilliseconds },
    );
  }

  private rememberRefusal(spending: Spending, member: Member, waitMilliseconds: number): void {
    const now = this.options.runtime.now();
    if (this.refusedUntil.size >= MANY_REFUSALS) {
      for (const [key, until] of this.refusedUntil) {
        if (until <= now) {
          this.refusedUntil.delete(key);
        }
      }
    }
    this.refusedUntil.set(refusalKey(spending, member), now + waitMilliseconds);
  }

  private refusalLeft(spending: Spending, member: Member): number {
    const until = this.refusedUntil.get(refusalKey(spending, member)) ?? -Infinity;
    return until - this.options.runtime.now();
  }
}

function refusalKey({ quota, beginsRequests }: Spending, member: Member): string {
  return `${member.id} ${beginsRequests > 0 ? 'program' : 'request'} ${quota.version} ${quota.tenant}`;
}

function noteRefusal(spending: Spending, waitMilliseconds: number): void {
  spending.waitMilliseconds = Math.min(spending.waitMilliseconds ?? Infinity, waitMilliseconds);
}

function finish(spending: Spending, outcome: QuotaOutcome): void {
  if (!spending.over) {
    spending.over = true;
    spending.done(outcome);
  }
}
