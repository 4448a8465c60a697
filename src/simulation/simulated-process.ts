/** A process in virtual time: it can be paused, killed and started again. */
import type { CancelTimer, LogFunction, Runtime } from '../runtime/runtime.js';
import type { RandomSource } from '../runtime/random.js';
import type { VirtualClock } from './virtual-clock.js';

/** Virtual milliseconds since 1970 at the start of every simulation. */
export const SIMULATION_EPOCH = 1_750_000_000_000;

/** Drops every line. */
export const silentLog: LogFunction = () => undefined;

/** One life of a process; work of an earlier life never runs in a later one. */
export class SimulatedProcess {
  /** Added to the wall clock by a clock jump, in milliseconds. */
  wallOffset = 0;
  private incarnation = 0;
  private paused = false;
  private deferred: (() => void)[] = [];

  constructor(
    readonly name: string,
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly log: LogFunction = silentLog,
  ) {}

  /** True while the process runs or is paused. */
  get isAlive(): boolean {
    return this.incarnation > 0;
  }

  /** True while it stands still. */
  get isPaused(): boolean {
    return this.paused;
  }

  /** Begins a life and returns its surroundings. */
  start(): Runtime {
    this.incarnation = Math.abs(this.incarnation) + 1;
    const { incarnation } = this;
    return {
      now: () => this.clock.now,
      wallTime: () => Math.round(SIMULATION_EPOCH + this.clock.now + this.wallOffset),
      setTimer: (delay, callback) => this.setTimer(incarnation, delay, callback),
      random: this.random,
      log: this.log,
    };
  }

  /** Ends the life at once. */
  kill(): void {
    this.incarnation = -Math.abs(this.incarnation);
    this.paused = false;
    this.deferred = [];
  }

  /** Stops all activity until `resume`; what happens meanwhile is done then. */
  pause(): void {
    this.paused = this.isAlive;
  }

  /** Goes on, with everything that became due in between. */
  resume(): void {
    this.paused = false;
    const due = this.deferred;
    this.deferred = [];
    due.forEach((run) => this.clock.schedule(0, run));
  }

  /** Runs something in this life, now or when a pause ends; nothing when the life is over. */
  execute(callback: () => void): void {
    this.run(this.incarnation, callback);
  }

  private setTimer(incarnation: number, delay: number, callback: () => void): CancelTimer {
    let cancelled = false;
    const cancel = this.clock.schedule(delay, () =>
      this.run(incarnation, () => {
        if (!cancelled) {
          callback();
        }
      }),
    );
    return () => {
      cancelled = true;
      cancel();
    };
  }

  private run(incarnation: number, callback: () => void): void {
    if (incarnation !== this.incarnation || incarnation <= 0) {
      return;
    }
    if (this.paused) {
      this.deferred.push(() => this.run(incarnation, callback));
      return;
    }
    callback();
  }
}
