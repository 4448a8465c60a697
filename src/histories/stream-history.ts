/**
 * Simulates one seeded history of streams that clients resume at any gateway while several software versions of a runner
 * serve and change, under faults. Checks what clients see: events of one version in each stream, and that resumptions go
 * on at gateways and replicas without a recent fault.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import type { Runtime } from '../runtime/runtime.js';
import { SimulatedProcess } from '../simulation/simulated-process.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import type { RelayRequest } from '../relay/request/relay-request.js';
import type { Route } from '../relay/request/routing-table.js';
import { ResumableStreams } from '../relay/runners/resumable-streams.js';
import { RunnerExclusions } from '../relay/runners/runner-exclusions.js';
import { RunnerRegistry } from '../relay/runners/runner-registry.js';
import { softwareVersionOf } from '../relay/runners/runner.js';
import type { Runner } from '../relay/runners/runner.js';
import { SOFTWARE_VERSION_RULE } from '../relay/runners/software-version-rule.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../turns/stream-origins.js';
import type { StreamContent, StreamOrigin } from '../turns/stream-origins.js';
import type { VersionExchange } from '../turns/version-exchange.js';

/** Defects built into the system under test to show that the checks detect them. */
export type InjectedStreamFault =
  /** Any runner may continue a stream. */
  | 'anyVersion'
  /** Gateways take the only version that they list for the origin, without regard to earlier ones. */
  | 'listBelieved'
  /** Gateways record nothing. */
  | 'nothingRecorded'
  /** Gateways take the only version that they list for the origin of streams that are not named. */
  | 'unnamedGuessed';

/** Options of a stream history. */
export interface StreamHistoryOptions {
  /** @default 6 */
  readonly gateways?: number;
  readonly injectedFault?: InjectedStreamFault;
}

/** Result of a stream history. */
export interface StreamHistoryResult {
  readonly seed: number;
  readonly streams: number;
  /** Resumptions by clients, and how many of them went on. */
  readonly resumptions: number;
  readonly resumed: number;
  /** The same at gateways and replicas without a recent fault, while two runners of the stream's version served. */
  readonly dueResumptions: number;
  readonly dueResumed: number;
  readonly violations: readonly string[];
}

const SERVICE = 'minds';
const ZONE = 'z1';
const VERSIONS = ['v1', 'v2', 'v3'];
const RUNNERS_PER_VERSION = 3;
const REPLICAS = 3;
const DURATION_MILLISECONDS = 60_000;
const STARTUP_MILLISECONDS = 8_000;
const STREAM_INTERVAL_MILLISECONDS = 40;
const EVENTS = 8;
const EVENT_MILLISECONDS = 30;
const FAULT_INTERVAL_MILLISECONDS = 2_500;
/** Pause between the restarts of two gateways when all are restarted in turn. */
const ROLL_MILLISECONDS = 400;
/** Pause after which a client asks again while no gateway runs, and the number of times that it does. */
const RETURN_MILLISECONDS = 250;
const MAXIMUM_PAUSES = 12;
/** Share of the gateways that one fault kills together. */
const KILLED_SHARE = 0.5;
/** Time after a fault in which no resumption at the affected gateways and replicas is due. */
const CONTACT_MILLISECONDS = 3_000;
/** Longest time until a gateway in contact has a change of the list. */
const APPLY_MILLISECONDS = 2_000;
const GOSSIP_MILLISECONDS = 300;
const LINK_MILLISECONDS = 2;
/** Resumptions from which on their share is checked. */
const MINIMUM_RESUMPTIONS = 12;
const MINIMUM_SHARE = 0.5;
/** Share of the tries that their client leaves. */
const LEAVE_SHARE = 0.3;
/** Share of the clients that name the streams that they resume. */
const NAMED_SHARE = 0.5;
/** Share of the resumptions that come late, and the longest pause before these, in milliseconds. */
const RESUME_LATE_SHARE = 0.1;
const LATE_MILLISECONDS = 8_000;
const REMAINING_MILLISECONDS = 3_000;
const ROUTE: Route = {
  name: 'chat',
  host: 'host',
  pathPrefix: '/',
  kind: 'stream',
  timeoutMilliseconds: REMAINING_MILLISECONDS,
  targetMilliseconds: 200,
  priority: 1,
  services: [{ service: SERVICE, weight: 1 }],
  maximumAttempts: 2,
  resumable: true,
  retained: false,
  retentionSeconds: 0,
  isPublic: false,
};
const REQUEST = { route: ROUTE } as RelayRequest;

