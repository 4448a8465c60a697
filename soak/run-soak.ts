/**
 * The fault soak: runs real processes of the platform's program on one machine, injects faults from outside, and
 * checks the platform's guarantees by what clients and runners observe.
 */
import type { StoreMode } from '../platform/stand-in/store-server.js';
import { CONFIGURATION_KEY, RETIRE_PREFIX, RETIRE_STATUS_PREFIX } from '../platform/store-keys.js';
import type { RelayRunner, RunnerBehaviour, RunnerRun } from '../src/emulator/relay-runner.js';
import { BREAKING_BEHAVIOURS } from '../src/emulator/unframed-answer.js';
import { createRandom } from '../src/runtime/random.js';
import type { RandomSource } from '../src/runtime/random.js';
import { ConfigurationCheck } from './configuration-check.js';
import { ConnectionClient } from './connection-client.js';
import type { ConnectionClientContext } from './connection-client.js';
import { checkConnections } from './connection-check.js';
import type { ConnectionCounts } from './connection-check.js';
import { EvacuationCheck } from './evacuation-check.js';
import { FatalRequestCheck } from './fatal-request-check.js';
import type { FaultProxy, ProxyMode } from './fault-proxy.js';
import { PlannedStopCheck, RUNNERS } from './planned-stop-check.js';
import { addLoss } from './power-loss-counts.js';
import type { PowerLossCounts } from './power-loss-counts.js';
import {
  PROGRAM,
  SOAK_APPLY_MILLISECONDS,
  SOAK_CATCH_UP_MILLISECONDS,
} from './platform-process.js';
import type { PlatformProcess, PlatformRole } from './platform-process.js';
import { RecoveryCheck } from './recovery-check.js';
import { createCounts, SoakClient } from './soak-client.js';
import { slowReaderViolations } from './slow-reading.js';
import type { RunningSoak, SoakOptions, SoakReport } from './soak-report.js';
import { SoakConfiguration } from './soak-configuration.js';
import {
  ALL_REPLICAS,
  CHANGES_WHILE_AWAY,
  drawEndlessForm,
  FAULTS,
  MISBEHAVIOURS,
  PLANNED_STOPS,
  SIGNAL_SERIES,
  STORE_FAULTS,
  targetsOf,
} from './soak-faults.js';
import type { Fault, FaultTargets } from './soak-faults.js';
import { SoakUpgrade } from './soak-upgrade.js';
import { COLD_LIMIT, SOAK_ZONES, SoakWorld } from './soak-world.js';
import type { SoakWorldOptions } from './soak-world.js';
import { ResumedTurnCheck } from './resumed-turn-check.js';
import { StreamVersionCheck } from './stream-version-check.js';
import { TenantCheck } from './tenant-check.js';
import { MOVABLE_ROUTE, RESUMABLE_ROUTE } from './versioned-runners.js';

const GATEWAY_COUNT = 3;
const REPLICA_COUNT = 4;
const RUNNER_COUNT = 4;
/** Clients that keep their connections, for each of the others. */
const CONNECTION_CLIENT_SHARE = 0.5;
/** Violations of one kind that are reported one by one. */
const MAXIMUM_REPORTED = 8;
/** Shares of framed answers, and of broken ones among the others, while runners break off answers. */
const FRAMED_SHARE = 0.4;
const BREAK_OFF_SHARE = 0.33;
/** Factor on the duration of a fault for the time in which runners break off answers. */
const BREAK_OFF_PAUSE_FACTOR = 2;
/** Pause after a fault in which the processes recover, in milliseconds. */
const SETTLE_MILLISECONDS = 4_500;
/** Probability that the next fault begins while the last one is still active. */
const OVERLAP_PROBABILITY = 0.5;
const MAXIMUM_OVERLAP_MILLISECONDS = 1_200;
/** Modes of the store, by fault. */
const STORE_MODES = {
  storeRefuses: 'refusing',
  storeSilent: 'silent',
  storeLosesAnswers: 'losingAnswers',
} as const;
/** Probability that all replicas are killed with all gateways. */
const REPLICAS_KILLED_PROBABILITY = 0.35;
/** Shortest and longest time for which all gateways are away, in milliseconds. */
const GATEWAYS_AWAY_MILLISECONDS: readonly [number, number] = [300, 1_500];
/** Factor by which a zone is away longer than a machine, so that some losses outlast the removal of silent members. */
const ZONE_PAUSE_FACTOR = 3;
/** Shortest and longest read pause of a slow runner, in milliseconds. */
const READ_PAUSES_MILLISECONDS: readonly [number, number] = [100, 1_500];

