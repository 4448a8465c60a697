/** What a soak is played on: gateways and replicas as processes, runners, the store, and paths to both. */
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_HEADER_NAMES } from '../platform/header-names.js';
import { StandInStore } from '../platform/stand-in/store-server.js';
import { RUNNER_PREFIX } from '../platform/store-keys.js';
import { RelayRunner } from '../src/emulator/relay-runner.js';
import { FaultProxy } from './fault-proxy.js';
import { PlatformProcess, SOAK_PORTS } from './platform-process.js';
import type { PlatformRole } from './platform-process.js';
import { SOAK_EVENTS } from './soak-client.js';
import { SOAK_SERVICE } from './soak-configuration.js';
import { SoakHosts } from './soak-hosts.js';

/** How large the world is. */
export interface SoakWorldOptions {
  readonly gatewayCount: number;
  readonly replicaCount: number;
  readonly runnerCount: number;
  /** Block of its addresses, see `SoakHosts`. */
  readonly block: number;
  /** Program with which all machines start. */
  readonly program: string;
  /** Whether entries of other writers stand in the store. */
  readonly hasStrangeEntries: boolean;
}

const STORE_PORT = 18142;
const RUNNER_PORT = 18080;
const ZONES = 3;
/** Time in which all processes have started and found one another. */
const START_MILLISECONDS = 5_000;
/** Time between two events of a stream, in milliseconds. */
const EVENT_MILLISECONDS = 8;

/** Entries of other writers, which stand beside those of the runners: none names a runner. */
const STRANGE_ENTRIES: readonly Record<string, unknown>[] = [
  { Service: SOAK_SERVICE, Address: 'x', State: 'ready' },
  { Service: SOAK_SERVICE, Address: '127.0.0.1:99999', State: 'ready' },
  { Service: SOAK_SERVICE, Address: '127.0.0.1:9', State: 'asleep' },
  { Service: SOAK_SERVICE, State: 'ready', Slots: 'many' },
  {},
];

function zoneOf(number: number): string {
  return `z${((number - 1) % ZONES) + 1}`;
}

/** See the head of this file. */
export class SoakWorld {
  /** Where the logs and disks of the processes are. */
  readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-soak-'));
  readonly store = new StandInStore();
  /** Paths of processes to the store, by the process's name. */
  readonly storeProxies = new Map<string, FaultProxy>();
  readonly runnerProxies: FaultProxy[] = [];
  /** All runners there ever were. */
  readonly runners: RelayRunner[] = [];
  readonly liveRunners: RelayRunner[] = [];
  readonly processes: PlatformProcess[] = [];
  /** Those whose machines are gone for good. */
  readonly gone: PlatformProcess[] = [];
  private startedReplicas = 0;
  private readonly hosts: SoakHosts;

  constructor(private readonly options: SoakWorldOptions) {
    this.hosts = new SoakHosts(options.block);
  }

  /** Addresses of all gateways, whether they run or not. */
  get gatewayHosts(): string[] {
    const { gatewayCount } = this.options;
    return Array.from({ length: gatewayCount }, (_, index) => this.hosts.of('gateway', index + 1));
  }

  /** Processes of a role. */
  of(role: PlatformRole): PlatformProcess[] {
    return this.processes.filter((process) => process.machine.role === role);
  }

  /** Starts the store and the runners; the configuration is written next. */
  async startSurroundings(): Promise<void> {
    await this.store.listen(this.hosts.of('store', 1), STORE_PORT);
    for (let index = 0; index < this.options.runnerCount; index += 1) {
      await this.startRunner(index, `runner-${index}-${index}`);
    }
    const strangeEntries = this.options.hasStrangeEntries ? STRANGE_ENTRIES : [];
    strangeEntries.forEach((entry, place) =>
      this.store.put(`${RUNNER_PREFIX}stranger-${place}`, entry),
    );
  }

  /** Starts all processes; resolves when they have had time to find one another. */
  async startProcesses(): Promise<void> {
    const { gatewayCount, replicaCount, program } = this.options;
    for (let number = 1; number <= gatewayCount; number += 1) {
      await this.startProcess('gateway', number, zoneOf(number), program);
    }
    for (let number = 1; number <= replicaCount; number += 1) {
      await this.startReplica(zoneOf(number), program);
    }
    await new Promise((resolve) => setTimeout(resolve, START_MILLISECONDS));
  }

  /** Lets a killed replica's machine be gone for good and starts an empty one elsewhere in its place. */
  async replaceReplica(gone: PlatformProcess): Promise<void> {
    this.processes.splice(this.processes.indexOf(gone), 1);
    this.gone.push(gone);
    await this.startReplica(gone.machine.zone, gone.program);
  }

  /** Crashes a runner; another takes its address after a pause. */
  async replaceRunner(index: number, pauseMilliseconds: number): Promise<void> {
    const crashed = await this.crashRunner(index, pauseMilliseconds);
    this.store.remove(RUNNER_PREFIX + crashed.id);
    await this.startRunner(index, `runner-${index}-${this.runners.length}`);
  }

  /** Crashes a runner; it starts again under its id after a pause, and knows nothing of before. */
  async restartRunner(index: number, pauseMilliseconds: number): Promise<void> {
    const crashed = await this.crashRunner(index, pauseMilliseconds);
    await this.startRunner(index, crashed.id);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    const ended = this.processes.map((process) => process.ended());
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
    const proxy = new FaultProxy(this.hosts.of('store', 1), STORE_PORT);
    const proxyHost = this.hosts.of('storeProxy', place);
    await proxy.listen(proxyHost, STORE_PORT);
    this.storeProxies.set(name, proxy);
    const seeds = this.gatewayHosts.slice(0, 2).map((host) => `${host}:${SOAK_PORTS.control}`);
    const storeAddress = `${proxyHost}:${STORE_PORT}`;
    const host = this.hosts.of(role, number);
    const machine = { name, role, host, zone, storeAddress, seeds };
    const folder = join(this.folder, name);
    mkdirSync(folder);
    const process = new PlatformProcess(machine, folder, { program });
    this.processes.push(process);
    process.start();
  }

  private async crashRunner(index: number, pauseMilliseconds: number): Promise<RelayRunner> {
    const crashed = this.liveRunners[index]!;
    await crashed.crash();
    await new Promise((resolve) => setTimeout(resolve, pauseMilliseconds));
    return crashed;
  }

  private async startRunner(index: number, id: string): Promise<void> {
    const runner = new RelayRunner({
      id,
      names: PLATFORM_HEADER_NAMES,
      eventCount: SOAK_EVENTS,
      pauseMilliseconds: EVENT_MILLISECONDS,
    });
    const host = this.hosts.of('runner', index + 1);
    await runner.listen(RUNNER_PORT, host);
    this.runners.push(runner);
    this.liveRunners[index] = runner;
    const proxyHost = this.hosts.of('runnerProxy', index + 1);
    if (this.runnerProxies[index] === undefined) {
      const proxy = new FaultProxy(host, RUNNER_PORT);
      await proxy.listen(proxyHost, RUNNER_PORT);
      this.runnerProxies[index] = proxy;
    }
    this.store.put(RUNNER_PREFIX + id, {
      Service: SOAK_SERVICE,
      Address: `${proxyHost}:${RUNNER_PORT}`,
      Zone: zoneOf(index + 1),
      Slots: 8,
      State: 'ready',
      born: Date.now(),
    });
  }
}
