/**
 * The fault soak: real processes of the platform's program on one machine, faults from outside, and
 * the promises checked from what clients and runners see.
 */
import type { StoreMode } from '../platform/stand-in/store-server.js';
import { CONFIGURATION_KEY, RETIRE_PREFIX, RETIRE_STATUS_PREFIX } from '../platform/store-keys.js';
import type { RelayRunner } from '../src/emulator/relay-runner.js';
import { createRandom } from '../src/runtime/random.js';
import type { RandomSource } from '../src/runtime/random.js';
import { ConfigurationCheck } from './configuration-check.js';
import type { FaultProxy, ProxyMode } from './fault-proxy.js';
import { addLoss } from './power-loss-counts.js';
import type { PowerLossCounts } from './power-loss-counts.js';
import { PROGRAM, SOAK_CATCH_UP_MILLISECONDS } from './platform-process.js';
import type { PlatformProcess, PlatformRole } from './platform-process.js';
import { RecoveryCheck } from './recovery-check.js';
import { noCounts, SoakClient } from './soak-client.js';
import { slowReaderViolations } from './slow-reading.js';
import type { RunningSoak, SoakOptions, SoakReport } from './soak-report.js';
import { SoakConfiguration } from './soak-configuration.js';
import {
  FAULTS,
  MISBEHAVIOURS,
  REPLICAS_TOGETHER,
  STORE_FAULTS,
  targetsOf,
} from './soak-faults.js';
import type { Fault, FaultTargets } from './soak-faults.js';
import { SoakUpgrade } from './soak-upgrade.js';
import { SoakWorld } from './soak-world.js';
import { TenantCheck } from './tenant-check.js';

const GATEWAYS = 3;
const REPLICAS = 4;
const RUNNERS = 4;
const SETTLE_MILLISECONDS = 4_500;
/** Part of the faults that begin while another lasts. */
const OVERLAP = 0.5;
const LONGEST_OVERLAP_MILLISECONDS = 1_200;
/** Least and longest pause of a runner that reads slowly, in milliseconds. */
const READ_PAUSES_MILLISECONDS: readonly [number, number] = [100, 1_500];