/** Time within which the retirement of a replica must be reported as succeeded, in milliseconds. */
const RETIREMENT_TIMEOUT_MILLISECONDS = 8_000;
/** Entry among the active faults for a machine that is restarted with another build. */
const RESTART = 'roll';
/** Time after a restart with another build in which no fault strikes that machine, in milliseconds. */
const RESTART_SETTLE_MILLISECONDS = 2_000;
/** Longest time from one gateway's planned stop to the next one's, in milliseconds. */
const STOP_INTERVAL_MILLISECONDS = 2_500;
/** Probability that a process that was stopped by a series of signals is stopped again while it starts. */
const STOP_AT_START_PROBABILITY = 0.3;
/** Longest time from such a start to the stop, in milliseconds. */
const STOP_AT_START_MILLISECONDS = 1_500;
/** Interval at which the soak polls for a state or for a fault whose targets are free, in milliseconds. */
const POLL_MILLISECONDS = 50;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

/** One run of the fault soak. */
class Soak {
  private readonly random: RandomSource;
  private readonly world: SoakWorld;
  private readonly configurationSource: SoakConfiguration;
  private readonly violations: string[] = [];
  private readonly violate = (promise: string, detail: string): void => {
    this.violations.push(`${promise}: ${detail}`);
  };
  /** Number of violations by promise, where only the first are reported one by one. */
  private readonly repeated = new Map<string, number>();
  private readonly faults: Record<string, number> = {};
  private readonly counts = createCounts();
  private readonly pairs: Record<string, number> = {};
  private readonly lost: PowerLossCounts = { disks: 0, names: 0, bytes: 0 };
  /** Active faults, with the targets of each. */
  private readonly activeFaults = new Map<Fault | typeof RESTART, readonly string[]>();
  private readonly configurationCheck: ConfigurationCheck;
  private readonly evacuationCheck: EvacuationCheck;
  private readonly tenantCheck: TenantCheck;
  private readonly recoveryCheck: RecoveryCheck;
  private readonly versionCheck: StreamVersionCheck;
  private readonly resumedTurnCheck: ResumedTurnCheck;
  private readonly fatalCheck: FatalRequestCheck;
  private readonly connectionContext: ConnectionClientContext;
  /** Runs of each request on a kept connection, by its id; filled when all have ended. */
  private readonly connectionRuns = new Map<string, RunnerRun[]>();
  private readonly plannedStopCheck = new PlannedStopCheck({
    signalsTo: (host) =>
      this.world.processes.find(({ machine }) => machine.host === host)?.plannedSignals ?? [],
    runsOf: (id) => this.connectionRuns.get(id) ?? [],
    violate: (promise, detail) => this.violateSparingly(promise, detail),
  });
  /** Local time of the end of the last fault of a replica, in milliseconds; Infinity while one lasts. */
  private replicaFaultEndedAt = -Infinity;
  private readonly upgrade: SoakUpgrade | undefined;

