/** Runs many configuration histories and sums up their results. */
import { runConfigurationHistory } from './configuration-history.js';
import type { InjectedConfigurationFault } from './configuration-history.js';
import { planConfigurationHistory } from './configuration-plan.js';
import type { ConfigurationPlan, ConfigurationFault } from './configuration-plan.js';

/** A history that violated an invariant. */
export interface ConfigurationViolation {
  readonly seed: number;
  readonly details: readonly string[];
  /** Reduced list of its faults with which it still violates one. */
  readonly troubles: readonly ConfigurationFault[];
}

/** Summed results of many histories. */
export interface ConfigurationHistoriesResult {
  readonly histories: number;
  readonly gateways: number;
  readonly changes: number;
  /** Number of checks of single gateways; exempt gateways are not counted. */
  readonly looks: number;
  readonly storeCalls: number;
  /** Number of faults by kind. */
  readonly troubles: Readonly<Record<string, number>>;
  readonly violations: readonly ConfigurationViolation[];
}

/** Draws the plan of a seed. */
export type DrawConfigurationPlan = (seed: number) => ConfigurationPlan;

/** Returns the plan of a seed without the faults that its violation does not need, tried one after another. */
export function minimizeFaults(
  seed: number,
  gateways: number,
  injectedFault?: InjectedConfigurationFault,
  drawPlan: DrawConfigurationPlan = planConfigurationHistory,
): ConfigurationPlan {
  let plan = drawPlan(seed);
  for (const fault of plan.faults) {
    const reducedPlan = { ...plan, faults: plan.faults.filter((each) => each !== fault) };
    const options = {
      gateways,
      plan: reducedPlan,
      ...(injectedFault === undefined ? {} : { injectedFault }),
    };
    if (runConfigurationHistory(seed, options).violations.length > 0) {
      plan = reducedPlan;
    }
  }
  return plan;
}

/** Runs the histories of all seeds from the first to the last, both included. */
export function runConfigurationHistories(
  firstSeed: number,
  lastSeed: number,
  gateways: number,
  drawPlan: DrawConfigurationPlan = planConfigurationHistory,
): ConfigurationHistoriesResult {
  const troubles: Record<string, number> = {};
  const sum = { changes: 0, looks: 0, storeCalls: 0 };
  const violations: ConfigurationViolation[] = [];
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    const history = runConfigurationHistory(seed, { gateways, plan: drawPlan(seed) });
    sum.changes += history.changes;
    sum.looks += history.looks;
    sum.storeCalls += history.storeCalls;
    for (const kind of history.faults) {
      troubles[kind] = (troubles[kind] ?? 0) + 1;
    }
    if (history.violations.length > 0) {
      const minimalFaults = minimizeFaults(seed, gateways, undefined, drawPlan).faults;
      violations.push({ seed, details: history.violations, troubles: minimalFaults });
    }
  }
  return { histories: lastSeed - firstSeed + 1, gateways, ...sum, troubles, violations };
}
