/**
 * The gateway's side of the tenants' quotas: asks one member whether a request may run, and further members when that
 * one has exhausted its share or does not reply. Each member grants its own share, so a single grant suffices. A
 * refusal is remembered until the member has tokens again. A request that may wait is queued at the member with the
 * shortest wait.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import type { TenantQuota } from './quota-buckets.js';
import type { ReplicaCaller } from './replica-caller.js';

/** The outcome of a quota request. */
export type QuotaOutcome =
  | { readonly tag: 'Granted' }
  /** Every member that replied has exhausted its share. */
  | { readonly tag: 'Exhausted'; readonly waitMilliseconds: number }
  /** No member replied. */
  | { readonly tag: 'OutOfReach' };

/** Dependencies of a {@link QuotaClient}. */
export interface QuotaClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Distances to the zones of the members; where there are several regions, near members are asked first. @default none */
  readonly distances?: ZoneDistances | undefined;
  /** Whether a member is known not to reply; it is not asked. @default none */
  readonly isSilent?: ((member: Member) => boolean) | undefined;
}

/** Time after which the next member is asked while the previous one has not replied, in milliseconds. */
const HEDGE_MILLISECONDS = 40;

/** A request for permission to run one request of a tenant. */
export interface QuotaRequest {
  readonly quota: TenantQuota;
  /** Number of requests that the program is expected to need, if this is its first one; 0 for a running program. */
  readonly beginsRequests: number;
  /** Time for which the request may wait for its turn, in milliseconds. */
  readonly patienceMilliseconds: number;
}

/** Number of remembered refusals from which on expired ones are dropped. */
const REFUSAL_SWEEP_THRESHOLD = 2_000;

/** The state of one quota request while members are asked. */
interface SpendAttempt {
  readonly quotaRequest: QuotaRequest;
  readonly record: MemberRecord;
  readonly deadline: number;
  readonly done: (outcome: QuotaOutcome) => void;
  readonly unaskedMembers: Member[];
  /** Members that refused, with the time until they have tokens again, in milliseconds. */
  readonly refusals: { readonly member: Member; readonly waitMilliseconds: number }[];
  pendingCalls: number;
  finished: boolean;
  /** Whether the request was sent to the member with the shortest wait, to be queued there. */
  hasQueued: boolean;
}

/** Asks the members whether requests may run. */
export class QuotaClient {
  /** Local time at which a member has tokens again, in milliseconds, keyed by {@link refusalKey}. */
  private readonly refusedUntil = new Map<string, number>();

  constructor(private readonly options: QuotaClientOptions) {}

  /** Asks whether one request may run; a grant is called back at the time from which the request may run. */
  spend(
    quotaRequest: QuotaRequest,
    timeoutMilliseconds: number,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const { runtime, directory } = this.options;
    const record = directory.current;
    if (record === undefined) {
      done({ tag: 'OutOfReach' });
      return;
    }
    const deadline = runtime.now() + timeoutMilliseconds;
    const state = {
      unaskedMembers: [],
      refusals: [],
      pendingCalls: 0,
      finished: false,
      hasQueued: false,
    };
    const attempt: SpendAttempt = {
      quotaRequest,
      record,
      deadline,
      done,
      ...state,
    };
    const { isSilent = () => false } = this.options;
    // Silent members are probed until they reply, so a request gains nothing by waiting for them.
    const replying = record.members.filter((member) => !isSilent(member));
    for (const member of this.inOrderOfAsking(replying)) {
      const waitMilliseconds = this.refusalMilliseconds(attempt, member);
      if (waitMilliseconds > 0) {
        attempt.refusals.push({ member, waitMilliseconds });
      } else {
        attempt.unaskedMembers.push(member);
      }
    }
    this.askNext(attempt);
  }

  /** Random, so that members share the load; nearest first where there are several regions. */
  private inOrderOfAsking(members: readonly Member[]): Member[] {
    const shuffled = this.inRandomOrder(members);
    return this.options.distances?.nearestFirst(shuffled) ?? shuffled;
  }

  private inRandomOrder(members: readonly Member[]): Member[] {
    const { random } = this.options.runtime;
    const remaining = [...members];
    const shuffled: Member[] = [];
    while (remaining.length > 0) {
      shuffled.push(...remaining.splice(random.integer(0, remaining.length - 1), 1));
    }
    return shuffled;
  }

