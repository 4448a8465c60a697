/** Measures the processor time of a start, of an idle minute, and of requests at several rates. */
import type { Runtime } from '../../src/runtime/runtime.js';
import { sendCostLoad } from './cost-load.js';
import { CostWorld } from './cost-world.js';
import type { CostWorldOptions } from './cost-world.js';
import { processorUse, usedBetween } from './processor-time.js';
import type { ProcessorUse } from './processor-time.js';

/** Durations and request rates of a measurement. */
export interface CostParts {
  readonly idleSeconds: number;
  /** Requests per second. */
  readonly rates: readonly number[];
  readonly secondsOfRate: number;
}

/** Figures by name: processor time in milliseconds, or counts and fractions where the name says so. */
export type CostFigures = ReadonlyMap<string, number>;

const SECONDS_IN_MINUTE = 60;
/** Time within which the processes discover one another, in milliseconds. */
const SETTLE_MILLISECONDS = 3_000;
const MILLISECONDS_IN_SECOND = 1_000;

/** Processor use of the gateway and the sum over all replicas. */
interface Reading {
  readonly gateway: ProcessorUse;
  readonly replicas: ProcessorUse;
}

function read(world: CostWorld): Reading {
  const uses = world.replicas.map(({ processId }) => processorUse(processId!));
  return {
    gateway: processorUse(world.gateway.processId!),
    replicas: {
      milliseconds: uses.reduce((sum, use) => sum + use.milliseconds, 0),
      wakeUps: uses.reduce((sum, use) => sum + use.wakeUps, 0),
    },
  };
}

function pause(runtime: Runtime, milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    runtime.setTimer(milliseconds, resolve);
  });
}

async function measureIdle(
  world: CostWorld,
  runtime: Runtime,
  seconds: number,
): Promise<[string, number][]> {
  const before = read(world);
  await pause(runtime, seconds * MILLISECONDS_IN_SECOND);
  const after = read(world);
  const gateway = usedBetween(before.gateway, after.gateway);
  const replicas = usedBetween(before.replicas, after.replicas);
  const minutes = seconds / SECONDS_IN_MINUTE;
  return [
    ['idle gateway, a minute', gateway.milliseconds / minutes],
    ['idle gateway, wake-ups a second', gateway.wakeUps / seconds],
    ['idle replica, a minute', replicas.milliseconds / minutes / world.replicas.length],
    ['idle replica, wake-ups a second', replicas.wakeUps / seconds / world.replicas.length],
  ];
}

async function measureRate(
  world: CostWorld,
  runtime: Runtime,
  rate: number,
  seconds: number,
): Promise<[string, number][]> {
  const before = read(world);
  const host = world.gatewayHost;
  const counts = await sendCostLoad({ runtime, host, name: `rate-${rate}`, rate, seconds });
  const after = read(world);
  const gateway = usedBetween(before.gateway, after.gateway);
  const replicas = usedBetween(before.replicas, after.replicas);
  return [
    [`request at ${rate}/s, gateway`, gateway.milliseconds / counts.sent],
    [`request at ${rate}/s, replicas`, replicas.milliseconds / counts.sent],
    [`request at ${rate}/s, part answered`, counts.answered / counts.sent],
  ];
}

/** Measures one program once in a new deployment; `onWorld` receives it for cleanup on exit. */
export async function measureCosts(
  options: CostWorldOptions,
  parts: CostParts,
  onWorld: (world: CostWorld) => void,
): Promise<CostFigures> {
  const { runtime } = options;
  const world = new CostWorld(options);
  onWorld(world);
  await world.startDependencies();
  await pause(runtime, SETTLE_MILLISECONDS);
  await world.startGateway();
  const figures: [string, number][] = [
    ['start until ready', processorUse(world.gateway.processId!).milliseconds],
  ];
  await pause(runtime, SETTLE_MILLISECONDS);
  figures.push(...(await measureIdle(world, runtime, parts.idleSeconds)));
  for (const rate of parts.rates) {
    figures.push(...(await measureRate(world, runtime, rate, parts.secondsOfRate)));
  }
  await world.stop();
  return new Map(figures);
}
