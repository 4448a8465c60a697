/**
 * Scenario in which the machine of a member is removed for good and an empty one replaces it. The last
 * fault, a loss of all power and of as many disks as may be lost at once, comes as soon as the time that
 * the successor has for catching up is over: from then on the removed machine no longer counts as lost.
 */
import { START_MILLISECONDS } from '../turns/membership-timings.js';
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** Variants of the scenario. */
export const REPLACEMENTS = [
  /** One machine is removed; its successor starts later. */
  'one',
  /** The same machine returns without its disk. */
  'emptied',
  /** The successor starts before the old machine stops. */
  'planned',
  /** Another machine is removed as soon as the time of the first successor is over. */
  'two',
  /** Two machines are removed at once; their successors start one after the other. */
  'both',
  /** The membership store is unreachable; the time for catching up starts again when it returns. */
  'storeAway',
  /** One machine is retired, then another is replaced as planned, which leaves fewer machines than members wanted. */
  'plannedAfterEmptied',
  /** The machine that is removed was being retired. */
  'retiring',
] as const;
export type Replacement = (typeof REPLACEMENTS)[number];

/** Options of a replacement scenario. */
export interface ReplacementScenarioOptions extends ReplicaScenarioOptions {
  readonly replacement: Replacement;
  /** Time that a successor has for catching up. */
  readonly catchUpMilliseconds: number;
}

/** Result of a replacement scenario. */
export interface ReplacementScenarioResult {
  readonly seed: number;
  /** Number of turns whose storage was acknowledged. */
  readonly kept: number;
  /** Time from the return of power until service was available for good, in milliseconds. */
  readonly servedAfter: number;
  readonly violations: readonly string[];
}

/** Longest time from the loss of a machine to the start of its successor. */
const MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS = 8_000;
/** Longest time without an event, before a machine is removed. */
const MAXIMUM_IDLE_MILLISECONDS = 3_000;
/** Time within which a retiring machine must be reported as empty. */
const RETIREMENT_TIMEOUT_MILLISECONDS = 8_000;
const MAXIMUM_OUTAGE_MILLISECONDS = 8_000;

/** Runs one variant of the scenario. */
class ReplacementScenario extends ReplicaScenario {
  constructor(
    seed: number,
    protected override readonly options: ReplacementScenarioOptions,
  ) {
    super(seed, 'replacement day', options);
  }

  run(): ReplacementScenarioResult {
    this.startMachines();
    this.wait(this.random.uniform() * MAXIMUM_IDLE_MILLISECONDS);
    this.replaceBy(this.options.replacement);
    this.loseAllPower();
    this.checkRecovery();
    this.checkTurns();
    const { seed, servedAfter, violations } = this;
    return { seed, kept: this.storedTurns.length, servedAfter, violations };
  }

  private replaceBy(replacement: Replacement): void {
    switch (replacement) {
      case 'one':
        return this.replace(this.removeRandomMember());
      case 'plannedAfterEmptied':
        this.retireMachine();
        return this.replaceAsPlanned();
      case 'emptied':
        return this.wipeMachine();
      case 'planned':
        return this.replaceAsPlanned();
      case 'two':
        this.replace(this.removeRandomMember());
        return this.replace(this.removeRandomMember());
      case 'both': {
        const [first, second] = [this.removeRandomMember(), this.removeRandomMember()];
        this.replicas.kill(first);
        this.replicas.kill(second);
        this.wait(this.random.uniform() * MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS);
        this.addMachine(START_MILLISECONDS);
        return this.startSuccessor();
      }
      case 'storeAway':
        return this.replaceDuringStoreOutage();
      case 'retiring': {
        const name = this.removeRandomMember();
        this.replicas.store.retiring.add(name);
        return this.replace(name);
      }
    }
  }

  /** Draws a machine that the membership record names and removes it from the active machines. */
  private removeRandomMember(): string {
    const members = this.replicas.recordedMembers();
    const name = this.random.pick(this.names.filter((each) => members.includes(each)));
    this.names.splice(this.names.indexOf(name), 1);
    return name;
  }

  private replace(name: string): void {
    this.replicas.kill(name);
    this.wait(this.random.uniform() * MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS);
    this.startSuccessor();
  }

  /** Starts an empty machine and waits until its time for catching up is over. */
  private startSuccessor(): void {
    const { catchUpMilliseconds } = this.options;
    this.addMachine(START_MILLISECONDS);
    this.wait(catchUpMilliseconds - START_MILLISECONDS);
  }

  /** Retires a machine: waits until it is reported as empty, then stops it. */
  private retireMachine(): void {
    const name = this.removeRandomMember();
    const { store } = this.replicas;
    store.retiring.add(name);
    const isRetired = (): boolean => store.retired.has(name);
    if (!this.clock.runUntil(this.clock.now + RETIREMENT_TIMEOUT_MILLISECONDS, isRetired)) {
      this.violations.push(
        `${name} was not reported empty in ${RETIREMENT_TIMEOUT_MILLISECONDS} ms`,
      );
    }
    this.replicas.kill(name);
  }

  private wipeMachine(): void {
    const name = this.random.pick(this.names);
    this.replicas.kill(name);
    this.replicas.wipe(name);
    this.wait(this.random.uniform() * MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS + START_MILLISECONDS);
    this.replicas.start(name);
    this.wait(this.options.catchUpMilliseconds - START_MILLISECONDS);
  }

  private replaceAsPlanned(): void {
    const old = this.removeRandomMember();
    this.addMachine(START_MILLISECONDS);
    this.wait(this.random.uniform() * MAXIMUM_IDLE_MILLISECONDS);
    this.replicas.kill(old);
    this.wait(this.options.catchUpMilliseconds);
  }

  private replaceDuringStoreOutage(): void {
    const { store } = this.replicas;
    const isOutageFirst = this.random.uniform() < 0.5;
    const old = this.removeRandomMember();
    store.reachable = !isOutageFirst;
    this.replicas.kill(old);
    this.wait(this.random.uniform() * MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS);
    this.addMachine(START_MILLISECONDS);
    this.wait(this.random.uniform() * this.options.catchUpMilliseconds);
    store.reachable = false;
    this.wait(this.random.uniform() * MAXIMUM_OUTAGE_MILLISECONDS);
    store.reachable = true;
    this.wait(this.options.catchUpMilliseconds);
  }
}

/** Runs the scenario of a seed. */
export function runReplacementScenario(
  seed: number,
  options: ReplacementScenarioOptions,
): ReplacementScenarioResult {
  return new ReplacementScenario(seed, options).run();
}
