/**
 * Policies that know all requests of each program in advance: a program is admitted if all of its requests fit together
 * with those of the programs admitted before it.
 */
import type { LoadedTenant, PlannedProgram } from './quota-load.js';

const MILLISECONDS_IN_SECOND = 1_000;
const WINDOW_MILLISECONDS = 5_000;

/** A tenant's limit from a time on. */
export interface LimitChange {
  readonly at: number;
  /** Factor on the rate and the burst. */
  readonly factor: number;
}

/** Whether requests at the given ascending times may all run. */
type Fits = (times: readonly number[], tenant: LoadedTenant, change: LimitChange) => boolean;

/** The configured rate and burst as a token bucket, with nothing beyond them. */
const fitsLimit: Fits = (times, tenant, change) => {
  let tokens = tenant.burst;
  let filledAt = 0;
  return times.every((at) => {
    const factor = at >= change.at ? change.factor : 1;
    const refilled = ((at - filledAt) * tenant.ratePerSecond * factor) / MILLISECONDS_IN_SECOND;
    tokens = Math.min(Math.max(1, tenant.burst * factor), tokens + refilled) - 1;
    filledAt = at;
    return tokens >= 0;
  });
};

/** Returns the largest number of requests in a window that ends at a time, with the allowed excess. */
export function hardLimitOf(tenant: LoadedTenant, factor: number): number {
  const { ratePerSecond, burst } = tenant;
  return (
    ((ratePerSecond * WINDOW_MILLISECONDS) / MILLISECONDS_IN_SECOND + burst) * factor * 1.1 + 20
  );
}

/** The hard limit in every window. */
const fitsHardLimit: Fits = (times, tenant, change) => {
  let first = 0;
  return times.every((at, index) => {
    while (times[first]! <= at - WINDOW_MILLISECONDS) {
      first += 1;
    }
    return index - first + 1 <= hardLimitOf(tenant, at >= change.at ? change.factor : 1);
  });
};

/** What the policy may use: the limit as configured, or all that the platform tolerates. */
export const CLAIRVOYANT_LIMITS = { limit: fitsLimit, hardLimit: fitsHardLimit } as const;

/** Returns the programs that the policy completes, of one tenant's programs in the order of their starts. */
export function clairvoyantPrograms(
  programs: readonly PlannedProgram[],
  tenant: LoadedTenant,
  change: LimitChange,
  fits: Fits,
): PlannedProgram[] {
  let admittedTimes: number[] = [];
  return programs.filter(({ startsAt, requests }) => {
    const own = requests.map(({ offsetMilliseconds }) => startsAt + offsetMilliseconds);
    const times = [...admittedTimes, ...own].sort((left, right) => left - right);
    if (!fits(times, tenant, change)) {
      return false;
    }
    admittedTimes = times;
    return true;
  });
}
