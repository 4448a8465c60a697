/**
 * The gateway's side of the tenants' quotas: asks the home of the tenant whether a request may run, and further members
 * when the home does not hold the whole quota or does not reply. A single grant suffices. An exhausted quota is remembered
 * until the member has tokens again. A request that may wait is queued at the member with the shortest wait.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import type { ProgramRequest, QuotaReason, TenantQuota } from './quota-buckets.js';
import { membersByTenant } from './quota-home.js';
import type { ReplicaCaller } from './replica-caller.js';

/** The inputs of a member's decision. */
export interface QuotaInputs {
  readonly member: string;
  readonly reason: QuotaReason;
  /** Fraction of the quota that the member holds, 0 to 1. */
  readonly share: number;
  /** Requests that may run now, that programs in progress still need, and that the program needs. */
  readonly tokens: number;
  readonly reserved: number;
  readonly needed: number;
}

/** The outcome of a quota request; `inputs` is undefined if the member's build does not tell them. */
export type QuotaOutcome =
  | { readonly tag: 'Granted'; readonly inputs?: QuotaInputs | undefined }
  /** Every member that replied has exhausted its share, or has no room for the program. */
  | {
      readonly tag: 'Exhausted';
      readonly waitMilliseconds: number;
      readonly inputs?: QuotaInputs | undefined;
    }
  /** No member replied. */
  | { readonly tag: 'OutOfReach' };

/** Dependencies of a {@link QuotaClient}. */
export interface QuotaClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Distances to the zones of the members, by which a reply may take longer. @default none */
  readonly distances?: ZoneDistances | undefined;
  /**
   * Whether the home of a tenant is asked first and holds its whole limit; otherwise members are asked in random order, and
   * each grants its own share. @default true
   */
  readonly usesHomes?: boolean;
  /** Whether a member is known not to reply; it is not asked. @default none */
  readonly isSilent?: ((member: Member) => boolean) | undefined;
}

/** Time after which the next member is asked while the previous one has not replied, in milliseconds. */
const HEDGE_MILLISECONDS = 40;

/** Maximum number of times that one request is asked again under a newer membership record. */
const MAXIMUM_RESTARTS = 2;
/** Time to wait for the newer record that a member announces, in milliseconds. */
const RECORD_DELAY_MILLISECONDS = 10;
/** Maximum number of times that one request is queued, after other requests took the tokens. */
const MAXIMUM_QUEUE_CALLS = 4;
/** Time in which a member replies to a request that is to be queued, in milliseconds. */
const QUEUE_REPLY_MILLISECONDS = 200;
/** Time in which members reply that are asked again after a lease has ended, in milliseconds. */
const AFTER_LEASE_MILLISECONDS = 200;
/** Share of the quota from which on the refusals of the members that hold it are final. */
const MAJOR_SHARE = 0.5;
/** Time for which a member that did not reply is asked after the others, in milliseconds. */
const SILENT_MEMBER_MILLISECONDS = 1_000;

/** A request for permission to run one request of a tenant. */
export interface QuotaRequest {
  readonly quota: TenantQuota;
  /** Number of requests that the program is expected to need, if this is its first one; 0 for a running program. */
  readonly beginsRequests: number;
  /** Time for which the request may wait for its turn, in milliseconds. */
  readonly patienceMilliseconds: number;
  /** Hash of the program's identifier. @default 0, no program */
  readonly program?: number;
  /** Name of the route. @default none */
  readonly kind?: string;
  /** Urgency of the route among those of the tenant, 0 is the most urgent. @default 0 */
  readonly rank?: number;
}

/** A member's refusal. */
interface Refusal {
  readonly member: Member;
  readonly waitMilliseconds: number;
  readonly inputs?: QuotaInputs | undefined;
}

/** Number of remembered refusals from which on expired ones are dropped. */
const REFUSAL_SWEEP_THRESHOLD = 2_000;

/** The state of one quota request while members are asked. */
interface SpendAttempt {
  readonly quotaRequest: QuotaRequest;
  record: MemberRecord;
  readonly startedAt: number;
  deadline: number;
  readonly done: (outcome: QuotaOutcome) => void;
  unaskedMembers: Member[];
  /** Members that refused, with the time until they have tokens again, in milliseconds. */
  refusals: Refusal[];
  /** Number of times that the attempt began again with a newer record. */
  restarts: number;
  /** Number of members that did not reply in time, or could not decide. */
  unreachedMembers: number;
  /** Sum of the shares of the members that refused. */
  refusedShare: number;
  pendingCalls: number;
  replies: number;
  finished: boolean;
  /** Member at which the request is being queued. */
  queuedAt: Member | undefined;
  /** Number of times that the request was sent to a member to be queued there. */
  queueCount: number;
}

/** Asks the members whether requests may run. */
export class QuotaClient {
  /** Local time at which a member has tokens again, in milliseconds, keyed by {@link refusalKey}. */
  private readonly refusedUntil = new Map<string, number>();
  /** Local time until which a member counts as silent, in milliseconds, by member. */
  private readonly silentUntil = new Map<string, number>();

  constructor(private readonly options: QuotaClientOptions) {}

