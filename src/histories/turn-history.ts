/**
 * Simulates one seeded history of stored turns and token accounts under faults: gateways store chains of
 * turns and reserve tokens while replicas are killed, wiped, paused, isolated, added, replaced and retired, one or
 * several at a time, or all at once. The invariants are checked on what the gateways observed.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import type { LogFunction } from '../runtime/runtime.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import { bestSpread, spreadOf } from '../turns/member-spread.js';
import type { SpreadPolicy } from '../turns/member-spread.js';
import type { TurnClient } from '../turns/turn-client.js';
import { pickDistinct } from './pick-distinct.js';
import { emptiestZone } from './zone-spread.js';
import { TURN_FAULTS, ZONE_FAULTS } from './turn-faults.js';
import type { TurnFault } from './turn-faults.js';

/** Defects built into the replicas to show that the checks detect them. */
export type InjectedFault =
  /** A replica that lost its disk counts as complete at once and copies nothing. */
  | 'noRepair'
  /** Replicas acknowledge writes before they are on disk. */
  | 'hastyAcknowledge'
  /** Replicas never write accounts to disk. */
  | 'lostAccounts';

/** Options of a turn history. */
export interface TurnHistoryOptions {
  readonly injectedFault?: InjectedFault;
  /** Number of replicas at the start. @default three to five, drawn by the seed */
  readonly replicaCount?: number;
  /** Number of members that the membership record shall name. @default all */
  readonly wantedMembers?: number;
  /** How members are spread over zones, one of which may be lost. @default each machine in a zone of its own */
  readonly spread?: SpreadPolicy;
  /** Whether all machines start with a build that knows no spread, and are upgraded in the course of the history. */
  readonly startsWithOlderBuild?: boolean;
  /** Duration of a synced write, in milliseconds. @default 1 */
  readonly writeMilliseconds?: number;
  /** Time that a replacement replica has for catching up after its start, in milliseconds. @default 16,000 */
  readonly catchUpMilliseconds?: number;
  /** Number of machines that are killed or lose their disks at once. @default 1 */
  readonly lossesAtOnce?: number;
  readonly log?: LogFunction;
}

/** Result of a turn history. */
export interface TurnHistoryResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Number of turns whose storage was acknowledged. */
  readonly kept: number;
  /** Numbers of token reservations by outcome; the outcome of `unavailable` ones is unknown. */
  readonly granted: number;
  readonly refused: number;
  readonly unavailable: number;
  readonly faults: readonly TurnFault[];
}

/** Virtual time for recovery after each fault. */
const RECOVERY_MILLISECONDS = 4_500;
const FAULT_COUNT = 5;
/** Additional virtual time for recovery after the loss of a zone: together, the time for catching up of 6 s. */
const ZONE_RECOVERY_MILLISECONDS = 1_500;
/** Factor by which faults of zones last longer than others, so that some outlast the removal of silent members. */
const ZONE_PAUSE_FACTOR = 4;
/** Virtual time in which superfluous members leave after all faults. */
const SPREAD_RECOVERY_MILLISECONDS = 20_000;
/** Virtual time for which the record must then stay as it is. */
const STABLE_RECORD_MILLISECONDS = 10_000;
const PROGRAM_COUNT = 3;
const BUDGET_TOKENS = 600;
/** Tokens reserved for each turn, and the most that it uses. */
const MAXIMUM_TURN_TOKENS = 100;
const OPERATION_TIMEOUT_MILLISECONDS = 700;
/** Virtual time in which the replicas start before the first turn. */
const STARTUP_MILLISECONDS = 6_000;
const RETENTION_MILLISECONDS = 600_000;
const UPGRADE_INTERVAL_MILLISECONDS = 1_500;

interface ProgramState {
  readonly name: string;
  lastTurn: string;
  body: string;
  deliveredTokens: number;
  turns: number;
}

/** Runs programs and faults against simulated replicas and checks the outcomes. */
class TurnHistory {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly replicas: SimulatedReplicas;
  private readonly names: string[] = [];
  private readonly zoneByName = new Map<string, string>();
  private readonly notUpgraded: string[] = [];
  private clients: TurnClient[] = [];
  private readonly programs: ProgramState[] = [];
  private readonly storedBodies = new Map<string, string>();
  private readonly violations: string[] = [];
  private readonly faults: TurnFault[] = [];
  private granted = 0;
  private refused = 0;
  private unavailable = 0;
  private isStopped = false;
  private turnCount = 0;
  private machineCount = 0;

  constructor(
    private readonly seed: number,
    private readonly options: TurnHistoryOptions,
  ) {
    this.random = createRandom(seed, 'turn history');
    this.replicas = new SimulatedReplicas(this.clock, createRandom(seed, 'links'), options);
  }