  constructor(private readonly options: SoakOptions) {
    this.random = createRandom(options.seed, 'soak');
    this.configurationSource = new SoakConfiguration(this.random);
    const { gatewayCount = GATEWAY_COUNT, replicaCount = REPLICA_COUNT, block = 0 } = options;
    const sizes = { gatewayCount, replicaCount, runnerCount: RUNNER_COUNT };
    const program = options.upgrade?.program ?? options.program ?? PROGRAM;
    // The older build of an upgrade need not know evacuations.
    const onArrival: SoakWorldOptions['onArrival'] = (zone, headers) => {
      if (options.upgrade === undefined) {
        this.evacuationCheck.noteArrival(zone, headers);
      }
    };
    const { hasInvalidEntries = true, toleratesZoneLoss = false } = options;
    const content = { hasInvalidEntries, toleratesZoneLoss, onArrival };
    this.world = new SoakWorld({ ...sizes, block, program, ...content });
    const { gatewayHosts, runners } = this.world;
    const { violate } = this;
    this.configurationCheck = new ConfigurationCheck({
      gatewayHosts,
      violate,
      lifeOf: (host) =>
        this.world.processes.find(({ machine }) => machine.host === host)?.processId,
    });
    const isInContact = (host: string): boolean => this.configurationCheck.isInContact(host);
    this.evacuationCheck = new EvacuationCheck({ isInContact, violate });
    this.versionCheck = new StreamVersionCheck({
      random: createRandom(options.seed, 'streams'),
      gatewayHosts,
      zones: SOAK_ZONES,
      store: this.world.store,
      addressOf: (number) => this.world.runnerAddressOf(number),
      isInContact,
      areReplicasInContact: () =>
        performance.now() - this.replicaFaultEndedAt >= SETTLE_MILLISECONDS,
      areStreamsKnown: () => this.world.knowsStreams,
      violate,
    });
    this.resumedTurnCheck = this.createResumedTurnCheck();
    this.fatalCheck = new FatalRequestCheck({
      random: createRandom(options.seed, 'fatal'),
      gatewayHosts,
      zones: SOAK_ZONES,
      store: this.world.store,
      addressOf: (number) => this.world.runnerAddressOf(number),
      violate,
    });
    const random = createRandom(options.seed, 'tenants');
    this.tenantCheck = new TenantCheck({ random, gatewayHosts, runners, violate });
    this.recoveryCheck = new RecoveryCheck({
      newClient: (name, counts) => this.createClient(name, counts),
      violate,
    });
    this.connectionContext = this.createConnectionContext();
    if (options.upgrade !== undefined) {
      const { counts, world } = this;
      const reserve = (machine: PlatformProcess, action: () => Promise<void>): Promise<void> =>
        this.reserve(machine, action);
      const processesOf = (role: PlatformRole): PlatformProcess[] => world.processesOf(role);
      this.upgrade = new SoakUpgrade({ plan: options.upgrade, processesOf, counts, reserve });
    }
  }

  private runChecks(isOver: () => boolean): Promise<void>[] {
    const checks = [this.configurationCheck.run(isOver), this.tenantCheck.run(isOver)];
    return this.checksNewRules
      ? [
          ...checks,
          this.versionCheck.run(isOver),
          this.fatalCheck.run(isOver),
          this.resumedTurnCheck.run(isOver),
        ]
      : checks;
  }

  private createResumedTurnCheck(): ResumedTurnCheck {
    const { options, world, violate } = this;
    const { gatewayHosts, runners } = world;
    const random = createRandom(options.seed, 'resumed turns');
    return new ResumedTurnCheck({ random, gatewayHosts, runners, violate });
  }

  private createConnectionContext(): ConnectionClientContext {
    return {
      random: createRandom(this.options.seed, 'connections'),
      gatewayHosts: this.world.gatewayHosts,
      requests: [],
      violate: (promise, detail) => this.violateSparingly(promise, detail),
      connectionCount: 0,
    };
  }

  /** Starts the clients that keep their connections; the older build of an upgrade may cut their requests. */
  private runConnectionClients(isOver: () => boolean): Promise<void>[] {
    const { clientCount = 8 } = this.options;
    const count = this.checksNewRules ? Math.ceil(clientCount * CONNECTION_CLIENT_SHARE) : 0;
    return Array.from({ length: count }, (_, index) =>
      new ConnectionClient(`kept-${index}`, this.connectionContext).run(isOver),
    );
  }

  /** Checks the requests on kept connections. Call when all clients have ended and the runners are idle. */
  private checkConnectionRequests(): ConnectionCounts {
    const { requests, connectionCount } = this.connectionContext;
    requests.forEach(({ id }) => this.connectionRuns.set(id, []));
    this.world.runners
      .flatMap(({ runs }) => runs)
      .forEach((run) => this.connectionRuns.get(run.requestId)?.push(run));
    this.connectionRuns.forEach((runs) => runs.sort((a, b) => a.startedAt - b.startedAt));
    const counts = checkConnections({
      requests,
      connectionCount,
      runsOf: (id) => this.connectionRuns.get(id) ?? [],
      violate: (promise, detail) => this.violateSparingly(promise, detail),
    });
    this.plannedStopCheck.check(requests);
    for (const [promise, count] of this.repeated) {
      if (count > MAXIMUM_REPORTED) {
        this.violate(promise, `${count - MAXIMUM_REPORTED} more on kept connections`);
      }
    }
    return counts;
  }

  private violateSparingly(promise: string, detail: string): void {
    const count = (this.repeated.get(promise) ?? 0) + 1;
    this.repeated.set(promise, count);
    if (count <= MAXIMUM_REPORTED) {
      this.violate(promise, detail);
    }
  }

