/** Gateways that share replicas, before runners of several software versions of one service, all on loopback. */
import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { RelayRunner } from '../../src/emulator/relay-runner.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { RelayGateway } from '../../src/relay/relay-gateway.js';
import { createRoutingTable } from '../../src/relay/request/routing-table.js';
import type { Route } from '../../src/relay/request/routing-table.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { Member } from '../../src/turns/membership.js';
import { MemoryTurnStorage } from '../../src/turns/memory-turn-storage.js';
import { QuotaClient } from '../../src/turns/quota-client.js';
import { Replica } from '../../src/turns/replica.js';
import { ReplicaServer } from '../../src/turns/replica-server.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../../src/turns/stream-origins.js';
import { TcpReplicaCaller } from '../../src/turns/tcp-replica-caller.js';
import { TurnClient } from '../../src/turns/turn-client.js';

const HOST = '127.0.0.1';
const ZONE = 'hall';
const SERVICE = 'minds';
export const OTHER_SERVICE = 'other-minds';
const REPLICAS = 3;
const EVENTS = 6;
const EVENT_MILLISECONDS = 10;
const STEP_MILLISECONDS = 10;
/** Time in which reports reach the replicas, beside busy processes too. */
const REPORT_MILLISECONDS = 3_000;
const ROUTE: Route = {
  name: 'chat',
  host: 'shop.example',
  pathPrefix: '/',
  kind: 'stream',
  timeoutMilliseconds: 3_000,
  targetMilliseconds: 200,
  priority: 1,
  services: [{ service: SERVICE, weight: 1 }],
  maximumAttempts: 2,
  resumable: true,
  retained: false,
  retentionSeconds: 0,
  isPublic: false,
};
/** Path prefix of a route that is split evenly between two services. */
export const SPLIT_PATH = '/split';
const SPLIT_ROUTE: Route = {
  ...ROUTE,
  name: 'split',
  pathPrefix: `${SPLIT_PATH}/`,
  services: [
    { service: SERVICE, weight: 1 },
    { service: OTHER_SERVICE, weight: 1 },
  ],
};
/** Path prefix of a route that retains its turns, and may be resumed. */
export const RETAINED_PATH = '/retained';
/** Path prefix of a route that retains its turns, and may not be resumed. */
export const UNRESUMABLE_PATH = '/unresumable';
const RETAINED_ROUTES: readonly Route[] = [RETAINED_PATH, UNRESUMABLE_PATH].map((path) => ({
  ...ROUTE,
  name: path.slice(1),
  pathPrefix: `${path}/`,
  retained: true,
  retentionSeconds: 60,
  resumable: path === RETAINED_PATH,
}));
const LIMITS = {
  headerBytes: 4_096,
  bodyBytes: 100_000,
  headerMilliseconds: 3_000,
  idleMilliseconds: 5_000,
};

/** An event as a client received it. */
export interface ReceivedEvent {
  readonly id: number;
  readonly version: string;
}

/** What a client received in one try. */
export interface TryResult {
  readonly requestId: string;
  readonly status: number;
  readonly events: readonly ReceivedEvent[];
  /** Whether the answer is complete. */
  readonly complete: boolean;
  readonly retryAfter: string | undefined;
}

/** The events that a stream consists of, over all tries of its client. */
export const ALL_EVENTS: readonly number[] = Array.from(
  { length: EVENTS },
  (_, index) => index + 1,
);

function eventsOf(text: string): ReceivedEvent[] {
  const events = text.matchAll(/^id: (\d+)\ndata: event \d+ by (\S+)\n\n/gm);
  return [...events].map(([, id, version]) => ({ id: Number(id), version: version! }));
}

/** A runner with its place in the lists of the gateways. */
export interface VersionedRunner {
  readonly runner: RelayRunner;
  readonly version: string;
  readonly service: string;
  readonly port: number;
  /** Whether its entry was removed. */
  hasLeft: boolean;
}

/** Starts the parts, lists runners and sends requests. */
export class VersionWorld {
  readonly runtime = createRealRuntime({ seed: 1, logLevel: 'error' });
  readonly runners: VersionedRunner[] = [];
  gateways: RelayGateway[] = [];
  private readonly fronts: number[] = [];
  private readonly replicas: Replica[] = [];
  private readonly servers: ReplicaServer[] = [];
  private readonly callers: TcpReplicaCaller[] = [];
  private readonly turns: TurnClient[] = [];
  private members: readonly Member[] = [];
  private requestCount = 0;
  private readonly killed = new Set<RelayGateway>();
  private route = ROUTE;
  private tableVersion = 7;

