/** Plays many histories of configuration and sums up what they showed. */
import { runConfigurationHistory } from './configuration-history.js';
import type { InjectedConfigurationFault } from './configuration-history.js';
import { planConfigurationHistory } from './configuration-plan.js';
import type { ConfigurationPlan, ConfigurationFault } from './configuration-plan.js';

/** A history that broke a promise. */
export interface ConfigurationViolation {
  readonly seed: number;
  readonly details: readonly string[];
  /** The fewest troubles of its plan with which it still does. */
  readonly troubles: readonly ConfigurationFault[];
}

/** What many histories showed. */
export interface ConfigurationHistoriesResult {
  readonly histories: number;
  readonly gateways: number;
  readonly changes: number;
  /** Looks at gateways that were in touch. */
  readonly looks: number;
  readonly storeCalls: number;
  /** Times that each kind of trouble came. */
  readonly troubles: Readonly<Record<string, number>>;
  readonly violations: readonly ConfigurationViolation[];
}

/** Leaves out one trouble after another as long as the history still breaks a promise. */
export function minimizeFaults(
  seed: number,
  gateways: number,
  injectedFault?: InjectedConfigurationFault,
): ConfigurationPlan {
  let plan = planConfigurationHistory(seed);
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

/** Plays the histories of all seeds from the first to the last. */
export function runConfigurationHistories(
  firstSeed: number,
  lastSeed: number,
  gateways: number,
): ConfigurationHistoriesResult {
  const troubles: Record<string, number> = {};
  const sum = { changes: 0, looks: 0, storeCalls: 0 };
  const violations: ConfigurationViolation[] = [];
  for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
    const history = runConfigurationHistory(seed, { gateways });
    sum.changes += history.changes;
    sum.looks += history.looks;
    sum.storeCalls += history.storeCalls;
    for (const kind of history.faults) {
      troubles[kind] = (troubles[kind] ?? 0) + 1;
    }
    if (history.violations.length > 0) {
      const minimalFaults = minimizeFaults(seed, gateways).faults;
      violations.push({ seed, details: history.violations, troubles: minimalFaults });
    }
  }
  return { histories: lastSeed - firstSeed + 1, gateways, ...sum, troubles, violations };
}
