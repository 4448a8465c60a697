/** What one try showed of whether its runner works, apart from how fast it is. */
import type { FailureCounts, RunnerEvidence } from './runner-evidence.js';
import type { RunnerStanding } from './runner-standing.js';

/** How a try ended for the runner. */
export type TryOutcome =
  /** A whole answer. */
  | 'Answered'
  /** Lost, cut, not signed, a server's error, or the answer of another request. */
  | 'Failed'
  /** Provably not run: another runner may take it, so it costs the caller little. */
  | 'Refused'
  /** Nothing came for far longer than is usual. */
  | 'Silent';

/** How much of a failure each outcome is. */
const FAILURE_BY_OUTCOME: Readonly<Record<TryOutcome, number>> = {
  Answered: 0,
  Failed: 1,
  Refused: 0.75,
  Silent: 1,
};

/**
 * Evidence of one outcome: of a trial where the runner is out, of none where it was sent before that.
 * @param sentAt local time at which the try was sent, in milliseconds
 */
export function weighOutcome(
  outcome: TryOutcome,
  standing: RunnerStanding,
  sentAt: number,
): Partial<RunnerEvidence> {
  const counts: FailureCounts = { requests: 1, failures: FAILURE_BY_OUTCOME[outcome] };
  if (standing.tag !== 'Out') {
    return { usual: counts };
  }
  return sentAt >= standing.since ? { trials: counts } : {};
}
