/**
 * The fault soak: real processes of the platform's program on one machine, faults from outside, and
 * the promises checked from what clients and runners see.
 */
import { mkdirSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PLATFORM_HEADER_NAMES } from '../platform/header-names.js';
import { StandInStore } from '../platform/stand-in/store-server.js';
import type { StoreMode } from '../platform/stand-in/store-server.js';
import { CONFIGURATION_KEY, RUNNER_PREFIX } from '../platform/store-keys.js';
import { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RunnerBehaviour } from '../src/emulator/relay-runner.js';
import { createRandom } from '../src/runtime/random.js';
import type { RandomSource } from '../src/runtime/random.js';
import { ConfigurationCheck } from './configuration-check.js';
import { LIMITED_KEY, LIMITED_RATE, LIMITED_TENANT, TenantCheck } from './tenant-check.js';
import { FaultProxy } from './fault-proxy.js';
import { RecoveryCheck } from './recovery-check.js';
import type { ProxyMode } from './fault-proxy.js';
import { PlatformProcess, SOAK_PORTS } from './platform-process.js';
import type { PlatformRole } from './platform-process.js';
import { FAULTS, REPLICAS_TOGETHER, STORE_FAULTS, targetsOf } from './soak-faults.js';
import type { Fault, FaultTargets } from './soak-faults.js';
import {
  SOAK_EVENTS,
  SOAK_HOST,
  SOAK_KEY,
  SOAK_TENANT,
  SOAK_TOKENS_PER_EVENT,
  SoakClient,
} from './soak-client.js';
import type { SoakCounts } from './soak-client.js';

/** What a soak is run with. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Clients at work at the same time. @default 8 */
  readonly clientCount?: number;
}

/** What a soak showed. */
export interface SoakReport {
  readonly seed: number;
  readonly counts: SoakCounts;
  readonly faults: Readonly<Record<string, number>>;
  /** Pairs of faults that struck at the same time. */
  readonly pairs: Readonly<Record<string, number>>;
  /** Looks at the configuration of gateways in touch. */
  readonly configurationLooks: number;
  /** Requests sent under keys that were taken away. */
  readonly oldKeyRequests: number;
  /** Requests of the tenant with a limit that were answered. */
  readonly limitedAnswers: number;
  /** Milliseconds from the start of all processes after each loss of all power to service of every kind. */
  readonly recoveries: readonly number[];
  readonly violations: readonly string[];
  /** Where the logs of the processes are. */
  readonly folder: string;
}

const GATEWAYS = 3;
const REPLICAS = 3;
const RUNNERS = 4;
const STORE_HOST = '127.0.4.1';
const STORE_PORT = 18142;
const RUNNER_PORT = 18080;
const SERVICE = 'workers';
const START_MILLISECONDS = 5_000;
const SETTLE_MILLISECONDS = 4_500;
/** Part of the faults that begin while another lasts. */
const OVERLAP = 0.5;
const LONGEST_OVERLAP_MILLISECONDS = 1_200;
/** Routes of earlier versions that are kept. */
const KEPT_ROUTES = 2;
const MISBEHAVIOURS: readonly RunnerBehaviour[] = [
  'refuse',
  'loseAnswer',
  'wrongId',
  'unsigned',
  'extraAnswer',
  'cutOff',
  'falsePromise',
  'fail',
  'unframed',
];

/** Pause before another fault is drawn when one can not be struck now, in milliseconds. */
const SOAK_STEP_MILLISECONDS = 50;

