/** Plans of configuration histories: what the operator changes and which troubles come, by the seed. */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';

/** Kinds of troubles. */
export const CONFIGURATION_TROUBLES = [
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
export type ConfigurationTroubleKind = (typeof CONFIGURATION_TROUBLES)[number];

/** A trouble; times in milliseconds. */
export interface ConfigurationTrouble {
  readonly kind: ConfigurationTroubleKind;
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
  readonly troubles: readonly ConfigurationTrouble[];
}

/** Time at which the first trouble may come, in milliseconds: all gateways have started by then. */
export const FIRST_TROUBLE_MILLISECONDS = 8_000;
/** Time within which troubles begin, in milliseconds. */
const TROUBLED_MILLISECONDS = 16_000;
const MOST_TROUBLES = 4;
const LONGEST_TROUBLE_MILLISECONDS = 9_000;
const LONGEST_GAP_MILLISECONDS = 1_500;
/** Time after the last trouble in which changes go on, in milliseconds. */
const CALM_MILLISECONDS = 7_000;

function drawTroubles(random: RandomSource): ConfigurationTrouble[] {
  const count = random.integer(1, MOST_TROUBLES);
  return Array.from({ length: count }, () => ({
    kind: random.pick(CONFIGURATION_TROUBLES),
    at: FIRST_TROUBLE_MILLISECONDS + TROUBLED_MILLISECONDS * random.uniform(),
    lasts: 300 + LONGEST_TROUBLE_MILLISECONDS * random.uniform(),
    share: 0.05 + 0.55 * random.uniform(),
  }));
}

function drawChanges(random: RandomSource, until: number): PlannedChange[] {
  const changes: PlannedChange[] = [];
  let at = 1_000;
  while (at < until) {
    const what = random.pick(['configuration', 'configuration', 'runnerComes', 'runnerLeaves']);
    changes.push({ at, what } as PlannedChange);
    at += 50 + LONGEST_GAP_MILLISECONDS * random.uniform();
  }
  return changes;
}

/** The plan of a seed. */
export function planConfigurationHistory(seed: number): ConfigurationPlan {
  const random = createRandom(seed, 'configuration plan');
  const troubles = drawTroubles(random);
  const ends = troubles.map(({ at, lasts }) => at + lasts);
  const until = Math.max(FIRST_TROUBLE_MILLISECONDS, ...ends) + CALM_MILLISECONDS;
  return { changes: drawChanges(random, until), troubles };
}

/** Time at which a plan is over, in milliseconds. */
export function endOfPlan({ changes }: ConfigurationPlan): number {
  const last = changes.at(-1)?.at ?? 0;
  return last + CALM_MILLISECONDS / 2;
}
