/**
 * Tracks which runners are cold: they run slower, and their prompt caches are empty. An entry states how long its
 * runner stays cold as of the time of its write, and the local clock counts from the receipt of the entry. A receipt
 * never precedes the write, so the assumed end of a period is never too early, however late an entry arrives.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import { incarnationOf } from './runner.js';
import type { Runner, RunnerIncarnation } from './runner.js';

/** Longest cold time that is plausible, in milliseconds. */
export const MAXIMUM_COLD_MILLISECONDS = 600_000;
/**
 * Difference between the ends of a period by two entries that is attributed to their late arrival, in milliseconds. A
 * larger one means that the runner turned cold again.
 */
const LATE_ENTRY_MILLISECONDS = 1_000;
/** Mean time after a cold period in which the coldness of its runner falls to 0, in milliseconds. */
const FADE_MILLISECONDS = 2_000;
/** Extent of the random deviation of that time, so that gateways do not return to the runner together. */
const FADE_JITTER = 0.5;

/** What is known of one runner. */
interface ColdState {
  incarnation: RunnerIncarnation;
  service: string;
  /** Revision of the newest entry that was taken into account; undefined if it had none. */
  revision: number | undefined;
  /** Local time at which the cold period ends; -Infinity before the first one. */
  endsAt: number;
  fadeMilliseconds: number;
  /** Cancels the timer for the end of the period; undefined while the runner is warm. */
  cancelEnd: CancelTimer | undefined;
  /** Last invalid cold time that was logged. */
  loggedInvalid: number | undefined;
  /** Whether the runner has left the list; its state is deleted once it is warm. */
  isUnlisted: boolean;
}

function isPlausible(milliseconds: number): boolean {
  return milliseconds >= 0 && milliseconds <= MAXIMUM_COLD_MILLISECONDS;
}

/** Cold periods of the runners, by runner id. A period outlives the record of a runner that leaves the list. */
export class ColdPeriods {
  private readonly states = new Map<string, ColdState>();
  private cold = 0;

  constructor(private readonly runtime: Runtime) {}

  /** Number of runners that are cold. */
  get coldCount(): number {
    return this.cold;
  }

  /**
   * Takes an entry of a runner into account; returns whether the runner turned cold, or cold again, so that its
   * prompt cache is empty. The newest revision of an entry determines the end of the period; a repeated entry changes
   * nothing.
   * @param revision revision of the entry in the store; undefined if unknown, so that the entry counts as new
   */
  update(runner: Runner, revision?: number): boolean {
    const state = this.stateOf(runner);
    state.isUnlisted = false;
    if (revision !== undefined && revision <= (state.revision ?? -Infinity)) {
      return false;
    }
    state.revision = revision ?? state.revision;
    const { coldMilliseconds = 0 } = runner;
    if (!isPlausible(coldMilliseconds)) {
      this.logInvalid(runner, state, coldMilliseconds);
      return false;
    }
    state.loggedInvalid = undefined;
    const endsAt = this.runtime.now() + coldMilliseconds;
    const turnsCold = coldMilliseconds > 0 && endsAt > state.endsAt + LATE_ENTRY_MILLISECONDS;
    if (coldMilliseconds > 0) {
      this.startPeriod(runner, state, endsAt);
    } else {
      this.endPeriod(runner.id, state, 'entry');
    }
    return turnsCold;
  }

  /**
   * Assumes that a runner is cold from now on, until a newer entry states otherwise; returns whether it turned cold.
   */
  assumeCold(runner: Runner, milliseconds: number): boolean {
    const state = this.stateOf(runner);
    const endsAt = this.runtime.now() + milliseconds;
    if (milliseconds <= 0 || endsAt <= state.endsAt) {
      return false;
    }
    const turnsCold = endsAt > state.endsAt + LATE_ENTRY_MILLISECONDS;
    this.startPeriod(runner, state, endsAt);
    return turnsCold;
  }

