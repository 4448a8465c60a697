/** Kinds of faults of the soak, and what each strikes: two that strike the same never overlap. */
import type { RunnerBehaviour } from '../src/emulator/relay-runner.js';

/** Kinds of faults. */
export const FAULTS = [
  'killGateway',
  'killReplica',
  'wipeReplica',
  'pauseGateway',
  'pauseReplica',
  'stopGateway',
  'killAll',
  'storeRefuses',
  'storeSilent',
  'storeLosesAnswers',
  'storeForgets',
  'storePath',
  'runnerPath',
  'runnerCrash',
  // A runner starts again under its id, and knows nothing of before.
  'runnerRestart',
  'runnerMisbehaves',
  // A runner takes requests and leaves their bodies unread for a while.
  'runnerReadsSlowly',
  'configurationChange',
  // A replica loses power, and what was not synced.
  'losePower',
  // All machines do, and one replica its whole disk besides.
  'loseAllPower',
  // A replica's machine is emptied; once that is reported it goes, and another loses its disk right then.
  'emptyReplica',
  // A replica's machine is gone for good; the moment that its successor counts, all power and a disk are lost.
  'replaceReplica',
] as const;
/** One of these. */
export type Fault = (typeof FAULTS)[number];

/** What runners do wrong. */
export const MISBEHAVIOURS: readonly RunnerBehaviour[] = [
  'refuse',
  'loseAnswer',
  'wrongId',
  'unsigned',
  'extraAnswer',
  'cutOff',
  'falsePromise',
  'fail',
  'unframed',
];

/** Faults of the store: all gateways owe nothing of the configuration meanwhile. */
export const STORE_FAULTS: ReadonlySet<Fault> = new Set([
  'storeRefuses',
  'storeSilent',
  'storeLosesAnswers',
  'storeForgets',
]);
/** What faults of replicas strike: one at a time, since two of three disks lost are not promised to be borne. */
export const REPLICAS_TOGETHER = 'replicas';
/** Machines drawn for a fault, by name. */
export interface FaultTargets {
  readonly gateway: string;
  readonly replica: string;
  readonly all: readonly string[];
}

/** Names of the machines that a fault strikes, or of the store or a runner. */
export function targetsOf(
  fault: Fault,
  { gateway, replica, all }: FaultTargets,
): readonly string[] {
  switch (fault) {
    case 'killGateway':
    case 'pauseGateway':
    case 'stopGateway':
    case 'storePath':
      return [gateway];
    case 'killReplica':
    case 'wipeReplica':
    case 'pauseReplica':
    case 'losePower':
      return [replica, REPLICAS_TOGETHER];
    case 'killAll':
    case 'loseAllPower':
      return [...all, REPLICAS_TOGETHER];
    case 'replaceReplica':
      return [replica, ...all, REPLICAS_TOGETHER, 'store'];
    case 'emptyReplica':
      return [replica, REPLICAS_TOGETHER, 'store'];
    case 'storeRefuses':
    case 'storeSilent':
    case 'storeLosesAnswers':
    case 'storeForgets':
      return ['store'];
    case 'runnerPath':
    case 'runnerCrash':
    case 'runnerRestart':
    case 'runnerReadsSlowly':
      return ['runners'];
    case 'runnerMisbehaves':
    case 'configurationChange':
      return [];
  }
}
