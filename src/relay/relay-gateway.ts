/**
 * A gateway of routed requests: holds the newest configuration and the runners, takes clients'
 * requests, says whether it is ready, and stops as planned.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { AggregateRegistry } from '../peers/aggregate-registry.js';
import type { Runtime } from '../runtime/runtime.js';
import type { QuotaClient } from '../turns/quota-client.js';
import type { TurnClient } from '../turns/turn-client.js';
import type { HeaderNames } from './request/header-names.js';
import { chargesWithout } from './placement/placement-charges.js';
import { ProgramAdmission } from './admission/program-admission.js';
import { ProgramStats } from './admission/program-stats.js';
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
import { RunnerRegistry } from './runners/runner-registry.js';
import { RunnerConnections } from './tries/runner-connections.js';
import { TrafficSplit } from './runners/traffic-split.js';

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** What a gateway is made with. */
export interface RelayGatewayOptions {
  readonly runtime: Runtime;
  readonly zone: string;
  readonly names: HeaderNames;
  readonly turns: TurnClient;
  readonly quotas: QuotaClient;
  readonly front: ListenAddress;
  readonly ready: ListenAddress;
  /** Time between the request to stop and the kill, in milliseconds. */
  readonly graceMilliseconds: number;
  /** Bounds of the bytes held for others. @default none */
  readonly memoryBounds?: MemoryBounds;
  /** Names of policies that are switched off, to measure what they are worth. */
  readonly policiesOff?: ReadonlySet<string>;
}

/** Time after the request to stop in which new connections may still come, in milliseconds. */
const DRAIN_MILLISECONDS = 3_200;
/** Kept before the kill, in milliseconds. */
const KILL_SLACK_MILLISECONDS = 600;
/** Policy of weighing a few runners that are drawn, in place of all. */
const CANDIDATE_SAMPLING_POLICY = 'drawn-candidates';
/** Policy of charging a tenant with a whole program when that begins. */
const PROGRAM_QUOTAS_POLICY = 'program-quotas';
const OK = 200;
const UNAVAILABLE = 503;

/** See the head of this file. */
export class RelayGateway {
  readonly registry: RunnerRegistry;
  readonly metrics = new RelayMetrics();
  /** Figures that all gateways add up. */
  readonly tallies = new AggregateRegistry();
  /** Bytes that this process holds for others, and those that runners have not taken. */
  readonly memory: MemoryBudget;
  readonly backpressure = new RunnerBackpressure();
  /** Whether the configuration in force is proved to be the newest, to within the bound for changes. */
  isTableProven: () => boolean = () => true;
  /** Whether no key can have been taken away so long ago that it must not be served. */
  areKeysFresh: () => boolean = () => true;
  /** Whether requests with a key are served elsewhere although they can't be here. */
  areKeysFreshElsewhere: () => boolean = () => false;
  private readonly front: RelayFront;
  private readonly readiness: Server;
  private table: RoutingTable | undefined;
  private listening = false;
  private stopping = false;

  constructor(private readonly options: RelayGatewayOptions) {
    const { runtime, zone, names, turns } = options;
    this.memory = new MemoryBudget(runtime, options.memoryBounds ?? NO_BOUNDS);
    this.registry = new RunnerRegistry(runtime);
    this.registry.cacheCapacityOf = (service) => this.table?.services.get(service)?.memoryTokens;
    const connections = new RunnerConnections(runtime);
    this.registry.hasIdleConnection = (runner) => connections.hasIdle(runner);
    const context: RelayContext = {
      runtime,
      zone,
      names,
      registry: this.registry,
      connections,
      admission: new ProgramAdmission(runtime.random),
      kindStats: new ProgramStats(),
      demand: new ServiceDemand(this.tallies),
      split: new TrafficSplit(),
      samplesCandidates: options.policiesOff?.has(CANDIDATE_SAMPLING_POLICY) !== true,
      charges: chargesWithout(options.policiesOff ?? new Set()),
      turns,
      quotas: new QuotaGate({
        client: options.quotas,
        metrics: this.metrics,
        random: runtime.random,
        isReachable: () => turns.isReachable,
        chargesWholePrograms: options.policiesOff?.has(PROGRAM_QUOTAS_POLICY) !== true,
      }),
      metrics: this.metrics,
      memory: this.memory,
      backpressure: this.backpressure,
      currentTable: () => this.table,
      isTableProven: () => this.isTableProven(),
      areKeysFresh: () => this.areKeysFresh(),
    };
    this.front = new RelayFront(context);
    this.readiness = createServer((request, response) => {
      request.resume();
      response.writeHead(this.ready ? OK : UNAVAILABLE, { 'content-length': '0' }).end();
    });
    this.readiness.listen(options.ready);
  }

  /** Whether new connections should come here. */
  get ready(): boolean {
    const { turns } = this.options;
    return this.listening && !this.stopping && turns.isReachable && !this.prefersOtherGateways;
  }

  /** Whether requests with a key are better off at other gateways. */
  private get prefersOtherGateways(): boolean {
    const needsKeys = this.table?.tenants !== undefined;
    return needsKeys && !this.areKeysFresh() && this.areKeysFreshElsewhere();
  }

  /** The configuration in force; undefined before the first. */
  get currentTable(): RoutingTable | undefined {
    return this.table;
  }

  /** Takes a configuration unless a newer one is in force. */
  applyTable(table: RoutingTable, source: string): void {
    if (this.table !== undefined && table.version <= this.table.version) {
      return;
    }
    this.options.runtime.log('info', 'configuration in force', {
      event: 'configuration.applied',
      version: table.version,
      before: this.table?.version ?? -1,
      source,
    });
    this.table = table;
    this.front.applyLimits(table);
    this.listen();
  }

  /** Requests under way. */
  get activeRequests(): number {
    return this.front.activeCount;
  }

  /** Stops as planned: serves while new connections may come, finishes all, then calls back. */
  stop(done: () => void): void {
    if (this.stopping) {
      return;
    }
    this.stopping = true;
    const { runtime, graceMilliseconds } = this.options;
    const { activeRequests: active } = this;
    runtime.log('info', 'planned stop', { event: 'process.stopping', active });
    this.front.startDraining();
    runtime.setTimer(DRAIN_MILLISECONDS, () => this.front.stop(done));
    runtime.setTimer(graceMilliseconds - KILL_SLACK_MILLISECONDS, done);
  }

  /** Ends at once. */
  close(): void {
    this.readiness.close();
    this.front.close();
  }

  private listen(): void {
    if (this.listening) {
      return;
    }
    this.listening = true;
    const { host, port } = this.options.front;
    this.front.listen(host, port, () => {
      this.options.runtime.log('info', 'serving', { event: 'process.serving', host, port });
    });
  }
}