  /** Whether the home of a tenant is asked first and holds its whole limit. */
  get usesHomes(): boolean {
    return this.options.usesHomes ?? true;
  }

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
    const startedAt = runtime.now();
    const deadline = startedAt + timeoutMilliseconds;
    const state = {
      unaskedMembers: [],
      refusals: [],
      restarts: 0,
      unreachedMembers: 0,
      refusedShare: 0,
      pendingCalls: 0,
      replies: 0,
      finished: false,
      queuedAt: undefined,
      queueCount: 0,
    };
    const attempt: SpendAttempt = {
      quotaRequest,
      record,
      startedAt,
      deadline,
      done,
      ...state,
    };
    this.begin(attempt);
  }

  /** Asks the members of the attempt's record, from the first. */
  private begin(attempt: SpendAttempt): void {
    const { tenant } = attempt.quotaRequest.quota;
    const members = this.usesHomes
      ? membersByTenant(attempt.record, tenant)
      : this.inRandomOrder(attempt.record.members);
    const { runtime, isSilent = () => false } = this.options;
    const now = runtime.now();
    // Members that are probed until they reply are left out, so that no request waits for them.
    const probed = members.filter(isSilent);
    const others = members.filter((member) => !probed.includes(member));
    attempt.unaskedMembers = [];
    attempt.refusals = [];
    attempt.refusedShare = 0;
    attempt.queuedAt = undefined;
    const [home] = members;
    const isHomeReached =
      home === undefined || (!probed.includes(home) && !this.isSilent(home, now));
    attempt.unreachedMembers = isHomeReached ? 0 : 1;
    for (const member of this.silentLast(others, now)) {
      const waitMilliseconds = this.refusalMilliseconds(attempt, member);
      if (waitMilliseconds > 0) {
        attempt.refusals.push({ member, waitMilliseconds });
      } else {
        attempt.unaskedMembers.push(member);
      }
    }
    this.askNext(attempt);
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

  /** Begins again with the newer record that a member has sent; returns whether there is one. */
  private restart(attempt: SpendAttempt): boolean {
    const { current } = this.options.directory;
    const isNewer = current !== undefined && current.epoch > attempt.record.epoch;
    if (!isNewer || attempt.restarts >= MAXIMUM_RESTARTS) {
      return false;
    }
    attempt.restarts += 1;
    attempt.record = current;
    this.begin(attempt);
    return true;
  }

  private isSilent({ id }: Member, now: number): boolean {
    return (this.silentUntil.get(id) ?? -Infinity) > now;
  }

  /** Returns the members in the order in which they are asked. */
  private silentLast(members: readonly Member[], now: number): Member[] {
    const silent = members.filter((member) => this.isSilent(member, now));
    return [...members.filter((member) => !this.isSilent(member, now)), ...silent];
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
    const repliesBefore = attempt.replies;
    this.options.runtime.setTimer(HEDGE_MILLISECONDS + allowance, () => {
      if (attempt.finished || attempt.replies > repliesBefore) {
        return;
      }
      this.skipForNow(attempt, member);
      if (attempt.unaskedMembers.length > 0) {
        this.askNext(attempt);
      }
    });
  }

  private ask(attempt: SpendAttempt, member: Member, patienceMilliseconds: number): void {
    const { runtime, caller } = this.options;
    const { quotaRequest, record, deadline } = attempt;
    const { quota, beginsRequests, program = 0, kind = '', rank = 0 } = quotaRequest;
    const request: ProgramRequest = {
      program,
      kind,
      startsProgram: beginsRequests > 0,
      assumedRequests: beginsRequests,
      patienceMilliseconds,
      isFallback: attempt.unreachedMembers > 0,
      rank,
    };
    const { epoch } = record;
    const message = this.usesHomes
      ? { type: 'spendForProgram' as const, epoch, quota, request }
      : { type: 'spend' as const, epoch, quota, beginsRequests, patienceMilliseconds };
    attempt.pendingCalls += 1;
    caller.call(member, message, deadline - runtime.now(), (reply) => {
      attempt.pendingCalls -= 1;
      const isGrant = reply !== undefined && 'granted' in reply && reply.granted;
      if (attempt.record === record || isGrant) {
        this.handleReply(attempt, member, reply);
      }
    });
  }

  private handleReply(
    attempt: SpendAttempt,
    member: Member,
    reply: ReplicaReply | undefined,
  ): void {
    const isDecision = reply?.type === 'spent' || reply?.type === 'spentForProgram';
    if (reply !== undefined) {
      this.silentUntil.delete(member.id);
      attempt.replies += 1;
    }
    if (attempt.finished) {
      return;
    }
    if (attempt.queuedAt === member) {
      attempt.queuedAt = undefined;
    }
    if (isDecision && reply.outcome === 'staleEpoch') {
      // The newer record arrives with the reply, in any order.
      if (this.restart(attempt)) {
        return;
      }
      attempt.pendingCalls += 1;
      this.options.runtime.setTimer(RECORD_DELAY_MILLISECONDS, () => {
        attempt.pendingCalls -= 1;
        if (!attempt.finished && !this.restart(attempt)) {
          this.askNext(attempt);
        }
      });
      return;
    }
    if (!isDecision || reply.outcome !== 'done') {
      this.skipForNow(attempt, member);
    }
    if (isDecision && reply.outcome === 'done') {
      const inputs = inputsOf(member, reply);
      const { granted, waitMilliseconds } = reply;
      if (granted) {
        this.grant(attempt, waitMilliseconds, inputs);
        return;
      }
      // Whether a program fits changes with each request of the others, and a lease with each pull.
      if (inputs?.reason !== 'noRoom' && inputs?.reason !== 'lent') {
        this.rememberRefusal(attempt, member, waitMilliseconds);
      }
      attempt.refusals = attempt.refusals.filter((refusal) => refusal.member !== member);
      attempt.refusals.push({ member, waitMilliseconds, inputs });
      attempt.refusedShare += inputs?.share ?? 0;
      if (attempt.refusedShare >= MAJOR_SHARE) {
        attempt.unaskedMembers.length = 0;
      }
    }
    this.askNext(attempt);
  }

  /** Asks a member after the others for a while, since it did not reply in time or could not decide. */
  private skipForNow(attempt: SpendAttempt, { id }: Member): void {
    attempt.unreachedMembers += 1;
    this.silentUntil.set(id, this.options.runtime.now() + SILENT_MEMBER_MILLISECONDS);
  }

  private grant(
    attempt: SpendAttempt,
    waitMilliseconds: number,
    inputs: QuotaInputs | undefined,
  ): void {
    attempt.finished = true;
    const granted = (): void => attempt.done({ tag: 'Granted', inputs });
    if (waitMilliseconds > 0) {
      this.options.runtime.setTimer(waitMilliseconds, granted);
    } else {
      granted();
    }
  }

  /** When no member is left to ask, queues at the member with the shortest wait, or reports the outcome. */
  private queueOrFinish(attempt: SpendAttempt, hasTime: boolean): void {
    if (this.awaitLease(attempt)) {
      return;
    }
    const shortestRefusal = shortestOf(attempt.refusals);
    if (attempt.queuedAt !== undefined && hasTime) {
      return;
    }
    // Calls that are still pending are those of members that have been silent for a while.
    if (shortestRefusal !== undefined && this.queueAt(attempt, shortestRefusal)) {
      return;
    }
    if (attempt.pendingCalls > 0 && hasTime) {
      return;
    }
    attempt.finished = true;
    attempt.done(
      shortestRefusal === undefined
        ? { tag: 'OutOfReach' }
        : { tag: 'Exhausted', ...shortestRefusal },
    );
  }

  /** Queues at a member if the request may wait that long; other requests may take the tokens in the meantime. */
  private queueAt(attempt: SpendAttempt, { member, waitMilliseconds }: Refusal): boolean {
    const now = this.options.runtime.now();
    const waitsUntil = attempt.startedAt + attempt.quotaRequest.patienceMilliseconds;
    if (attempt.queueCount >= MAXIMUM_QUEUE_CALLS || now + waitMilliseconds > waitsUntil) {
      return false;
    }
    attempt.queueCount += 1;
    attempt.queuedAt = member;
    attempt.deadline = Math.max(attempt.deadline, now + QUEUE_REPLY_MILLISECONDS);
    this.ask(attempt, member, waitsUntil - now);
    return true;
  }

  /**
   * If all members that replied have lent their shares to one that does not reply, asks again when the first lease has
   * ended; returns whether the request may wait that long.
   */
  private awaitLease(attempt: SpendAttempt): boolean {
    const { refusals, quotaRequest } = attempt;
    const { runtime } = this.options;
    const isLent = refusals.length > 0 && refusals.every(({ inputs }) => inputs?.reason === 'lent');
    const wait = Math.min(...refusals.map(({ waitMilliseconds }) => waitMilliseconds));
    const waitsUntil = runtime.now() + wait;
    if (!isLent || waitsUntil > attempt.startedAt + quotaRequest.patienceMilliseconds) {
      return false;
    }
    attempt.deadline = Math.max(attempt.deadline, waitsUntil + AFTER_LEASE_MILLISECONDS);
    runtime.setTimer(wait + 1, () => {
      if (!attempt.finished) {
        this.begin(attempt);
      }
    });
    return true;
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

/** Returns the refusal with the shortest wait; a member that lent its share says nothing about the quota. */
function shortestOf(refusals: readonly Refusal[]): Refusal | undefined {
  const byHolders = refusals.filter(({ inputs }) => inputs?.reason !== 'lent');
  const candidates = byHolders.length > 0 ? byHolders : refusals;
  return candidates.reduce<Refusal | undefined>(
    (best, each) =>
      best === undefined || each.waitMilliseconds < best.waitMilliseconds ? each : best,
    undefined,
  );
}

function inputsOf(
  { id }: Member,
  reply: Extract<ReplicaReply, { type: 'spent' | 'spentForProgram' }>,
): QuotaInputs | undefined {
  if (reply.type === 'spent') {
    return undefined;
  }
  const { reason, share, tokens, reserved, needed } = reply;
  return { member: id, reason, share, tokens, reserved, needed };
}