  run(): TurnHistoryResult {
    const machineCount = this.options.replicaCount ?? this.random.integer(3, 5);
    for (let index = 0; index < machineCount; index += 1) {
      this.addMachine();
    }
    this.wait(STARTUP_MILLISECONDS);
    const secondZone = this.options.spread === undefined ? 'z1' : 'z2';
    this.clients = [
      this.replicas.client('g1', 'z1', this.names[0]!).client,
      this.replicas.client('g2', secondZone, this.names[0]!).client,
    ];
    for (let index = 0; index < PROGRAM_COUNT; index += 1) {
      const name = `p${index}`;
      this.programs.push({ name, lastTurn: '', body: '', deliveredTokens: 0, turns: 0 });
    }
    this.programs.forEach((program) => this.nextTurn(program));
    const kinds =
      this.options.spread === undefined ? TURN_FAULTS : [...TURN_FAULTS, ...ZONE_FAULTS];
    for (let index = 0; index < FAULT_COUNT; index += 1) {
      this.upgradeSome(FAULT_COUNT - index);
      this.injectFault(this.random.pick(kinds));
      this.wait(RECOVERY_MILLISECONDS);
    }
    this.isStopped = true;
    this.wait(RECOVERY_MILLISECONDS);
    this.checkAll();
    if (this.options.spread !== undefined) {
      this.checkSpread(this.options.spread);
    }
    return {
      seed: this.seed,
      violations: this.violations,
      kept: this.storedBodies.size,
      granted: this.granted,
      refused: this.refused,
      unavailable: this.unavailable,
      faults: this.faults,
    };
  }

  private wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  private addMachine(): string {
    this.machineCount += 1;
    const name = `m${this.machineCount}`;
    const { spread, startsWithOlderBuild = false } = this.options;
    const zone =
      spread === undefined ? `z${this.machineCount}` : emptiestZone(spread, this.zoneByName);
    const isOlderBuild = startsWithOlderBuild && this.clock.now === 0;
    this.names.push(name);
    this.zoneByName.set(name, zone);
    if (isOlderBuild) {
      this.notUpgraded.push(name);
    }
    this.replicas.add(name, zone, { isOlderBuild });
    return name;
  }

  private removeMachine(name: string): void {
    this.names.splice(this.names.indexOf(name), 1);
    this.zoneByName.delete(name);
  }

  /** Upgrades as many machines as are due when some of the faults are left. */
  private upgradeSome(faultsLeft: number): void {
    const due = Math.ceil(this.notUpgraded.length / faultsLeft);
    for (const name of this.notUpgraded.splice(0, due)) {
      if (this.names.includes(name)) {
        this.replicas.upgrade(name);
        this.wait(UPGRADE_INTERVAL_MILLISECONDS);
      }
    }
  }

  /** Checks that the members have the best spread that the machines allow, and keep it. */
  private checkSpread(spread: SpreadPolicy): void {
    this.wait(SPREAD_RECOVERY_MILLISECONDS);
    const { store } = this.replicas;
    const { epoch, members } = store;
    const machinesByZone = new Map<string, number>();
    this.zoneByName.forEach((zone) =>
      machinesByZone.set(zone, (machinesByZone.get(zone) ?? 0) + 1),
    );
    const best = bestSpread(spread, machinesByZone);
    const { size, shortfall, membersByZone } = spreadOf(spread, members);
    if (size > spread.wantedMembers || shortfall > best.shortfall) {
      const zones = [...membersByZone].map(([zone, count]) => `${zone}=${count}`).join(' ');
      this.violations.push(`spread: ${size} members with a shortfall of ${shortfall}: ${zones}`);
    }
    this.wait(STABLE_RECORD_MILLISECONDS);
    if (store.epoch !== epoch) {
      this.violations.push(`spread: the record changed from epoch ${epoch} to ${store.epoch}`);
    }
  }

  /** Runs a turn (reserve, read the chain, store, settle) and schedules the next one. */
  private nextTurn(program: ProgramState): void {
    if (this.isStopped) {
      return;
    }
    this.turnCount += 1;
    const turn = `t${this.turnCount}`;
    const client = this.random.pick(this.clients);
    const scheduleNext = (): void => {
      this.clock.schedule(this.random.exponential(120), () => this.nextTurn(program));
    };
    const request = {
      program: program.name,
      turn,
      mostTokens: MAXIMUM_TURN_TOKENS,
      budgetTokens: BUDGET_TOKENS,
    };
    client.reserve(request, OPERATION_TIMEOUT_MILLISECONDS, (outcome) => {
      if (outcome !== 'granted') {
        this.recordRefusal(program, outcome);
        scheduleNext();
        return;
      }
      this.granted += 1;
      this.readThenStore(program, turn, client, scheduleNext);
    });
  }

