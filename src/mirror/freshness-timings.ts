/**
 * The times that decide how long a change of the store may stay unknown, worked out from the bound
 * within which a change must be in force. docs/design/freshness.md adds them up.
 */

/** Times in milliseconds. */
export interface FreshnessTimings {
  /** Time between two proofs that nothing newer is in the store. */
  readonly proofIntervalMilliseconds: number;
  /** Time that a watch has to bring a change that is known to be in the store. */
  readonly watchDeadlineMilliseconds: number;
  /** Time after which a short call without an answer counts as lost and another is sent beside it. */
  readonly hedgeDelayMilliseconds: number;
}

/** Bound where the platform names none, in milliseconds. */
export const DEFAULT_APPLY_BOUND_MILLISECONDS = 2_000;
/** Together these leave a tenth of a bound of two seconds to processes that are late. */
const PROOF_INTERVAL_SHARE = 1 / 5;
const WATCH_DEADLINE_SHARE = 1 / 8;
const HEDGE_DELAY_SHARE = 1 / 5;
/** Beyond these, shorter or longer times gain nothing; in milliseconds. */
const MINIMUM_MILLISECONDS = 100;
const MAXIMUM_MILLISECONDS = 1_000;

/** Time until a word of one gateway has reached all others, in milliseconds: two rounds of gossip. */
export const GOSSIP_DELAY_MILLISECONDS = 200;
/** Time by which a gateway waits for the one that comes before it, in milliseconds. */
export const RANK_DELAY_MILLISECONDS = 200;
/** Largest part of the time between two proofs that is drawn on top. */
export const PROOF_JITTER = 0.2;
/** Calls of a healthy store, a fetch from a peer and the pauses before it, in milliseconds. */
const CALLS_ALLOWANCE_MILLISECONDS = 250;

function boundedShare(bound: number, part: number): number {
  return Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, bound * part));
}

/** Times that fit a bound in milliseconds. */
export function freshnessTimingsFor(boundMilliseconds: number): FreshnessTimings {
  return {
    proofIntervalMilliseconds: boundedShare(boundMilliseconds, PROOF_INTERVAL_SHARE),
    watchDeadlineMilliseconds: boundedShare(boundMilliseconds, WATCH_DEADLINE_SHARE),
    hedgeDelayMilliseconds: boundedShare(boundMilliseconds, HEDGE_DELAY_SHARE),
  };
}

/**
 * Longest time in milliseconds from a change of a store that answers until it is in force everywhere,
 * with all watches hanging, the first of the rank refused, and one call lost on a dead connection.
 */
export function worstCaseApplyMilliseconds(timings: FreshnessTimings): number {
  const { proofIntervalMilliseconds, watchDeadlineMilliseconds, hedgeDelayMilliseconds } = timings;
  const untilProof = proofIntervalMilliseconds * (1 + PROOF_JITTER) + RANK_DELAY_MILLISECONDS;
  const untilList = GOSSIP_DELAY_MILLISECONDS + watchDeadlineMilliseconds;
  return untilProof + untilList + hedgeDelayMilliseconds + CALLS_ALLOWANCE_MILLISECONDS;
}