  private askNext(attempt: SpendAttempt): void {
    if (attempt.finished) {
      return;
    }
    const hasTime = attempt.deadline > this.options.runtime.now();
    const member = hasTime ? attempt.unaskedMembers.shift() : undefined;
    if (member === undefined) {
      this.queueOrFinish(attempt, hasTime);
      return;
    }
    this.ask(attempt, member, 0);
    const allowance = this.options.distances?.allowanceMilliseconds(member.zone) ?? 0;
    this.options.runtime.setTimer(HEDGE_MILLISECONDS + allowance, () => {
      if (attempt.unaskedMembers.length > 0) {
        this.askNext(attempt);
      }
    });
  }

  private ask(attempt: SpendAttempt, member: Member, patienceMilliseconds: number): void {
    const { runtime, caller } = this.options;
    const { quotaRequest, record, deadline } = attempt;
    const request = { ...quotaRequest, type: 'spend' as const, epoch: record.epoch };
    attempt.pendingCalls += 1;
    caller.call(member, { ...request, patienceMilliseconds }, deadline - runtime.now(), (reply) => {
      attempt.pendingCalls -= 1;
      this.handleReply(attempt, member, reply);
    });
  }

  private handleReply(
    attempt: SpendAttempt,
    member: Member,
    reply: ReplicaReply | undefined,
  ): void {
    if (attempt.finished) {
      return;
    }
    if (reply?.type === 'spent' && reply.outcome === 'done') {
      const { granted, waitMilliseconds } = reply;
      if (granted) {
        this.grant(attempt, waitMilliseconds);
        return;
      }
      this.rememberRefusal(attempt, member, waitMilliseconds);
      attempt.refusals.push({ member, waitMilliseconds });
    }
    this.askNext(attempt);
  }

  private grant(attempt: SpendAttempt, waitMilliseconds: number): void {
    attempt.finished = true;
    if (waitMilliseconds > 0) {
      const granted = (): void => attempt.done({ tag: 'Granted' });
      this.options.runtime.setTimer(waitMilliseconds, granted);
    } else {
      attempt.done({ tag: 'Granted' });
    }
  }

  /** When no member is left to ask, queues at the member with the shortest wait, or reports the outcome. */
  private queueOrFinish(attempt: SpendAttempt, hasTime: boolean): void {
    if (attempt.pendingCalls > 0 && hasTime) {
      return;
    }
    const shortestRefusal = attempt.refusals.reduce<SpendAttempt['refusals'][number] | undefined>(
      (best, each) =>
        best === undefined || each.waitMilliseconds < best.waitMilliseconds ? each : best,
      undefined,
    );
    const { patienceMilliseconds } = attempt.quotaRequest;
    const mayQueue = hasTime && !attempt.hasQueued && patienceMilliseconds > 0;
    if (
      shortestRefusal !== undefined &&
      mayQueue &&
      shortestRefusal.waitMilliseconds <= patienceMilliseconds
    ) {
      attempt.hasQueued = true;
      this.ask(attempt, shortestRefusal.member, patienceMilliseconds);
      return;
    }
    attempt.finished = true;
    attempt.done(
      shortestRefusal === undefined
        ? { tag: 'OutOfReach' }
        : { tag: 'Exhausted', waitMilliseconds: shortestRefusal.waitMilliseconds },
    );
  }

  private rememberRefusal(attempt: SpendAttempt, member: Member, waitMilliseconds: number): void {
    const now = this.options.runtime.now();
    if (this.refusedUntil.size >= REFUSAL_SWEEP_THRESHOLD) {
      for (const [key, until] of this.refusedUntil) {
        if (until <= now) {
          this.refusedUntil.delete(key);
        }
      }
    }
    this.refusedUntil.set(refusalKey(attempt, member), now + waitMilliseconds);
  }

  private refusalMilliseconds(attempt: SpendAttempt, member: Member): number {
    const until = this.refusedUntil.get(refusalKey(attempt, member)) ?? -Infinity;
    return until - this.options.runtime.now();
  }
}

function refusalKey({ quotaRequest }: SpendAttempt, member: Member): string {
  const { quota, beginsRequests } = quotaRequest;
  const kind = beginsRequests > 0 ? 'program' : 'request';
  return `${member.id} ${kind} ${quota.version} ${quota.tenant}`;
}
