/**
 * A replica's share of the tenants' quotas, as token buckets. Each member grants an equal share of each tenant's rate,
 * so the grants of all members add up to the rate regardless of network partitions. A program is admitted as a whole:
 * its first request reserves the number of requests that such a program is expected to need, and its further
 * requests only need tokens from the bucket.
 */

import { ProgramLedger } from './program-ledger.js';
import type { ProgramNeed } from './program-sizes-by-kind.js';
import type { HeldShare } from './quota-shares.js';
import { WaitingPrograms } from './waiting-programs.js';

/** A tenant's rate limit as known to the requesting gateway. */
export interface TenantQuota {
  readonly tenant: string;
  /** Version of the configuration that contains the limit; the newest one applies. */
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/**
 * The amount by which all members together may exceed a tenant's limit in one window. Part of it is held back for
 * members that keep granting for a moment after their removal from the record.
 */
export interface QuotaAllowance {
  /** Fraction of the rate, such as 0.1. */
  readonly overshoot: number;
  /** Absolute number of requests. */
  readonly slack: number;
}

/** One request of a program, as a gateway asks about it. */
export interface ProgramRequest {
  /** Hash of the program's identifier; 0 for a request without a program. */
  readonly program: number;
  /** Name of the route. */
  readonly kind: string;
  /** Whether this is the program's first request, as far as the gateway can tell. */
  readonly startsProgram: boolean;
  /** Number of requests that a program is assumed to need while the member has seen none of its kind. */
  readonly assumedRequests: number;
  /** Time for which the request may wait; tokens are then taken in advance. Milliseconds. */
  readonly patienceMilliseconds: number;
  /** Whether the sender could not get a decision from an earlier member in the tenant's order. */
  readonly isFallback: boolean;
  /** Urgency among the programs of the tenant, 0 is the most urgent. */
  readonly rank: number;
}

/**
 * Reason for a decision: the request belongs to a program in progress (`inProgress`), starts a program that fits
 * (`fits`) or does not (`noRoom`), exceeds the limit (`exhausted`), or this member does not hold the tenant's share
 * (`lent`). A metric label and a log field; the index is the wire format, so the list is append-only.
 */
export const QUOTA_REASONS = ['inProgress', 'fits', 'noRoom', 'exhausted', 'lent'] as const;

export type QuotaReason = (typeof QUOTA_REASONS)[number];

/** A decision about a request of a program, with its inputs. */
export interface ProgramDecision extends QuotaDecision {
  readonly reason: QuotaReason;
  /** Fraction of the tenant's quota that the member holds, 0 to 1. */
  readonly share: number;
  /** Tokens available before the decision. */
  readonly tokens: number;
  /** Number of requests that programs in progress still need. */
  readonly reserved: number;
  /** Number of requests that the program is expected to need; 0 for a request of a program in progress. */
  readonly needed: number;
}

/** Whether a request may run. */
export interface QuotaDecision {
  readonly granted: boolean;
  /** When granted, the time until the request may run; otherwise the time until tokens are available. Milliseconds. */
  readonly waitMilliseconds: number;
}

const MILLISECONDS_IN_SECOND = 1_000;
/**
 * Maximum fraction of the overshoot that is granted. At an overshoot of 0.1, 0.06 of the rate is kept for what a removed
 * member still grants.
 */
const OVERSHOOT_SHARE_GRANTED = 0.4;
/**
 * Time for which the whole rate is held back in a window, since a member that was removed from the record continues to
 * grant its share for a moment: 1.5 s, of one member in five.
 */
const HELD_BACK_MILLISECONDS = 300;
/** Fraction of the slack that is granted, so that a few concurrent programs do not exceed a small limit. */
const SLACK_SHARE_GRANTED = 0.8;
/**
 * Fraction of the granted slack that a member with most of the quota adds to the rate, rather than to the capacity:
 * programs of small limits last longer than a window. A fragment needs the capacity to hold a program at all.
 */
const SLACK_SHARE_OF_RATE = 0.5;
const MAJOR_SHARE = 0.5;
/** Points at which a program's need is compared with what is available, relative to its duration. */
const CHECKPOINTS = [0.5, 1] as const;
/** Minimum fraction of the capacity that must be available for a program that fits only an idle tenant's limit. */
const IDLE_TOKENS_SHARE = 0.5;
/**
 * Number of programs that a limit must fit in one window for programs to be admitted as a whole. Below that, whole
 * admission rejects more programs than it saves from being cut off midway.
 */
const MINIMUM_PROGRAMS = 4;
const DEFAULT_WINDOW_MILLISECONDS = 5_000;
/**
 * Time over which a program spreads its requests, in seconds; reservations may exceed the bucket by the tokens that are
 * refilled in this time.
 */
const RESERVATION_SECONDS = 2;
/** Idle time after which a tenant's bucket may be evicted, in milliseconds; buckets are full by then. */
const IDLE_TENANT_MILLISECONDS = 60_000;
/** Number of tenants from which on idle ones are evicted. */
const IDLE_SWEEP_THRESHOLD = 256;

interface Bucket {
  version: number;
  /** Rate and capacity of the whole quota without the slack, of which this member holds a share. */
  fullRate: number;
  fullCapacity: number;
  /** Requests of the slack that are granted per window as a part of the rate. */
  slackInRate: number | undefined;
  ratePerSecond: number;
  capacity: number;
  /** Number of requests that may run now. */
  tokens: number;
  /** Tokens not reserved for the expected requests of admitted programs. */
  unreserved: number;
  filledAt: number;
  readonly ledger: ProgramLedger;
  readonly waiting: WaitingPrograms;
}

/** Grants requests from one token bucket per tenant. */
export class QuotaBuckets {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** Local time at which new buckets start filling from empty, in milliseconds; earlier grants are unknown. */
    private readonly startedAt: number,
    private readonly allowance: QuotaAllowance = NO_ALLOWANCE,
    /** Window in which requests are counted, in milliseconds. */
    private readonly windowMilliseconds: number = DEFAULT_WINDOW_MILLISECONDS,
  ) {}

