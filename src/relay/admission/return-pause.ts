/**
 * When a refused client should come back. Each return costs a client one of its few tries, so it is told to come
 * when room is expected and not before; clients that were refused together are spread.
 */

/** Least pause: a shorter one only repeats the question before loads are told anew, in milliseconds. */
const LEAST_MILLISECONDS = 100;
/** Longest pause: load changes within it, whatever is expected, in milliseconds. */
const LONGEST_MILLISECONDS = 10_000;
/** Clients wait for no longer than this share of the time that their request has left. */
const WAITED_SHARE = 1 / 3;
/** Below what a client waits at most, so that the way there and back doesn't carry it beyond. */
const SLACK_MILLISECONDS = 10;
/**
 * What is too much is worked off within the excess itself only when nothing new comes; that as much again comes
 * meanwhile is the middle between a burst that ends and one that goes on.
 */
const EXPECTED_TIMES_EXCESS = 2;
/** Least part of a pause that is told: the rest is drawn. */
const LEAST_DRAWN = 0.5;

/**
 * The pause in milliseconds.
 * @param excessMilliseconds by how much the wait for a place exceeds what can be borne
 * @param requestMilliseconds time that the request has left
 * @param drawn from 0 to 1: spreads clients
 */
export function pauseUntilRoom(
  excessMilliseconds: number,
  requestMilliseconds: number,
  drawn: number,
): number {
  const waited = requestMilliseconds * WAITED_SHARE - SLACK_MILLISECONDS;
  const most = waited > 0 ? Math.min(LONGEST_MILLISECONDS, waited) : 0;
  const excess = excessMilliseconds > 0 ? excessMilliseconds : 0;
  const expected = Math.max(LEAST_MILLISECONDS, excess * EXPECTED_TIMES_EXCESS);
  const spread = LEAST_DRAWN + (1 - LEAST_DRAWN) * drawn;
  return Math.min(most, expected) * spread;
}