/** Time within which a machine is to be reported empty, in milliseconds: that of the users' deployments. */
const EMPTYING_MILLISECONDS = 8_000;
/** What stands for a machine that changes its build, beside the faults. */
const ROLL = 'roll';
/** Time after the start of a machine of another build in which nothing else strikes it, in milliseconds. */
const ROLL_MILLISECONDS = 2_000;
/** Pause before another fault is drawn when one can not be struck now, in milliseconds. */
const SOAK_STEP_MILLISECONDS = 50;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** See the head of this file. */
class Soak {
  private readonly random: RandomSource;
  private readonly world: SoakWorld;
  private readonly configurations: SoakConfiguration;
  private readonly violations: string[] = [];
  private readonly faults: Record<string, number> = {};
  private readonly counts = noCounts();
  private readonly pairs: Record<string, number> = {};
  private readonly lost: PowerLossCounts = { disks: 0, names: 0, bytes: 0 };
  /** Faults that last, and what each of them strikes: a machine, or the store. */
  private readonly lasting = new Map<Fault | typeof ROLL, readonly string[]>();
  private readonly configuration: ConfigurationCheck;
  private readonly tenants: TenantCheck;
  private readonly recovery: RecoveryCheck;
  private readonly upgrade: SoakUpgrade | undefined;

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed, 'soak');
    this.configurations = new SoakConfiguration(this.random);
    const { gatewayCount = GATEWAYS, replicaCount = REPLICAS, block = 0 } = options;
    const sizes = { gatewayCount, replicaCount, runnerCount: RUNNERS };
    const program = options.upgrade?.program ?? PROGRAM;
    const { hasStrangeEntries = true } = options;
    this.world = new SoakWorld({ ...sizes, block, program, hasStrangeEntries });
    const { gatewayHosts, runners } = this.world;
    const violate = (promise: string, detail: string): void => {
      this.violations.push(`${promise}: ${detail}`);
    };
    this.configuration = new ConfigurationCheck({ gatewayHosts, violate });
    const random = createRandom(options.seed, 'tenants');
    this.tenants = new TenantCheck({ random, gatewayHosts, runners, violate });
    this.recovery = new RecoveryCheck({
      newClient: (name, counts) => this.client(name, counts),
      violate,
    });
    if (options.upgrade !== undefined) {
      const { counts, world } = this;
      const reserve = (machine: PlatformProcess, action: () => Promise<void>): Promise<void> =>
        this.reserve(machine, action);
      const of = (role: PlatformRole): PlatformProcess[] => world.of(role);
      this.upgrade = new SoakUpgrade({ plan: options.upgrade, of, counts, reserve });
    }
  }

  async run(): Promise<SoakReport> {
    await this.world.startSurroundings();
    this.changeConfiguration();
    await this.world.startProcesses();
    let over = false;
    const clients = Array.from({ length: this.options.clientCount ?? 8 }, (_, index) =>
      this.client(`c${index}`),
    );
    const work = clients.map((client) => client.run(() => over));
    work.push(this.configuration.run(() => over));
    work.push(this.tenants.run(() => over));
    const until = performance.now() + this.options.minutes * 60_000;
    let isRolled = false;
    const rolled = this.upgrade?.run().then(() => (isRolled = true));
    await this.strikeUntil(() => performance.now() >= until && (rolled === undefined || isRolled));
    await rolled;
    this.note('loseAllPower');
    await this.strikeOnce('loseAllPower', targetsOf('loseAllPower', this.drawTargets()));
    over = true;
    await Promise.all(work);
    await this.recovery.check('the last fault');
    await this.recovery.checkTurns(clients.flatMap((client) => client.answeredTurns));
    this.noteOwnExits();
    this.violations.push(...slowReaderViolations(this.counts));
    await this.world.stop();
    this.violations.push(...(this.upgrade?.violationsIn(this.world.folder) ?? []));
    const { seed } = this.options;
    const { counts, faults, pairs, lost, violations } = this;
    const { folder } = this.world;
    const { looks: configurationLooks } = this.configuration;
    const { oldKeyRequests, limitedAnswers } = this.tenants;
    const looks = { configurationLooks, oldKeyRequests, limitedAnswers };
    const { recoveries } = this.recovery;
    const upgrade = this.upgrade?.steps ?? [];
    return { seed, counts, faults, pairs, ...looks, recoveries, lost, upgrade, violations, folder };
  }

  /** Strikes in series, and now and then while another fault lasts. */
  private async strikeUntil(isOver: () => boolean): Promise<void> {
    const { faults = FAULTS } = this.options;
    let lasting: Promise<void>[] = [];
    while (!isOver()) {
      if (faults.length === 0) {
        await sleep(SOAK_STEP_MILLISECONDS);
        continue;
      }
      const fault = this.random.pick(faults);
      const struck = targetsOf(fault, this.drawTargets());
      if (this.lasting.has(fault) || this.isTaken(struck)) {
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

  private isTaken(targets: readonly string[]): boolean {
    const taken = new Set([...this.lasting.values()].flat());
    return targets.some((target) => taken.has(target));
  }

  /** Lets a machine change its build: like a fault, never at the same time as one that strikes it. */
  private async reserve(machine: PlatformProcess, action: () => Promise<void>): Promise<void> {
    const { name, role, host } = machine.machine;
    const targets = role === 'replica' ? [name, REPLICAS_TOGETHER] : [name];
    while (this.isTaken(targets)) {
      await sleep(SOAK_STEP_MILLISECONDS);
    }
    this.lasting.set(ROLL, targets);
    const end = this.configuration.excuse([host]);
    await action();
    await sleep(ROLL_MILLISECONDS);
    end();
    this.lasting.delete(ROLL);
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
    const gateways = this.world.of('gateway');
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
      gateway: nameOf(this.random.pick(this.world.of('gateway'))),
      replica: nameOf(this.random.pick(this.world.of('replica'))),
      all: this.world.processes.map(nameOf),
    };
  }

  /** The process of the first machine that is struck; any, where a fault strikes no machine. */
  private named(struck: readonly string[]): PlatformProcess {
    const { processes } = this.world;
    const named = struck.map((name) => processes.find(({ machine }) => machine.name === name));
    return named.find((process) => process !== undefined) ?? processes[0]!;
  }

  private client(name: string, counts = this.counts): SoakClient {
    const { gatewayHosts, runners } = this.world;
    const violate = (promise: string, detail: string): void => {
      this.violations.push(`${promise}: ${detail}`);
    };
    const { random } = this;
    return new SoakClient(name, { random, gatewayHosts, runners, counts, violate });
  }

  private changeConfiguration(): void {
    const { value, version, addedRoute, droppedRoutes, removedKey } = this.configurations.next();
    this.world.store.put(CONFIGURATION_KEY, value);
    this.configuration.acknowledge(version, addedRoute, droppedRoutes);
    this.tenants.removeKey(removedKey);
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
        return this.kill(this.world.processes, pause);
      case 'losePower':
        return this.kill([machine], pause, () => this.losePowerOf(machine));
      case 'loseAllPower':
        return this.loseAllPower(pause);
      case 'emptyReplica':
        return this.emptyReplica(machine, pause);
      case 'replaceReplica':
        return this.replaceReplica(machine, pause);
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
        this.world.store.compact();
        return;
      case 'storePath':
        return this.troublePath(this.world.storeProxies.get(machine.machine.name)!, pause);
      case 'runnerPath':
        return this.troublePath(this.random.pick(this.world.runnerProxies), pause);
      case 'runnerCrash':
        return this.world.replaceRunner(this.random.integer(0, RUNNERS - 1), pause);
      case 'runnerRestart':
        return this.world.restartRunner(this.random.integer(0, RUNNERS - 1), pause);
      case 'runnerReadsSlowly':
        return this.slowDownReading(this.random.pick(this.world.liveRunners), pause);
      case 'runnerMisbehaves':
        this.world.liveRunners.forEach((runner) =>
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

  private async loseAllPower(pause: number): Promise<void> {
    await this.kill(this.world.processes, pause, () => this.loseDisks());
    await this.recovery.check('a loss of all power');
  }

  private async slowDownReading(runner: RelayRunner, pause: number): Promise<void> {
    runner.readPauseMilliseconds = this.random.integer(...READ_PAUSES_MILLISECONDS);
    await sleep(pause);
    runner.readPauseMilliseconds = 0;
  }

  /** A machine is gone for good; the last fault comes the moment that its successor counts. */
  private async replaceReplica(gone: PlatformProcess, pause: number): Promise<void> {
    const ended = gone.ended();
    gone.signal('SIGKILL');
    await ended;
    await sleep(pause);
    await this.world.replaceReplica(gone);
    await sleep(SOAK_CATCH_UP_MILLISECONDS);
    await this.loseAllPower(pause);
  }

  /** A machine is emptied and goes; the moment that is reported, another replica loses its disk. */
  private async emptyReplica(machine: PlatformProcess, pause: number): Promise<void> {
    const { store } = this.world;
    const { name } = machine.machine;
    store.remove(RETIRE_STATUS_PREFIX + name);
    store.put(RETIRE_PREFIX + name, {});
    const until = performance.now() + EMPTYING_MILLISECONDS;
    const isEmpty = (): boolean =>
      store.read(RETIRE_STATUS_PREFIX + name)?.includes('succeeded') ?? false;
    while (!isEmpty() && performance.now() < until) {
      await sleep(SOAK_STEP_MILLISECONDS);
    }
    if (isEmpty()) {
      const others = this.world.of('replica').filter((replica) => replica !== machine);
      const lost = [machine, this.random.pick(others)];
      await this.kill(lost, pause, () => lost.forEach((replica) => replica.wipe()));
    } else {
      this.violations.push(`emptying: ${name} was not reported empty in time`);
    }
    store.remove(RETIRE_PREFIX + name);
  }

  /** One replica's disk is lost, all others lose what was not synced. */
  private loseDisks(): void {
    const replicas = this.world.of('replica');
    const lost = this.random.pick(replicas);
    lost.wipe();
    replicas.filter((replica) => replica !== lost).forEach((replica) => this.losePowerOf(replica));
  }

  private losePowerOf(replica: PlatformProcess): void {
    addLoss(this.lost, replica.losePower(this.random));
  }

  private async troubleStore(mode: StoreMode, pause: number): Promise<void> {
    this.world.store.mode = mode;
    this.changeConfiguration();
    await sleep(pause);
    this.world.store.mode = 'well';
  }

  private async troublePath(proxy: FaultProxy, pause: number): Promise<void> {
    const mode: ProxyMode = this.random.pick(['delay', 'silence', 'oneWay', 'reset']);
    proxy.setMode(mode);
    await sleep(pause);
    // What was held up is lost: both ends find out by a reset.
    proxy.setMode('reset');
    proxy.setMode('pass');
  }

  /** Ends all processes; nothing is checked any more. */
  killAll(): void {
    this.world.processes.forEach((process) => process.signal('SIGKILL'));
  }

  private noteOwnExits(): void {
    for (const { ownExits } of [...this.world.processes, ...this.world.gone]) {
      this.violations.push(...ownExits.map((exit) => `own exit: ${exit}`));
    }
  }
}

/** Runs one soak. */
export function runSoak(options: SoakOptions): RunningSoak {
  const soak = new Soak(options);
  return { report: soak.run(), killAll: () => soak.killAll() };
}
