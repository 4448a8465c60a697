/**
 * A day on which a member's machine is gone for good and an empty one takes its place, and on which the
 * last fault, all power and as many disks as may be lost at once, comes at the very moment at which the gone
 * one ceases to count as lost: when its successor has had the time allowed for catching up.
 */
import { START_MILLISECONDS } from '../turns/membership-timings.js';
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** What happens besides on such a day. */
export const REPLACEMENTS = [
  /** One machine is gone, its successor comes later. */
  'one',
  /** The machine itself is back, without its disk. */
  'emptied',
  /** The successor is there first, then the old one stops. */
  'planned',
  /** Another one goes the moment that the first one's successor counts. */
  'two',
  /** Two go at the same moment; their successors start one behind the other. */
  'both',
  /** The store of the members is away; the successor's time begins anew at its return. */
  'storeAway',
  /** One is emptied and taken away, then another is replaced as planned: fewer machines than members wanted are left. */
  'plannedAfterEmptied',
  /** The machine that goes was to be emptied. */
  'retiring',
] as const;
/** One of these. */
export type Replacement = (typeof REPLACEMENTS)[number];

/** How such a day is played. */
export interface ReplacementScenarioOptions extends ReplicaScenarioOptions {
  readonly replacement: Replacement;
  readonly catchUpMilliseconds: number;
}

/** What such a day showed. */
export interface ReplacementScenarioResult {
  readonly seed: number;
  /** Turns that were acknowledged. */
  readonly kept: number;
  /** Time from the return of power until service was back for good, in milliseconds. */
  readonly servedAfter: number;
  readonly violations: readonly string[];
}

/** Longest time from the loss of a machine to the start of the one that replaces it, in milliseconds. */
const MAXIMUM_REPLACEMENT_DELAY_MILLISECONDS = 8_000;
/** Time in which nothing happens before the first machine goes, in milliseconds: up to this. */
const MAXIMUM_IDLE_MILLISECONDS = 3_000;
/** Time that a machine has to be emptied, in milliseconds. */
const RETIREMENT_TIMEOUT_MILLISECONDS = 8_000;
const MAXIMUM_OUTAGE_MILLISECONDS = 8_000;

/** See the head of this file. */
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

  /** Draws a machine that the record names. */
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

  /** Starts an empty machine and waits until it counts. */
  private startSuccessor(): void {
    const { catchUpMilliseconds } = this.options;
    this.addMachine(START_MILLISECONDS);
    this.wait(catchUpMilliseconds - START_MILLISECONDS);
  }

  /** Waits until a machine is reported empty, and takes it away. */
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

/** Plays one day. */
export function runReplacementScenario(
  seed: number,
  options: ReplacementScenarioOptions,
): ReplacementScenarioResult {
  return new ReplacementScenario(seed, options).run();
}
