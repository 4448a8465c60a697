/**
 * Measures the cost of idle nodes and the propagation of configuration changes in a simulated
 * cluster. Messages are counted at their encoded size; CPU time and heap are those of the whole
 * simulation, divided by the number of nodes.
 */
import { runStatement } from '../language/run-statement.js';
import * as E from 'fp-ts/lib/Either.js';
import { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { encodeMessage } from '../wire/message-codec.js';
import { encodeFrame } from '../wire/framing.js';
import { summarize } from './statistics.js';

/** Size and seed of a measurement. */
export interface ScaleOptions {
  readonly nodes: number;
  readonly seed: number;
}

/** Figures of one cluster size; printed as JSON. */
export interface ScaleFigures {
  readonly nodes: number;
  readonly shards: number;
  readonly bytesPerNodeSecond: number;
  readonly messagesPerNodeSecond: number;
  /** Fraction of a CPU core per node, simulation included. */
  readonly coreShare: number;
  readonly heapKilobytesPerNode: number;
  /** Median time until a change is in force on all nodes, in milliseconds. */
  readonly inForceP50: number;
  readonly inForceMax: number;
}

const ZONE_COUNT = 15;
const SHARDS_PER_NODE = 3;
const MEASURED_MILLISECONDS = 10_000;
const CHANGE_COUNT = 12;
const CHANGE_INTERVAL_MILLISECONDS = 2_000;
const POLL_INTERVAL_MILLISECONDS = 20;
const MAXIMUM_PROPAGATION_MILLISECONDS = 30_000;

function createCluster(
  options: ScaleOptions,
  onMessageBytes: (bytes: number) => void,
): SimulatedCluster {
  const zones = Array.from({ length: ZONE_COUNT }, (_, index) => `zone-${index}`);
  return new SimulatedCluster({
    seed: options.seed,
    zones: zones.slice(0, options.nodes),
    nodesPerZone: Math.max(1, Math.ceil(options.nodes / ZONE_COUNT)),
    interZoneMilliseconds: 1,
    shardCount: options.nodes * SHARDS_PER_NODE,
    services: [{ name: 'catalog-minds', kind: 'model', runners: 12, concurrency: 16 }],
    groups: Array.from({ length: 20 }, (_, index) => ({
      name: `group-${index}`,
      share: 1,
      budget: 1e9,
    })),
    onMessage: (_from, message) => onMessageBytes(encodeFrame(encodeMessage(message)).length),
  });
}

function measurePropagation(cluster: SimulatedCluster, number: number): number {
  const node = cluster.livingNodes()[number % cluster.livingNodes().length]!;
  const operator = { name: 'scale', mayChange: true };
  const statement = `set group group-${number} share ${number + 2}`;
  const { clock } = cluster;
  const started = clock.now;
  let revision = 0;
  runStatement(node, statement, operator, `scale-${number}`, (result) => {
    revision = E.isRight(result) ? (result.right.revision ?? 0) : -1;
  });
  const hasPropagated = (): boolean =>
    cluster
      .livingNodes()
      .every(
        (other) => other.configuration.current.groups.get(`group-${number}`)?.share === number + 2,
      );
  while (!hasPropagated() && clock.now - started < MAXIMUM_PROPAGATION_MILLISECONDS) {
    clock.runUntil(clock.now + POLL_INTERVAL_MILLISECONDS);
  }
  const propagationMilliseconds = clock.now - started;
  clock.runUntil(clock.now + CHANGE_INTERVAL_MILLISECONDS, () => revision !== 0);
  return propagationMilliseconds;
}

/** Measures one cluster size. */
export function measureScale(options: ScaleOptions): ScaleFigures {
  global.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  let bytes = 0;
  let messages = 0;
  let counting = false;
  const cluster = createCluster(options, (length) => {
    if (counting) {
      bytes += length;
      messages += 1;
    }
  });
  cluster.start();
  const nodes = cluster.nodeNames.length;
  counting = true;
  const cpu = process.cpuUsage();
  cluster.clock.runUntil(cluster.clock.now + MEASURED_MILLISECONDS);
  const used = process.cpuUsage(cpu);
  counting = false;
  global.gc?.();
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const propagationTimes = Array.from({ length: CHANGE_COUNT }, (_, number) =>
    measurePropagation(cluster, number),
  );
  const seconds = MEASURED_MILLISECONDS / 1_000;
  const summary = summarize(propagationTimes);
  return {
    nodes,
    shards: cluster.map.shardCount,
    bytesPerNodeSecond: bytes / nodes / seconds,
    messagesPerNodeSecond: messages / nodes / seconds,
    coreShare: (used.user + used.system) / 1e6 / nodes / seconds,
    heapKilobytesPerNode: heap / nodes / 1_024,
    inForceP50: summary.p50,
    inForceMax: summary.max,
  };
}
