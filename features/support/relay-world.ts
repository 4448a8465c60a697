/** A gateway with runners and replicas on loopback, and an HTTP client for it. */
import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { RelayRunner } from '../../src/emulator/relay-runner.js';
import type { RelayRunnerOptions } from '../../src/emulator/relay-runner.js';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import type { MemoryBounds } from '../../src/relay/memory/memory-bounds.js';
import { RelayGateway } from '../../src/relay/relay-gateway.js';
import { createRoutingTable } from '../../src/relay/request/routing-table.js';
import type { RequestKind, Route } from '../../src/relay/request/routing-table.js';
import { createTenantsByKey } from '../../src/relay/request/tenant.js';
import type { RunnerExclusion } from '../../src/relay/runners/runner-exclusions.js';
import type { TenantSettings } from '../../src/relay/request/tenant.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import type { RegionTraffic } from '../../src/topology/region-traffic.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { MemoryTurnStorage } from '../../src/turns/memory-turn-storage.js';
import { QuotaClient } from '../../src/turns/quota-client.js';
import { Replica } from '../../src/turns/replica.js';
import { ReplicaServer } from '../../src/turns/replica-server.js';
import { TcpReplicaCaller } from '../../src/turns/tcp-replica-caller.js';
import { TurnClient } from '../../src/turns/turn-client.js';

const HOST = '127.0.0.1';
const ZONE = 'hall';
const SERVICE = 'workers';
const NAMES = DEFAULT_HEADER_NAMES;
const TOKENS_PER_EVENT = 10;
/** Bytes after which a client closes its connection, so that an endless answer fails a check and doesn't end the tests. */
const MAXIMUM_ANSWER_BYTES = 256 * 1024 * 1024;
/** Host name that the routes match. */
export const ROUTED_HOST = 'shop.example';

/** The answer that a client received. */
export interface ClientResult {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the answer is complete. */
  readonly complete: boolean;
}

/** Options of a client's request. */
export interface ClientOptions {
  readonly host?: string;
  readonly path?: string;
  readonly id?: string | undefined;
  readonly body?: string;
  readonly headers?: Record<string, string | string[]>;
  /** Disconnects after this time, in milliseconds. */
  readonly disconnectAfter?: number;
  /** Sends only the head and half of the body. */
  readonly stopHalfway?: boolean;
  /** Sends the second half of the body after this time, in milliseconds. */
  readonly pauseHalfway?: number;
  /** Starts to read the body of the answer after this time, in milliseconds. @default 0 */
  readonly readAfter?: number;
}

function routeOf(name: string, kind: RequestKind, extra: Partial<Route>): Route {
  return {
    name,
    host: ROUTED_HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMilliseconds: 3_000,
    targetMilliseconds: 200,
    priority: 1,
    services: [{ service: SERVICE, weight: 1 }],
    maximumAttempts: 2,
    resumable: false,
    retained: false,
    retentionSeconds: 60,
    isPublic: false,
    ...extra,
  };
}

const ROUTES = [
  routeOf('repeatable', 'repeatable', {}),
  routeOf('single', 'single', {}),
  routeOf('stream', 'stream', { resumable: true }),
  routeOf('once', 'single', { maximumAttempts: 1 }),
  routeOf('lone', 'stream', { resumable: true, maximumAttempts: 1 }),
  routeOf('kept', 'stream', { retained: true }),
  routeOf('open', 'single', { isPublic: true }),
];
const LIMITS = {
  headerBytes: 4_096,
  bodyBytes: 100_000,
  headerMilliseconds: 3_000,
  idleMilliseconds: 5_000,
};
const SERVICES = [
  {
    name: SERVICE,
    maximumConnections: 20,
    tokensPerEvent: TOKENS_PER_EVENT,
    cachesPrompts: true,
    memoryTokens: undefined,
  },
];

/** Options of a {@link RelayWorld}. */
export interface RelayWorldOptions {
  /** Thresholds of the gateway's memory budget. @default none */
  readonly memoryBounds?: MemoryBounds;
  /** Maximum number of connections of each runner. @default 20 */
  readonly maximumConnections?: number;
  /** Timeout of the routes, in milliseconds. @default 3000 */
  readonly timeoutMilliseconds?: number;
  /** Time from the stop of the gateway to the end of its process, in milliseconds. @default 8000 */
  readonly graceMilliseconds?: number;
  /** Rules by which a runner must not get a request. @default none */
  readonly exclusions?: readonly RunnerExclusion[];
  /** Requests per second that a cold runner of the service takes. @default unlimited */
  readonly coldRequestsPerSecond?: number;
  /** Zones of the two runners. @default the gateway's */
  readonly runnerZones?: readonly [string, string];
  /** Regions that the routes allow. @default all */
  readonly allowedRegions?: ReadonlySet<string>;
  /** Regions in which turns are stored. @default not known */
  readonly storageRegions?: ReadonlySet<string>;
  /** Counts the bytes exchanged with runners. @default not counted */
  readonly traffic?: RegionTraffic;
  /** Largest body of a request. @default 100,000 */
  readonly bodyBytes?: number;
  /** Options of the runners. */
  readonly runner?: Partial<RelayRunnerOptions>;
}

