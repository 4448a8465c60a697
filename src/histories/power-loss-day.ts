/**
 * A day of replicas that ends with a loss of all power: two machines are replaced, one is emptied, disks
 * are lost, the store of the members is away for long, then all power and some disks are lost at once.
 */
import { ReplicaDay } from './replica-day.js';
import type { ReplicaDayOptions } from './replica-day.js';

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

/** Events come up to this much later than planned, in milliseconds. */
const DRAWN_MILLISECONDS = 1_500;
/** Time that a machine has to be emptied. */
const EMPTYING_MILLISECONDS = 8_000;

/** See the head of this file. */
class PowerLossDay extends ReplicaDay {
  private emptiedAfter = Infinity;

  constructor(seed: number, options: ReplicaDayOptions) {
    super(seed, 'power loss day', options);
  }

  run(): PowerLossDayResult {
    this.begin();
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

  private waitAbout(milliseconds: number): void {
    this.wait(milliseconds + this.random.uniform() * DRAWN_MILLISECONDS);
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
    const isEmpty = (): boolean => store.retired.has(name);
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
}

/** Plays one day. */
export function playPowerLossDay(seed: number, options: ReplicaDayOptions): PowerLossDayResult {
  return new PowerLossDay(seed, options).run();
}