  /** Decides on a request of a program, and takes its token if it is granted. */
  decide(
    quota: TenantQuota,
    request: ProgramRequest,
    held: HeldShare,
    now: number,
  ): ProgramDecision {
    const { share, waitMilliseconds } = held;
    const nothing = { share, tokens: 0, reserved: 0, needed: 0 };
    if (share === 0) {
      return { ...nothing, granted: false, waitMilliseconds, reason: 'lent' };
    }
    const bucket = this.bucketOf(quota, held, now);
    const { ledger } = bucket;
    const { program, kind, startsProgram, assumedRequests } = request;
    const isNew = startsProgram && program !== 0 && !ledger.has(program, now);
    const decision = isNew
      ? decideNewProgram(bucket, request, now)
      : decideInProgress(bucket, request.patienceMilliseconds);
    const inputs = { ...nothing, tokens: bucket.tokens, ...decision };
    if (decision.granted) {
      bucket.tokens -= 1;
      bucket.unreserved -= 1;
    }
    if (program === 0) {
      return inputs;
    }
    if (isNew && decision.granted) {
      ledger.begin(program, kind, assumedRequests, now);
    } else if (!isNew && decision.granted) {
      ledger.use(program, kind, now);
    } else if (!isNew) {
      ledger.drop(program);
    }
    return inputs;
  }

  /**
   * Decides on one request, and takes its token if it is granted.
   * @param held fraction of the rate that this replica grants, 0 to 1
   * @param beginsRequests number of requests that the program is expected to need, if this is its first one; 0 for a
   *   request of a running program
   * @param patienceMilliseconds time for which the request may wait; tokens are then taken in advance
   */
  take(
    quota: TenantQuota,
    held: HeldShare | number,
    beginsRequests: number,
    now: number,
    patienceMilliseconds = 0,
  ): QuotaDecision {
    const bucket = this.bucketOf(quota, typeof held === 'number' ? steadyShare(held) : held, now);
    const reservesProgram =
      beginsRequests > 0 &&
      fitsSeveralPrograms(
        bucket,
        beginsRequests * (typeof held === 'number' ? held : held.share),
        this.windowMilliseconds,
      );
    const missingTokens = Math.max(
      1 - bucket.tokens,
      reservesProgram && bucket.unreserved <= 0 ? -bucket.unreserved + 1 : 0,
    );
    const waitMilliseconds = refillMilliseconds(Math.max(0, missingTokens), bucket.ratePerSecond);
    if (waitMilliseconds > patienceMilliseconds) {
      return { granted: false, waitMilliseconds };
    }
    bucket.tokens -= 1;
    bucket.unreserved -= beginsRequests;
    return { granted: true, waitMilliseconds };
  }

