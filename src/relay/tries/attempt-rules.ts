/** Rules on whether and where a request may be retried after a failed attempt. */
import type { RunnerIncarnation } from '../runners/runner.js';

/** The attempts of one call so far. */
export interface AttemptHistory {
  /** Whether the route allows the request to run more than once. */
  readonly mayRepeat: boolean;
  /** Largest number of runners to which the request may be sent. */
  readonly maximumAttempts: number;
  /** Runners to which the request was sent and that are not known to be down. */
  readonly sentTo: ReadonlySet<RunnerIncarnation>;
  /** Number of attempts so far, including those that were never sent. */
  readonly attemptCount: number;
  /** Whether a runner may have run the request. */
  readonly mayHaveRun: boolean;
}

/** Largest number of attempts of one request, however they ended. */
export const MAXIMUM_TOTAL_ATTEMPTS = 5;

/** Returns whether another attempt is allowed. */
export function mayRetry(history: AttemptHistory): boolean {
  if (history.attemptCount >= MAXIMUM_TOTAL_ATTEMPTS) {
    return false;
  }
  return history.mayRepeat || !history.mayHaveRun;
}

/** Returns whether the next attempt may use a runner. */
export function maySendTo(history: AttemptHistory, runner: RunnerIncarnation): boolean {
  return history.sentTo.has(runner) || history.sentTo.size < history.maximumAttempts;
}
