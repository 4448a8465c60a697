/**
 * A relay gateway: holds the configuration and the runners, serves client requests, reports
 * readiness, and shuts down gracefully.
 */
import { createServer } from 'node:http';
import { serveInOrder } from '../http-server/serve-in-order.js';
import type { Server } from 'node:http';
import { AggregateRegistry } from '../peers/aggregate-registry.js';
import { AGGREGATE_TOPICS } from '../peers/aggregates.js';
import { hashToNumber } from '../runtime/hashing.js';
import { Listeners } from '../runtime/listeners.js';
import type { Runtime } from '../runtime/runtime.js';
import { ExceptionLog } from '../telemetry/exception-log.js';
import type { RegionTraffic } from '../topology/region-traffic.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { QuotaClient } from '../turns/quota-client.js';
import type { TurnClient } from '../turns/turn-client.js';
import type { HeaderNames } from './request/header-names.js';
import { chargesWithout } from './placement/placement-charges.js';
import { ProgramAdmission } from './admission/program-admission.js';
import { LoadCorrection } from './admission/load-correction.js';
import { ProgramStats } from './admission/program-stats.js';
import { ColdQueue } from './admission/cold-queue.js';
import { ServiceDemand } from './admission/service-demand.js';
import type { RelayContext } from './relay-context.js';
import { NO_BOUNDS } from './memory/memory-bounds.js';
import type { MemoryBounds } from './memory/memory-bounds.js';
import { MemoryBudget } from './memory/memory-budget.js';
import { RunnerBackpressure } from './memory/runner-backpressure.js';
import { QuotaGate } from './admission/quota-gate.js';
import { RelayFront } from './front/relay-front.js';
import { RelayMetrics } from './relay-metrics.js';
import type { RoutingTable } from './request/routing-table.js';
import { ColdLimits } from './runners/cold-limits.js';
import type { ColdAllowance } from './runners/cold-limits.js';
import { GatewayPositions } from './runners/gateway-positions.js';
import { ResumableStreams } from './runners/resumable-streams.js';
import { RunnerEnds } from './runners/runner-ends.js';
import { logRunnerEnd, logRunnerEndWithdrawn } from './runners/runner-end-log.js';
import { RunnerExclusions } from './runners/runner-exclusions.js';
import type { RunnerExclusion } from './runners/runner-exclusions.js';
import { RunnerRegistry } from './runners/runner-registry.js';
import { SOFTWARE_VERSION_RULE } from './runners/software-version-rule.js';
import { identifyRunner } from './tries/identify-runner.js';
import { RunnerConnections } from './tries/runner-connections.js';
import { TrafficSplit } from './runners/traffic-split.js';
import { RequestSuspects } from './suspects/request-suspects.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of a {@link RelayGateway}. */
export interface RelayGatewayOptions {
  readonly runtime: Runtime;
  readonly zone: string;
  /** Distances to the zones of runners. @default all runners are near */
  readonly distances?: ZoneDistances;
  /** Counts the bytes exchanged with runners by region. @default not counted */
  readonly traffic?: RegionTraffic;
  readonly names: HeaderNames;
  readonly turns: TurnClient;
  /** Regions in which turns are stored. @default not known */
  readonly storageRegions?: ReadonlySet<string>;
  readonly quotas: QuotaClient;
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  /** Time from the stop signal to the kill, in milliseconds. */
  readonly graceMilliseconds: number;
  /** Thresholds of the memory budget. @default none */
  readonly memoryBounds?: MemoryBounds;
  /** Called with the number of bytes of each read of a client's or runner's connection. */
  readonly onBuffered?: (bytes: number) => void;
  /** Most connections of clients that are open at a time. @default unlimited */
  readonly maximumConnections?: number;
  /** Rules by which a runner must not get a request. @default none */
  readonly exclusions?: readonly RunnerExclusion[];
  /** Name of this gateway among all gateways, which it keeps across restarts. @default its address for clients */
  readonly name?: string;
  /** Requests that cold runners may get beyond their rate. @default none */
  readonly coldAllowance?: ColdAllowance;
  /** Names of policies that are switched off, to compare the gateway without them. */
  readonly policiesOff?: ReadonlySet<string>;
}

