/**
 * A replica's part of the tenants' quotas. Each member of the record gives out an equal share of each
 * tenant's rate, so what all give out together is the rate, whoever asks and whatever is cut off from
 * whom. A program is let in as a whole: it is charged with the requests that such a program is expected
 * to need, and its further requests need only what is left of the rate itself.
 */

/** Limit of a tenant as a gateway knows it. */
export interface TenantQuota {
  readonly tenant: string;
  /** Version of the configuration it stands in: the newest one counts. */
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/**
 * What the platform lets all members together give out beyond a tenant's limit in one window. Most of it
 * is used up by what can't be helped: a member that is out of the record goes on for a moment.
 */
export interface QuotaAllowance {
  /** Part of the rate, such as 0.1. */
  readonly overshoot: number;
  /** Requests. */
  readonly slack: number;
}

/** Whether a request may run. */
export interface QuotaDecision {
  readonly granted: boolean;
  /** Granted: time after which it may run; else time until there is room here again; in milliseconds. */
  readonly waitMilliseconds: number;
}

const MILLISECONDS_IN_SECOND = 1_000;
/** Part of the overshoot that is given out; 0.06 of a rate is kept for a member that was taken out. */
const OVERSHOOT_SHARE_GRANTED = 0.4;
/** Part of the slack that is given out, so that few programs at once don't exceed a small limit. */
const SLACK_SHARE_GRANTED = 0.8;
/**
 * Programs that a limit must hold in one window for them to be counted as wholes: where it holds fewer,
 * more are refused by that than are broken off without it.
 */
const MINIMUM_PROGRAMS = 4;
/** Window over which that is told, in seconds. */
const WINDOW_SECONDS = 5;
/** Time over which a program's requests come, in seconds: what is promised may exceed what is there by so much. */
const RESERVATION_SECONDS = 2;
/** Time without a request after which a tenant is forgotten, in milliseconds: any bucket is full by then. */
const IDLE_TENANT_MILLISECONDS = 60_000;
/** Tenants beyond which idle ones are looked for. */
const IDLE_SWEEP_THRESHOLD = 256;

interface Bucket {
  version: number;
  ratePerSecond: number;
  capacity: number;
  /** Requests that may run now. */
  tokens: number;
  /** The same, less what the programs that were let in are expected to need. */
  unreserved: number;
  filledAt: number;
}

/** See the head of this file. */
export class QuotaBuckets {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** Local time since which this replica gives out tokens, in milliseconds: it remembers none before. */
    private readonly startedAt: number,
    private readonly allowance: QuotaAllowance = NO_ALLOWANCE,
  ) {}

  /**
   * Decides on one request.
   * @param share part of the rate that is given out here, 0 to 1
   * @param beginsRequests requests that the program is expected to need which begins with it; 0 for a
   *   request of a program under way
   * @param patienceMilliseconds time for which it may be held: it is then granted ahead of what comes in
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
  const unlimited = { version: -1, ratePerSecond: 0, capacity: 0 };
  return { ...unlimited, tokens: 0, unreserved: 0, filledAt };
}

/** Whether a limit has room for several programs, each taking so many requests of this member's share. */
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
