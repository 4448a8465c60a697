/**
 * Timings that determine how long a change of the store may go unnoticed, derived from the bound
 * within which a change must be in force. docs/design/freshness.md adds them up.
 */

/** Timings derived from a bound, in milliseconds. */
export interface FreshnessTimings {
  /** Time between two proofs that the store holds nothing newer. */
  readonly proofIntervalMilliseconds: number;
  /** Time within which a watch must deliver a change that is known to be in the store. */
  readonly watchDeadlineMilliseconds: number;
  /**
   * Time after which a short call without an answer is presumed lost and another is sent beside it.
   */
  readonly hedgeDelayMilliseconds: number;
  /**
   * Age of the copy at which a gateway reads the store itself, whatever its rank. Until then, a
   * proof and the change have had their time to come through other gateways.
   */
  readonly maximumAgeMilliseconds: number;
}

/** Bound used if the platform sets none, in milliseconds. */
export const DEFAULT_APPLY_BOUND_MILLISECONDS = 2_000;
/** Together, these shares leave a tenth of a bound of two seconds to processes that are late. */
const PROOF_INTERVAL_SHARE = 1 / 5;
const WATCH_DEADLINE_SHARE = 1 / 8;
const HEDGE_DELAY_SHARE = 1 / 5;
/** Limits of each timing, in milliseconds; beyond them, shorter or longer times bring nothing. */
const MINIMUM_MILLISECONDS = 100;
const MAXIMUM_MILLISECONDS = 1_000;

/**
 * Time until a message of one gateway has reached all others, in milliseconds: two rounds of
 * gossip.
 */
export const GOSSIP_DELAY_MILLISECONDS = 200;
/** Time for which a gateway waits for the one ranked before it, in milliseconds. */
export const RANK_DELAY_MILLISECONDS = 200;
/** Maximum random addition to the time between two proofs, as a share of it. */
export const PROOF_JITTER = 0.2;
/**
 * Allowance for calls to a healthy store, a fetch from a peer and the pauses before it, in
 * milliseconds.
 */
const CALLS_ALLOWANCE_MILLISECONDS = 250;

function boundedShare(bound: number, part: number): number {
  return Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, bound * part));
}

/** Returns the timings for a bound in milliseconds. */
export function freshnessTimingsFor(boundMilliseconds: number): FreshnessTimings {
  const proofIntervalMilliseconds = boundedShare(boundMilliseconds, PROOF_INTERVAL_SHARE);
  const watchDeadlineMilliseconds = boundedShare(boundMilliseconds, WATCH_DEADLINE_SHARE);
  const untilProof =
    proofIntervalMilliseconds * (1 + PROOF_JITTER) +
    RANK_DELAY_MILLISECONDS +
    GOSSIP_DELAY_MILLISECONDS;
  return {
    proofIntervalMilliseconds,
    watchDeadlineMilliseconds,
    hedgeDelayMilliseconds: boundedShare(boundMilliseconds, HEDGE_DELAY_SHARE),
    maximumAgeMilliseconds: untilProof + watchDeadlineMilliseconds,
  };
}

/**
 * Returns the longest time, in milliseconds, from a change until it is in force everywhere,
 * provided that the store answers. Until the copy reaches its maximum age, a proof and the change
 * come through other gateways, even if all watches are stalled and the first-ranked gateway is
 * refused. After it the gateway reads the store itself, and one call may be lost on a dead
 * connection. Nothing depends on other gateways.
 */
export function worstCaseApplyMilliseconds(timings: FreshnessTimings): number {
  const { maximumAgeMilliseconds, hedgeDelayMilliseconds } = timings;
  return maximumAgeMilliseconds + hedgeDelayMilliseconds + CALLS_ALLOWANCE_MILLISECONDS;
}