/** A stream as its client sees it. */
interface ClientStream {
  /** Request whose answer brought the first event; undefined before it. */
  first: string | undefined;
  events: number;
  readonly versions: Set<string>;
  tries: number;
  /** Number of times that the client found no gateway. */
  pauses: number;
  readonly content: StreamContent;
  /** Whether the client names the stream when it resumes it. */
  readonly isNamed: boolean;
}

/** A simulated gateway with the production parts that decide where streams continue. */
interface StreamGateway {
  readonly name: string;
  readonly process: SimulatedProcess;
  registry: RunnerRegistry;
  streams: ResumableStreams;
  exchange: VersionExchange;
  /** Process of the calls to replicas, which shares the fate of the gateway's. */
  clientProcess: SimulatedProcess;
  /** Runs of the process; a stream ends with the run that serves it. */
  run: number;
  isCutFromStore: boolean;
  /** Local time of the last proof that the list is recent, in milliseconds. */
  provenAt: number;
  faultAt: number;
}

class StreamHistory {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly replicas: SimulatedReplicas;
  private readonly gateways: StreamGateway[] = [];
  private readonly exclusions: RunnerExclusions;
  private readonly violations: string[] = [];
  /** Runners as the store lists them. */
  private listed: Runner[] = [];
  private readonly crashed = new Set<string>();
  private replicaFaultAt = -Infinity;
  /** Local time at which a majority of the replicas last started again at once, in milliseconds. */
  private replicasRestartedAt = -Infinity;
  private storeSilentUntil = -Infinity;
  private runnerCount = 0;
  private requestCount = 0;
  private streamCount = 0;
  private readonly counts = { resumptions: 0, resumed: 0, dueResumptions: 0, dueResumed: 0 };

  constructor(
    private readonly seed: number,
    private readonly options: StreamHistoryOptions,
  ) {
    this.random = createRandom(seed, 'stream history');
    this.replicas = new SimulatedReplicas(this.clock, createRandom(seed, 'links'));
    const rules = options.injectedFault === 'anyVersion' ? [] : [SOFTWARE_VERSION_RULE];
    this.exclusions = new RunnerExclusions(rules);
  }

  run(): StreamHistoryResult {
    for (let index = 1; index <= REPLICAS; index += 1) {
      this.replicas.add(`r${index}`, ZONE);
    }
    this.wait(STARTUP_MILLISECONDS);
    const { gateways = 6 } = this.options;
    for (let index = 1; index <= gateways; index += 1) {
      this.gateways.push(this.createGateway(`g${index}`));
    }
    this.gateways.forEach((gateway) => this.start(gateway, true));
    this.startRunners(VERSIONS[0]!, RUNNERS_PER_VERSION);
    this.wait(APPLY_MILLISECONDS);
    this.repeat(STREAM_INTERVAL_MILLISECONDS, () => this.beginStream());
    this.repeat(FAULT_INTERVAL_MILLISECONDS, () => this.injectFault());
    this.repeat(APPLY_MILLISECONDS / 4, () => this.proveLists());
    this.wait(DURATION_MILLISECONDS);
    this.checkShare();
    const { seed, violations, counts, streamCount: streams } = this;
    return { seed, streams, ...counts, violations };
  }

  private wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  private repeat(milliseconds: number, action: () => void): void {
    this.clock.schedule(milliseconds * (0.5 + this.random.uniform()), () => {
      action();
      this.repeat(milliseconds, action);
    });
  }

  private createGateway(name: string): StreamGateway {
    const process = new SimulatedProcess(name, this.clock, this.random);
    const parts = this.createParts(name, process.start());
    return {
      name,
      process,
      ...parts,
      run: 0,
      isCutFromStore: false,
      provenAt: 0,
      faultAt: -Infinity,
    };
  }

