/** Runs many histories and sums up their results; reduces the faults of a failing seed. */
import fc from 'fast-check';
import { createRandom } from '../runtime/random.js';
import { planFaults } from './fault-plan.js';
import type { PlannedFault } from './fault-plan.js';
import { BUSY_MILLISECONDS, runHistory } from './run-history.js';

/** A violation of an invariant, with the seed that reproduces it. */
export interface SeedViolation {
  readonly seed: number;
  readonly condition: string;
  readonly detail: string;
}

/** Summed results of many histories. */
export interface HistoriesResult {
  readonly histories: number;
  readonly calls: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly results: Readonly<Record<string, number>>;
  readonly violations: readonly SeedViolation[];
  readonly historiesPerSecond: number;
}

/** Runs the histories of all seeds from the first to the last, both included. */
export function runHistories(firstSeed: number, lastSeed: number): HistoriesResult {
  const started = process.hrtime.bigint();
  const faults: Record<string, number> = {};
  const results: Record<string, number> = {};
  const violations: SeedViolation[] = [];
  let calls = 0;
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    const result = runHistory(seed);
    calls += result.calls;
    for (const [kind, count] of result.faults) {
      faults[kind] = (faults[kind] ?? 0) + count;
    }
    for (const { result: ended } of result.run.calls) {
      const name =
        ended.type === 'failed' ? `${ended.error.tag}:${ended.error.verdict}` : ended.type;
      results[name] = (results[name] ?? 0) + 1;
    }
    violations.push(...result.violations.map((violation) => ({ seed, ...violation })));
  }
  const seconds = Number(process.hrtime.bigint() - started) / 1e9;
  const histories = lastSeed - firstSeed + 1;
  const historiesPerSecond = Math.round((histories / seconds) * 10) / 10;
  return { histories, calls, faults, results, violations, historiesPerSecond };
}

/** Shrinks the faults of a failing seed with `fast-check` to a smaller set with which it still fails. */
export function shrinkFaults(seed: number): readonly PlannedFault[] {
  const planned = planFaults(createRandom(seed, 'faults'), BUSY_MILLISECONDS);
  const details = fc.check(
    fc.property(fc.subarray(planned, { minLength: 0 }), (faults) => {
      return runHistory(seed, faults).violations.length === 0;
    }),
    { seed, numRuns: 2 ** Math.min(planned.length, 5), examples: [[planned]] },
  );
  return details.counterexample?.[0] ?? planned;
}
