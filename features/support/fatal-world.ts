/** Gateways and replicas as processes, before runners that requests can end. */
import { resolve } from 'node:path';
import { CONFIGURATION_KEY } from '../../platform/store-keys.js';
import { FatalRequestCheck } from '../../soak/fatal-request-check.js';
import { SoakConfiguration } from '../../soak/soak-configuration.js';
import { SOAK_ZONES, SoakWorld } from '../../soak/soak-world.js';
import { createRandom } from '../../src/runtime/random.js';

const GATEWAYS = 3;
const REPLICAS = 3;
const SEED = 7;
/** Blocks of loopback addresses from which one is chosen, so that test runs beside one another have their own. */
const FIRST_BLOCK = 40;
const BLOCKS = 60;

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

  /** Kills the processes at once. */
  killAll(): void {
    this.world.processes.forEach((process) => process.signal('SIGKILL'));
  }
}
