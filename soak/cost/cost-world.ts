/** The deployment for cost measurements: one gateway, three replicas, hollow gateways, emulated runners, the store. */
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_HEADER_NAMES } from '../../platform/header-names.js';
import { StandInStore } from '../../platform/stand-in/store-server.js';
import { CONFIGURATION_KEY, RUNNER_PREFIX } from '../../platform/store-keys.js';
import { RelayRunner } from '../../src/emulator/relay-runner.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { createRandom } from '../../src/runtime/random.js';
import { PlatformProcess, SOAK_PORTS } from '../platform-process.js';
import type { PlatformRole } from '../platform-process.js';
import { SOAK_EVENTS } from '../soak-client.js';
import { SOAK_SERVICE, SoakConfiguration } from '../soak-configuration.js';
import { SoakHosts } from '../soak-hosts.js';
import { startHollowGateways } from './hollow-gateways.js';
import type { HollowAddress } from './hollow-gateways.js';

/** Options of the deployment. */
export interface CostWorldOptions {
  readonly runtime: Runtime;
  /** Path of the program that is measured. */
  readonly program: string;
  /** Number of gateways, including the measured one. */
  readonly gatewayCount: number;
  /** Block of loopback addresses, see `SoakHosts`. */
  readonly block: number;
}

const STORE_PORT = 18142;
const RUNNER_PORT = 18080;
const ZONES = 3;
const REPLICAS = 3;
const RUNNERS = 6;
const RUNNER_SLOTS = 64;
/** Pause before each event of a stream, in milliseconds. */
const EVENT_MILLISECONDS = 8;
const CONFIGURATION_SEED = 7;
/** The configuration is the first entry written to the store. */
const CONFIGURATION_REVISION = 1;
const READY_POLL_MILLISECONDS = 20;
const OK = 200;

function zoneOf(number: number): string {
  return `z${((number - 1) % ZONES) + 1}`;
}

/** Starts and stops the processes and servers of a cost measurement. */
export class CostWorld {
  readonly replicas: PlatformProcess[] = [];
  private readonly hosts: SoakHosts;
  private readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-cost-'));
  private readonly store = new StandInStore();
  private readonly runners: RelayRunner[] = [];
  private stopHollowGateways: () => void = () => undefined;
  /** The gateway that is measured. */
  readonly gateway: PlatformProcess;

  constructor(private readonly options: CostWorldOptions) {
    this.hosts = new SoakHosts(options.block);
    this.gateway = this.createProcess('gateway', options.gatewayCount);
  }

  /** Address of the measured gateway. */
  get gatewayHost(): string {
    return this.gateway.machine.host;
  }

  /** Starts everything except the measured gateway. */
  async startDependencies(): Promise<void> {
    await this.store.listen(this.hosts.addressOf('store', 1), STORE_PORT);
    const configuration = new SoakConfiguration(createRandom(CONFIGURATION_SEED));
    this.store.put(CONFIGURATION_KEY, configuration.next().value);
    for (let number = 1; number <= RUNNERS; number += 1) {
      await this.startRunner(number);
    }
    for (let number = 1; number <= REPLICAS; number += 1) {
      const replica = this.createProcess('replica', number);
      this.replicas.push(replica);
      replica.start();
    }
    this.stopHollowGateways = this.startPeers();
  }

  /** Starts the measured gateway; resolves when its readiness endpoint returns 200. */
  async startGateway(): Promise<void> {
    this.gateway.start();
    while (!(await this.isReady())) {
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MILLISECONDS));
    }
  }

  /** Stops everything and deletes the data. */
  async stop(): Promise<void> {
    const processes = [this.gateway, ...this.replicas];
    const ended = processes.map((process) => process.whenExited());
    this.killAll();
    await Promise.all(ended);
    this.stopHollowGateways();
    await Promise.all(this.runners.map((runner) => runner.crash()));
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Kills all processes. */
  killAll(): void {
    [this.gateway, ...this.replicas].forEach((process) => process.signal('SIGKILL'));
  }

  private get seeds(): string[] {
    return [1, 2].map((number) => this.hosts.addressOf('gateway', number));
  }

  private startPeers(): () => void {
    const { runtime, gatewayCount } = this.options;
    const addresses = Array.from({ length: gatewayCount - 1 }, (_, index): HollowAddress => {
      const number = index + 1;
      return { host: this.hosts.addressOf('gateway', number), zone: zoneOf(number) };
    });
    const revision = (): number => this.store.currentRevision;
    return startHollowGateways({
      runtime,
      ports: { peer: SOAK_PORTS.peer, proof: SOAK_PORTS.metrics },
      addresses,
      seeds: this.seeds,
      revision,
      configurationRevision: CONFIGURATION_REVISION,
    });
  }

  private createProcess(role: PlatformRole, number: number): PlatformProcess {
    const name = `${role}-${number}`;
    const folder = join(this.folder, name);
    mkdirSync(folder);
    return new PlatformProcess(
      {
        name,
        role,
        host: this.hosts.addressOf(role, number),
        zone: zoneOf(number),
        storeAddress: `${this.hosts.addressOf('store', 1)}:${STORE_PORT}`,
        seeds: this.seeds.map((host) => `${host}:${SOAK_PORTS.control}`),
      },
      folder,
      { program: this.options.program, recordsDisk: false },
    );
  }

  private async startRunner(number: number): Promise<void> {
    const id = `runner-${number}`;
    const runner = new RelayRunner({
      id,
      names: PLATFORM_HEADER_NAMES,
      eventCount: SOAK_EVENTS,
      pauseMilliseconds: EVENT_MILLISECONDS,
    });
    const host = this.hosts.addressOf('runner', number);
    await runner.listen(RUNNER_PORT, host);
    this.runners.push(runner);
    this.store.put(RUNNER_PREFIX + id, {
      Service: SOAK_SERVICE,
      Address: `${host}:${RUNNER_PORT}`,
      Zone: zoneOf(number),
      Slots: RUNNER_SLOTS,
      State: 'ready',
    });
  }

  private isReady(): Promise<boolean> {
    const address = { host: this.gatewayHost, port: SOAK_PORTS.ready, agent: false as const };
    return new Promise((resolve) => {
      const client = httpRequest(address, (response) => {
        response.resume();
        resolve(response.statusCode === OK);
      });
      client.on('error', () => resolve(false));
      client.end();
    });
  }
}
