/** Plans of configuration histories: what the operator changes and which troubles come, by the seed. */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';

/** Kinds of troubles. */
export const CONFIGURATION_FAULT_KINDS = [
  'storeSilent',
  'storeRefuses',
  'storeSlow',
  'pathsSilent',
  'pathsRefused',
  'connectionsDie',
  'historyLost',
  'oldLists',
  'gatewaysKilled',
  'gatewaysFrozen',
  'gatewaysCut',
  'messagesLost',
  'allKilled',
] as const;

/** One of these. */
export type ConfigurationFaultKind = (typeof CONFIGURATION_FAULT_KINDS)[number];

/** A trouble; times in milliseconds. */
export interface ConfigurationFault {
  readonly kind: ConfigurationFaultKind;
  readonly at: number;
  readonly lasts: number;
  /** Part of the gateways that it strikes, 0 to 1. */
  readonly share: number;
}

/** A change that the operator or a runner makes at a time, in milliseconds. */
export interface PlannedChange {
  readonly at: number;
  readonly what: 'configuration' | 'runnerComes' | 'runnerLeaves';
}

/** All that happens in a history. */
export interface ConfigurationPlan {
  readonly changes: readonly PlannedChange[];
  readonly faults: readonly ConfigurationFault[];
}

/** Time at which the first trouble may come, in milliseconds: all gateways have started by then. */
export const FIRST_FAULT_MILLISECONDS = 8_000;
/** Time within which troubles begin, in milliseconds. */
const FAULT_PERIOD_MILLISECONDS = 16_000;
const MAXIMUM_FAULTS = 4;
const MAXIMUM_FAULT_MILLISECONDS = 9_000;
const MAXIMUM_CHANGE_GAP_MILLISECONDS = 1_500;
/** Time after the last trouble in which changes go on, in milliseconds. */
const RECOVERY_MILLISECONDS = 7_000;

function drawFaults(random: RandomSource): ConfigurationFault[] {
  const count = random.integer(1, MAXIMUM_FAULTS);
  return Array.from({ length: count }, () => ({
    kind: random.pick(CONFIGURATION_FAULT_KINDS),
    at: FIRST_FAULT_MILLISECONDS + FAULT_PERIOD_MILLISECONDS * random.uniform(),
    lasts: 300 + MAXIMUM_FAULT_MILLISECONDS * random.uniform(),
    share: 0.05 + 0.55 * random.uniform(),
  }));
}

function drawChanges(random: RandomSource, until: number): PlannedChange[] {
  const changes: PlannedChange[] = [];
  let at = 1_000;
  while (at < until) {
    const what = random.pick(['configuration', 'configuration', 'runnerComes', 'runnerLeaves']);
    changes.push({ at, what } as PlannedChange);
    at += 50 + MAXIMUM_CHANGE_GAP_MILLISECONDS * random.uniform();
  }
  return changes;
}

/** The plan of a seed. */
export function planConfigurationHistory(seed: number): ConfigurationPlan {
  const random = createRandom(seed, 'configuration plan');
  const faults = drawFaults(random);
  const ends = faults.map(({ at, lasts }) => at + lasts);
  const until = Math.max(FIRST_FAULT_MILLISECONDS, ...ends) + RECOVERY_MILLISECONDS;
  return { changes: drawChanges(random, until), faults };
}

/** Time at which a plan is over, in milliseconds. */
export function endOfPlan({ changes }: ConfigurationPlan): number {
  const last = changes.at(-1)?.at ?? 0;
  return last + RECOVERY_MILLISECONDS / 2;
}