/** Time after the stop signal during which new connections are still accepted, in milliseconds. */
const DRAIN_MILLISECONDS = 3_200;
/** Margin before the kill, in milliseconds. */
const KILL_SLACK_MILLISECONDS = 600;
/** Name of the policy that compares a few randomly drawn runners instead of all. */
const CANDIDATE_SAMPLING_POLICY = 'drawn-candidates';
/** Name of the policy that charges a tenant for a whole program when it starts. */
const PROGRAM_QUOTAS_POLICY = 'program-quotas';
const NO_ALLOWANCE: ColdAllowance = { factor: 1, slack: 0 };
/** Most connections for readiness checks, which come one a second. */
const MAXIMUM_READINESS_CONNECTIONS = 64;
const OK = 200;
const UNAVAILABLE = 503;

/** Gateway that relays client requests to runners and answers readiness probes. */
export class RelayGateway {
  readonly registry: RunnerRegistry;
  readonly metrics = new RelayMetrics();
  /** Exceptions that no code expected. */
  readonly exceptions: ExceptionLog;
  /** Listeners of the process; the gateway is ready only while all are open. */
  readonly listeners: Listeners;
  /** Counts that are added up over all gateways by gossip. */
  readonly aggregates = new AggregateRegistry();
  /** Memory budget of this process. */
  readonly memory: MemoryBudget;
  readonly backpressure = new RunnerBackpressure();
  /**
   * Whether the configuration in force is proven to be the newest, within the time allowed for
   * changes.
   */
  isTableProven: () => boolean = () => true;
  /** Whether keys may be accepted: none can have been revoked longer ago than the allowed delay. */
  areKeysFresh: () => boolean = () => true;
  /** Whether another gateway can accept keys although this one can't. */
  areKeysFreshElsewhere: () => boolean = () => false;
  /** Number of gateways that are known to exist, including this one. */
  knownGateways: () => number = () => 1;
  /** Whether other gateways must exist, even if none is known. */
  expectsPeers: () => boolean = () => false;
  readonly loadCorrection: LoadCorrection;
  /** Requests under which runners have ended. */
  readonly suspects: RequestSuspects;
  private readonly front: RelayFront;
  private readonly readiness: Server;
  private table: RoutingTable | undefined;
  private listening = false;
  private stopping = false;

  constructor(private readonly options: RelayGatewayOptions) {
    const { runtime, zone, names, turns } = options;
    this.exceptions = new ExceptionLog(runtime);
    this.listeners = new Listeners(runtime);
    this.memory = new MemoryBudget(runtime, options.memoryBounds ?? NO_BOUNDS);
    this.registry = new RunnerRegistry(runtime);
    this.loadCorrection = new LoadCorrection(runtime);
    this.suspects = new RequestSuspects(runtime, this.registry, this.metrics);
    this.registry.cacheCapacityOf = (service) => this.table?.services.get(service)?.memoryTokens;
    this.registry.coldStartMillisecondsOf = (service) =>
      this.table?.services.get(service)?.coldStartMilliseconds ?? 0;
    const connections = new RunnerConnections(runtime);
    this.shareRegion();
    const streams = this.createStreams();
    this.registry.hasIdleConnection = (runner) => connections.hasIdle(runner);
    this.registry.onLeaving = (runner) => connections.checkWaiting(runner);
    const coldLimits = this.createColdLimits();
    const context: RelayContext = {
      runtime,
      zone,
      distances: options.distances,
      traffic: options.traffic,
      names,
      registry: this.registry,
      ends: this.createEnds(connections),
      suspects: this.suspects,
      exclusions: this.createExclusions(coldLimits),
      coldLimits,
      coldQueue: new ColdQueue(runtime, (service) => coldLimits.coldSendCount(service)),
      connections,
      admission: new ProgramAdmission(runtime.random),
      kindStats: new ProgramStats(),
      loadCorrection: this.loadCorrection,
      demand: new ServiceDemand(this.aggregates),
      split: new TrafficSplit(),
      streams,
      samplesCandidates: options.policiesOff?.has(CANDIDATE_SAMPLING_POLICY) !== true,
      charges: chargesWithout(options.policiesOff ?? new Set()),
      turns,
      storageRegions: options.storageRegions ?? new Set(),
      quotas: new QuotaGate({
        client: options.quotas,
        metrics: this.metrics,
        random: runtime.random,
        log: runtime.log,
        isReachable: () => turns.isReachable,
        chargesWholePrograms: options.policiesOff?.has(PROGRAM_QUOTAS_POLICY) !== true,
      }),
      metrics: this.metrics,
      exceptions: this.exceptions,
      memory: this.memory,
      onBuffered: options.onBuffered ?? (() => undefined),
      backpressure: this.backpressure,
      currentTable: () => this.table,
      isTableProven: () => this.isTableProven(),
      areKeysFresh: () => this.areKeysFresh(),
    };
    this.front = new RelayFront(context, options.maximumConnections);
    this.readiness = this.serveReadiness();
  }