  /** The older build of an upgrade need know neither software versions nor fatal requests. */
  private get checksNewRules(): boolean {
    return this.options.upgrade === undefined;
  }

  async run(): Promise<SoakReport> {
    await this.world.startDependencies();
    if (this.checksNewRules) {
      await this.versionCheck.start();
      await this.fatalCheck.start();
    }
    this.changeConfiguration();
    await this.world.startProcesses();
    let over = false;
    const clients = Array.from({ length: this.options.clientCount ?? 8 }, (_, index) =>
      this.createClient(`c${index}`),
    );
    const work = clients.map((client) => client.run(() => over));
    work.push(...this.runChecks(() => over), ...this.runConnectionClients(() => over));
    const until = performance.now() + this.options.minutes * 60_000;
    let isUpgraded = false;
    const upgraded = this.upgrade?.run().then(() => (isUpgraded = true));
    await this.injectFaultsUntil(
      () => performance.now() >= until && (upgraded === undefined || isUpgraded),
    );
    await upgraded;
    this.countFault('loseAllPower');
    await this.injectFault('loseAllPower', targetsOf('loseAllPower', this.pickMachines()));
    over = true;
    await Promise.all(work);
    await this.recoveryCheck.check('the last fault');
    await this.recoveryCheck.checkTurns(clients.flatMap((client) => client.answeredTurns));
    this.recordUnexpectedExits();
    const connections = this.checkConnectionRequests();
    this.violations.push(...slowReaderViolations(this.counts));
    this.recordColdFailures();
    await this.world.stop();
    this.violations.push(...(this.upgrade?.violationsIn(this.world.folder) ?? []));
    return this.createReport(connections);
  }

  private createReport(connections: ConnectionCounts): SoakReport {
    const { seed } = this.options;
    const { counts, faults, pairs, lost, violations } = this;
    const { folder } = this.world;
    const { completedChecks: configurationLooks, versionLooks } = this.configurationCheck;
    const { oldKeyRequests, limitedAnswers } = this.tenantCheck;
    const coldArrivals = Math.max(
      ...this.world.runners.map((runner) => runner.maximumColdArrivals),
    );
    const { checkedArrivals: evacuationArrivals } = this.evacuationCheck;
    const counted = { evacuationArrivals, oldKeyRequests, limitedAnswers, coldArrivals };
    const unframedAnswers = {
      sent: sum(this.world.runners.map(({ unframed }) => unframed.sent)),
      broken: sum(this.world.runners.map(({ unframed }) => unframed.broken)),
    };
    const looks = { configurationLooks, versionLooks, unframedAnswers, ...counted };
    const { counts: resumptions } = this.versionCheck;
    const { counts: fatalRequests } = this.fatalCheck;
    const { recoveries } = this.recoveryCheck;
    const upgrade = this.upgrade?.steps ?? [];
    return {
      seed,
      counts,
      faults,
      pairs,
      ...looks,
      resumptions,
      resumedTurns: this.resumedTurnCheck.counts,
      fatalRequests,
      connections,
      plannedStops: this.plannedStopCheck.counts,
      recoveries,
      lost,
      upgrade,
      violations,
      folder,
    };
  }

  /** Injects faults one after another, with a random overlap, until `isOver` returns true. */
  private async injectFaultsUntil(isOver: () => boolean): Promise<void> {
    const { faults = FAULTS } = this.options;
    let pending: Promise<void>[] = [];
    while (!isOver()) {
      if (faults.length === 0) {
        await sleep(POLL_MILLISECONDS);
        continue;
      }
      const fault = this.random.pick(faults);
      const targets = targetsOf(fault, this.pickMachines());
      if (this.activeFaults.has(fault) || this.isTargeted(targets)) {
        await sleep(POLL_MILLISECONDS);
        continue;
      }
      this.countFault(fault);
      pending.push(this.injectFault(fault, targets));
      if (this.random.uniform() < OVERLAP_PROBABILITY) {
        await sleep(MAXIMUM_OVERLAP_MILLISECONDS * this.random.uniform());
      } else {
        await Promise.all(pending);
        pending = [];
        await sleep(SETTLE_MILLISECONDS);
      }
    }
    await Promise.all(pending);
  }

