/** Seeded plans of configuration histories: the changes and the faults. */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';

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

/** Faults of the gateways that rank first in their zones, through which the others learn of changes. */
export const FIRST_RANKED_FAULT_KINDS = ['firstRankedFrozen', 'firstRankedCut'] as const;

export type ConfigurationFaultKind =
  (typeof CONFIGURATION_FAULT_KINDS)[number] | (typeof FIRST_RANKED_FAULT_KINDS)[number];

/** A planned fault; times in milliseconds since the start of the history. */
export interface ConfigurationFault {
  readonly kind: ConfigurationFaultKind;
  readonly at: number;
  /** Duration in milliseconds. */
  readonly lasts: number;
  /** Fraction of the gateways that are affected, 0 to 1; of each zone for faults of the first-ranked. */
  readonly share: number;
}

/**
 * A change of the configuration, of the registered runners or of the evacuated zones; `at` in milliseconds since the
 * start. An evacuation is lifted if the zone is evacuated already.
 */
export interface PlannedChange {
  readonly at: number;
  readonly what: 'configuration' | 'runnerComes' | 'runnerLeaves' | 'evacuation';
}

/** The changes and faults of one history. */
export interface ConfigurationPlan {
  readonly changes: readonly PlannedChange[];
  readonly faults: readonly ConfigurationFault[];
  /** Number of items in each page of a list of the store. */
  readonly pageItems: number;
}

/** Earliest time of a fault: all gateways have started by then. */
export const FIRST_FAULT_MILLISECONDS = 8_000;
/** Length of the period in which faults start. */
const FAULT_PERIOD_MILLISECONDS = 16_000;
const MAXIMUM_FAULTS = 4;
const MAXIMUM_FAULT_MILLISECONDS = 9_000;
const MAXIMUM_CHANGE_GAP_MILLISECONDS = 1_500;
/** Longest time between two changes of evacuations. */
const MAXIMUM_EVACUATION_GAP_MILLISECONDS = 4_000;
const PAGE_ITEMS = [Infinity, 4, 12] as const;
const FIRST_RANKED_FAULT_PERIOD_MILLISECONDS = 5_000;
const MAXIMUM_FIRST_RANKED_FAULTS = 3;
const MAXIMUM_FIRST_RANKED_FAULT_MILLISECONDS = 2_500;
const MAXIMUM_FREQUENT_CHANGE_GAP_MILLISECONDS = 800;
/** Share of the plans with faults of the first-ranked gateways in which datagrams are lost as well. */
const DATAGRAM_LOSS_PROBABILITY = 0.3;
/** Time for which changes continue after the last fault has ended. */
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

function drawChanges(
  random: RandomSource,
  until: number,
  maximumGap = MAXIMUM_CHANGE_GAP_MILLISECONDS,
): PlannedChange[] {
  const changes: PlannedChange[] = [];
  let at = 1_000;
  while (at < until) {
    const what = random.pick(['configuration', 'configuration', 'runnerComes', 'runnerLeaves']);
    changes.push({ at, what } as PlannedChange);
    at += 50 + maximumGap * random.uniform();
  }
  return changes;
}

/** Draws from a random source of its own, so that the other parts of a seed's plan do not depend on evacuations. */
function drawEvacuations(
  random: RandomSource,
  until: number,
  maximumGap = MAXIMUM_EVACUATION_GAP_MILLISECONDS,
): PlannedChange[] {
  const changes: PlannedChange[] = [];
  for (let at = 0; at < until; at += 100 + maximumGap * random.uniform()) {
    changes.push({ at, what: 'evacuation' });
  }
  return changes;
}

/** Draws the plan of a seed. */
export function planConfigurationHistory(seed: number): ConfigurationPlan {
  const random = createRandom(seed, 'configuration plan');
  const faults = drawFaults(random);
  const ends = faults.map(({ at, lasts }) => at + lasts);
  const until = Math.max(FIRST_FAULT_MILLISECONDS, ...ends) + RECOVERY_MILLISECONDS;
  const evacuationRandom = createRandom(seed, 'evacuations');
  const pageItems = evacuationRandom.pick(PAGE_ITEMS);
  const changes = [...drawChanges(random, until), ...drawEvacuations(evacuationRandom, until)];
  return { changes: changes.sort((left, right) => left.at - right.at), faults, pageItems };
}

function drawFirstRankedFault(random: RandomSource): ConfigurationFault {
  return {
    kind: random.pick(FIRST_RANKED_FAULT_KINDS),
    at: FIRST_FAULT_MILLISECONDS + FIRST_RANKED_FAULT_PERIOD_MILLISECONDS * random.uniform(),
    lasts: 500 + MAXIMUM_FIRST_RANKED_FAULT_MILLISECONDS * random.uniform(),
    share: 0.05 + 0.55 * random.uniform(),
  };
}

/**
 * Draws a plan in which the gateways that the others hear from stall around frequent changes, once
 * or several times in series.
 */
export function planFirstRankedFaults(seed: number): ConfigurationPlan {
  const random = createRandom(seed, 'first-ranked faults');
  const count = random.integer(1, MAXIMUM_FIRST_RANKED_FAULTS);
  const faults = Array.from({ length: count }, () => drawFirstRankedFault(random));
  if (random.uniform() < DATAGRAM_LOSS_PROBABILITY) {
    const lasts = FIRST_RANKED_FAULT_PERIOD_MILLISECONDS;
    faults.push({ kind: 'messagesLost', at: FIRST_FAULT_MILLISECONDS, lasts, share: 1 });
  }
  const until = FIRST_FAULT_MILLISECONDS + FIRST_RANKED_FAULT_PERIOD_MILLISECONDS;
  const gap = MAXIMUM_FREQUENT_CHANGE_GAP_MILLISECONDS;
  const changes = [...drawChanges(random, until, gap), ...drawEvacuations(random, until, gap)];
  const pageItems = random.pick(PAGE_ITEMS);
  return { changes: changes.sort((left, right) => left.at - right.at), faults, pageItems };
}

/** Time at which a history with this plan ends, in milliseconds since its start. */
export function endOfPlan({ changes }: ConfigurationPlan): number {
  const last = changes.at(-1)?.at ?? 0;
  return last + RECOVERY_MILLISECONDS / 2;
}