  private serveReadiness(): Server {
    const server = createServer();
    const { runtime } = this.options;
    serveInOrder(server, runtime, MAXIMUM_READINESS_CONNECTIONS, (request, response) => {
      request.resume();
      response.writeHead(this.ready ? OK : UNAVAILABLE, { 'content-length': '0' }).end();
    });
    this.listeners.listen(server, { purpose: 'readiness', ...this.options.ready });
    return server;
  }

  /** Counts the gateways of each region over all gateways: a region of which none is counted is cut off. */
  private shareRegion(): void {
    const { distances } = this.options;
    if (distances?.hasSeveralRegions !== true) {
      return;
    }
    const { regionGateways } = AGGREGATE_TOPICS;
    const key = hashToNumber(distances.ownRegion);
    this.aggregates.register(regionGateways, () => [{ key, amounts: [1] }]);
    distances.isLoadKnown = (region) =>
      (this.aggregates.ofOthers(regionGateways).get(hashToNumber(region))?.[0] ?? 0) > 0;
  }

  private createEnds(connections: RunnerConnections): RunnerEnds {
    const { runtime, names } = this.options;
    const { metrics, registry, suspects } = this;
    const ends = new RunnerEnds({
      runtime,
      probe: (runner, done) => connections.probe(runner, done),
      identify: (runner, done) => {
        const path = this.table?.services.get(runner.service)?.healthPath;
        identifyRunner({ runtime, names, runner, path }, done);
      },
      onEnd: (record, end, exposures, isFirst) => {
        logRunnerEnd({ runtime, metrics }, record, end, exposures, isFirst);
        if (!end.wasAnnounced) {
          suspects.noteLost(exposures);
        }
      },
      onWithdrawn: (record) => {
        logRunnerEndWithdrawn(runtime, record);
        suspects.noteWithdrawn(record.hash);
      },
      onDoubtful: (exposure) => suspects.noteOpen(exposure),
      isSuspect: (request) => suspects.verdictOf(request) !== 'clear',
      watch: (runner, milliseconds, done) => connections.watch(runner, milliseconds, done),
      onSurvived: ({ request, record, isGivenUp }) =>
        suspects.noteOver(request, record.hash, isGivenUp),
    });
    suspects.table.onSuspected = (fingerprint) =>
      suspects.announceAtWork(fingerprint, ends.atWork());
    registry.hasSuspect = (runnerHash) => suspects.isRepeatedSuspectAt(runnerHash);
    registry.onReplaced = (record) => ends.noteEvidence(record, 'replaced');
    registry.onUnlisted = (record) => ends.noteUnlisted(record);
    return ends;
  }

  /** The limits of cold runners come last, so that only runners that nothing else excludes are waited for. */
  private createExclusions(coldLimits: ColdLimits): RunnerExclusions {
    const { exclusions = [] } = this.options;
    return new RunnerExclusions([...exclusions, SOFTWARE_VERSION_RULE, coldLimits]);
  }

  /** Also publishes which services have several software versions, and reads what other gateways publish. */
  private createStreams(): ResumableStreams {
    const { runtime, turns } = this.options;
    const { versions } = this.registry;
    const { mixedServices } = AGGREGATE_TOPICS;
    versions.isListProven = () => this.isTableProven();
    versions.isMixedElsewhere = (service) =>
      (this.aggregates.ofOthers(mixedServices).get(hashToNumber(service))?.[0] ?? 0) > 0;
    this.aggregates.register(mixedServices, () =>
      versions.mixedServices().map((service) => ({ key: hashToNumber(service), amounts: [1] })),
    );
    const { origins: client, versions: exchange } = turns;
    versions.onListed = () => exchange.reportSoon();
    exchange.start(versions);
    return new ResumableStreams({ runtime, client, versions, exchange });
  }