/** Starts the processes of a test and sends requests to the gateway. */
export class RelayWorld {
  readonly runtime: Runtime = createRealRuntime({ seed: 1, logLevel: 'error' });
  readonly runners: RelayRunner[] = [];
  readonly results: ClientResult[] = [];
  gateway!: RelayGateway;
  private ports: readonly number[] = [];
  private runnerPorts: number[] = [];
  private replicaServer: ReplicaServer | undefined;
  private replica: Replica | undefined;
  private caller: TcpReplicaCaller | undefined;
  private requestCount = 0;
  /** Whether the gateway takes the replicas to be in reach. */
  reachesReplicas = true;
  /** Identifier of the last request sent. */
  lastId = '';

  constructor(private readonly options: RelayWorldOptions = {}) {}

  /** Port for client requests. */
  get frontPort(): number {
    return this.ports[0]!;
  }

  /** Port for readiness checks. */
  get readyPort(): number {
    return this.ports[1]!;
  }

  /** Name of the header with a request's timeout in milliseconds. */
  get timeoutHeader(): string {
    return NAMES.timeout;
  }

  /** Address of the first runner. */
  get runnerAddress(): { readonly host: string; readonly port: number } {
    return { host: HOST, port: this.runnerPorts[0]! };
  }

  /** Number of requests that runners answered with 421, since they were meant for others. */
  get misdirected(): number {
    return this.runners.reduce((sum, { misdirectedCount }) => sum + misdirectedCount, 0);
  }

  /** Number of turns that the replica has stored. */
  get storedTurns(): number {
    return this.replica?.state.counts.turns ?? 0;
  }

  /** Starts all parts; without a configuration the gateway serves nothing. */
  async start(configured: boolean): Promise<void> {
    this.ports = await findFreePorts(HOST, 3);
    const [front, ready, replicaPort] = this.ports as [number, number, number];
    const directory = new MemberDirectory(this.runtime);
    const member = { id: 'r1', node: 'r1', host: HOST, port: replicaPort, zone: ZONE };
    directory.offer({ epoch: 1, members: [member] }, 'test');
    const storage = new MemoryTurnStorage(this.runtime);
    this.replica = new Replica({ id: 'r1', runtime: this.runtime, storage, directory });
    this.replica.markReady('test');
    this.replicaServer = new ReplicaServer(this.replica, directory, this.runtime);
    this.replicaServer.listen(HOST, replicaPort, () => undefined);
    this.caller = new TcpReplicaCaller(this.runtime, () => undefined);
    const { runtime, caller } = this;
    const { memoryBounds, traffic, storageRegions } = this.options;
    const { exclusions = [], graceMilliseconds = 8_000 } = this.options;
    const isReachable = (): boolean => this.reachesReplicas;
    const turns = new TurnClient({ runtime, directory, caller, zone: ZONE, isReachable });
    this.gateway = new RelayGateway({
      runtime,
      zone: ZONE,
      names: NAMES,
      turns,
      quotas: new QuotaClient({ runtime, directory, caller }),
      front: { host: HOST, port: front },
      ready: { host: HOST, port: ready },
      graceMilliseconds,
      exclusions,
      ...(memoryBounds === undefined ? {} : { memoryBounds }),
      ...(traffic === undefined ? {} : { traffic }),
      ...(storageRegions === undefined ? {} : { storageRegions }),
    });
    for (const id of ['one', 'two']) {
      const runner = new RelayRunner({
        id,
        names: NAMES,
        pauseMilliseconds: 20,
        ...this.options.runner,
      });
      this.runners.push(runner);
      this.runnerPorts.push(await runner.listen());
      this.listRunner(this.runners.length - 1, true);
    }
    if (configured) {
      this.gateway.applyTable(
        createRoutingTable(7, this.routes, this.services, this.limits),
        'test',
      );
    }
  }

  private get routes(): readonly Route[] {
    const { timeoutMilliseconds, allowedRegions } = this.options;
    const routes =
      timeoutMilliseconds === undefined
        ? ROUTES
        : ROUTES.map((route) => ({ ...route, timeoutMilliseconds }));
    return allowedRegions === undefined
      ? routes
      : routes.map((route) => ({ ...route, allowedRegions }));
  }

  private get limits(): typeof LIMITS {
    const { bodyBytes = LIMITS.bodyBytes } = this.options;
    return { ...LIMITS, bodyBytes };
  }

  private get services(): typeof SERVICES {
    const { maximumConnections = SERVICES[0]!.maximumConnections, coldRequestsPerSecond } =
      this.options;
    return SERVICES.map((service) => ({ ...service, maximumConnections, coldRequestsPerSecond }));
  }

