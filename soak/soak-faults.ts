/** Fault kinds of the soak and the targets of each: two faults with a common target never overlap. */
import { BODY_FRAMINGS, ENDLESS_PARTS } from '../src/emulator/endless-answer.js';
import type { EndlessForm } from '../src/emulator/endless-answer.js';
import type { RunnerBehaviour } from '../src/emulator/relay-runner.js';
import { BREAKING_BEHAVIOURS } from '../src/emulator/unframed-answer.js';
import type { RandomSource } from '../src/runtime/random.js';
import { RUNNERS } from './planned-stop-check.js';

/** Names of all fault kinds, as the `--faults` option takes them. */
export const FAULTS = [
  'killGateway',
  'killReplica',
  'wipeReplica',
  'pauseGateway',
  'pauseReplica',
  'stopGateway',
  // All gateways are stopped one after another, some before the last one has started again.
  'stopGateways',
  // A gateway gets several signals for stops and reloads, at times before the last one has been obeyed.
  'signalsInSeries',
  'killAll',
  // All gateways, at times all replicas too, are killed; versions or routes change while they are away.
  'killGateways',
  'storeRefuses',
  'storeSilent',
  'storeLosesAnswers',
  'storeForgets',
  // Lists marked as stale stay behind the state of the store.
  'storeListsStale',
  'storePath',
  'runnerPath',
  'runnerCrash',
  // A runner restarts under its id with empty state.
  'runnerRestart',
  // A runner loses its cache and becomes slow, as its entry reports it.
  'runnerTurnsCold',
  'runnerMisbehaves',
  // All runners answer with neither a length nor chunks, and break off some answers.
  'runnersBreakOff',
  // A runner accepts requests but pauses before it reads their bodies.
  'runnerReadsSlowly',
  'configurationChange',
  // A route moves to another service.
  'routeMoves',
  // Operators evacuate a zone and restore it some seconds later.
  'zoneEvacuated',
  // A replica is killed and loses the writes that were not synced.
  'losePower',
  // All machines are killed and lose unsynced writes; one replica also loses its whole disk.
  'loseAllPower',
  // A replica is retired; once its retirement is reported, its disk and that of another replica are lost.
  'emptyReplica',
  // A replica is replaced for good; once the replacement must have caught up, loseAllPower follows.
  'replaceReplica',
] as const;
/** Fault kinds that are injected only on request, where the settings tolerate the loss of a zone. */
export const ZONE_FAULTS = [
  // All machines of a zone are killed, and its replicas lose their disks.
  'loseZone',
  // All machines of a zone stand still, so that connections to them stay open and silent.
  'pauseZone',
] as const;
/** A fault kind. */
export type Fault = (typeof FAULTS)[number] | (typeof ZONE_FAULTS)[number];

/** Runner behaviours from which `runnerMisbehaves` draws. */
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
  'endless',
  'spoiledHead',
  ...BREAKING_BEHAVIOURS,
];

/** What changes while all gateways are away. */
export const CHANGES_WHILE_AWAY = [
  'nothing',
  // The entries of one of two versions go, while its runners serve on for some time.
  'entries go',
  // All runners of a service are replaced by runners of the next version.
  'replaced',
  'route moves',
] as const;

/** Statuses of endless answers: a refusal would be wrong, since the runner runs the request. */
const ENDLESS_STATUSES = [200, 404, 500] as const;
/** Parts without end; what comes behind a whole answer would make a wrong one of it. */
const SOAKED_PARTS = ENDLESS_PARTS.filter((part) => part !== 'extraBytes');

/** Draws the form of an endless answer. */
export function drawEndlessForm(random: RandomSource): EndlessForm {
  return {
    part: random.pick(SOAKED_PARTS),
    framing: random.pick(BODY_FRAMINGS),
    status: random.pick(ENDLESS_STATUSES),
    filler: 'letters',
    isSlow: false,
  };
}

/** Planned stops: they excuse no request that is cut. */
export const PLANNED_STOPS: ReadonlySet<Fault> = new Set([
  'stopGateway',
  'stopGateways',
  'signalsInSeries',
]);

/** A signal of a series, and the time after the one before it, in milliseconds. */
export interface SignalInSeries {
  readonly name: 'SIGTERM' | 'SIGHUP';
  readonly after: readonly [number, number];
}

/** Series of signals to one process. */
export const SIGNAL_SERIES: readonly (readonly SignalInSeries[])[] = [
  [
    { name: 'SIGTERM', after: [0, 0] },
    { name: 'SIGTERM', after: [0, 3_500] },
  ],
  [
    { name: 'SIGHUP', after: [0, 0] },
    { name: 'SIGTERM', after: [0, 50] },
  ],
  [
    { name: 'SIGTERM', after: [0, 0] },
    { name: 'SIGHUP', after: [0, 3_000] },
    { name: 'SIGTERM', after: [0, 500] },
  ],
  [
    { name: 'SIGHUP', after: [0, 0] },
    { name: 'SIGHUP', after: [0, 300] },
    { name: 'SIGHUP', after: [0, 300] },
  ],
];

/** Faults of the store; the configuration check exempts all gateways while one lasts. */
export const STORE_FAULTS: ReadonlySet<Fault> = new Set([
  'storeRefuses',
  'storeSilent',
  'storeLosesAnswers',
  'storeForgets',
]);
/**
 * Common target of all replica faults, so that only one is active at a time: the platform does not guarantee to
 * tolerate the loss of two of three disks.
 */
export const ALL_REPLICAS = 'replicas';
/** Randomly chosen machines for a fault, by name. */
export interface FaultTargets {
  readonly gateway: string;
  readonly replica: string;
  readonly all: readonly string[];
  readonly gateways: readonly string[];
  /** Machines in the zone of the replica. */
  readonly zone: readonly string[];
}

/** Returns the targets of a fault: names of machines, 'store', 'runners' or the shared replica target. */
export function targetsOf(
  fault: Fault,
  { gateway, replica, all, gateways, zone }: FaultTargets,
): readonly string[] {
  switch (fault) {
    case 'killGateway':
    case 'pauseGateway':
    case 'stopGateway':
    case 'signalsInSeries':
    case 'storePath':
      return [gateway];
    case 'stopGateways':
      return gateways;
    case 'killReplica':
    case 'wipeReplica':
    case 'pauseReplica':
    case 'losePower':
      return [replica, ALL_REPLICAS];
    case 'killAll':
    case 'killGateways':
    case 'loseAllPower':
      return [...all, ALL_REPLICAS];
    case 'loseZone':
    case 'pauseZone':
      return [...zone, ALL_REPLICAS];
    case 'replaceReplica':
      return [replica, ...all, ALL_REPLICAS, 'store'];
    case 'emptyReplica':
      return [replica, ALL_REPLICAS, 'store'];
    case 'storeRefuses':
    case 'storeSilent':
    case 'storeLosesAnswers':
    case 'storeForgets':
    case 'storeListsStale':
      return ['store'];
    case 'runnerPath':
    case 'runnerCrash':
    case 'runnerRestart':
    case 'runnerReadsSlowly':
      return [RUNNERS];
    case 'runnerTurnsCold':
      // Gateways learn of it from the store.
      return [RUNNERS, 'store'];
    case 'runnerMisbehaves':
    case 'runnersBreakOff':
    case 'configurationChange':
    case 'routeMoves':
    case 'zoneEvacuated':
      return [];
  }
}