function gatewayHost(number: number): string {
  return `127.0.2.${number}`;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function route(name: string, kind: string, more: Record<string, unknown>): Record<string, unknown> {
  return {
    Name: name,
    Host: SOAK_HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: 3_000,
    TargetLatencyMs: 200,
    Priority: 1,
    Service: SERVICE,
    MaxAttempts: 2,
    ...more,
  };
}

/** See the head of this file. */
class Soak {
  private readonly random: RandomSource;
  private readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-soak-'));
  private readonly store = new StandInStore();
  private readonly storeProxies = new Map<string, FaultProxy>();
  private readonly runnerProxies: FaultProxy[] = [];
  private readonly runners: RelayRunner[] = [];
  private readonly liveRunners: RelayRunner[] = [];
  private readonly processes: PlatformProcess[] = [];
  private readonly violations: string[] = [];
  private readonly faults: Record<string, number> = {};
  private readonly counts: SoakCounts = {
    sent: 0,
    answered: 0,
    refused: 0,
    failed: 0,
    kept: 0,
    budgetRefused: 0,
  };
  private version = 1;
  private readonly pairs: Record<string, number> = {};
  /** Faults that last, and what each of them strikes: a machine, or the store. */
  private readonly lasting = new Map<Fault, readonly string[]>();
  private addedRoutes: string[] = [];
  private readonly configuration: ConfigurationCheck;
  private readonly tenants: TenantCheck;
  private readonly recovery: RecoveryCheck;
  /** Key that each change of the configuration takes away. */
  private guestKey = 'key-of-guest-0';

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed, 'soak');
    const gatewayHosts = Array.from({ length: GATEWAYS }, (_, index) => gatewayHost(index + 1));
    const violate = (promise: string, detail: string): void => {
      this.violations.push(`${promise}: ${detail}`);
    };
    this.configuration = new ConfigurationCheck({ gatewayHosts, violate });
    const { runners } = this;
    const random = createRandom(options.seed, 'tenants');
    this.tenants = new TenantCheck({ random, gatewayHosts, runners, violate });
    this.recovery = new RecoveryCheck({
      newClient: (name, counts) => this.client(name, counts),
      violate,
    });
  }

  async run(): Promise<SoakReport> {
    await this.startAll();
    let over = false;
    const clients = Array.from({ length: this.options.clientCount ?? 8 }, (_, index) =>
      this.client(`c${index}`),
    );
    const work = clients.map((client) => client.run(() => over));
    work.push(this.configuration.run(() => over));
    work.push(this.tenants.run(() => over));
    await this.strikeUntil(performance.now() + this.options.minutes * 60_000);
    this.note('loseAllPower');
    await this.strikeOnce('loseAllPower', targetsOf('loseAllPower', this.drawTargets()));
    over = true;
    await Promise.all(work);
    await this.recovery.check('the last fault');
    await this.recovery.checkTurns(clients.flatMap((client) => client.answeredTurns));
    await this.stopAll();
    const { seed } = this.options;
    const { counts, faults, pairs, violations, folder } = this;
    const { looks: configurationLooks } = this.configuration;
    const { oldKeyRequests, limitedAnswers } = this.tenants;
    const looks = { configurationLooks, oldKeyRequests, limitedAnswers };
    const { recoveries } = this.recovery;
    return { seed, counts, faults, pairs, ...looks, recoveries, violations, folder };
  }

  /** Strikes in series, and now and then while another fault lasts. */
  private async strikeUntil(until: number): Promise<void> {
    let lasting: Promise<void>[] = [];
    while (performance.now() < until) {
      const fault = this.random.pick(FAULTS);
      const struck = targetsOf(fault, this.drawTargets());
      const taken = new Set([...this.lasting.values()].flat());
      if (this.lasting.has(fault) || struck.some((target) => taken.has(target))) {
        await sleep(SOAK_STEP_MILLISECONDS);
        continue;
      }
      this.note(fault);
      lasting.push(this.strikeOnce(fault, struck));
      if (this.random.uniform() < OVERLAP) {
        await sleep(LONGEST_OVERLAP_MILLISECONDS * this.random.uniform());
      } else {
        await Promise.all(lasting);
        lasting = [];
        await sleep(SETTLE_MILLISECONDS);
      }
    }
    await Promise.all(lasting);
  }

  private note(fault: Fault): void {
    this.faults[fault] = (this.faults[fault] ?? 0) + 1;
    for (const other of this.lasting.keys()) {
      const pair = [fault, other].sort().join(' + ');
      this.pairs[pair] = (this.pairs[pair] ?? 0) + 1;
    }
  }

  /** Strikes, and notes meanwhile which gateways owe nothing. */
  private async strikeOnce(fault: Fault, struck: readonly string[]): Promise<void> {
    this.lasting.set(fault, struck);
    const gateways = this.of('gateway');
    const excused = STORE_FAULTS.has(fault)
      ? gateways
      : gateways.filter(({ machine }) => struck.includes(machine.name));
    const end = this.configuration.excuse(excused.map(({ machine }) => machine.host));
    await this.strike(fault, struck);
    end();
    if (struck.includes(REPLICAS_TOGETHER)) {
      await sleep(SETTLE_MILLISECONDS);
    }
    this.lasting.delete(fault);
  }

  private drawTargets(): FaultTargets {
    const nameOf = ({ machine }: PlatformProcess): string => machine.name;
    return {
      gateway: nameOf(this.random.pick(this.of('gateway'))),
      replica: nameOf(this.random.pick(this.of('replica'))),
      all: this.processes.map(nameOf),
    };
  }

  private named(struck: readonly string[]): PlatformProcess {
    return this.processes.find(({ machine }) => struck.includes(machine.name))!;
  }

  private client(name: string, counts = this.counts): SoakClient {
    const gatewayHosts = this.of('gateway').map((process) => process.machine.host);
    const violate = (promise: string, detail: string): void => {
      this.violations.push(`${promise}: ${detail}`);
    };
    const { random, runners } = this;
    return new SoakClient(name, { random, gatewayHosts, runners, counts, violate });
  }

  private of(role: PlatformRole): PlatformProcess[] {
    return this.processes.filter((process) => process.machine.role === role);
  }

  private async startAll(): Promise<void> {
    await this.store.listen(STORE_HOST, STORE_PORT);
    for (let index = 0; index < RUNNERS; index += 1) {
      await this.startRunner(index);
    }
    this.changeConfiguration();
    const seeds = [`127.0.2.1:${SOAK_PORTS.control}`, `127.0.2.2:${SOAK_PORTS.control}`];
    for (let index = 1; index <= GATEWAYS + REPLICAS; index += 1) {
      const role: PlatformRole = index <= GATEWAYS ? 'gateway' : 'replica';
      const number = role === 'gateway' ? index : index - GATEWAYS;
      const name = `${role}-${number}`;
      const proxy = new FaultProxy(STORE_HOST, STORE_PORT);
      const proxyHost = `127.0.5.${index}`;
      await proxy.listen(proxyHost, STORE_PORT);
      this.storeProxies.set(name, proxy);
      const host = role === 'gateway' ? gatewayHost(number) : `127.0.3.${number}`;
      const storeAddress = `${proxyHost}:${STORE_PORT}`;
      const machine = { name, role, host, zone: `z${number}`, storeAddress, seeds };
      const folder = join(this.folder, name);
      mkdirSync(folder);
      const process = new PlatformProcess(machine, folder);
      this.processes.push(process);
      process.start();
    }
    await sleep(START_MILLISECONDS);
  }

  private async startRunner(index: number): Promise<void> {
    const id = `runner-${index}-${this.runners.length}`;
    const names = PLATFORM_HEADER_NAMES;
    const runner = new RelayRunner({ id, names, eventCount: SOAK_EVENTS, pauseMilliseconds: 8 });
    await runner.listen(RUNNER_PORT, `127.0.6.${index + 1}`);
    this.runners.push(runner);
    this.liveRunners[index] = runner;
    const proxyHost = `127.0.7.${index + 1}`;
    if (this.runnerProxies[index] === undefined) {
      const proxy = new FaultProxy(`127.0.6.${index + 1}`, RUNNER_PORT);
      await proxy.listen(proxyHost, RUNNER_PORT);
      this.runnerProxies[index] = proxy;
    }
    this.store.put(RUNNER_PREFIX + id, {
      Service: SERVICE,
      Address: `${proxyHost}:${RUNNER_PORT}`,
      Zone: `z${(index % GATEWAYS) + 1}`,
      Slots: 8,
      State: 'ready',
    });
  }

  private changeConfiguration(): void {
    this.version += this.random.integer(1, 4);
    const added = `added-${this.version}`;
    const before = this.guestKey;
    this.guestKey = `key-of-guest-${this.version}`;
    this.addedRoutes.push(added);
    const dropped = this.addedRoutes.slice(0, -KEPT_ROUTES);
    this.store.put(CONFIGURATION_KEY, {
      Version: this.version,
      Routes: [
        route('single', 'non_idempotent', {}),
        route('repeatable', 'idempotent', { TimeoutMs: 2_000 + this.version }),
        route('kept', 'streaming', { Retain: true, RetentionS: 600 }),
        ...this.addedRoutes.slice(-KEPT_ROUTES).map((name) => route(name, 'idempotent', {})),
      ],
      Services: [{ Name: SERVICE, MaxConnections: 60, Engine: { Stride: SOAK_TOKENS_PER_EVENT } }],
      Tenants: [
        { Name: SOAK_TENANT, ApiKeys: [SOAK_KEY], Priority: 0 },
        { Name: 'guest', ApiKeys: [this.guestKey], Priority: 1 },
        {
          Name: LIMITED_TENANT,
          ApiKeys: [LIMITED_KEY],
          Priority: 1,
          RatePerS: LIMITED_RATE,
          Burst: LIMITED_RATE,
        },
      ],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 4_194_304,
        HeaderTimeoutMs: 3_000,
        IdleTimeoutMs: 15_000,
      },
    });
    this.configuration.acknowledge(this.version, added, dropped);
    this.tenants.removeKey(before);
  }

  private async strike(fault: Fault, struck: readonly string[]): Promise<void> {
    const pause = this.random.integer(300, 3_000);
    const machine = this.named(struck);
    switch (fault) {
      case 'killGateway':
      case 'killReplica':
        return this.kill([machine], pause);
      case 'wipeReplica':
        return this.kill([machine], pause, () => machine.wipe());
      case 'killAll':
        return this.kill(this.processes, pause);
      case 'losePower':
        return this.kill([machine], pause, () => machine.losePower(this.random));
      case 'loseAllPower':
        await this.kill(this.processes, pause, () => this.loseDisks());
        return this.recovery.check('a loss of all power');
      case 'pauseGateway':
      case 'pauseReplica':
        machine.signal('SIGSTOP');
        await sleep(pause);
        machine.signal('SIGCONT');
        return;
      case 'stopGateway':
        machine.signal('SIGTERM');
        await machine.ended();
        machine.start();
        return;
      case 'storeRefuses':
        return this.troubleStore('refusing', pause);
      case 'storeSilent':
        return this.troubleStore('silent', pause);
      case 'storeLosesAnswers':
        return this.troubleStore('losingAnswers', pause);
      case 'storeForgets':
        this.changeConfiguration();
        this.store.forget();
        return;
      case 'storePath':
        return this.troublePath(this.storeProxies.get(machine.machine.name)!, pause);
      case 'runnerPath':
        return this.troublePath(this.random.pick(this.runnerProxies), pause);
      case 'runnerCrash':
        return this.crashRunner(pause);
      case 'runnerMisbehaves':
        this.liveRunners.forEach((runner) =>
          runner.behaviours.push(this.random.pick(MISBEHAVIOURS), this.random.pick(MISBEHAVIOURS)),
        );
        return;
      case 'configurationChange':
        this.changeConfiguration();
    }
  }

  private async kill(
    victims: readonly PlatformProcess[],
    pause: number,
    whileDead: () => void = () => undefined,
  ): Promise<void> {
    const ended = victims.map((victim) => victim.ended());
    victims.forEach((victim) => victim.signal('SIGKILL'));
    await Promise.all(ended);
    whileDead();
    await sleep(pause);
    victims.forEach((victim) => victim.start());
  }

  /** One replica's disk is lost, all others lose what was not synced. */
  private loseDisks(): void {
    const replicas = this.of('replica');
    const lost = this.random.pick(replicas);
    lost.wipe();
    replicas
      .filter((replica) => replica !== lost)
      .forEach((replica) => replica.losePower(this.random));
  }

  private async troubleStore(mode: StoreMode, pause: number): Promise<void> {
    this.store.mode = mode;
    this.changeConfiguration();
    await sleep(pause);
    this.store.mode = 'well';
  }

  private async troublePath(proxy: FaultProxy, pause: number): Promise<void> {
    const mode: ProxyMode = this.random.pick(['delay', 'silence', 'oneWay', 'reset']);
    proxy.setMode(mode);
    await sleep(pause);
    // What was held up is lost: both ends find out by a reset.
    proxy.setMode('reset');
    proxy.setMode('pass');
  }

  private async crashRunner(pause: number): Promise<void> {
    const index = this.random.integer(0, RUNNERS - 1);
    const crashed = this.liveRunners[index]!;
    await crashed.crash();
    await sleep(pause);
    this.store.remove(RUNNER_PREFIX + crashed.id);
    await this.startRunner(index);
  }

  private async stopAll(): Promise<void> {
    const ended = this.processes.map((process) => process.ended());
    this.processes.forEach((process) => {
      this.violations.push(...process.ownExits.map((exit) => `own exit: ${exit}`));
      process.signal('SIGKILL');
    });
    await Promise.all(ended);
    this.storeProxies.forEach((proxy) => proxy.close());
    this.runnerProxies.forEach((proxy) => proxy.close());
    await Promise.all(this.liveRunners.map((runner) => runner.crash()));
    this.store.close();
  }
}

/** Runs one soak. */
export function runSoak(options: SoakOptions): Promise<SoakReport> {
  return new Soak(options).run();
}