  private isTargeted(targets: readonly string[]): boolean {
    const activeTargets = new Set([...this.activeFaults.values()].flat());
    return targets.some((target) => activeTargets.has(target));
  }

  /** Runs an action on a machine once no fault has it as a target, and keeps faults off it meanwhile. */
  private async reserve(machine: PlatformProcess, action: () => Promise<void>): Promise<void> {
    const { name, role, host } = machine.machine;
    const targets = role === 'replica' ? [name, ALL_REPLICAS] : [name];
    while (this.isTargeted(targets)) {
      await sleep(POLL_MILLISECONDS);
    }
    this.activeFaults.set(RESTART, targets);
    const end = this.configurationCheck.exempt([host]);
    await action();
    await sleep(RESTART_SETTLE_MILLISECONDS);
    end();
    this.activeFaults.delete(RESTART);
  }

  private countFault(fault: Fault): void {
    this.faults[fault] = (this.faults[fault] ?? 0) + 1;
    for (const other of this.activeFaults.keys()) {
      const pair = [fault, other].sort().join(' + ');
      this.pairs[pair] = (this.pairs[pair] ?? 0) + 1;
    }
  }

  /** Injects a fault, and exempts the affected gateways from the configuration check meanwhile. */
  private async injectFault(fault: Fault, targets: readonly string[]): Promise<void> {
    this.activeFaults.set(fault, targets);
    const gateways = this.world.processesOf('gateway');
    const exemptGateways = STORE_FAULTS.has(fault)
      ? gateways
      : gateways.filter(({ machine }) => targets.includes(machine.name));
    const end = this.configurationCheck.exempt(exemptGateways.map(({ machine }) => machine.host));
    const endDisturbance = this.disturb(fault, targets);
    const strikesReplicas = targets.includes(ALL_REPLICAS);
    if (strikesReplicas) {
      this.replicaFaultEndedAt = Infinity;
    }
    await this.applyFault(fault, targets);
    end();
    endDisturbance();
    if (strikesReplicas) {
      this.replicaFaultEndedAt = performance.now();
      await sleep(SETTLE_MILLISECONDS);
    }
    this.activeFaults.delete(fault);
  }

  /** Lets a fault that is no planned stop excuse cut requests at the gateways and runners that it strikes. */
  private disturb(fault: Fault, targets: readonly string[]): () => void {
    if (PLANNED_STOPS.has(fault)) {
      return () => undefined;
    }
    const hosts = this.machinesOf(targets)
      .filter(({ machine }) => machine.role === 'gateway')
      .map(({ machine }) => machine.host);
    return this.plannedStopCheck.disturb(targets.includes(RUNNERS) ? [...hosts, RUNNERS] : hosts);
  }

  private pickMachines(): FaultTargets {
    const nameOf = ({ machine }: PlatformProcess): string => machine.name;
    const gateway = this.random.pick(this.world.processesOf('gateway'));
    const replica = this.random.pick(this.world.processesOf('replica'));
    const { processes } = this.world;
    const zone = processes.filter(({ machine }) => machine.zone === replica.machine.zone);
    return {
      gateway: nameOf(gateway),
      replica: nameOf(replica),
      all: processes.map(nameOf),
      gateways: this.world.processesOf('gateway').map(nameOf),
      zone: zone.map(nameOf),
    };
  }

  /** Returns the process of the first machine among the targets; the first process if there is none. */
  private findMachine(targets: readonly string[]): PlatformProcess {
    const { processes } = this.world;
    const named = targets.map((name) => processes.find(({ machine }) => machine.name === name));
    return named.find((process) => process !== undefined) ?? processes[0]!;
  }

  private createClient(name: string, counts = this.counts): SoakClient {
    const { gatewayHosts, runners } = this.world;
    const { random, violate } = this;
    return new SoakClient(name, { random, gatewayHosts, runners, counts, violate });
  }

  private changeConfiguration(): void {
    const { value, version, addedRoute, droppedRoutes, removedKey } =
      this.configurationSource.next();
    this.world.store.put(CONFIGURATION_KEY, value);
    this.configurationCheck.acknowledge(version, addedRoute, droppedRoutes);
    this.tenantCheck.removeKey(removedKey);
  }

