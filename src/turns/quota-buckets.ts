/**
 * A replica's part of the tenants' quotas. Each member of the record gives out an equal share of each
 * tenant's rate, so what all give out together is the rate, whoever asks and whatever is cut off from
 * whom. A program is let in as a whole: it is charged with the requests that such a program is expected
 * to need, and its further requests need only what is left of the rate itself.
 */

/** Limit of a tenant as a gateway knows it. */
export interface ToldQuota {
  readonly tenant: string;
  /** Version of the configuration it stands in: the newest one counts. */
  readonly version: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Whether a request may run. */
export interface QuotaDecision {
  readonly granted: boolean;
  /** Time until there is room here again, in milliseconds; 0 when granted. */
  readonly waitMilliseconds: number;
}

const MILLISECONDS_IN_SECOND = 1_000;
/** Weight of the newest program in the mean number of its requests. */
const PROGRAM_SHARE = 0.02;
/** Time without a request after which a tenant is forgotten, in milliseconds: any bucket is full by then. */
const FORGET_MILLISECONDS = 60_000;
/** Tenants beyond which idle ones are looked for. */
const MANY_TENANTS = 256;

interface Bucket {
  version: number;
  ratePerSecond: number;
  capacity: number;
  /** Requests that may run now. */
  tokens: number;
  /** The same, less what the programs that were let in are expected to need. */
  unpromised: number;
  filledAt: number;
  /** Mean number of requests that a program needs. */
  requestsPerProgram: number;
  /** Requests granted since a program was last let in. */
  requestsSinceProgram: number;
}

/** See the head of this file. */
export class QuotaBuckets {
  private readonly buckets = new Map<string, Bucket>();

  constructor(
    /** Local time since which this replica gives out tokens, in milliseconds: it remembers none before. */
    private readonly startedAt: number,
  ) {}

  /**
   * Decides on one request.
   * @param share part of the rate that is given out here, 0 to 1
   * @param isNewProgram whether it is the first of a program
   */
  take(quota: ToldQuota, share: number, isNewProgram: boolean, now: number): QuotaDecision {
    const bucket = this.bucketOf(quota, share, now);
    const lacking = Math.max(
      1 - bucket.tokens,
      isNewProgram && bucket.unpromised <= 0 ? -bucket.unpromised + 1 : 0,
    );
    if (lacking > 0) {
      return { granted: false, waitMilliseconds: waitFor(lacking, bucket.ratePerSecond) };
    }
    bucket.tokens -= 1;
    if (isNewProgram) {
      bucket.unpromised -= bucket.requestsPerProgram;
      this.learnProgram(bucket);
    }
    bucket.requestsSinceProgram += 1;
    return { granted: true, waitMilliseconds: 0 };
  }

  private learnProgram(bucket: Bucket): void {
    const seen = Math.max(1, bucket.requestsSinceProgram);
    bucket.requestsPerProgram += (seen - bucket.requestsPerProgram) * PROGRAM_SHARE;
    bucket.requestsSinceProgram = 0;
  }

  private bucketOf(quota: ToldQuota, share: number, now: number): Bucket {
    let bucket = this.buckets.get(quota.tenant);
    if (bucket === undefined) {
      this.forgetIdle(now);
      bucket = emptyBucket(this.startedAt);
      this.buckets.set(quota.tenant, bucket);
    }
    if (quota.version >= bucket.version) {
      bucket.version = quota.version;
      bucket.ratePerSecond = quota.ratePerSecond * share;
      bucket.capacity = Math.max(1, quota.burst * share);
    }
    const filled =
      (Math.max(0, now - bucket.filledAt) * bucket.ratePerSecond) / MILLISECONDS_IN_SECOND;
    bucket.tokens = Math.min(bucket.capacity, bucket.tokens + filled);
    bucket.unpromised = Math.min(bucket.capacity, bucket.unpromised + filled);
    bucket.filledAt = now;
    return bucket;
  }

  private forgetIdle(now: number): void {
    if (this.buckets.size < MANY_TENANTS) {
      return;
    }
    for (const [tenant, { filledAt }] of this.buckets) {
      if (now - filledAt > FORGET_MILLISECONDS) {
        this.buckets.delete(tenant);
      }
    }
  }
}

function emptyBucket(filledAt: number): Bucket {
  const unlimited = { version: -1, ratePerSecond: 0, capacity: 0 };
  const counts = { requestsPerProgram: 1, requestsSinceProgram: 0 };
  return { ...unlimited, ...counts, tokens: 0, unpromised: 0, filledAt };
}

function waitFor(tokens: number, ratePerSecond: number): number {
  return ratePerSecond > 0
    ? (tokens / ratePerSecond) * MILLISECONDS_IN_SECOND
    : MILLISECONDS_IN_SECOND;
}