  /** Whether this gateway should receive new connections. */
  get ready(): boolean {
    const { turns } = this.options;
    const isOpen = this.listening && !this.stopping && this.listeners.areOpen;
    return isOpen && turns.isReachable && !this.prefersOtherGateways;
  }

  /** Whether requests with a key should go to other gateways. */
  private get prefersOtherGateways(): boolean {
    const needsKeys = this.table?.tenants !== undefined;
    return needsKeys && !this.areKeysFresh() && this.areKeysFreshElsewhere();
  }

  /** The configuration in force; undefined before the first. */
  get currentTable(): RoutingTable | undefined {
    return this.table;
  }

  /** Applies a configuration unless the one in force is the same or newer; returns whether it is in force then. */
  applyTable(table: RoutingTable, source: string): boolean {
    if (this.table !== undefined && table.version <= this.table.version) {
      return table.version === this.table.version;
    }
    this.options.runtime.log('info', 'configuration applied', {
      event: 'configuration.applied',
      version: table.version,
      before: this.table?.version ?? -1,
      source,
    });
    this.table = table;
    this.registry.versions.noteRoutes([...table.routesByHost.values()].flat());
    this.front.applyLimits(table);
    this.listen();
    return true;
  }

  /** Number of requests in progress. */
  get activeRequests(): number {
    return this.front.activeCount;
  }

  /**
   * Shuts down gracefully: accepts connections for a while longer, finishes all requests, then
   * calls back.
   */
  stop(done: () => void): void {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const { runtime, graceMilliseconds } = this.options;
    const { activeRequests: active } = this;
    runtime.log('info', 'graceful shutdown started', { event: 'process.stopping', active });
    let isFinished = false;
    const finish = (reason: 'idle' | 'graceEnd'): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      const { activeRequests: left } = this;
      runtime.log('info', 'graceful shutdown ends', {
        event: 'process.stopped',
        reason,
        active: left,
      });
      done();
    };
    const interruptAfter = graceMilliseconds - KILL_SLACK_MILLISECONDS;
    this.front.startDraining(runtime.now() + interruptAfter);
    runtime.setTimer(DRAIN_MILLISECONDS, () => this.front.stop(() => finish('idle')));
    runtime.setTimer(interruptAfter, () => this.front.interrupt(() => finish('graceEnd')));
  }

  /** Stops listening and destroys all connections at once. */
  close(): void {
    this.readiness.close();
    this.front.close();
  }

  private createColdLimits(): ColdLimits {
    const { runtime, front, name = `${front.host}:${front.port}` } = this.options;
    const { coldPeriods } = this.registry;
    const requestsPerSecond = (service: string): number | undefined =>
      this.table?.services.get(service)?.coldRequestsPerSecond;
    const positions = new GatewayPositions({
      runtime,
      name,
      aggregates: this.aggregates,
      isEnabled: () =>
        [...(this.table?.services.keys() ?? [])].some(
          (service) => requestsPerSecond(service) !== undefined,
        ),
      isNeeded: () => coldPeriods.coldCount > 0,
      knownGateways: () => this.knownGateways(),
      expectsPeers: () => this.expectsPeers(),
    });
    const coldLimits = new ColdLimits({
      runtime,
      allowance: this.options.coldAllowance ?? NO_ALLOWANCE,
      requestsPerSecond,
      isCold: (runner) => coldPeriods.isCold(runner),
      rankFor: (runnerHash) => positions.rankFor(runnerHash),
      isSettled: () => positions.isSettled,
      onWithheld: ({ service }) =>
        this.metrics.count(
          'ivyloom_relay_cold_withheld_total',
          `service=${JSON.stringify(service)}`,
        ),
    });
    this.registry.onActivity = (runner) => coldLimits.noteActivity(runner);
    return coldLimits;
  }

  private listen(): void {
    if (this.listening) {
      return;
    }
    this.listening = true;
    const { host, port } = this.options.front;
    this.front.listen(host, port, this.listeners, () => {
      this.options.runtime.log('info', 'listening for client requests', {
        event: 'process.serving',
        host,
        port,
      });
    });
  }
}