  private bucketOf(quota: TenantQuota, held: HeldShare, now: number): Bucket {
    let bucket = this.buckets.get(quota.tenant);
    if (bucket === undefined) {
      this.evictIdle(now);
      bucket = emptyBucket(this.startedAt);
      this.buckets.set(quota.tenant, bucket);
    }
    const { share, ownShare, ownSince, since } = held;
    if (quota.version >= bucket.version) {
      bucket.version = quota.version;
      const { overshoot, slack } = this.allowance;
      const heldBack = HELD_BACK_MILLISECONDS / this.windowMilliseconds;
      const grantedOvershoot = Math.min(
        overshoot * OVERSHOOT_SHARE_GRANTED,
        Math.max(0, overshoot - heldBack),
      );
      bucket.fullRate = quota.ratePerSecond * (1 + grantedOvershoot);
      bucket.fullCapacity = quota.burst + slack * SLACK_SHARE_GRANTED;
    }
    // A share that was held by another member in the meantime comes back without its tokens.
    if (ownSince > bucket.filledAt) {
      bucket.tokens = Math.min(0, bucket.tokens);
      bucket.filledAt = Math.min(now, ownSince);
    }
    if (since > bucket.filledAt) {
      this.fill(bucket, ownShare, Math.min(now, since));
    }
    this.fill(bucket, share, now);
    this.divideSlack(bucket, share);
    return bucket;
  }

  /** Divides the slack between rate and capacity; what the rate gains in a window is paid with tokens. */
  private divideSlack(bucket: Bucket, share: number): void {
    const { slack } = this.allowance;
    const slackInRate = share > MAJOR_SHARE ? slack * SLACK_SHARE_GRANTED * SLACK_SHARE_OF_RATE : 0;
    const gain = Math.max(0, slackInRate - (bucket.slackInRate ?? slackInRate)) * share;
    if (gain === 0 || bucket.tokens > gain) {
      bucket.tokens -= gain;
      bucket.unreserved -= gain;
      bucket.slackInRate = slackInRate;
    }
    this.applyShare(bucket, share);
  }

  private applyShare(bucket: Bucket, share: number): void {
    const { slackInRate = 0, fullRate, fullCapacity } = bucket;
    const slackRate = (slackInRate * MILLISECONDS_IN_SECOND) / this.windowMilliseconds;
    bucket.ratePerSecond = (fullRate + slackRate) * share;
    bucket.capacity = Math.max(1, (fullCapacity - slackInRate) * share);
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens);
  }

  /** Adds the tokens of the time since the last fill, at a share that was held throughout. */
  private fill(bucket: Bucket, share: number, until: number): void {
    this.applyShare(bucket, share);
    const refilledTokens =
      (Math.max(0, until - bucket.filledAt) * bucket.ratePerSecond) / MILLISECONDS_IN_SECOND;
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + refilledTokens);
    const maximumUnreserved = bucket.capacity + bucket.ratePerSecond * RESERVATION_SECONDS;
    bucket.unreserved = Math.min(maximumUnreserved, bucket.unreserved + refilledTokens);
    bucket.filledAt = Math.max(bucket.filledAt, until);
  }

  private evictIdle(now: number): void {
    if (this.buckets.size < IDLE_SWEEP_THRESHOLD) {
      return;
    }
    for (const [tenant, { filledAt }] of this.buckets) {
      if (now - filledAt > IDLE_TENANT_MILLISECONDS) {
        this.buckets.delete(tenant);
      }
    }
  }
}

const NO_ALLOWANCE: QuotaAllowance = { overshoot: 0, slack: 0 };

