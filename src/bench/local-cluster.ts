/** A deployment in one process over loopback sockets: daemons on an emulated platform. */
import { randomBytes } from 'node:crypto';
import type { ConfigurationDocument } from '../configuration/documents.js';
import type { Settings } from '../configuration/settings.js';
import { BackEndServer } from '../emulator/back-end-server.js';
import type { EmulatedBackEnd } from '../emulator/emulated-back-end.js';
import { EngineModel } from '../emulator/engine-model.js';
import { KeyValueModel } from '../emulator/key-value-model.js';
import { KeyValueServer } from '../emulator/key-value-server.js';
import { writeFirstConfiguration } from '../emulator/first-configuration.js';
import { ToolModel } from '../emulator/tool-model.js';
import { hashKey } from '../gateway/authentication.js';
import { startDaemon } from '../node/daemon.js';
import type { Daemon } from '../node/daemon.js';
import { createRealRuntime } from '../runtime/real-runtime.js';
import type { LogLevel, Runtime } from '../runtime/runtime.js';
import type { SimulatedService } from '../simulation/simulated-cluster.js';
import type { Deployment } from './deployments.js';
import { findFreePorts } from './free-ports.js';

/** Address of all sockets of a local cluster. */
export const LOOPBACK = '127.0.0.1';
/** API key of the operator of a local cluster. */
export const LOCAL_OPERATOR_KEY = 'operator-local-key';

/** Returns the API key of a group in a local cluster. */
export function localKeyOf(group: string): string {
  return `${group}-local-key`;
}

/** A running local cluster. */
export interface LocalCluster {
  readonly daemons: readonly Daemon[];
  readonly backEnds: readonly EmulatedBackEnd[];
  readonly keyValue: KeyValueModel;
  /** Base URLs of the daemons. */
  readonly urls: readonly string[];
  /** Base URL of the first model engine, for calls that bypass the scheduler. */
  readonly engineUrl: string;
  /** Stops the daemons gracefully, then the emulated platform. */
  stop(): Promise<void>;
}

/** Deployment, size and ports of a local cluster. */
export interface LocalClusterOptions {
  readonly deployment: Deployment;
  /** Number of nodes, assigned to the zones round-robin. @default 3 */
  readonly nodes?: number;
  /** HTTP port of the first node; 0 selects a free one. @default 0 */
  readonly httpPort?: number;
  /** Log level of the daemons. @default 'error' */
  readonly logLevel?: LogLevel;
  readonly seed: number;
}

/** An emulated back end with its HTTP server and configuration document. */
export interface ServedBackEnd {
  readonly backEnd: EmulatedBackEnd;
  readonly server: BackEndServer;
  readonly document: ConfigurationDocument;
  readonly url: string;
}

async function serveBackEnd(
  runtime: Runtime,
  service: SimulatedService,
  name: string,
  zone: string,
): Promise<ServedBackEnd> {
  const backEnd =
    service.kind === 'model'
      ? new EngineModel(runtime, { ...service.engine, name })
      : new ToolModel(runtime, { ...service.tool, name });
  const server = new BackEndServer(backEnd);
  const port = await new Promise<number>((resolve) => server.listen(LOOPBACK, 0, resolve));
  const url = `http://${LOOPBACK}:${port}`;
  const cacheTokens = service.kind === 'model' ? (service.engine?.cacheTokens ?? 120_000) : 0;
  const { concurrency } = service;
  const document: ConfigurationDocument = {
    kind: 'engine',
    document: { name, service: service.name, zone, url, concurrency, cacheTokens, draining: false },
  };
  return { backEnd, server, document, url };
}

/** Starts all back ends of a deployment on free loopback ports. */
export async function serveBackEnds(
  runtime: Runtime,
  deployment: Deployment,
): Promise<ServedBackEnd[]> {
  const served: ServedBackEnd[] = [];
  for (const service of deployment.services) {
    for (let index = 0; index < service.runners; index += 1) {
      const zone = deployment.zones[index % deployment.zones.length]!;
      served.push(await serveBackEnd(runtime, service, `${service.name}-${index + 1}`, zone));
    }
  }
  return served;
}

