/** Runs many histories of stored turns and token accounts and sums up their results. */
import { TURN_FAULTS, ZONE_FAULTS } from './turn-faults.js';
import type { TurnFault } from './turn-faults.js';
import { runTurnHistory } from './turn-history.js';
import type { TurnHistoryOptions } from './turn-history.js';

/** A violation of an invariant, with the seed that reproduces it. */
export interface TurnViolation {
  readonly seed: number;
  readonly detail: string;
}

/** Summed results of many histories. */
export interface TurnHistoriesResult {
  readonly histories: number;
  /** Number of turns whose storage was acknowledged. */
  readonly kept: number;
  /** Numbers of token reservations by outcome; the outcome of `unavailable` ones is unknown. */
  readonly granted: number;
  readonly refused: number;
  readonly unavailable: number;
  /** Number of faults by kind. */
  readonly faults: Readonly<Partial<Record<TurnFault, number>>>;
  readonly violations: readonly TurnViolation[];
}

/** Runs the histories of all seeds from the first to the last, both included. */
export function runTurnHistories(
  firstSeed: number,
  lastSeed: number,
  options: TurnHistoryOptions = {},
): TurnHistoriesResult {
  const kinds = options.spread === undefined ? TURN_FAULTS : [...TURN_FAULTS, ...ZONE_FAULTS];
  const faults = Object.fromEntries(kinds.map((fault) => [fault, 0]));
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
  return { histories, ...sum, faults, violations };
}