  /** Starts the replicas and some gateways. */
  async start(gatewayCount: number): Promise<void> {
    const ports = await findFreePorts(HOST, REPLICAS);
    this.members = ports.map((port, index) => {
      const id = `r${index + 1}`;
      return { id, node: id, host: HOST, port, zone: ZONE };
    });
    this.members.forEach((member) => this.startReplica(member, true));
    for (let index = 0; index < gatewayCount; index += 1) {
      await this.startGateway();
    }
  }

  /**
   * Starts a gateway that knows the replicas and no runner.
   * @param isFirstStart whether no gateway ran before
   */
  async startGateway(isFirstStart = true): Promise<RelayGateway> {
    const { runtime } = this;
    const [front, ready] = await findFreePorts(HOST, 2);
    const directory = this.createDirectory();
    const caller = new TcpReplicaCaller(runtime, () => undefined);
    const turns = new TurnClient({ runtime, directory, caller, zone: ZONE });
    const gateway = new RelayGateway({
      runtime,
      zone: ZONE,
      names: NAMES,
      turns,
      quotas: new QuotaClient({ runtime, directory, caller }),
      front: { host: HOST, port: front! },
      ready: { host: HOST, port: ready! },
      graceMilliseconds: 8_000,
    });
    if (!isFirstStart) {
      gateway.registry.versions.forgetPast();
    }
    this.applyTable(gateway);
    this.gateways.push(gateway);
    this.fronts.push(front!);
    this.callers.push(caller);
    this.turns.push(turns);
    return gateway;
  }

  /**
   * Starts a runner of a software version and lists it at the gateways.
   * @param text how its events name it
   * @param gatewayCount number of gateways that list it so far
   */
  async startRunner(
    version: string,
    service = SERVICE,
    text = version,
    gatewayCount = Infinity,
  ): Promise<VersionedRunner> {
    const runner = new RelayRunner({
      id: `runner-${this.runners.length}`,
      names: NAMES,
      softwareVersion: text,
      eventCount: EVENTS,
      pauseMilliseconds: EVENT_MILLISECONDS,
    });
    const versioned = { runner, version, service, port: await runner.listen(), hasLeft: false };
    this.runners.push(versioned);
    this.runningGateways.slice(0, gatewayCount).forEach((gateway) => this.list(gateway, versioned));
    return versioned;
  }

  /** Puts a runner's entry into the list of a gateway. */
  list(
    gateway: RelayGateway,
    { runner, version, service, port }: Omit<VersionedRunner, 'hasLeft'>,
    ready = true,
  ): void {
    const place = { host: HOST, port, zone: ZONE, slots: 8 };
    const entry = { id: runner.id, service, softwareVersion: version, ready, ...place };
    gateway.registry.put(entry);
  }

  /** Ends a gateway at once, as a kill does; it learns nothing more. */
  kill(index: number): void {
    this.killed.add(this.gateways[index]!);
    this.gateways[index]!.close();
    this.callers[index]!.close();
  }

  /** Moves the route to another service at some gateways, as a change of the configuration does. */
  moveRoute(service: string, gatewayCount = Infinity): void {
    this.tableVersion += 1;
    this.route = { ...ROUTE, services: [{ service, weight: 1 }] };
    this.runningGateways.slice(0, gatewayCount).forEach((gateway) => this.applyTable(gateway));
  }

  private get runningGateways(): RelayGateway[] {
    return this.gateways.filter((gateway) => !this.killed.has(gateway));
  }

  private applyTable(gateway: RelayGateway): void {
    const services = [SERVICE, OTHER_SERVICE].map((name) => ({
      name,
      maximumConnections: 20,
      tokensPerEvent: 10,
      cachesPrompts: true,
      memoryTokens: undefined,
    }));
    const routes = [this.route, SPLIT_ROUTE, ...RETAINED_ROUTES];
    gateway.applyTable(createRoutingTable(this.tableVersion, routes, services, LIMITS), 'test');
  }

  /** Ends all gateways at once. */
  killAllGateways(): void {
    this.gateways.forEach((_, index) => this.kill(index));
  }

  /** Starts a gateway after others had run, which lists all runners that have not left. */
  async returnGateway(): Promise<number> {
    const gateway = await this.startGateway(false);
    this.runners.filter(({ hasLeft }) => !hasLeft).forEach((runner) => this.list(gateway, runner));
    return this.gateways.length - 1;
  }

