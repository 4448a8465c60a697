/**
 * How much the requests of a runner speak for its failing more than its peers do: the logarithm of the
 * likelihood ratio of a failing runner to a usual one, as sequential tests add it up (Wald).
 */
import type { FailureCounts } from './runner-evidence.js';

/** Share of failures that is expected of a runner at least: chance failures are no fault. */
const LEAST_USUAL_SHARE = 0.02;
/** Share of failures from which a runner costs its callers more than another place for it would. */
const FAILING_SHARE = 0.15;
/** A failing runner fails so many times as often as its peers. */
const FAILING_RATIO = 3;
/** Most that is expected of a usual or a failing runner: a service that fails throughout has no outliers. */
const MOST_SHARE = 0.95;
/** Requests of a usual runner that are added to each count, so that the first failure isn't a rate of one. */
const PRIOR_REQUESTS = 2;
/** Fewest requests of a runner that counts among the peers. */
const LEAST_REQUESTS = 1;

function shareOf({ requests, failures }: FailureCounts): number {
  return (failures + PRIOR_REQUESTS * LEAST_USUAL_SHARE) / (requests + PRIOR_REQUESTS);
}

/** Share of failures of the runner in the middle: four of ten that fail don't move it. */
export function usualFailureShare(counts: readonly FailureCounts[]): number {
  const shares = counts
    .filter(({ requests }) => requests >= LEAST_REQUESTS)
    .map(shareOf)
    .sort((left, right) => left - right);
  const middle = shares[Math.floor((shares.length - 1) / 2)] ?? LEAST_USUAL_SHARE;
  return Math.min(MOST_SHARE, Math.max(LEAST_USUAL_SHARE, middle));
}

/** Logarithm of the likelihood ratio; above 0 the counts speak for a failing runner. */
export function failureScore({ requests, failures }: FailureCounts, usualShare: number): number {
  const failing = Math.min(MOST_SHARE, Math.max(FAILING_SHARE, usualShare * FAILING_RATIO));
  const answered = Math.max(0, requests - failures);
  return (
    failures * Math.log(failing / usualShare) +
    answered * Math.log((1 - failing) / (1 - usualShare))
  );
}
