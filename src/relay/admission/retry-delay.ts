/**
 * Computes when a refused client should retry. Clients retry only a few times, so the delay ends no
 * earlier than a slot is expected to be free; clients that are refused together are spread by jitter.
 */

/**
 * Minimum delay, in milliseconds: after a shorter one, the load figures would still be the same.
 */
const MINIMUM_DELAY_MILLISECONDS = 100;
/** Maximum delay, in milliseconds: a prediction further ahead is not reliable. */
const MAXIMUM_DELAY_MILLISECONDS = 10_000;
/** Maximum delay as a share of the time that the request has left. */
const MAXIMUM_DELAY_SHARE = 1 / 3;
/** Subtracted from the maximum delay of a client for the round trip, in milliseconds. */
const ROUND_TRIP_SLACK_MILLISECONDS = 10;
/**
 * Ratio of the expected delay to the excess wait. Without new requests, the backlog is worked off
 * within the excess itself; the factor assumes that as much work arrives again meanwhile, halfway
 * between a burst that ends and one that continues.
 */
const EXCESS_FACTOR = 2;
/** Minimum of the random factor that the delay is multiplied by. */
const MINIMUM_JITTER_FACTOR = 0.5;
/**
 * Minimum of the expected delay of a program that waits for admission, in milliseconds: the time in
 * which load figures of other gateways change.
 */
const MINIMUM_PROGRAM_DELAY_MILLISECONDS = 400;
/**
 * Maximum of the random factor for programs, which return before the whole backlog is worked off:
 * one more refusal costs a request, while a program that returns too late occupies a slot in vain.
 */
const MAXIMUM_PROGRAM_JITTER_FACTOR = 0.75;

/**
 * Returns the retry delay in milliseconds.
 * @param excessMilliseconds by how much the predicted wait exceeds the acceptable one
 * @param requestRemainingMilliseconds time that the request has left
 * @param jitter random number from 0 to 1 that spreads clients
 */
export function computeRetryDelay(
  excessMilliseconds: number,
  requestRemainingMilliseconds: number,
  jitter: number,
): number {
  const excess = excessMilliseconds > 0 ? excessMilliseconds : 0;
  const expectedDelay = Math.max(MINIMUM_DELAY_MILLISECONDS, excess * EXCESS_FACTOR);
  const jitterFactor = MINIMUM_JITTER_FACTOR + (1 - MINIMUM_JITTER_FACTOR) * jitter;
  return Math.min(maximumDelay(requestRemainingMilliseconds), expectedDelay) * jitterFactor;
}

/** Returns the retry delay of a new program that was not admitted, in milliseconds; parameters as above. */
export function computeProgramRetryDelay(
  excessMilliseconds: number,
  requestRemainingMilliseconds: number,
  jitter: number,
): number {
  const excess = excessMilliseconds > 0 ? excessMilliseconds : 0;
  const expectedDelay = Math.max(MINIMUM_PROGRAM_DELAY_MILLISECONDS, excess);
  const jitterRange = MAXIMUM_PROGRAM_JITTER_FACTOR - MINIMUM_JITTER_FACTOR;
  const jitterFactor = MINIMUM_JITTER_FACTOR + jitterRange * jitter;
  return Math.min(maximumDelay(requestRemainingMilliseconds), expectedDelay) * jitterFactor;
}

function maximumDelay(requestRemainingMilliseconds: number): number {
  const clientLimit =
    requestRemainingMilliseconds * MAXIMUM_DELAY_SHARE - ROUND_TRIP_SLACK_MILLISECONDS;
  return clientLimit > 0 ? Math.min(MAXIMUM_DELAY_MILLISECONDS, clientLimit) : 0;
}
