/**
 * When a refused client should come back. Each return costs a client one of its few tries, so it is told to come
 * when room is expected and not before; clients that were refused together are spread.
 */

/** Least pause: a shorter one only repeats the question before loads are told anew, in milliseconds. */
const MINIMUM_DELAY_MILLISECONDS = 100;
/** Longest pause: load changes within it, whatever is expected, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 10_000;
/** Clients wait for no longer than this share of the time that their request has left. */
const MAXIMUM_DELAY_SHARE = 1 / 3;
/** Below what a client waits at most, so that the way there and back doesn't carry it beyond. */
const ROUND_TRIP_SLACK_MILLISECONDS = 10;
/**
 * What is too much is worked off within the excess itself only when nothing new comes; that as much again comes
 * meanwhile is the middle between a burst that ends and one that goes on.
 */
const EXCESS_FACTOR = 2;
/** Least part of a pause that is told: the rest is drawn. */
const MINIMUM_JITTER_FACTOR = 0.5;

/**
 * The pause in milliseconds.
 * @param excessMilliseconds by how much the wait for a place exceeds what can be borne
 * @param requestRemainingMilliseconds time that the request has left
 * @param jitter from 0 to 1: spreads clients
 */
export function computeRetryDelay(
  excessMilliseconds: number,
  requestRemainingMilliseconds: number,
  jitter: number,
): number {
  const clientLimit =
    requestRemainingMilliseconds * MAXIMUM_DELAY_SHARE - ROUND_TRIP_SLACK_MILLISECONDS;
  const maximumDelay = clientLimit > 0 ? Math.min(MAXIMUM_DELAY_MILLISECONDS, clientLimit) : 0;
  const excess = excessMilliseconds > 0 ? excessMilliseconds : 0;
  const expectedDelay = Math.max(MINIMUM_DELAY_MILLISECONDS, excess * EXCESS_FACTOR);
  const jitterFactor = MINIMUM_JITTER_FACTOR + (1 - MINIMUM_JITTER_FACTOR) * jitter;
  return Math.min(maximumDelay, expectedDelay) * jitterFactor;
}
