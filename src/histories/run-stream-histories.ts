/** Runs many stream histories and sums up their results. */
import { runStreamHistory } from './stream-history.js';

/** Summed results of many histories. */
export interface StreamHistoriesResult {
  readonly histories: number;
  readonly gateways: number;
  readonly streams: number;
  readonly resumptions: number;
  readonly resumed: number;
  /** Resumptions that no recent fault excuses, and how many of them went on. */
  readonly dueResumptions: number;
  readonly dueResumed: number;
  readonly violations: readonly { readonly seed: number; readonly details: readonly string[] }[];
}

/** Runs the histories of all seeds from the first to the last, both included. */
export function runStreamHistories(
  firstSeed: number,
  lastSeed: number,
  gateways: number,
): StreamHistoriesResult {
  const sum = { streams: 0, resumptions: 0, resumed: 0, dueResumptions: 0, dueResumed: 0 };
  const violations: { seed: number; details: readonly string[] }[] = [];
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    const history = runStreamHistory(seed, { gateways });
    sum.streams += history.streams;
    sum.resumptions += history.resumptions;
    sum.resumed += history.resumed;
    sum.dueResumptions += history.dueResumptions;
    sum.dueResumed += history.dueResumed;
    if (history.violations.length > 0) {
      violations.push({ seed, details: history.violations });
    }
  }
  return { histories: lastSeed - firstSeed + 1, gateways, ...sum, violations };
}
