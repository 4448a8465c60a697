/** Plays many histories of kept turns and token accounts and sums up what they showed. */
import { TURN_FAULTS } from './turn-faults.js';
import type { TurnFault } from './turn-faults.js';
import { runTurnHistory } from './turn-history.js';
import type { TurnHistoryOptions } from './turn-history.js';

/** A promise that was broken, with the seed that plays it again. */
export interface TurnViolation {
  readonly seed: number;
  readonly detail: string;
}

/** What many histories showed. */
export interface TurnHistoriesResult {
  readonly histories: number;
  /** Turns that were kept, tokens' reservations that were granted, refused, or could not be told. */
  readonly kept: number;
  readonly granted: number;
  readonly refused: number;
  readonly unavailable: number;
  /** Times that each kind of fault struck. */
  readonly faults: Readonly<Record<TurnFault, number>>;
  readonly violations: readonly TurnViolation[];
}

/** Plays the histories of all seeds from the first to the last. */
export function runTurnHistories(
  firstSeed: number,
  lastSeed: number,
  options: TurnHistoryOptions = {},
): TurnHistoriesResult {
  const faults = Object.fromEntries(TURN_FAULTS.map((fault) => [fault, 0]));
  const sum = { kept: 0, granted: 0, refused: 0, unavailable: 0 };
  const violations: TurnViolation[] = [];
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    const history = runTurnHistory(seed, options);
    sum.kept += history.kept;
    sum.granted += history.granted;
    sum.refused += history.refused;
    sum.unavailable += history.unavailable;
    for (const fault of history.faults) {
      faults[fault] = (faults[fault] ?? 0) + 1;
    }
    violations.push(...history.violations.map((detail) => ({ seed, detail })));
  }
  const histories = lastSeed - firstSeed + 1;
  return { histories, ...sum, faults: faults as Record<TurnFault, number>, violations };
}
