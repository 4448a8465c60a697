/** Plays many histories of configuration and sums up what they showed. */
import { runConfigurationHistory } from './configuration-history.js';
import type { PlantedConfigurationFault } from './configuration-history.js';
import { planConfigurationHistory } from './configuration-plan.js';
import type { ConfigurationPlan, ConfigurationTrouble } from './configuration-plan.js';

/** A history that broke a promise. */
export interface ConfigurationViolation {
  readonly seed: number;
  readonly details: readonly string[];
  /** The fewest troubles of its plan with which it still does. */
  readonly troubles: readonly ConfigurationTrouble[];
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
export function fewestTroubles(
  seed: number,
  gateways: number,
  planted?: PlantedConfigurationFault,
): ConfigurationPlan {
  let plan = planConfigurationHistory(seed);
  for (const trouble of plan.troubles) {
    const fewer = { ...plan, troubles: plan.troubles.filter((each) => each !== trouble) };
    const options = { gateways, plan: fewer, ...(planted === undefined ? {} : { planted }) };
    if (runConfigurationHistory(seed, options).violations.length > 0) {
      plan = fewer;
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
    for (const kind of history.troubles) {
      troubles[kind] = (troubles[kind] ?? 0) + 1;
    }
    if (history.violations.length > 0) {
      const fewest = fewestTroubles(seed, gateways).troubles;
      violations.push({ seed, details: history.violations, troubles: fewest });
    }
  }
  return { histories: lastSeed - firstSeed + 1, gateways, ...sum, troubles, violations };
}
