/** Decides, after a try failed, whether and where the request may be tried again. */
import type { RunnerIncarnation } from '../runners/runner.js';

/** What is known of one call's tries. */
export interface AttemptHistory {
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Most runners that may be sent the request. */
  readonly maximumAttempts: number;
  /** Runners that were sent it and may still be there. */
  readonly sentTo: ReadonlySet<RunnerIncarnation>;
  /** Tries so far, those that never left included. */
  readonly attemptCount: number;
  /** Whether any try may have run. */
  readonly mayHaveRun: boolean;
}

/** Most tries of one request, whatever became of them. */
export const MAXIMUM_TOTAL_ATTEMPTS = 5;

/** Whether another try may be made at all. */
export function mayRetry(history: AttemptHistory): boolean {
  if (history.attemptCount >= MAXIMUM_TOTAL_ATTEMPTS) {
    return false;
  }
  return history.mayRepeat || !history.mayHaveRun;
}

/** Whether a try may go to a runner. */
export function maySendTo(history: AttemptHistory, runner: RunnerIncarnation): boolean {
  return history.sentTo.has(runner) || history.sentTo.size < history.maximumAttempts;
}