  private createParts(
    name: string,
    runtime: Runtime,
  ): Pick<StreamGateway, 'registry' | 'streams' | 'exchange' | 'clientProcess'> {
    const registry = new RunnerRegistry(runtime);
    const [knownTo] = this.replicas.runningNames();
    const { client, process: clientProcess } = this.replicas.client(name, ZONE, knownTo ?? 'r1');
    const { origins, versions: exchange } = client;
    const { versions } = registry;
    const streams = new ResumableStreams({ runtime, client: origins, versions, exchange });
    return { registry, streams, exchange, clientProcess };
  }

  /** Starts a gateway: it lists the runners, and learns from peers which versions were listed before. */
  private start(gateway: StreamGateway, isFirstStart = false): void {
    gateway.run += 1;
    gateway.clientProcess.kill();
    Object.assign(gateway, this.createParts(gateway.name, gateway.process.start()));
    const { versions } = gateway.registry;
    const { injectedFault } = this.options;
    versions.isListProven = () => this.clock.now - gateway.provenAt <= APPLY_MILLISECONDS;
    versions.isMixedElsewhere = (service) => this.isMixedElsewhere(gateway, service);
    if (injectedFault === 'listBelieved') {
      versions.isListProven = () => true;
    } else {
      if (!isFirstStart) {
        versions.forgetPast();
      }
      versions.noteRoutes([ROUTE]);
      versions.onListed = () => gateway.exchange.reportSoon();
      gateway.exchange.start(versions);
    }
    const { run } = gateway;
    this.clock.schedule(this.lag(), () => {
      if (gateway.run === run && gateway.process.isAlive && !gateway.isCutFromStore) {
        this.listed.forEach((runner) => gateway.registry.put(runner));
        gateway.provenAt = this.isStoreSilent ? -Infinity : this.clock.now;
        this.readReports(gateway);
      }
    });
  }

  private readReports(gateway: StreamGateway): void {
    const { versions } = gateway.registry;
    for (const peer of this.gateways.filter((each) => each !== gateway && this.isRunning(each))) {
      const report = peer.registry.versions.report();
      if (report !== undefined && versions.needsReports) {
        versions.merge(report);
      }
    }
  }

  private isRunning({ process }: StreamGateway): boolean {
    return process.isAlive && !process.isPaused;
  }

  /** Gossip reaches all running gateways, including those that are cut off from the store. */
  private isMixedElsewhere(gateway: StreamGateway, service: string): boolean {
    return this.gateways.some(
      (peer) =>
        peer !== gateway &&
        this.isRunning(peer) &&
        this.clock.now - peer.faultAt > GOSSIP_MILLISECONDS &&
        peer.registry.versions.mixedServices().includes(service),
    );
  }

  private lag(): number {
    return LINK_MILLISECONDS + this.random.uniform() * (APPLY_MILLISECONDS / 2);
  }

  /** Brings a change of the list to the gateways, each after a while of its own. */
  private announce(apply: (registry: RunnerRegistry) => void): void {
    for (const gateway of this.gateways) {
      const { run } = gateway;
      this.clock.schedule(this.lag(), () =>
        gateway.process.execute(() => {
          if (gateway.run === run && !gateway.isCutFromStore) {
            apply(gateway.registry);
          }
        }),
      );
    }
  }

  private proveLists(): void {
    for (const gateway of this.gateways) {
      if (this.isRunning(gateway) && !gateway.isCutFromStore && !this.isStoreSilent) {
        gateway.provenAt = this.clock.now;
      }
    }
  }

  private get isStoreSilent(): boolean {
    return this.clock.now < this.storeSilentUntil;
  }