  private async applyFault(fault: Fault, targets: readonly string[]): Promise<void> {
    const pause = this.random.integer(300, 3_000);
    const machine = this.findMachine(targets);
    switch (fault) {
      case 'killGateway':
      case 'killReplica':
      case 'killAll':
        return this.kill(this.machinesOf(targets), pause);
      case 'wipeReplica':
        return this.kill([machine], pause, () => machine.wipe());
      case 'losePower':
        return this.kill([machine], pause, () => this.losePowerOf(machine));
      case 'killGateways':
        return this.killGateways();
      case 'loseAllPower':
        return this.loseAllPower(pause);
      case 'emptyReplica':
        return this.retireReplica(machine, pause);
      case 'replaceReplica':
        return this.replaceReplica(machine, pause);
      case 'loseZone':
        return this.loseZone(this.machinesOf(targets), pause * ZONE_PAUSE_FACTOR);
      case 'pauseZone':
      case 'pauseGateway':
      case 'pauseReplica':
        return this.pauseMachines(this.machinesOf(targets), pause);
      case 'stopGateway':
      case 'stopGateways':
      case 'signalsInSeries':
        return this.stopPlanned(fault, this.machinesOf(targets));
      case 'storeRefuses':
      case 'storeSilent':
      case 'storeLosesAnswers':
        return this.disturbStore(STORE_MODES[fault], pause);
      case 'storeForgets':
        return this.forgetHistory();
      case 'storeListsStale':
        return this.delayStaleLists(pause);
      case 'storePath':
        return this.disturbPath(this.world.storeProxies.get(machine.machine.name)!, pause);
      case 'runnerPath':
        return this.disturbRunnerPath(this.random.pick(this.world.runnerProxies), pause);
      case 'runnerCrash':
      case 'runnerRestart':
      case 'runnerTurnsCold':
        return this.strikeRunner(fault, this.random.integer(0, RUNNER_COUNT - 1), pause);
      case 'runnerReadsSlowly':
        return this.slowDownReading(this.random.pick(this.world.liveRunners), pause);
      case 'runnerMisbehaves':
        return this.misbehave();
      case 'runnersBreakOff':
        return this.breakOffAnswers(pause * BREAK_OFF_PAUSE_FACTOR);
      case 'configurationChange':
        return this.changeConfiguration();
      case 'routeMoves':
        return this.moveRoute();
      case 'zoneEvacuated':
        return this.evacuateZone(pause);
    }
  }

  /** Stops a machine's process by the signal of a planned stop and starts it again. */
  private async restart(machine: PlatformProcess): Promise<void> {
    machine.signal('SIGTERM');
    await machine.whenExited();
    machine.start();
  }

  private stopPlanned(fault: Fault, machines: readonly PlatformProcess[]): Promise<void> {
    return fault === 'signalsInSeries'
      ? this.signalInSeries(machines[0]!)
      : this.restartInTurn(machines);
  }

  /** Restarts machines one after another, at times before the last one has started again. */
  private async restartInTurn(machines: readonly PlatformProcess[]): Promise<void> {
    const restarts: Promise<void>[] = [];
    for (const machine of machines) {
      await sleep(restarts.length === 0 ? 0 : this.random.uniform() * STOP_INTERVAL_MILLISECONDS);
      restarts.push(this.restart(machine));
    }
    await Promise.all(restarts);
  }

  /** Sends a machine's process signals that follow one another closely, and starts it again if they stop it. */
  private async signalInSeries(machine: PlatformProcess): Promise<void> {
    const { random } = this;
    const series = random.pick(SIGNAL_SERIES);
    const ended = machine.whenExited();
    for (const { name, after } of series) {
      await sleep(random.integer(...after));
      machine.signal(name);
    }
    if (!series.some(({ name }) => name === 'SIGTERM')) {
      return;
    }
    await ended;
    machine.start();
    if (random.uniform() < STOP_AT_START_PROBABILITY) {
      await sleep(random.uniform() * STOP_AT_START_MILLISECONDS);
      await this.restart(machine);
    }
  }

  private strikeRunner(
    fault: 'runnerCrash' | 'runnerRestart' | 'runnerTurnsCold',
    index: number,
    pause: number,
  ): Promise<void> {
    const { world } = this;
    const strikes = {
      runnerCrash: () => world.replaceRunner(index, pause),
      runnerRestart: () => world.restartRunner(index, pause),
      runnerTurnsCold: () => world.coolRunner(index),
    };
    return strikes[fault]();
  }

