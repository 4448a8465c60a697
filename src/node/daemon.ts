/** Runs a node in a real process, with sockets, disk storage, etcd and HTTP. */
import { randomBytes } from 'node:crypto';
import type { Settings } from '../configuration/settings.js';
import { HttpFront } from '../gateway/http-front.js';
import { EtcdKeyValue } from '../platform/etcd-key-value.js';
import { HttpBackEnds } from '../platform/http-back-ends.js';
import { DEFAULT_OWNER_LIMITS } from '../program/program-limits.js';
import { LevelStorage } from '../replication/level-storage.js';
import { createMemoryStorage } from '../replication/memory-storage.js';
import { createShardMap } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';
import { createPolicy, POLICY_NAMES } from '../scheduling/create-policy.js';
import { TcpTransport } from '../wire/tcp-transport.js';
import { IvyloomNode } from './node.js';
import type { NodeStorage } from './node-options.js';

/** Number of shards of a region if the settings give none. */
export const DEFAULT_SHARD_COUNT = 16;

/** A running node with its sockets and its storage. */
export interface Daemon {
  readonly node: IvyloomNode;
  readonly httpPort: number;
  /** Number of bytes sent to other nodes so far. */
  sentBytes(): number;
  /** Shuts down gracefully, so that pending requests can finish; calls `done` when everything is closed. */
  stop(done: () => void): void;
  /** Stops at once, without waiting for pending requests. */
  abort(): void;
}

interface OpenStorage {
  readonly storage: NodeStorage;
  readonly close: () => Promise<void>;
}

async function openStorage(
  settings: Settings,
  map: ShardMap,
  runtime: Runtime,
): Promise<OpenStorage> {
  if (settings.dataFolder === undefined) {
    const run = randomBytes(4).toString('hex');
    runtime.log('warn', 'no data folder: replicas are lost when this process ends', { run });
    return { storage: createMemoryStorage(), close: () => Promise.resolve() };
  }
  const { storage, tornShards } = await LevelStorage.open(settings.dataFolder, map, runtime);
  if (tornShards.length > 0) {
    const shards = tornShards.join(', ');
    runtime.log('warn', 'logs with torn tails will be repaired from peers', { shards });
  }
  return { storage, close: () => storage.close() };
}

function listenOn(
  listener: { listen(host: string, port: number, done: (port: number) => void): void },
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve) => listener.listen(host, port, resolve));
}

/** Starts listening for nodes, then for HTTP clients; resolves with the HTTP port. */
async function startListeners(
  transport: TcpTransport,
  front: HttpFront,
  settings: Settings,
): Promise<number> {
  await listenOn(transport, settings.host, settings.peerPort);
  return listenOn(front, settings.host, settings.httpPort);
}

/** Starts a daemon; resolves once it is listening. */
export async function startDaemon(settings: Settings, runtime: Runtime): Promise<Daemon> {
  const map = createShardMap(settings.shardCount ?? DEFAULT_SHARD_COUNT, settings.peers);
  const { storage, close } = await openStorage(settings, map, runtime);
  const addresses = new Map(settings.peers.map((peer) => [peer.node, peer]));
  const policy = POLICY_NAMES.find((name) => name === settings.policy) ?? 'ivyloom';
  const transport = new TcpTransport({
    cluster: settings.cluster,
    self: settings.node,
    runtime,
    addressOf: (node) => addresses.get(node),
    receive: (from, message) => node.receive(from, message),
  });
  const keyValue = new EtcdKeyValue({ url: settings.keyValueUrl, runtime });
  const backEnds = new HttpBackEnds({
    urlOf: (engine) => node.configuration.current.engines.get(engine)?.url,
  });
  const node: IvyloomNode = new IvyloomNode({
    self: settings.node,
    zone: settings.zone,
    nodes: settings.peers.map(({ node: name, zone }) => ({ node: name, zone })),
    map,
    runtime,
    transport,
    storage,
    backEnds,
    keyValue,
    limits: DEFAULT_OWNER_LIMITS,
    createPolicy: () => createPolicy(policy),
  });
  const front = new HttpFront(node);
  const httpPort = await startListeners(transport, front, settings);
  node.start();
  runtime.log('info', 'listening', { httpPort });
  let closed = false;
  const closeAll = (done: () => void): void => {
    closed = true;
    transport.close();
    keyValue.close();
    backEnds.close();
    close().then(done, done);
  };
  return {
    node,
    httpPort,
    sentBytes: () => transport.sentBytes,
    stop: (done) => {
      if (closed) {
        done();
        return;
      }
      node.beginLeaving(() => front.drain(() => node.awaitIdle(() => closeAll(done))));
    },
    abort: () => {
      front.close();
      node.stop();
      closeAll(() => undefined);
    },
  };
}
