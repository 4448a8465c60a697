/**
 * A day of replicas that ends with a loss of all power: two machines are replaced, one is emptied, disks
 * are lost, the store of the members is away for long, then all power and some disks are lost at once.
 * Service is looked at each second after the power is back, and not once at the end, since it may come
 * back and be lost again.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import type { TurnClient } from '../turns/turn-client.js';
import { drawSeveral } from './draw-several.js';

/** How the day is played. */
export interface PowerLossDayOptions {
  /** Machines to begin with. */
  readonly replicaCount: number;
  /** Members that the record is to name. */
  readonly wantedMembers: number;
  /** Disks that are lost at once. */
  readonly lossesAtOnce: number;
  /** Time that a synced write takes, in milliseconds. @default 1 */
  readonly writeMilliseconds?: number;
}

/** What a day showed. */
export interface PowerLossDayResult {
  readonly seed: number;
  /** Turns that were acknowledged. */
  readonly kept: number;
  /** Time until the emptied machine was reported so, in milliseconds. */
  readonly emptiedAfter: number;
  /** Time from the return of power until service was back for good, in milliseconds. */
  readonly servedAfter: number;
  readonly violations: readonly string[];
}

const START_MILLISECONDS = 8_000;
const KEEP_MILLISECONDS = 25;
const OPERATION_MILLISECONDS = 700;
const RETENTION_MILLISECONDS = 600_000;
/** Events come up to this much later than planned, in milliseconds. */
const DRAWN_MILLISECONDS = 1_500;
const DOWN_MILLISECONDS = 1_200;
/** Time that a machine has to be emptied. */
const EMPTYING_MILLISECONDS = 8_000;
/** Time from the return of power from which on service is owed, and for which it is looked at. */
const OWED_MILLISECONDS = 5_000;
const LOOKS = 15;
const LOOK_MILLISECONDS = 1_000;

/** See the head of this file. */
class PowerLossDay {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly replicas: SimulatedReplicas;
  private readonly names: string[] = [];
  private readonly kept: string[] = [];
  private readonly violations: string[] = [];
  private machineCount = 0;
  private turnCount = 0;
  private isOver = false;
  private emptiedAfter = Infinity;
  private servedAfter = 0;

  constructor(
    private readonly seed: number,
    private readonly options: PowerLossDayOptions,
  ) {
    this.random = createRandom(seed, 'power loss day');
    this.replicas = new SimulatedReplicas(this.clock, createRandom(seed, 'links'), options);
  }

  run(): PowerLossDayResult {
    for (let index = 0; index < this.options.replicaCount; index += 1) {
      this.addMachine();
    }
    this.wait(START_MILLISECONDS);
    this.keepNext(this.client('writer'));
    this.replaceMachine();
    this.waitAbout(4_000);
    this.replaceMachine();
    this.waitAbout(4_000);
    const emptied = this.emptyMachine();
    this.loseDisks();
    this.waitAbout(6_000);
    this.replicas.store.reachable = false;
    this.waitAbout(14_000);
    this.replicas.store.reachable = true;
    this.waitAbout(12_000);
    this.checkEmptied(emptied);
    this.loseAllPower();
    this.watchService();
    this.checkTurns();
    const { seed, emptiedAfter, servedAfter, violations } = this;
    return { seed, kept: this.kept.length, emptiedAfter, servedAfter, violations };
  }

  private wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  private waitAbout(milliseconds: number): void {
    this.wait(milliseconds + this.random.uniform() * DRAWN_MILLISECONDS);
  }

  private addMachine(): void {
    this.machineCount += 1;
    const name = `m${this.machineCount}`;
    this.names.push(name);
    this.replicas.add(name, `z${this.machineCount % 4}`);
  }

  private client(name: string): TurnClient {
    const knownTo = this.replicas.activeNames()[0] ?? this.names[0]!;
    return this.replicas.client(name, 'z1', knownTo).client;
  }

  /** Turns are kept all day long, one after another. */
  private keepNext(client: TurnClient): void {
    if (this.isOver) {
      return;
    }
    this.turnCount += 1;
    const id = `t${this.turnCount}`;
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes };
    const kept = { ...turn, retentionMilliseconds: RETENTION_MILLISECONDS };
    client.keep(kept, OPERATION_MILLISECONDS, (done) => {
      if (done) {
        this.kept.push(id);
      }
      this.clock.schedule(KEEP_MILLISECONDS, () => this.keepNext(client));
    });
  }

  private takeName(): string {
    return this.names.splice(this.random.integer(0, this.names.length - 1), 1)[0]!;
  }

  /** A machine is gone for good; an empty one comes later at another address. */
  private replaceMachine(): void {
    this.replicas.kill(this.takeName());
    this.waitAbout(1_000);
    this.addMachine();
  }

  private emptyMachine(): string {
    const name = this.takeName();
    const from = this.clock.now;
    const { store } = this.replicas;
    store.retiring.add(name);
    const isEmpty = (): boolean => store.finished.has(name);
    if (this.clock.runUntil(from + EMPTYING_MILLISECONDS, isEmpty)) {
      this.emptiedAfter = this.clock.now - from;
      this.replicas.kill(name);
    }
    return name;
  }

  private checkEmptied(name: string): void {
    if (this.emptiedAfter === Infinity) {
      this.violations.push(`${name} was not reported empty in ${EMPTYING_MILLISECONDS} ms`);
      this.replicas.kill(name);
    }
  }

  private pickLost(): string[] {
    return drawSeveral(this.random, this.names, this.options.lossesAtOnce);
  }

  private loseDisks(): void {
    const lost = this.pickLost();
    for (const name of lost) {
      this.replicas.kill(name);
      this.replicas.wipe(name);
    }
    this.wait(DOWN_MILLISECONDS);
    lost.forEach((name) => this.replicas.start(name));
  }

  private loseAllPower(): void {
    this.isOver = true;
    const lost = this.pickLost();
    this.names.forEach((name) => this.replicas.kill(name));
    lost.forEach((name) => this.replicas.wipe(name));
    this.wait(DOWN_MILLISECONDS);
    this.names.forEach((name) => this.replicas.start(name));
  }

  private watchService(): void {
    const from = this.clock.now;
    for (let look = 1; look <= LOOKS; look += 1) {
      this.clock.runUntil(from + look * LOOK_MILLISECONDS);
      const client = this.client(`look-${look}`);
      const at = this.clock.now - from;
      const request = { program: `p${look}`, turn: `r${look}`, mostTokens: 1, budgetTokens: 1 };
      client.reserve(request, OPERATION_MILLISECONDS, (outcome) => {
        if (outcome !== 'granted') {
          this.noteUnserved(at, outcome);
        }
      });
    }
    this.wait(OPERATION_MILLISECONDS);
  }

  private noteUnserved(at: number, outcome: string): void {
    this.servedAfter = at + LOOK_MILLISECONDS;
    if (at >= OWED_MILLISECONDS) {
      this.violations.push(`a reservation is ${outcome} ${at} ms after the return of power`);
    }
  }

  private checkTurns(): void {
    const client = this.client('reader');
    for (const id of this.kept) {
      client.readChain(id, OPERATION_MILLISECONDS, (chain) => {
        if (chain.tag !== 'found') {
          this.violations.push(`${id} was kept and is ${chain.tag}`);
        }
      });
    }
    this.wait(2 * OPERATION_MILLISECONDS);
  }
}

/** Plays one day. */
export function playPowerLossDay(seed: number, options: PowerLossDayOptions): PowerLossDayResult {
  return new PowerLossDay(seed, options).run();
}