  private misbehave(): void {
    this.world.liveRunners.forEach((runner) => {
      runner.endlessForm = () => drawEndlessForm(this.random);
      runner.behaviours.push(this.random.pick(MISBEHAVIOURS), this.random.pick(MISBEHAVIOURS));
    });
  }

  private async kill(
    victims: readonly PlatformProcess[],
    pause: number,
    whileDead: () => void = () => undefined,
  ): Promise<void> {
    const ended = victims.map((victim) => victim.whenExited());
    victims.forEach((victim) => victim.signal('SIGKILL'));
    await Promise.all(ended);
    whileDead();
    await sleep(pause);
    victims.forEach((victim) => victim.start());
  }

  /** Kills all gateways, at times all replicas too; versions or a route change before they return. */
  private async killGateways(): Promise<void> {
    const { random, versionCheck } = this;
    const { runners } = versionCheck;
    const change = random.pick(CHANGES_WHILE_AWAY);
    const suffix = random.uniform() < REPLICAS_KILLED_PROBABILITY ? ', replicas killed' : '';
    const victims = suffix === '' ? this.world.processesOf('gateway') : this.world.processes;
    const ended = victims.map((victim) => victim.whenExited());
    victims.forEach((victim) => victim.signal('SIGKILL'));
    const other = `nothing${suffix}`;
    if (change === 'nothing') {
      versionCheck.noteChange(other);
    } else {
      const route = change === 'entries go' ? RESUMABLE_ROUTE : MOVABLE_ROUTE;
      versionCheck.noteChange(`${change}${suffix}`, route, other);
    }
    await Promise.all(ended);
    if (change === 'entries go') {
      runners.removeOldest();
    } else if (change === 'replaced') {
      await runners.replace(versionCheck.movableService);
    } else if (change === 'route moves') {
      this.changeMovedRoute();
    }
    await sleep(random.integer(...GATEWAYS_AWAY_MILLISECONDS));
    victims.forEach((victim) => victim.start());
  }

  private moveRoute(): void {
    this.versionCheck.noteChange('route moves, no kill', MOVABLE_ROUTE);
    this.changeMovedRoute();
  }

  private changeMovedRoute(): void {
    this.versionCheck.noteMove(this.configurationSource.moveRoute());
    this.changeConfiguration();
  }

  private machinesOf(targets: readonly string[]): readonly PlatformProcess[] {
    return this.world.processes.filter(({ machine }) => targets.includes(machine.name));
  }

  private async pauseMachines(machines: readonly PlatformProcess[], pause: number): Promise<void> {
    machines.forEach((machine) => machine.signal('SIGSTOP'));
    await sleep(pause);
    machines.forEach((machine) => machine.signal('SIGCONT'));
  }

  /** Kills the machines of a zone and wipes the disks of its replicas; after its return, requests must be served. */
  private async loseZone(machines: readonly PlatformProcess[], pause: number): Promise<void> {
    const replicas = machines.filter(({ machine }) => machine.role === 'replica');
    await this.kill(machines, pause, () => replicas.forEach((replica) => replica.wipe()));
    await this.recoveryCheck.check('the loss of a zone');
  }

  private async loseAllPower(pause: number): Promise<void> {
    await this.kill(this.world.processes, pause, () => this.loseDisks());
    await this.recoveryCheck.check('a loss of all power');
  }

  /** Lets the runners answer without length or chunks, and break off a part of these answers. */
  private async breakOffAnswers(pause: number): Promise<void> {
    const { random, world } = this;
    const draw = (): RunnerBehaviour => {
      if (random.uniform() < FRAMED_SHARE) {
        return 'answer';
      }
      return random.uniform() < BREAK_OFF_SHARE ? random.pick(BREAKING_BEHAVIOURS) : 'unframed';
    };
    world.liveRunners.forEach((runner) => (runner.drawBehaviour = draw));
    await sleep(pause);
    world.liveRunners.forEach((runner) => (runner.drawBehaviour = () => 'answer'));
  }

  private async slowDownReading(runner: RelayRunner, pause: number): Promise<void> {
    runner.readPauseMilliseconds = this.random.integer(...READ_PAUSES_MILLISECONDS);
    await sleep(pause);
    runner.readPauseMilliseconds = 0;
  }

  /** Replaces a replica's machine for good; once the replacement must have caught up, all power is lost. */
  private async replaceReplica(replaced: PlatformProcess, pause: number): Promise<void> {
    const ended = replaced.whenExited();
    replaced.signal('SIGKILL');
    await ended;
    await sleep(pause);
    await this.world.replaceReplica(replaced);
    await sleep(SOAK_CATCH_UP_MILLISECONDS);
    await this.loseAllPower(pause);
  }

