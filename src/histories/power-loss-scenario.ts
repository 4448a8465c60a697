/**
 * Scenario that ends with a loss of all power: two machines are replaced, one is retired, some disks are
 * lost, the membership store is unreachable for a long time, then all machines lose power and some their
 * disks at once.
 */
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** Result of a power loss scenario. */
export interface PowerLossScenarioResult {
  readonly seed: number;
  /** Number of turns whose storage was acknowledged. */
  readonly kept: number;
  /** Time until the retired machine was reported as empty, in milliseconds; Infinity if it never was. */
  readonly emptiedAfter: number;
  /** Time from the return of power until service was available for good, in milliseconds. */
  readonly servedAfter: number;
  readonly violations: readonly string[];
}

/** Upper limit of the random delay added to each pause. */
const MAXIMUM_JITTER_MILLISECONDS = 1_500;
/** Time within which a retiring machine must be reported as empty. */
const RETIREMENT_TIMEOUT_MILLISECONDS = 8_000;

/** Runs the events of the scenario one after another. */
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

  /** Removes a machine for good and adds an empty one later under another name. */
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

/** Runs the scenario of a seed. */
export function runPowerLossScenario(
  seed: number,
  options: ReplicaScenarioOptions,
): PowerLossScenarioResult {
  return new PowerLossScenario(seed, options).run();
}
