/**
 * The deployment under soak: gateway and replica processes, emulated runners, the store, and fault proxies
 * in front of the runners and the store.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_HEADER_NAMES } from '../platform/header-names.js';
import { StandInStore } from '../platform/stand-in/store-server.js';
import { RUNNER_PREFIX } from '../platform/store-keys.js';
import { RelayRunner } from '../src/emulator/relay-runner.js';
import { FaultProxy } from './fault-proxy.js';
import {
  PlatformProcess,
  SOAK_APPLY_MILLISECONDS,
  SOAK_COLD,
  SOAK_PORTS,
} from './platform-process.js';
import type { PlatformRole } from './platform-process.js';
import { SOAK_EVENTS } from './soak-client.js';
import { SOAK_SERVICE } from './soak-configuration.js';
import { SoakHosts } from './soak-hosts.js';

/** Size and content of the deployment. */
export interface SoakWorldOptions {
  readonly gatewayCount: number;
  readonly replicaCount: number;
  readonly runnerCount: number;
  /** Block of loopback addresses, see `SoakHosts`. */
  readonly block: number;
  /** Path of the program with which all machines start. */
  readonly program: string;
  /** Whether the store also holds invalid runner entries of other writers. */
  readonly hasInvalidEntries: boolean;
  /** Whether the settings tolerate the loss of a zone. */
  readonly toleratesZoneLoss: boolean;
  /** Called with the zone of a runner and the headers of each request that arrives there. */
  readonly onArrival: (zone: string, headers: IncomingHttpHeaders) => void;
}

const STORE_PORT = 18142;
const RUNNER_PORT = 18080;
const ZONE_COUNT = 3;
/** Names of all zones. */
export const SOAK_ZONES: readonly string[] = Array.from({ length: ZONE_COUNT }, (_, index) =>
  zoneOf(index + 1),
);
/** Items in one page of the store's lists: every list needs several. */
const PAGE_ITEMS = 4;
/** Time within which all processes have started and discovered one another, in milliseconds. */
const START_MILLISECONDS = 5_000;
/** Time between two events of a stream, in milliseconds. */
const EVENT_MILLISECONDS = 8;

/** Time for which a runner stays cold, in milliseconds. */
const COLD_MILLISECONDS = 6_000;
/** Requests that may reach a cold runner in any second. */
export const COLD_LIMIT = Math.floor(
  SOAK_COLD.requestsPerSecond * SOAK_COLD.overshoot + SOAK_COLD.slack,
);

/** Invalid entries under the runners' prefix; processes must ignore them. */
const INVALID_ENTRIES: readonly Record<string, unknown>[] = [
  { Service: SOAK_SERVICE, Address: 'x', State: 'ready' },
  { Service: SOAK_SERVICE, Address: '127.0.0.1:99999', State: 'ready' },
  { Service: SOAK_SERVICE, Address: '127.0.0.1:9', State: 'asleep' },
  { Service: SOAK_SERVICE, State: 'ready', Slots: 'many' },
  {},
];

function zoneOf(number: number): string {
  return `z${((number - 1) % ZONE_COUNT) + 1}`;
}

/** Starts, replaces and stops the processes and servers of a soak. */
export class SoakWorld {
  /** Folder with the logs and data of the processes. */
  readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-soak-'));
  readonly store = new StandInStore();
  /** Proxy to the store of each process, by the process's name. */
  readonly storeProxies = new Map<string, FaultProxy>();
  readonly runnerProxies: FaultProxy[] = [];
  /** Every runner started so far, including crashed ones. */
  readonly runners: RelayRunner[] = [];
  readonly liveRunners: RelayRunner[] = [];
  readonly processes: PlatformProcess[] = [];
  private hasStarted = false;
  /** Processes whose machines were removed for good. */
  readonly removedProcesses: PlatformProcess[] = [];
  private startedReplicas = 0;
  /** Start time of each runner, by id, in milliseconds since 1970. */
  private readonly bornAt = new Map<string, number>();
  private readonly hosts: SoakHosts;

  constructor(private readonly options: SoakWorldOptions) {
    this.hosts = new SoakHosts(options.block);
  }

  /** Returns the address of a runner; those beyond the deployment's own are free. */
  runnerAddressOf(number: number): string {
    return this.hosts.addressOf('runner', number);
  }

  /** Addresses of all gateways, running or not. */
  get gatewayHosts(): string[] {
    const { gatewayCount } = this.options;
    return Array.from({ length: gatewayCount }, (_, index) =>
      this.hosts.addressOf('gateway', index + 1),
    );
  }

  /** Processes of a role. */
  processesOf(role: PlatformRole): PlatformProcess[] {
    return this.processes.filter((process) => process.machine.role === role);
  }

  /** Whether a replica knows the streams of the last minute. */
  get knowsStreams(): boolean {
    return this.processesOf('replica').some(({ knowsLastMinute }) => knowsLastMinute);
  }

  /** Starts the store and the runners; the caller writes the configuration next. */
  async startDependencies(): Promise<void> {
    this.store.pageItems = PAGE_ITEMS;
    await this.store.listen(this.hosts.addressOf('store', 1), STORE_PORT);
    for (let index = 0; index < this.options.runnerCount; index += 1) {
      await this.startRunner(index, `runner-${index}-${index}`);
    }
    const invalidEntries = this.options.hasInvalidEntries ? INVALID_ENTRIES : [];
    invalidEntries.forEach((entry, place) =>
      this.store.put(`${RUNNER_PREFIX}stranger-${place}`, entry),
    );
  }

