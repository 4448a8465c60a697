/** Seeded faults of a run: what breaks, when, and for how long; two may come at once. */
import type { RandomSource } from '../runtime/random.js';

/** Kinds of faults. */
export type FaultKind =
  | 'processDeath'
  | 'tornTail'
  | 'processPause'
  | 'partition'
  | 'oneWayPartition'
  | 'messageLoss'
  | 'messageDelay'
  | 'keyValueOutage'
  | 'keyValueAnswerLoss'
  | 'engineCrash'
  | 'streamCut'
  | 'toolHang'
  | 'clockJump'
  | 'plannedStop'
  | 'leavingBackEnd'
  | 'racingOperators';

/** Every kind. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'processDeath',
  'tornTail',
  'processPause',
  'partition',
  'oneWayPartition',
  'messageLoss',
  'messageDelay',
  'keyValueOutage',
  'keyValueAnswerLoss',
  'engineCrash',
  'streamCut',
  'toolHang',
  'clockJump',
  'plannedStop',
  'leavingBackEnd',
  'racingOperators',
];

/** One fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds after the beginning of the run. */
  readonly at: number;
  readonly lastsMilliseconds: number;
  /** Chooses the node, engine or link it strikes. */
  readonly target: number;
  readonly other: number;
}

const MINIMUM_FAULT_MILLISECONDS = 200;
const MAXIMUM_FAULT_MILLISECONDS = 8_000;
/** Chance that a second fault strikes together with the first. */
const CONCURRENT_FAULT_PROBABILITY = 0.35;

function planFault(random: RandomSource, at: number): PlannedFault {
  return {
    kind: random.pick(FAULT_KINDS),
    at,
    lastsMilliseconds: random.integer(MINIMUM_FAULT_MILLISECONDS, MAXIMUM_FAULT_MILLISECONDS),
    target: random.integer(0, 1_000),
    other: random.integer(0, 1_000),
  };
}

/** Plans the faults of a run whose busy part lasts so long. */
export function planFaults(random: RandomSource, milliseconds: number): PlannedFault[] {
  const faults: PlannedFault[] = [];
  const count = random.integer(1, 5);
  for (let index = 0; index < count; index += 1) {
    const at = Math.round(random.uniform() * milliseconds);
    faults.push(planFault(random, at));
    if (random.uniform() < CONCURRENT_FAULT_PROBABILITY) {
      faults.push(planFault(random, at + random.integer(0, 300)));
    }
  }
  return faults.sort((left, right) => left.at - right.at);
}