  /** Removes the entries of a version's runners, which serve on. */
  unlist(version: string): void {
    for (const runner of this.runners.filter((each) => each.version === version)) {
      runner.hasLeft = true;
      this.runningGateways.forEach(({ registry }) => registry.remove(runner.runner.id));
    }
  }

  /** Stops replicas, which lose what they hold in memory. */
  stopReplicas(count = REPLICAS): void {
    this.servers.splice(0, count).forEach((server) => server.close());
    this.replicas.splice(0, count).forEach((replica) => replica.close());
  }

  /** Stops the replicas and starts them again; they lose what they hold in memory. */
  restartReplicas(): void {
    this.stopReplicas();
    this.members.forEach((member) => this.startReplica(member, false));
  }

  /**
   * Waits until each replica has reports about the whole time for which streams may be resumed.
   * @param reportingGateways number of gateways that report meanwhile, instead of at the next interval
   */
  async untilReplicasKnow(reportingGateways = 0): Promise<void> {
    const until = performance.now() + REPORT_MILLISECONDS;
    let known = await this.leastKnownMilliseconds();
    while (known < ORIGIN_RETENTION_MILLISECONDS) {
      assert.ok(performance.now() < until, `a replica knows the last ${known} ms only`);
      this.turns.slice(0, reportingGateways).forEach(({ versions }) => versions.reportSoon());
      await new Promise((resolve) => setTimeout(resolve, STEP_MILLISECONDS));
      known = await this.leastKnownMilliseconds();
    }
  }

  /** Asks each replica as a gateway does that knows nothing. */
  private async leastKnownMilliseconds(): Promise<number> {
    const question = { type: 'exchangeVersions' as const, knownMilliseconds: 0, versions: [] };
    const replies = this.members.map(
      (member) =>
        new Promise<number>((resolve) =>
          this.callers[0]!.call(member, question, REPORT_MILLISECONDS, (reply) =>
            resolve(reply?.type === 'versionsExchanged' ? reply.knownMilliseconds : 0),
          ),
        ),
    );
    return Math.min(...(await Promise.all(replies)));
  }

  /**
   * Sends one try to a gateway.
   * @param resumed the try whose answer brought the stream's first event, and the last event received
   * @param leaveAfter number of events after which the client leaves
   * @param previousTurn the turn that the request continues
   */
  send(
    gateway: number,
    resumed?: { readonly requestId: string | undefined; readonly lastEvent: number | string },
    leaveAfter = Infinity,
    path = '',
    previousTurn?: string,
  ): Promise<TryResult> {
    this.requestCount += 1;
    const requestId = `request-${this.requestCount}`;
    const headers: Record<string, string> = {
      host: ROUTE.host,
      'content-length': '0',
      [NAMES.requestId]: requestId,
      [NAMES.timeout]: '3000',
    };
    if (resumed !== undefined) {
      headers[NAMES.lastEventId] = String(resumed.lastEvent);
    }
    if (resumed?.requestId !== undefined) {
      headers[NAMES.resumes] = resumed.requestId;
    }
    if (previousTurn !== undefined) {
      headers[NAMES.previousTurn] = previousTurn;
    }
    const target = { host: HOST, port: this.fronts[gateway]!, agent: false as const };
    return new Promise((resolve) => {
      const options = { ...target, method: 'POST', path: `${path}/chat?stream`, headers };
      const client = httpRequest(options, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          if (eventsOf(text).length >= leaveAfter) {
            client.destroy();
          }
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          const retryAfter = response.headers['retry-after'];
          const status = response.statusCode ?? 0;
          const { complete } = response;
          resolve({ requestId, status, events: eventsOf(text), complete, retryAfter });
        });
      });
      client.on('error', () =>
        resolve({ requestId, status: 0, events: [], complete: false, retryAfter: undefined }),
      );
      client.end();
    });
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.gateways.forEach((gateway) => gateway.close());
    this.callers.forEach((caller) => caller.close());
    this.stopReplicas();
    await Promise.all(this.runners.map(({ runner }) => runner.crash()));
  }

  private createDirectory(): MemberDirectory {
    const directory = new MemberDirectory(this.runtime);
    directory.offer({ epoch: 1, members: this.members }, 'test');
    return directory;
  }

  private startReplica({ id, host, port }: Member, isFirstStart: boolean): void {
    const { runtime } = this;
    const directory = this.createDirectory();
    const storage = new MemoryTurnStorage(runtime);
    const replica = new Replica({ id, runtime, storage, directory, isFirstStart });
    replica.markReady('test');
    const server = new ReplicaServer(replica, directory, runtime);
    server.listen(host, port, () => undefined);
    this.replicas.push(replica);
    this.servers.push(server);
  }
}