  private recordRefusal(program: ProgramState, outcome: 'spent' | 'unavailable'): void {
    if (outcome === 'unavailable') {
      this.unavailable += 1;
      return;
    }
    this.refused += 1;
    if (program.deliveredTokens + MAXIMUM_TURN_TOKENS > BUDGET_TOKENS) {
      // A new program replaces one that has used up its budget.
      program.deliveredTokens = 0;
      program.turns += 1;
      Object.assign(program, { name: `${program.name}'` });
    }
  }

  private readThenStore(
    program: ProgramState,
    turn: string,
    client: TurnClient,
    scheduleNext: () => void,
  ): void {
    const usedTokens = this.random.integer(0, MAXIMUM_TURN_TOKENS);
    program.deliveredTokens += usedTokens;
    if (program.deliveredTokens > BUDGET_TOKENS) {
      this.violations.push(`budget: ${program.name} was handed ${program.deliveredTokens} tokens`);
    }
    const store = (before: string): void => {
      const input = `in ${turn};`;
      const output = `out ${turn};`;
      const turnToStore = {
        id: turn,
        previous: program.lastTurn,
        input: Buffer.from(input),
        output: Buffer.from(output),
        retentionMilliseconds: RETENTION_MILLISECONDS,
      };
      client.storeTurn(turnToStore, OPERATION_TIMEOUT_MILLISECONDS, (done) => {
        client.settle(program.name, turn, MAXIMUM_TURN_TOKENS, usedTokens);
        if (done) {
          program.lastTurn = turn;
          program.body = before + input + output;
          this.storedBodies.set(turn, program.body);
        }
        scheduleNext();
      });
    };
    if (program.lastTurn === '') {
      store('');
      return;
    }
    const { lastTurn, body } = program;
    client.readChain(lastTurn, OPERATION_TIMEOUT_MILLISECONDS, (chain) => {
      this.checkChain(lastTurn, body, chain);
      if (chain.tag === 'found') {
        store(body);
      } else {
        scheduleNext();
      }
    });
  }

  private checkChain(
    turn: string,
    body: string,
    chain: { readonly tag: string; readonly body?: Buffer },
  ): void {
    if (chain.tag === 'missing') {
      this.violations.push(`history: ${turn} was kept and is said to be missing`);
    } else if (chain.tag === 'found' && chain.body?.toString() !== body) {
      this.violations.push(`history: ${turn} is not what was kept`);
    }
  }

  private checkAll(): void {
    const { client } = this.replicas.client('checker', 'z2', this.activeName());
    let pendingReads = 0;
    for (const [turn, body] of this.storedBodies) {
      pendingReads += 1;
      client.readChain(turn, OPERATION_TIMEOUT_MILLISECONDS, (chain) => {
        pendingReads -= 1;
        this.checkChain(turn, body, chain);
        if (chain.tag === 'unsure') {
          this.violations.push(`history: ${turn} can't be read after all faults ended`);
        }
      });
    }
    this.wait(RECOVERY_MILLISECONDS);
    if (pendingReads > 0) {
      this.violations.push(`history: ${pendingReads} reads never ended`);
    }
    this.checkService(client);
  }

  /** Checks that a reservation is granted. Unlike reading stored turns, it needs a majority of complete replicas. */
  private checkService(client: TurnClient): void {
    const request = { program: 'last', turn: 'last', mostTokens: 1, budgetTokens: 1 };
    let outcome = 'none';
    client.reserve(request, OPERATION_TIMEOUT_MILLISECONDS, (ended) => {
      outcome = ended;
    });
    this.wait(RECOVERY_MILLISECONDS);
    if (outcome !== 'granted') {
      this.violations.push(`service: a reservation is ${outcome} after all faults ended`);
    }
  }

  private activeName(): string {
    return this.replicas.activeNames()[0] ?? this.names[0]!;
  }

  private injectFault(fault: TurnFault): void {
    this.faults.push(fault);
    const lost = this.pickMachines(this.names);
    const name = lost[0]!;
    const { replicas } = this;
    const pause = this.random.integer(200, 3_500);
    switch (fault) {
      case 'kill':
      case 'wipe':
        this.failMachines(lost, fault === 'wipe');
        this.wait(pause);
        lost.forEach((other) => replicas.start(other));
        return;
      case 'pause':
        replicas.pause(name);
        this.wait(pause);
        replicas.resume(name);
        return;
      case 'cutGateway':
        this.isolateFor(name, ['g1', 'g2'], pause);
        return;
      case 'cutPeers':
        this.isolateFor(name, this.names, pause);
        return;
      case 'cutStore':
        this.isolateFor(name, ['store'], pause);
        return;
      case 'storeDown':
        replicas.store.reachable = false;
        this.wait(pause);
        replicas.store.reachable = true;
        return;
      case 'killAll':
      case 'wipeOneKillOthers':
        this.names.forEach((other) => replicas.kill(other));
        if (fault === 'wipeOneKillOthers') {
          lost.forEach((other) => replicas.wipe(other));
        }
        this.wait(pause);
        this.names.forEach((other) => replicas.start(other));
        return;
      case 'add':
        this.addMachine();
        return;
      case 'replace':
        this.replace(name, pause);
        return;
      case 'retire':
        this.retire(name);
        return;
      case 'killZone':
      case 'wipeZone':
      case 'cutZone':
      case 'wipeZoneKillOthers':
        this.injectZoneFault(fault, this.zoneByName.get(name)!, pause);
    }
  }

