/** Gateways and replicas as processes, before runners that requests can end. */
import { connect } from 'node:net';
import { resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { CONFIGURATION_KEY } from '../../platform/store-keys.js';
import { FatalRequestCheck } from '../../soak/fatal-request-check.js';
import { SOAK_PORTS } from '../../soak/platform-process.js';
import { SoakConfiguration } from '../../soak/soak-configuration.js';
import { SOAK_ZONES, SoakWorld } from '../../soak/soak-world.js';
import { createRandom } from '../../src/runtime/random.js';

const POLL_MILLISECONDS = 20;
const GATEWAYS = 3;
const REPLICAS = 3;
const SEED = 7;
/** Blocks of loopback addresses from which one is chosen, so that test runs beside one another have their own. */
const FIRST_BLOCK = 40;
const BLOCKS = 60;

async function untilTakesConnections(host: string, port: number): Promise<void> {
  const takesConnections = (): Promise<boolean> =>
    new Promise((settle) => {
      const socket = connect({ host, port });
      socket.once('connect', () => settle(true)).once('error', () => settle(false));
      socket.once('connect', () => socket.destroy());
    });
  while (!(await takesConnections())) {
    await sleep(POLL_MILLISECONDS);
  }
}

/** Starts the processes, and sends requests to them. */
export class FatalWorld {
  readonly world: SoakWorld;
  readonly check: FatalRequestCheck;
  /** What the check reported. */
  readonly violations: string[] = [];

  constructor() {
    this.world = new SoakWorld({
      gatewayCount: GATEWAYS,
      replicaCount: REPLICAS,
      runnerCount: 0,
      block: FIRST_BLOCK + (process.pid % BLOCKS),
      program: resolve('dist/platform/main.js'),
      hasInvalidEntries: false,
      toleratesZoneLoss: false,
      onArrival: () => undefined,
    });
    this.check = new FatalRequestCheck({
      random: createRandom(SEED, 'fatal'),
      gatewayHosts: this.world.gatewayHosts,
      zones: SOAK_ZONES,
      store: this.world.store,
      addressOf: (number) => this.world.runnerAddressOf(number),
      violate: (promise, detail) => this.violations.push(`${promise}: ${detail}`),
    });
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await this.world.startDependencies();
    await this.check.start();
    this.world.store.put(CONFIGURATION_KEY, new SoakConfiguration(createRandom(SEED)).next().value);
    await this.world.startProcesses();
  }

  /** Stops everything. */
  async stop(): Promise<void> {
    await this.world.stop();
    await this.check.stop();
  }

  /** Kills all processes at once and starts them again; resolves once all gateways take connections. */
  async restartAll(): Promise<void> {
    const { processes, gatewayHosts } = this.world;
    const ended = processes.map((process) => process.whenExited());
    this.killAll();
    await Promise.all(ended);
    processes.forEach((process) => process.start());
    await Promise.all(gatewayHosts.map((host) => untilTakesConnections(host, SOAK_PORTS.front)));
  }

  /** Kills a gateway and starts it again; resolves once it takes connections. */
  async restartGateway(host: string): Promise<void> {
    const gateway = this.world.processesOf('gateway').find(({ machine }) => machine.host === host)!;
    const ended = gateway.whenExited();
    gateway.signal('SIGKILL');
    await ended;
    gateway.start();
    await untilTakesConnections(host, SOAK_PORTS.front);
  }

  /** Kills the processes at once. */
  killAll(): void {
    this.world.processes.forEach((process) => process.signal('SIGKILL'));
  }
}
