/**
 * A gateway's side of the tenants' quotas: asks one replica whether a request may run, and the next
 * ones when that one has nothing left to give or doesn't answer. Each member gives out its own share,
 * so one grant is enough; what a member has refused is remembered until it has room again. A request
 * that may be held takes the next place of the member that has room soonest.
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
/** What is asked. */
export interface QuotaQuestion {
  readonly quota: ToldQuota;
  /** Requests that the program is expected to need which begins with this one; 0 for one under way. */
  readonly beginsRequests: number;
  /** Time for which the request may be held, in milliseconds. */
  readonly patienceMilliseconds: number;
}

/** Refusals that are remembered; beyond, those that are over are dropped. */
const MANY_REFUSALS = 2_000;

/** A question on its way from member to member. */
interface Spending {
  readonly question: QuotaQuestion;
  readonly record: MemberRecord;
  readonly until: number;
  readonly done: (outcome: QuotaOutcome) => void;
  readonly waiting: Member[];
  /** Members that refused, with the time until they have room, in milliseconds. */
  readonly refusals: { readonly member: Member; readonly waitMilliseconds: number }[];
  open: number;
  over: boolean;
  /** Whether the member that has room soonest was asked for its next place. */
  isHeld: boolean;
}

/** See the head of this file. */
export class QuotaClient {
  /** Local time at which a member has room again, by member, tenant and kind of request. */
  private readonly refusedUntil = new Map<string, number>();

  constructor(private readonly options: QuotaClientOptions) {}

  /** Asks whether one request may run; calls back when it may, or that it may not. */
  spend(
    question: QuotaQuestion,
    timeoutMilliseconds: number,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const { runtime, directory } = this.options;
    const record = directory.current;
    if (record === undefined) {
      done({ tag: 'OutOfReach' });
      return;
    }
    const until = runtime.now() + timeoutMilliseconds;
    const state = { waiting: [], refusals: [], open: 0, over: false, isHeld: false };
    const spending: Spending = { question, record, until, done, ...state };
    for (const member of this.inDrawnOrder(record.members)) {
      const waitMilliseconds = this.refusalLeft(spending, member);
      if (waitMilliseconds > 0) {
        spending.refusals.push({ member, waitMilliseconds });
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
    if (spending.over) {
      return;
    }
    const hasTime = spending.until > this.options.runtime.now();
    const member = hasTime ? spending.waiting.shift() : undefined;
    if (member === undefined) {
      this.holdOrEnd(spending, hasTime);
      return;
    }
    this.ask(spending, member, 0);
    this.options.runtime.setTimer(HEDGE_MILLISECONDS, () => {
      if (spending.waiting.length > 0) {
        this.askNext(spending);
      }
    });
  }

  private ask(spending: Spending, member: Member, patienceMilliseconds: number): void {
    const { runtime, caller } = this.options;
    const { question, record, until } = spending;
    const request = { ...question, type: 'spend' as const, epoch: record.epoch };
    spending.open += 1;
    caller.call(member, { ...request, patienceMilliseconds }, until - runtime.now(), (reply) => {
      spending.open -= 1;
      this.take(spending, member, reply);
    });
  }

  private take(spending: Spending, member: Member, reply: ReplicaReply | undefined): void {
    if (spending.over) {
      return;
    }
    if (reply?.type === 'spent' && reply.outcome === 'done') {
      const { granted, waitMilliseconds } = reply;
      if (granted) {
        this.grant(spending, waitMilliseconds);
        return;
      }
      this.rememberRefusal(spending, member, waitMilliseconds);
      spending.refusals.push({ member, waitMilliseconds });
    }
    this.askNext(spending);
  }

  private grant(spending: Spending, waitMilliseconds: number): void {
    spending.over = true;
    if (waitMilliseconds > 0) {
      const granted = (): void => spending.done({ tag: 'Granted' });
      this.options.runtime.setTimer(waitMilliseconds, granted);
    } else {
      spending.done({ tag: 'Granted' });
    }
  }

  /** Nobody is left to ask: takes the next place of the member that has room soonest, or gives up. */
  private holdOrEnd(spending: Spending, hasTime: boolean): void {
    if (spending.open > 0 && hasTime) {
      return;
    }
    const soonest = spending.refusals.reduce<Spending['refusals'][number] | undefined>(
      (best, each) =>
        best === undefined || each.waitMilliseconds < best.waitMilliseconds ? each : best,
      undefined,
    );
    const { patienceMilliseconds } = spending.question;
    const mayHold = hasTime && !spending.isHeld && patienceMilliseconds > 0;
    if (soonest !== undefined && mayHold && soonest.waitMilliseconds <= patienceMilliseconds) {
      spending.isHeld = true;
      this.ask(spending, soonest.member, patienceMilliseconds);
      return;
    }
    spending.over = true;
    spending.done(
      soonest === undefined
        ? { tag: 'OutOfReach' }
        : { tag: 'Exhausted', waitMilliseconds: soonest.waitMilliseconds },
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

function refusalKey({ question }: Spending, member: Member): string {
  const { quota, beginsRequests } = question;
  const kind = beginsRequests > 0 ? 'program' : 'request';
  return `${member.id} ${kind} ${quota.version} ${quota.tenant}`;
}