  /** Applies a configuration without routes. */
  applyEmptyTable(version: number): void {
    this.gateway.applyTable(createRoutingTable(version, [], [], LIMITS), 'test');
  }

  /** Applies a configuration that has the routes and lists no service any more. */
  dropServices(version: number): void {
    this.gateway.applyTable(createRoutingTable(version, this.routes, [], LIMITS), 'test');
  }

  /** Applies a configuration with tenants; throws if it is invalid. */
  applyTenants(version: number, tenants: readonly TenantSettings[]): void {
    const { byKey, problems } = createTenantsByKey(tenants);
    if (problems.length > 0) {
      throw new Error(problems.join('; '));
    }
    const table = createRoutingTable(version, ROUTES, SERVICES, LIMITS, byKey);
    this.gateway.applyTable(table, 'test');
  }

  /** Adds or updates a runner in the gateway's list. */
  listRunner(index: number, ready: boolean, atPort?: number, zone = ZONE): void {
    const id = ['one', 'two'][index]!;
    const port = atPort ?? this.runnerPorts[index]!;
    this.gateway.registry.put({
      id,
      service: SERVICE,
      host: HOST,
      port,
      zone: this.options.runnerZones?.[index] ?? zone,
      slots: 4,
      ready,
    });
  }

  /** Lists a runner that has ended at the address of a live one, which answers its requests with 421. */
  listEndedRunner(index: number): void {
    const port = this.runnerPorts[index]!;
    const place = { service: SERVICE, host: HOST, port, zone: ZONE, slots: 4, ready: true };
    this.gateway.registry.put({ id: 'ended', ...place });
  }

  /** Turns all runners cold, as their entries report it. */
  turnCold(milliseconds: number, limit: number): void {
    this.runners.forEach((runner, index) => {
      runner.turnCold(milliseconds, limit);
      const [id, port] = [runner.id, this.runnerPorts[index]!];
      const place = { service: SERVICE, host: HOST, port, zone: ZONE, slots: 4, ready: true };
      this.gateway.registry.put({ id, ...place, coldMilliseconds: milliseconds });
    });
  }

  /** Stops the replica. */
  stopReplicas(): void {
    this.replicaServer?.close();
    this.replica?.close();
  }

  /** Sends one request and resolves when its answer ends. */
  send(route: string, options: ClientOptions = {}): Promise<ClientResult> {
    this.requestCount += 1;
    const id = 'id' in options ? options.id : `request-${this.requestCount}`;
    this.lastId = id ?? '';
    const { body = '', host = ROUTED_HOST, path = `/${route}/work?${route}` } = options;
    const streamPath = route === 'kept' || route === 'lone' ? `/${route}/work?stream` : path;
    const headers: Record<string, string | string[]> = {
      host,
      'content-length': String(body.length),
      ...(id === undefined ? {} : { [NAMES.requestId]: id }),
      [NAMES.timeout]: '3000',
      ...options.headers,
    };
    return new Promise((resolve) => {
      const client = httpRequest(
        {
          host: HOST,
          port: this.ports[0]!,
          method: 'POST',
          path: 'path' in options ? path : streamPath,
          headers,
          agent: false,
        },
        (response) => {
          const chunks: Buffer[] = [];
          let bytes = 0;
          const read = (): void => {
            response.on('data', (chunk: Buffer) => {
              chunks.push(chunk);
              bytes += chunk.length;
              if (bytes > MAXIMUM_ANSWER_BYTES) {
                response.destroy();
              }
            });
          };
          if (options.readAfter === undefined) {
            read();
          } else {
            setTimeout(read, options.readAfter);
          }
          response.on('error', () => undefined);
          response.on('close', () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: Buffer.concat(chunks).toString('utf8'),
              complete: response.complete,
            }),
          );
        },
      );
      client.on('error', () => resolve({ status: 0, headers: {}, body: '', complete: false }));
      if (options.stopHalfway === true) {
        client.write(body.slice(0, body.length / 2));
      } else if (options.pauseHalfway !== undefined) {
        client.write(body.slice(0, body.length / 2));
        setTimeout(() => client.end(body.slice(body.length / 2)), options.pauseHalfway);
      } else {
        client.end(body);
      }
      if (options.disconnectAfter !== undefined) {
        setTimeout(() => client.destroy(), options.disconnectAfter);
      }
    });
  }

  /** Returns the status of the gateway's readiness probe. */
  probeReadiness(): Promise<number> {
    return new Promise((resolve, reject) => {
      const target = { host: HOST, port: this.ports[1]!, path: '/', agent: false as const };
      const client = httpRequest(target, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      });
      client.on('error', reject);
      client.end();
    });
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.gateway.close();
    this.caller?.close();
    this.stopReplicas();
    await Promise.all(this.runners.map((runner) => runner.crash()));
  }
}
