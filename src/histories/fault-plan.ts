/** Seeded plans of faults: kind, time and duration of each; some start together with another. */
import type { RandomSource } from '../runtime/random.js';

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

/** One planned fault. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds since the start of the run. */
  readonly at: number;
  readonly lastsMilliseconds: number;
  /** Random number that selects the affected node. */
  readonly target: number;
  /** Random number that selects the affected engine or a parameter of the fault. */
  readonly other: number;
}

const MINIMUM_FAULT_MILLISECONDS = 200;
const MAXIMUM_FAULT_MILLISECONDS = 8_000;
/** Probability that a second fault starts shortly after the first. */
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

/** Plans the faults of a run whose workload lasts `milliseconds`. */
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