  /** Starts all processes; resolves after the time they take to discover one another. */
  async startProcesses(): Promise<void> {
    const { gatewayCount, replicaCount, program } = this.options;
    for (let number = 1; number <= gatewayCount; number += 1) {
      await this.startProcess('gateway', number, zoneOf(number), program);
    }
    for (let number = 1; number <= replicaCount; number += 1) {
      await this.startReplica(zoneOf(number), program);
    }
    this.hasStarted = true;
    await new Promise((resolve) => setTimeout(resolve, START_MILLISECONDS));
  }

  /** Removes a killed replica for good and starts an empty replacement at a new address in the same zone. */
  async replaceReplica(removed: PlatformProcess): Promise<void> {
    this.processes.splice(this.processes.indexOf(removed), 1);
    this.removedProcesses.push(removed);
    await this.startReplica(removed.machine.zone, removed.program);
  }

  /** Crashes a runner; after a pause a runner with a new id starts at its address. */
  async replaceRunner(index: number, pauseMilliseconds: number): Promise<void> {
    const crashed = await this.crashRunner(index, pauseMilliseconds);
    this.store.remove(RUNNER_PREFIX + crashed.id);
    await this.startRunner(index, `runner-${index}-${this.runners.length}`, true);
  }

  /** Turns a running runner cold for some seconds; resolves once it is warm. */
  async coolRunner(index: number): Promise<void> {
    this.turnCold(index, this.liveRunners[index]!, SOAK_APPLY_MILLISECONDS);
    await new Promise((resolve) => setTimeout(resolve, COLD_MILLISECONDS));
  }

  /** Crashes a runner; after a pause it restarts under the same id with empty state. */
  async restartRunner(index: number, pauseMilliseconds: number): Promise<void> {
    const crashed = await this.crashRunner(index, pauseMilliseconds);
    await this.startRunner(index, crashed.id);
  }

  /** Kills all processes and closes the proxies, runners and store. */
  async stop(): Promise<void> {
    const ended = this.processes.map((process) => process.whenExited());
    this.processes.forEach((process) => process.signal('SIGKILL'));
    await Promise.all(ended);
    this.storeProxies.forEach((proxy) => proxy.close());
    this.runnerProxies.forEach((proxy) => proxy.close());
    await Promise.all(this.liveRunners.map((runner) => runner.crash()));
    this.store.close();
  }

  private async startReplica(zone: string, program: string): Promise<void> {
    this.startedReplicas += 1;
    await this.startProcess('replica', this.startedReplicas, zone, program);
  }

  private async startProcess(
    role: PlatformRole,
    number: number,
    zone: string,
    program: string,
  ): Promise<void> {
    const place = this.storeProxies.size + 1;
    const name = `${role}-${number}`;
    const proxy = new FaultProxy(this.hosts.addressOf('store', 1), STORE_PORT);
    const proxyHost = this.hosts.addressOf('storeProxy', place);
    await proxy.listen(proxyHost, STORE_PORT);
    this.storeProxies.set(name, proxy);
    const seeds = this.gatewayHosts.slice(0, 2).map((host) => `${host}:${SOAK_PORTS.control}`);
    const storeAddress = `${proxyHost}:${STORE_PORT}`;
    const host = this.hosts.addressOf(role, number);
    const machine = { name, role, host, zone, storeAddress, seeds };
    const folder = join(this.folder, name);
    const { toleratesZoneLoss } = this.options;
    mkdirSync(folder);
    const process = new PlatformProcess(machine, folder, { program, toleratesZoneLoss });
    this.processes.push(process);
    process.start(!this.hasStarted);
  }

  private async crashRunner(index: number, pauseMilliseconds: number): Promise<RelayRunner> {
    const crashed = this.liveRunners[index]!;
    await crashed.crash();
    await new Promise((resolve) => setTimeout(resolve, pauseMilliseconds));
    return crashed;
  }

  private turnCold(index: number, runner: RelayRunner, noticeMilliseconds: number): void {
    runner.turnCold(COLD_MILLISECONDS, COLD_LIMIT, noticeMilliseconds);
    this.putEntry(index, runner.id, { ColdRemainingMs: COLD_MILLISECONDS });
  }

  private putEntry(index: number, id: string, more: Record<string, unknown>): void {
    const bornAt = this.bornAt.get(id);
    this.store.put(RUNNER_PREFIX + id, {
      Service: SOAK_SERVICE,
      Address: `${this.hosts.addressOf('runnerProxy', index + 1)}:${RUNNER_PORT}`,
      Zone: zoneOf(index + 1),
      Slots: 8,
      State: 'ready',
      born: bornAt,
      ...more,
    });
  }

  private async startRunner(index: number, id: string, isCold = false): Promise<void> {
    const runner = new RelayRunner({
      id,
      names: PLATFORM_HEADER_NAMES,
      eventCount: SOAK_EVENTS,
      pauseMilliseconds: EVENT_MILLISECONDS,
    });
    const zone = zoneOf(index + 1);
    runner.onArrival = (headers) => this.options.onArrival(zone, headers);
    const host = this.hosts.addressOf('runner', index + 1);
    await runner.listen(RUNNER_PORT, host);
    this.runners.push(runner);
    this.liveRunners[index] = runner;
    const proxyHost = this.hosts.addressOf('runnerProxy', index + 1);
    if (this.runnerProxies[index] === undefined) {
      const proxy = new FaultProxy(host, RUNNER_PORT);
      await proxy.listen(proxyHost, RUNNER_PORT);
      this.runnerProxies[index] = proxy;
    }
    this.bornAt.set(id, Date.now());
    if (isCold) {
      // Gateways learn of the new id and of its cold state together.
      this.turnCold(index, runner, 0);
    } else {
      this.putEntry(index, id, {});
    }
  }
}