  private startRunners(version: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.runnerCount += 1;
      const runner: Runner = {
        id: `runner-${this.runnerCount}`,
        service: SERVICE,
        host: `10.0.1.${this.runnerCount % 250}`,
        port: 1,
        zone: ZONE,
        softwareVersion: version,
        slots: 8,
        ready: true,
      };
      this.listed.push(runner);
      this.announce((registry) => registry.put(runner));
    }
  }

  /** Removes runners; those that crash interrupt their streams, the others finish them. */
  private removeRunners(removed: readonly Runner[], isCrash: boolean): void {
    this.listed = this.listed.filter((runner) => !removed.includes(runner));
    for (const { id } of removed) {
      if (isCrash) {
        this.crashed.add(id);
      }
      this.announce((registry) => registry.remove(id));
    }
  }

  private injectFault(): void {
    const { random } = this;
    if (this.isStoreSilent) {
      // Nothing can be written, so that only processes fail.
      this.killGateways([random.pick(this.gateways)]);
      return;
    }
    const gateway = random.pick(this.gateways);
    const faults: readonly (() => void)[] = [
      () => this.killGateways([gateway]),
      () => this.killGateways([gateway]),
      () => this.killGateways(this.gateways.filter(() => random.uniform() < KILLED_SHARE)),
      () => this.killGateways(this.gateways),
      () => this.replaceVersionWhileAway(),
      () => this.pauseGateway(gateway),
      () => this.cutFromStore(gateway),
      () => this.cutFromReplicas(gateway),
      () => this.rollGateways(),
      () => this.silenceStore(),
      () => this.pauseReplica(),
      () => this.killReplicas(1),
      () => this.killReplicas(REPLICAS),
      () => this.release(),
      () => this.release(),
      () => this.release(),
      () => this.crashRunner(),
      () => this.crashRunner(),
    ];
    random.pick(faults)();
  }

  private killGateways(gateways: readonly StreamGateway[]): void {
    const downMilliseconds = 200 + this.random.uniform() * 1_000;
    for (const gateway of gateways) {
      [gateway.process, gateway.clientProcess].forEach((process) => process.kill());
      gateway.run += 1;
      gateway.faultAt = this.clock.now + downMilliseconds;
      this.clock.schedule(downMilliseconds, () => {
        if (!gateway.process.isAlive) {
          this.start(gateway);
        }
      });
    }
  }

  /** Kills all gateways, at times also all replicas; before they return, one version replaces all others. */
  private replaceVersionWhileAway(): void {
    const leaving = [...this.listed];
    const version = this.random.pick(VERSIONS);
    this.killGateways(this.gateways);
    if (this.random.uniform() < KILLED_SHARE) {
      this.killReplicas(REPLICAS);
    }
    this.removeRunners(
      leaving.filter((runner) => softwareVersionOf(runner) !== version),
      false,
    );
    this.startRunners(version, RUNNERS_PER_VERSION);
  }

  private pauseGateway(gateway: StreamGateway): void {
    const milliseconds = 300 + this.random.uniform() * 2_500;
    const processes = [gateway.process, gateway.clientProcess];
    processes.forEach((process) => process.pause());
    gateway.faultAt = this.clock.now + milliseconds;
    this.clock.schedule(milliseconds, () => processes.forEach((process) => process.resume()));
  }

  /** Cuts a gateway off from the store; afterwards it lists the runners anew. */
  private cutFromStore(gateway: StreamGateway): void {
    const milliseconds = 1_000 + this.random.uniform() * 5_000;
    gateway.isCutFromStore = true;
    gateway.faultAt = this.clock.now + milliseconds;
    this.clock.schedule(milliseconds, () => {
      gateway.isCutFromStore = false;
      const ids = new Set(this.listed.map(({ id }) => id));
      gateway.registry.readyRunners(SERVICE).forEach(({ id }) => {
        if (!ids.has(id)) {
          gateway.registry.remove(id);
        }
      });
      this.listed.forEach((runner) => gateway.registry.put(runner));
    });
  }

  private cutFromReplicas({ name }: StreamGateway): void {
    const milliseconds = 1_000 + this.random.uniform() * 4_000;
    const replicas = this.replicas.runningNames();
    replicas.forEach((replica) => this.replicas.cut(name, replica));
    const gateway = this.gateways.find((each) => each.name === name)!;
    gateway.faultAt = this.clock.now + milliseconds;
    this.clock.schedule(milliseconds, () =>
      replicas.forEach((replica) => this.replicas.heal(name, replica)),
    );
  }

  /** Kills and restarts all gateways one after another. */
  private rollGateways(): void {
    this.gateways.forEach((gateway, index) =>
      this.clock.schedule(index * ROLL_MILLISECONDS, () => this.killGateways([gateway])),
    );
  }

  /** The store answers nobody: no list is proved recent, and no entry changes. */
  private silenceStore(): void {
    const milliseconds = 3_000 + this.random.uniform() * 4_000;
    this.storeSilentUntil = this.clock.now + milliseconds;
    this.gateways.forEach((gateway) => {
      gateway.faultAt = Math.max(gateway.faultAt, this.storeSilentUntil);
    });
  }

  private pauseReplica(): void {
    const [name] = this.replicas.runningNames();
    const milliseconds = 500 + this.random.uniform() * 2_000;
    if (name !== undefined) {
      this.replicaFaultAt = Math.max(this.replicaFaultAt, this.clock.now + milliseconds);
      this.replicas.pause(name);
      this.clock.schedule(milliseconds, () => this.replicas.resume(name));
    }
  }

  private killReplicas(count: number): void {
    const names = this.replicas.runningNames().slice(0, count);
    const downMilliseconds = 300 + this.random.uniform() * 700;
    this.replicaFaultAt = this.clock.now + downMilliseconds;
    names.forEach((name) => this.replicas.kill(name));
    if (count > REPLICAS / 2) {
      this.replicasRestartedAt = this.clock.now;
    }
    this.clock.schedule(downMilliseconds, () => names.forEach((name) => this.replicas.start(name)));
  }

  /** Starts runners of another version; some time later the runners of one version leave. */
  private release(): void {
    const version = this.random.pick(VERSIONS);
    this.startRunners(version, RUNNERS_PER_VERSION);
    this.clock.schedule(1_000 + this.random.uniform() * 4_000, () => {
      const versions = [...new Set(this.listed.map(softwareVersionOf))];
      if (versions.length > 1 && !this.isStoreSilent) {
        const leaving = this.random.pick(versions);
        const runners = this.listed.filter((runner) => softwareVersionOf(runner) === leaving);
        this.removeRunners(runners, false);
      }
    });
  }

  private crashRunner(): void {
    if (this.listed.length > 0) {
      const runner = this.random.pick(this.listed);
      this.removeRunners([runner], true);
      this.startRunners(softwareVersionOf(runner), 1);
    }
  }

  private beginStream(): void {
    this.streamCount += 1;
    const content = this.streamCount as StreamContent;
    const isNamed = this.random.uniform() < NAMED_SHARE;
    const begun = { first: undefined, events: 0, versions: new Set<string>(), tries: 0, pauses: 0 };
    this.attempt({ ...begun, content, isNamed });
  }

  /** Sends one try of a stream to a gateway. */
  private attempt(stream: ClientStream): void {
    const running = this.gateways.filter((gateway) => this.isRunning(gateway));
    if (running.length === 0) {
      stream.pauses += 1;
      if (stream.pauses <= MAXIMUM_PAUSES) {
        this.clock.schedule(RETURN_MILLISECONDS, () => this.attempt(stream));
      }
      return;
    }
    stream.tries += 1;
    this.requestCount += 1;
    const gateway = this.random.pick(running);
    const request = `request-${this.requestCount}`;
    const { first } = stream;
    if (first === undefined) {
      this.serve(gateway, stream, request, undefined);
      return;
    }
    const isDue = this.isDue(gateway, stream);
    this.counts.resumptions += 1;
    this.counts.dueResumptions += isDue ? 1 : 0;
    const { run } = gateway;
    const resume = (origin: StreamOrigin | undefined): void => {
      if (origin !== undefined && gateway.run === run) {
        const goesOn = this.serve(gateway, stream, request, origin);
        this.counts.resumed += goesOn ? 1 : 0;
        this.counts.dueResumed += goesOn && isDue ? 1 : 0;
      }
    };
    this.findOrigin(gateway, stream, first, resume);
  }

  private findOrigin(
    { streams, registry }: StreamGateway,
    { isNamed, content }: ClientStream,
    first: string,
    done: (origin: StreamOrigin | undefined) => void,
  ): void {
    if (isNamed) {
      streams.find(first, ROUTE, REMAINING_MILLISECONDS, (found) => done(found?.origin));
    } else if (this.options.injectedFault === 'unnamedGuessed') {
      const versions = [...new Set(registry.readyRunners(SERVICE).map(softwareVersionOf))];
      const [version, ...others] = versions;
      const isGuessed = version !== undefined && others.length === 0;
      done(isGuessed ? { service: SERVICE, version } : undefined);
    } else {
      streams.findUnnamed(content, ROUTE, REMAINING_MILLISECONDS, (found) => done(found?.origin));
    }
  }

  /** Whether a resumption counts towards the share that must succeed. */
  private isDue(gateway: StreamGateway, { versions, isNamed }: ClientStream): boolean {
    const since = this.clock.now - CONTACT_MILLISECONDS;
    const [version] = versions;
    const ofVersion = this.listed.filter((runner) => softwareVersionOf(runner) === version);
    const isInContact = gateway.faultAt < since && this.replicaFaultAt < since;
    // Members that have restarted don't know whether another stream has the same content.
    const isKnown =
      isNamed || this.replicasRestartedAt < this.clock.now - ORIGIN_RETENTION_MILLISECONDS;
    return isInContact && isKnown && ofVersion.length >= 2 && versions.size === 1;
  }

  /** Runs a stream at a gateway until it ends, breaks, or its client leaves; returns whether it found a runner. */
  private serve(
    gateway: StreamGateway,
    stream: ClientStream,
    request: string,
    origin: StreamOrigin | undefined,
  ): boolean {
    const candidates = gateway.registry.candidates(
      SERVICE,
      [],
      new Set(),
      (runner) => this.exclusions.reasonAgainst(runner, REQUEST, origin) === undefined,
    );
    const usable = candidates.filter(({ record }) => !this.crashed.has(record.runner.id));
    if (usable.length === 0) {
      return false;
    }
    const { runner } = this.random.pick(usable).record;
    const { run } = gateway;
    const leavesAfter =
      this.random.uniform() < LEAVE_SHARE ? this.random.integer(1, EVENTS) : Infinity;
    const begun = origin ?? { service: SERVICE, version: softwareVersionOf(runner) };
    const next = (received: number): void => {
      if (gateway.run !== run) {
        this.resumeLater(stream);
        return;
      }
      if (this.crashed.has(runner.id)) {
        // The gateway continues the answer itself at another runner.
        if (!this.serve(gateway, stream, request, received === 0 ? origin : begun)) {
          this.resumeLater(stream);
        }
        return;
      }
      this.receive(stream, request, softwareVersionOf(runner));
      if (received === 0) {
        this.recordOrigin(gateway, stream, request, begun);
      }
      if (stream.events >= EVENTS) {
        gateway.streams.end([request, stream.first!]);
      } else if (received + 1 >= leavesAfter) {
        this.resumeLater(stream);
      } else {
        this.clock.schedule(EVENT_MILLISECONDS, () =>
          gateway.process.isPaused ? this.resumeLater(stream) : next(received + 1),
        );
      }
    };
    this.clock.schedule(EVENT_MILLISECONDS, () => next(0));
    return true;
  }

  private recordOrigin(
    gateway: StreamGateway,
    { first = '', content }: ClientStream,
    request: string,
    origin: StreamOrigin,
  ): void {
    if (this.options.injectedFault !== 'nothingRecorded') {
      gateway.streams.begin([request, first], content, origin, ROUTE);
    }
  }

  private receive(stream: ClientStream, request: string, version: string): void {
    stream.first ??= request;
    stream.events += 1;
    stream.versions.add(version);
    if (stream.versions.size > 1) {
      const versions = [...stream.versions].join(', ');
      this.violations.push(
        `stream ${stream.first} holds events of ${versions} at ${this.clock.now} ms`,
      );
    }
  }

  /** The client resumes its stream, at most twice; some do so late. */
  private resumeLater(stream: ClientStream): void {
    if (stream.tries > 2 || stream.versions.size > 1) {
      return;
    }
    const isLate = this.random.uniform() < RESUME_LATE_SHARE;
    const pause = this.random.uniform() * (isLate ? LATE_MILLISECONDS : EVENT_MILLISECONDS);
    this.clock.schedule(LINK_MILLISECONDS + pause, () => this.attempt(stream));
  }

  private checkShare(): void {
    const { dueResumptions, dueResumed } = this.counts;
    if (dueResumptions >= MINIMUM_RESUMPTIONS && dueResumed < MINIMUM_SHARE * dueResumptions) {
      this.violations.push(`${dueResumed} of ${dueResumptions} resumptions went on`);
    }
  }
}

/** Runs the history of one seed. */
export function runStreamHistory(
  seed: number,
  options: StreamHistoryOptions = {},
): StreamHistoryResult {
  return new StreamHistory(seed, options).run();
}
