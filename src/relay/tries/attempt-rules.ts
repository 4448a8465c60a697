/** Decides, after a try failed, whether and where the request may be tried again. */
import type { RunnerLife } from '../runners/runner.js';

/** What is known of one call's tries. */
export interface TryHistory {
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Most runners that may be sent the request. */
  readonly maximumAttempts: number;
  /** Runners that were sent it and may still be there. */
  readonly sentTo: ReadonlySet<RunnerLife>;
  /** Tries so far, those that never left included. */
  readonly tries: number;
  /** Whether any try may have run. */
  readonly mayHaveRun: boolean;
}

/** Most tries of one request, whatever became of them. */
export const MAXIMUM_TRIES = 5;

/** Whether another try may be made at all. */
export function mayTryAgain(history: TryHistory): boolean {
  if (history.tries >= MAXIMUM_TRIES) {
    return false;
  }
  return history.mayRepeat || !history.mayHaveRun;
}

/** Whether a try may go to a runner. */
export function maySendTo(history: TryHistory, runner: RunnerLife): boolean {
  return history.sentTo.has(runner) || history.sentTo.size < history.maximumAttempts;
}
