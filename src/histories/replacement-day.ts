/**
 * A day on which a member's machine is gone for good and an empty one takes its place, and on which the
 * last fault, all power and as many disks as may be lost at once, comes at the very moment at which the gone
 * one ceases to count as lost: when its successor has had the time allowed for catching up.
 */
import { START_MILLISECONDS } from '../turns/membership-timings.js';
import { ReplicaDay } from './replica-day.js';
import type { ReplicaDayOptions } from './replica-day.js';

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
export interface ReplacementDayOptions extends ReplicaDayOptions {
  readonly replacement: Replacement;
  readonly catchUpMilliseconds: number;
}

/** What such a day showed. */
export interface ReplacementDayResult {
  readonly seed: number;
  /** Turns that were acknowledged. */
  readonly kept: number;
  /** Time from the return of power until service was back for good, in milliseconds. */
  readonly servedAfter: number;
  readonly violations: readonly string[];
}

/** Longest time from the loss of a machine to the start of the one that replaces it, in milliseconds. */
const LONGEST_PAUSE_MILLISECONDS = 8_000;
/** Time in which nothing happens before the first machine goes, in milliseconds: up to this. */
const CALM_MILLISECONDS = 3_000;
/** Time that a machine has to be emptied, in milliseconds. */
const EMPTYING_MILLISECONDS = 8_000;
const LONGEST_AWAY_MILLISECONDS = 8_000;

/** See the head of this file. */
class ReplacementDay extends ReplicaDay {
  constructor(
    seed: number,
    protected override readonly options: ReplacementDayOptions,
  ) {
    super(seed, 'replacement day', options);
  }

  run(): ReplacementDayResult {
    this.begin();
    this.wait(this.random.uniform() * CALM_MILLISECONDS);
    this.replaceBy(this.options.replacement);
    this.loseAllPower();
    this.watchService();
    this.checkTurns();
    const { seed, servedAfter, violations } = this;
    return { seed, kept: this.kept.length, servedAfter, violations };
  }

  private replaceBy(replacement: Replacement): void {
    switch (replacement) {
      case 'one':
        return this.replace(this.takeMember());
      case 'plannedAfterEmptied':
        this.emptyMachine();
        return this.replaceAsPlanned();
      case 'emptied':
        return this.emptyDisk();
      case 'planned':
        return this.replaceAsPlanned();
      case 'two':
        this.replace(this.takeMember());
        return this.replace(this.takeMember());
      case 'both': {
        const [first, second] = [this.takeMember(), this.takeMember()];
        this.replicas.kill(first);
        this.replicas.kill(second);
        this.wait(this.random.uniform() * LONGEST_PAUSE_MILLISECONDS);
        this.addMachine(START_MILLISECONDS);
        return this.startSuccessor();
      }
      case 'storeAway':
        return this.replaceWhileStoreIsAway();
      case 'retiring': {
        const name = this.takeMember();
        this.replicas.store.retiring.add(name);
        return this.replace(name);
      }
    }
  }

  /** Draws a machine that the record names. */
  private takeMember(): string {
    const members = this.replicas.recordedMembers();
    const name = this.random.pick(this.names.filter((each) => members.includes(each)));
    this.names.splice(this.names.indexOf(name), 1);
    return name;
  }

  private replace(name: string): void {
    this.replicas.kill(name);
    this.wait(this.random.uniform() * LONGEST_PAUSE_MILLISECONDS);
    this.startSuccessor();
  }

  /** Starts an empty machine and waits until it counts. */
  private startSuccessor(): void {
    const { catchUpMilliseconds } = this.options;
    this.addMachine(START_MILLISECONDS);
    this.wait(catchUpMilliseconds - START_MILLISECONDS);
  }

  /** Waits until a machine is reported empty, and takes it away. */
  private emptyMachine(): void {
    const name = this.takeMember();
    const { store } = this.replicas;
    store.retiring.add(name);
    const isEmpty = (): boolean => store.retired.has(name);
    if (!this.clock.runUntil(this.clock.now + EMPTYING_MILLISECONDS, isEmpty)) {
      this.violations.push(`${name} was not reported empty in ${EMPTYING_MILLISECONDS} ms`);
    }
    this.replicas.kill(name);
  }

  private emptyDisk(): void {
    const name = this.random.pick(this.names);
    this.replicas.kill(name);
    this.replicas.wipe(name);
    this.wait(this.random.uniform() * LONGEST_PAUSE_MILLISECONDS + START_MILLISECONDS);
    this.replicas.start(name);
    this.wait(this.options.catchUpMilliseconds - START_MILLISECONDS);
  }

  private replaceAsPlanned(): void {
    const old = this.takeMember();
    this.addMachine(START_MILLISECONDS);
    this.wait(this.random.uniform() * CALM_MILLISECONDS);
    this.replicas.kill(old);
    this.wait(this.options.catchUpMilliseconds);
  }

  private replaceWhileStoreIsAway(): void {
    const { store } = this.replicas;
    const isAwayFirst = this.random.uniform() < 0.5;
    const old = this.takeMember();
    store.reachable = !isAwayFirst;
    this.replicas.kill(old);
    this.wait(this.random.uniform() * LONGEST_PAUSE_MILLISECONDS);
    this.addMachine(START_MILLISECONDS);
    this.wait(this.random.uniform() * this.options.catchUpMilliseconds);
    store.reachable = false;
    this.wait(this.random.uniform() * LONGEST_AWAY_MILLISECONDS);
    store.reachable = true;
    this.wait(this.options.catchUpMilliseconds);
  }
}

/** Plays one day. */
export function playReplacementDay(
  seed: number,
  options: ReplacementDayOptions,
): ReplacementDayResult {
  return new ReplacementDay(seed, options).run();
}