  /** Renders the metrics in the Prometheus text format. */
  render(): string {
    return `ivyloom_cold_runners ${this.cold}\n`;
  }

  /** Whether a runner is cold. */
  isCold({ id }: Runner): boolean {
    return this.states.get(id)?.cancelEnd !== undefined;
  }

  /** Time until a runner becomes warm, in milliseconds; 0 if it is warm. */
  remainingMilliseconds({ id }: Runner): number {
    const state = this.states.get(id);
    return state?.cancelEnd === undefined ? 0 : Math.max(0, state.endsAt - this.runtime.now());
  }

  /** Returns 1 for a cold runner and 0 for a warm one; after a cold period it falls from 1 to 0 gradually. */
  coldnessOf({ id }: Runner): number {
    const state = this.states.get(id);
    if (state === undefined || state.cancelEnd !== undefined) {
      return state === undefined ? 0 : 1;
    }
    const sinceEnd = this.runtime.now() - state.endsAt;
    return Math.max(0, 1 - sinceEnd / state.fadeMilliseconds);
  }

  /** Notes that a runner left the list. If it returns during its cold period, it is still cold. */
  noteUnlisted({ id }: Runner): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.isUnlisted = true;
      if (state.cancelEnd === undefined) {
        this.states.delete(id);
      }
    }
  }

  /**
   * Returns the state of a runner's incarnation; a later incarnation starts without an earlier one's period. An entry
   * without a start time belongs to the known incarnation.
   */
  private stateOf(runner: Runner): ColdState {
    const incarnation = incarnationOf(runner);
    const known = this.states.get(runner.id);
    const isSame = known?.incarnation === incarnation || runner.startedAt === undefined;
    if (known !== undefined && isSame) {
      return known;
    }
    if (known !== undefined) {
      this.endPeriod(runner.id, known, 'restart');
    }
    const state: ColdState = {
      incarnation,
      service: runner.service,
      revision: undefined,
      endsAt: -Infinity,
      fadeMilliseconds: FADE_MILLISECONDS,
      cancelEnd: undefined,
      loggedInvalid: undefined,
      isUnlisted: false,
    };
    this.states.set(runner.id, state);
    return state;
  }

  private startPeriod({ id, service }: Runner, state: ColdState, endsAt: number): void {
    const { runtime } = this;
    const remaining = Math.round(endsAt - runtime.now());
    if (state.cancelEnd === undefined) {
      this.cold += 1;
      const fields = { event: 'runner.cold', runner: id, service, remaining };
      runtime.log('info', 'runner is cold', fields);
    }
    state.cancelEnd?.();
    state.endsAt = endsAt;
    const jitter = 1 + FADE_JITTER * (2 * runtime.random.uniform() - 1);
    state.fadeMilliseconds = FADE_MILLISECONDS * jitter;
    state.cancelEnd = runtime.setTimer(endsAt - runtime.now(), () =>
      this.endPeriod(id, state, 'time'),
    );
  }

  private endPeriod(id: string, state: ColdState, cause: 'time' | 'entry' | 'restart'): void {
    if (state.cancelEnd === undefined) {
      return;
    }
    state.cancelEnd();
    state.cancelEnd = undefined;
    state.endsAt = Math.min(state.endsAt, this.runtime.now());
    this.cold -= 1;
    const fields = { event: 'runner.warm', runner: id, service: state.service, cause };
    this.runtime.log('info', 'runner is warm', fields);
    if (state.isUnlisted) {
      this.states.delete(id);
    }
  }

  private logInvalid({ id, service }: Runner, state: ColdState, value: number): void {
    if (!Object.is(state.loggedInvalid, value)) {
      state.loggedInvalid = value;
      const fields = { event: 'runner.coldInvalid', runner: id, service, value: String(value) };
      this.runtime.log('warn', 'implausible cold time of a runner ignored', fields);
    }
  }
}
