/**
 * A day of replicas that ends with a loss of all power: two machines are replaced, one is emptied, disks
 * are lost, the store of the members is away for long, then all power and some disks are lost at once.
 */
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** What a day showed. */
export interface PowerLossScenarioResult {
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
const MAXIMUM_JITTER_MILLISECONDS = 1_500;
/** Time that a machine has to be emptied. */
const RETIREMENT_TIMEOUT_MILLISECONDS = 8_000;

/** See the head of this file. */
class PowerLossScenario extends ReplicaScenario {
  private emptiedAfter = Infinity;

  constructor(seed: number, options: ReplicaScenarioOptions) {
    super(seed, 'power loss day', options);
  }

  run(): PowerLossScenarioResult {
    this.startMachines();
    this.replaceMachine();
    this.waitWithJitter(4_000);
    this.replaceMachine();
    this.waitWithJitter(4_000);
    const retiredName = this.retireMachine();
    this.loseDisks();
    this.waitWithJitter(6_000);
    this.replicas.store.reachable = false;
    this.waitWithJitter(14_000);
    this.replicas.store.reachable = true;
    this.waitWithJitter(12_000);
    this.checkRetired(retiredName);
    this.loseAllPower();
    this.checkRecovery();
    this.checkTurns();
    const { seed, emptiedAfter, servedAfter, violations } = this;
    return { seed, kept: this.storedTurns.length, emptiedAfter, servedAfter, violations };
  }

  private waitWithJitter(milliseconds: number): void {
    this.wait(milliseconds + this.random.uniform() * MAXIMUM_JITTER_MILLISECONDS);
  }

  /** A machine is gone for good; an empty one comes later at another address. */
  private replaceMachine(): void {
    this.replicas.kill(this.removeRandomMachine());
    this.waitWithJitter(1_000);
    this.addMachine();
  }

  private retireMachine(): string {
    const name = this.removeRandomMachine();
    const from = this.clock.now;
    const { store } = this.replicas;
    store.retiring.add(name);
    const isRetired = (): boolean => store.retired.has(name);
    if (this.clock.runUntil(from + RETIREMENT_TIMEOUT_MILLISECONDS, isRetired)) {
      this.emptiedAfter = this.clock.now - from;
      this.replicas.kill(name);
    }
    return name;
  }

  private checkRetired(name: string): void {
    if (this.emptiedAfter === Infinity) {
      this.violations.push(
        `${name} was not reported empty in ${RETIREMENT_TIMEOUT_MILLISECONDS} ms`,
      );
      this.replicas.kill(name);
    }
  }
}

/** Plays one day. */
export function runPowerLossScenario(
  seed: number,
  options: ReplicaScenarioOptions,
): PowerLossScenarioResult {
  return new PowerLossScenario(seed, options).run();
}