  /** Retires a replica; as soon as the success is reported, its disk and that of another replica are lost. */
  private async retireReplica(machine: PlatformProcess, pause: number): Promise<void> {
    const { store } = this.world;
    const { name } = machine.machine;
    store.remove(RETIRE_STATUS_PREFIX + name);
    store.put(RETIRE_PREFIX + name, {});
    const until = performance.now() + RETIREMENT_TIMEOUT_MILLISECONDS;
    const isEmpty = (): boolean =>
      store.read(RETIRE_STATUS_PREFIX + name)?.includes('succeeded') ?? false;
    while (!isEmpty() && performance.now() < until) {
      await sleep(POLL_MILLISECONDS);
    }
    if (isEmpty()) {
      const others = this.world.processesOf('replica').filter((replica) => replica !== machine);
      const lost = [machine, this.random.pick(others)];
      await this.kill(lost, pause, () => lost.forEach((replica) => replica.wipe()));
    } else {
      this.violations.push(`emptying: the retirement of ${name} was not reported in time`);
    }
    store.remove(RETIRE_PREFIX + name);
  }

  /** Wipes the disk of one replica; all others lose what was not synced. */
  private loseDisks(): void {
    const replicas = this.world.processesOf('replica');
    const lost = this.random.pick(replicas);
    lost.wipe();
    replicas.filter((replica) => replica !== lost).forEach((replica) => this.losePowerOf(replica));
  }

  private losePowerOf(replica: PlatformProcess): void {
    addLoss(this.lost, replica.losePower(this.random));
  }

  private async disturbStore(mode: StoreMode, pause: number): Promise<void> {
    this.world.store.mode = mode;
    this.changeConfiguration();
    await sleep(pause);
    this.world.store.mode = 'well';
  }

  private async delayStaleLists(pause: number): Promise<void> {
    const end = this.world.store.freezeStaleLists();
    this.changeConfiguration();
    await sleep(pause);
    end();
  }

  private forgetHistory(): void {
    this.changeConfiguration();
    this.world.store.compact();
  }

  /** Evacuates a zone for the time until the evacuation must be in force and a pause after it. */
  private async evacuateZone(pause: number): Promise<void> {
    const zone = this.random.pick(SOAK_ZONES);
    this.world.store.evacuate(zone);
    this.evacuationCheck.evacuate(zone);
    await sleep(SOAK_APPLY_MILLISECONDS + pause);
    this.evacuationCheck.restore(zone);
    this.world.store.restore(zone);
  }

  private async disturbRunnerPath(proxy: FaultProxy, pause: number): Promise<void> {
    const end = this.evacuationCheck.exempt();
    await this.disturbPath(proxy, pause);
    end();
  }

  private async disturbPath(proxy: FaultProxy, pause: number): Promise<void> {
    const mode: ProxyMode = this.random.pick(['delay', 'silence', 'oneWay', 'reset']);
    proxy.setMode(mode);
    await sleep(pause);
    // Bytes may have been dropped, so open connections are reset before traffic passes again.
    proxy.setMode('reset');
    proxy.setMode('pass');
  }

  /** Kills all processes without further checks. */
  killAll(): void {
    this.world.processes.forEach((process) => process.signal('SIGKILL'));
  }

  /** Builds before the current one, which an upgrade starts with, do not limit requests to cold runners. */
  private recordColdFailures(): void {
    if (this.options.upgrade !== undefined) {
      return;
    }
    for (const { id, coldFailures, maximumColdArrivals } of this.world.runners) {
      if (coldFailures > 0) {
        const detail = `${maximumColdArrivals} requests in a second at ${id}, limit ${COLD_LIMIT}`;
        this.violations.push(`cold runner: ${detail}`);
      }
    }
  }

  private recordUnexpectedExits(): void {
    for (const { unexpectedExits } of [...this.world.processes, ...this.world.removedProcesses]) {
      this.violations.push(...unexpectedExits.map((exit) => `own exit: ${exit}`));
    }
  }
}

/** Starts a soak. */
export function runSoak(options: SoakOptions): RunningSoak {
  const soak = new Soak(options);
  return { report: soak.run(), killAll: () => soak.killAll() };
}