function keyDocument(
  name: string,
  key: string,
  group: string,
  role: 'caller' | 'operator',
): ConfigurationDocument {
  return { kind: 'key', document: { name, group, role, sha256: hashKey(key) } };
}

/** Returns the configuration documents of a deployment with its back ends and local keys. */
export function listDocuments(
  deployment: Deployment,
  served: readonly ServedBackEnd[],
): ConfigurationDocument[] {
  const groups = deployment.groups.map((document): ConfigurationDocument => ({
    kind: 'group',
    document,
  }));
  const services = deployment.services.map(({ name, kind }): ConfigurationDocument => ({
    kind: 'service',
    document: { name, kind, groups: [] },
  }));
  return [
    ...groups,
    ...services,
    ...served.map((backEnd) => backEnd.document),
    ...deployment.groups.map(({ name }) => keyDocument(name, localKeyOf(name), name, 'caller')),
    keyDocument('local-operator', LOCAL_OPERATOR_KEY, '', 'operator'),
  ];
}

/** Creates the settings of each node of a local cluster. */
export async function createNodeSettings(
  options: LocalClusterOptions,
  keyValueUrl: string,
): Promise<Settings[]> {
  const { deployment, nodes = 3 } = options;
  const ports = await findFreePorts(LOOPBACK, nodes);
  const peers = ports.map((port, index) => {
    const zone = deployment.zones[index % deployment.zones.length]!;
    return {
      node: `${zone}-${Math.floor(index / deployment.zones.length) + 1}`,
      zone,
      host: LOOPBACK,
      port,
    };
  });
  const cluster = `local-${randomBytes(4).toString('hex')}`;
  return peers.map((peer, index) => ({
    cluster,
    node: peer.node,
    zone: peer.zone,
    host: LOOPBACK,
    peerPort: peer.port,
    httpPort: index === 0 ? (options.httpPort ?? 0) : 0,
    peers,
    keyValueUrl,
    shardCount: 12,
  }));
}

/** Starts a local cluster; resolves when every node is ready and every shard has a leader. */
export async function startLocalCluster(options: LocalClusterOptions): Promise<LocalCluster> {
  const platform = createRealRuntime({ seed: options.seed, logLevel: 'error' });
  const keyValue = new KeyValueModel(platform);
  const keyValueServer = new KeyValueServer(keyValue);
  const keyValuePort = await new Promise<number>((resolve) =>
    keyValueServer.listen(LOOPBACK, 0, resolve),
  );
  const served = await serveBackEnds(platform, options.deployment);
  writeFirstConfiguration(keyValue, listDocuments(options.deployment, served));
  const settings = await createNodeSettings(options, `http://${LOOPBACK}:${keyValuePort}`);
  const daemons = await Promise.all(
    settings.map((nodeSettings, index) => {
      const { node, zone } = nodeSettings;
      const logLevel = options.logLevel ?? 'error';
      const runtime = createRealRuntime({
        seed: options.seed + index,
        fields: { node, zone },
        logLevel,
      });
      return startDaemon(nodeSettings, runtime);
    }),
  );
  await waitUntilReady(daemons, platform);
  return {
    daemons,
    keyValue,
    backEnds: served.map((backEnd) => backEnd.backEnd),
    urls: daemons.map((daemon) => `http://${LOOPBACK}:${daemon.httpPort}`),
    engineUrl: served[0]?.url ?? '',
    stop: async () => {
      for (const daemon of daemons) {
        await new Promise<void>((resolve) => daemon.stop(resolve));
      }
      served.forEach(({ backEnd, server }) => {
        server.close();
        backEnd.stop();
      });
      keyValueServer.close();
    },
  };
}

function waitUntilReady(daemons: readonly Daemon[], runtime: Runtime): Promise<void> {
  return new Promise((resolve) => {
    const poll = (): void => {
      const shardCount = daemons[0]?.node.options.map.shardCount ?? 0;
      const ledShardCount = daemons.reduce(
        (sum, daemon) =>
          sum + daemon.node.listShards().filter((roles) => roles.host.canServe()).length,
        0,
      );
      const ready = daemons.every((daemon) => daemon.node.isReady) && ledShardCount >= shardCount;
      if (ready) {
        resolve();
      } else {
        runtime.setTimer(50, poll);
      }
    };
    poll();
  });
}