  private injectZoneFault(fault: (typeof ZONE_FAULTS)[number], zone: string, pause: number): void {
    const { replicas } = this;
    const inside = this.names.filter((name) => this.zoneByName.get(name) === zone);
    const outside = this.names.filter((name) => this.zoneByName.get(name) !== zone);
    if (fault === 'cutZone') {
      this.cutZone(zone, inside, outside, pause * ZONE_PAUSE_FACTOR);
    } else {
      const hasLostPower = fault === 'wipeZoneKillOthers';
      const stopped = hasLostPower ? [...this.names] : inside;
      stopped.forEach((name) => replicas.kill(name));
      if (fault !== 'killZone') {
        inside.forEach((name) => replicas.wipe(name));
      }
      this.wait(hasLostPower ? pause : pause * ZONE_PAUSE_FACTOR);
      stopped.forEach((name) => replicas.start(name));
    }
    this.wait(ZONE_RECOVERY_MILLISECONDS);
  }

  /** Cuts a zone off from the other zones, with its gateway and, half of the time, from the store. */
  private cutZone(
    zone: string,
    inside: readonly string[],
    outside: readonly string[],
    pause: number,
  ): void {
    const gateways = new Map([
      ['g1', 'z1'],
      ['g2', 'z2'],
    ]);
    const gatewaysInside = [...gateways].flatMap(([name, at]) => (at === zone ? [name] : []));
    const gatewaysOutside = [...gateways].flatMap(([name, at]) => (at === zone ? [] : [name]));
    const store = this.random.uniform() < 1 / 2 ? ['store'] : [];
    const left = [...inside, ...gatewaysInside];
    const right = [...outside, ...gatewaysOutside, ...store];
    const links = left.flatMap((from) => right.map((to): [string, string] => [from, to]));
    links.forEach(([from, to]) => this.replicas.cut(from, to));
    this.wait(pause);
    links.forEach(([from, to]) => this.replicas.heal(from, to));
  }

  /** Draws the machines that are lost at once. */
  private pickMachines(names: readonly string[]): string[] {
    return pickDistinct(this.random, names, this.lossesAtOnce);
  }

  private get lossesAtOnce(): number {
    return this.options.lossesAtOnce ?? 1;
  }

  private failMachines(names: readonly string[], withDisks: boolean): void {
    for (const name of names) {
      this.replicas.kill(name);
      if (withDisks) {
        this.replicas.wipe(name);
      }
    }
  }

  private isolateFor(name: string, others: readonly string[], pause: number): void {
    others.forEach((other) => this.replicas.cut(name, other));
    this.wait(pause);
    others.forEach((other) => this.replicas.heal(name, other));
  }

  /** Removes a machine for good and adds an empty one under another name. */
  private replace(name: string, pause: number): void {
    this.replicas.kill(name);
    this.removeMachine(name);
    this.wait(pause);
    this.addMachine();
    this.wait(RECOVERY_MILLISECONDS);
  }

  /** Retires a machine; once it is reported as empty it stops, and others lose their disks right after. */
  private retire(name: string): void {
    if (this.names.length < 2 * (this.lossesAtOnce + 1)) {
      this.addMachine();
      this.wait(RECOVERY_MILLISECONDS);
    }
    this.replicas.store.retiring.add(name);
    this.clock.runUntil(this.clock.now + 10_000, () => this.replicas.store.retired.has(name));
    if (!this.replicas.store.retired.has(name)) {
      this.replicas.store.retiring.delete(name);
      return;
    }
    this.replicas.kill(name);
    this.removeMachine(name);
    const lost = this.pickMachines(this.names);
    this.failMachines(lost, true);
    this.wait(1_000);
    lost.forEach((other) => this.replicas.start(other));
  }
}

/** Runs one history. */
export function runTurnHistory(seed: number, options: TurnHistoryOptions = {}): TurnHistoryResult {
  return new TurnHistory(seed, options).run();
}
