/**
 * A replica's share of the tenants' quotas, as token buckets. Each member grants an equal share of each tenant's rate,
 * so the grants of all members add up to the rate regardless of network partitions. A program is admitted as a whole:
 * its first request reserves the number of requests that such a program is expected to need, and its further
 * requests only need tokens from the bucket.
 */

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

/** Whether a request may run. */
export interface QuotaDecision {
  readonly granted: boolean;
  /** When granted, the time until the request may run; otherwise the time until tokens are available. Milliseconds. */
  readonly waitMilliseconds: number;
}

const MILLISECONDS_IN_SECOND = 1_000;
/** Fraction of the overshoot that is granted; the rest is held back for members that were removed from the record. */
const OVERSHOOT_SHARE_GRANTED = 0.4;
/** Fraction of the slack that is granted, so that a few concurrent programs do not exceed a small limit. */
const SLACK_SHARE_GRANTED = 0.8;
/**
 * Number of programs that a limit must fit in one window for programs to be admitted as a whole. Below that, whole
 * admission rejects more programs than it saves from being cut off midway.
 */
const MINIMUM_PROGRAMS = 4;
/** Window in which programs are counted, in seconds. */
const WINDOW_SECONDS = 5;
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
  ratePerSecond: number;
  capacity: number;
  /** Number of requests that may run now. */
  tokens: number;
  /** Tokens not reserved for the expected requests of admitted programs. */
  unreserved: number;
  filledAt: number;
}

/** Grants requests from one token bucket per tenant. */
export class QuotaBuckets {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** Local time at which new buckets start filling from empty, in milliseconds; earlier grants are unknown. */
    private readonly startedAt: number,
    private readonly allowance: QuotaAllowance = NO_ALLOWANCE,
  ) {}

  /**
   * Decides on one request, and takes its token if it is granted.
   * @param share fraction of the rate that this replica grants, 0 to 1
   * @param beginsRequests number of requests that the program is expected to need, if this is its first one; 0 for a
   *   request of a running program
   * @param patienceMilliseconds time for which the request may wait; tokens are then taken in advance
   */
  take(
    quota: TenantQuota,
    share: number,
    beginsRequests: number,
    now: number,
    patienceMilliseconds = 0,
  ): QuotaDecision {
    const bucket = this.bucketOf(quota, share, now);
    const reservesProgram =
      beginsRequests > 0 && fitsSeveralPrograms(bucket, beginsRequests * share);
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

  private bucketOf(quota: TenantQuota, share: number, now: number): Bucket {
    let bucket = this.buckets.get(quota.tenant);
    if (bucket === undefined) {
      this.evictIdle(now);
      bucket = emptyBucket(this.startedAt);
      this.buckets.set(quota.tenant, bucket);
    }
    if (quota.version >= bucket.version) {
      bucket.version = quota.version;
      const { overshoot, slack } = this.allowance;
      bucket.ratePerSecond =
        quota.ratePerSecond * (1 + overshoot * OVERSHOOT_SHARE_GRANTED) * share;
      bucket.capacity = Math.max(1, (quota.burst + slack * SLACK_SHARE_GRANTED) * share);
    }
    const refilledTokens =
      (Math.max(0, now - bucket.filledAt) * bucket.ratePerSecond) / MILLISECONDS_IN_SECOND;
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + refilledTokens);
    const maximumUnreserved = bucket.capacity + bucket.ratePerSecond * RESERVATION_SECONDS;
    bucket.unreserved = Math.min(maximumUnreserved, bucket.unreserved + refilledTokens);
    bucket.filledAt = now;
    return bucket;
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

function emptyBucket(filledAt: number): Bucket {
  const unconfigured = { version: -1, ratePerSecond: 0, capacity: 0 };
  return { ...unconfigured, tokens: 0, unreserved: 0, filledAt };
}

/** Whether a bucket fits several programs per window, each with the given number of requests at this member. */
function fitsSeveralPrograms({ ratePerSecond, capacity }: Bucket, requestsHere: number): boolean {
  return requestsHere * MINIMUM_PROGRAMS <= ratePerSecond * WINDOW_SECONDS + capacity;
}

function refillMilliseconds(tokens: number, ratePerSecond: number): number {
  if (tokens === 0) {
    return 0;
  }
  return ratePerSecond > 0
    ? (tokens / ratePerSecond) * MILLISECONDS_IN_SECOND
    : MILLISECONDS_IN_SECOND;
}