/** A share that was never held by another member. */
function steadyShare(share: number): HeldShare {
  const always = { ownSince: -Infinity, since: -Infinity, waitMilliseconds: 0, home: '' };
  return { ...always, share, ownShare: share };
}

function emptyBucket(filledAt: number): Bucket {
  const unconfigured = {
    version: -1,
    fullRate: 0,
    fullCapacity: 0,
    slackInRate: undefined,
    ratePerSecond: 0,
    capacity: 0,
  };
  return {
    ...unconfigured,
    tokens: 0,
    unreserved: 0,
    filledAt,
    ledger: new ProgramLedger(),
    waiting: new WaitingPrograms(),
  };
}

/** Whether a bucket fits several programs per window, each with the given number of requests at this member. */
function fitsSeveralPrograms(
  { ratePerSecond, capacity }: Bucket,
  requestsHere: number,
  windowMilliseconds: number,
): boolean {
  const requestsInWindow = (ratePerSecond * windowMilliseconds) / MILLISECONDS_IN_SECOND + capacity;
  return requestsHere * MINIMUM_PROGRAMS <= requestsInWindow;
}

/** The part of a decision that depends on the tokens and on the programs in progress. */
type TokenDecision = QuotaDecision & Pick<ProgramDecision, 'reason' | 'reserved' | 'needed'>;

/** Programs in progress use all tokens that there are, and may wait for further ones. */
function decideInProgress(bucket: Bucket, patienceMilliseconds: number): TokenDecision {
  const waitMilliseconds = refillMilliseconds(Math.max(0, 1 - bucket.tokens), bucket.ratePerSecond);
  const granted = waitMilliseconds <= patienceMilliseconds;
  const reason = granted ? 'inProgress' : 'exhausted';
  return { granted, waitMilliseconds, reason, reserved: 0, needed: 0 };
}

/** Returns the requests that a need comprises within a time from now. */
function needWithin(need: ProgramNeed, milliseconds: number): number {
  return need.requests * Math.min(1, milliseconds / need.milliseconds);
}

/** A new program starts if the tokens suffice for all of it beside what the programs in progress still need. */
function decideNewProgram(bucket: Bucket, request: ProgramRequest, now: number): TokenDecision {
  const { tokens, capacity, ratePerSecond, ledger, waiting } = bucket;
  const { program, kind, rank, assumedRequests } = request;
  const need = ledger.needOf(kind, assumedRequests);
  const outstanding = ledger.outstanding(now);
  const reserved = outstanding.reduce((sum, { requests }) => sum + requests, 0);
  const inputs = { reserved, needed: need.requests };
  const ahead = waiting.requestsAhead(program, rank, now);
  const isIdle = outstanding.length === 0 && ahead === 0;
  if (isIdle && tokens >= Math.min(need.requests, capacity * IDLE_TOKENS_SHARE)) {
    waiting.admit(program, rank, now);
    return { ...inputs, granted: true, waitMilliseconds: 0, reason: 'fits' };
  }
  const missing = CHECKPOINTS.map((checkpoint) => {
    const milliseconds = need.milliseconds * checkpoint;
    const others = outstanding.reduce((sum, each) => sum + needWithin(each, milliseconds), 0);
    const refilled = (ratePerSecond * milliseconds) / MILLISECONDS_IN_SECOND;
    return needWithin(need, milliseconds) + others + ahead - tokens - refilled;
  });
  const mostMissing = Math.max(1 - tokens, ...missing);
  if (mostMissing <= 0) {
    waiting.admit(program, rank, now);
    return { ...inputs, granted: true, waitMilliseconds: 0, reason: 'fits' };
  }
  const waitMilliseconds = waiting.refuse(
    program,
    rank,
    need.requests,
    refillMilliseconds(mostMissing, ratePerSecond),
    refillMilliseconds(need.requests, ratePerSecond),
    now,
  );
  return { ...inputs, granted: false, waitMilliseconds, reason: 'noRoom' };
}

function refillMilliseconds(tokens: number, ratePerSecond: number): number {
  if (tokens === 0) {
    return 0;
  }
  return ratePerSecond > 0
    ? (tokens / ratePerSecond) * MILLISECONDS_IN_SECOND
    : MILLISECONDS_IN_SECOND;
}
