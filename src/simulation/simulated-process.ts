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
  private life = 0;
  private paused = false;
  private delayed: (() => void)[] = [];

  constructor(
    readonly name: string,
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly log: LogFunction = silentLog,
  ) {}

  /** True while the process runs or is paused. */
  get isAlive(): boolean {
    return this.life > 0;
  }

  /** True while it stands still. */
  get isPaused(): boolean {
    return this.paused;
  }

  /** Begins a life and returns its surroundings. */
  begin(): Runtime {
    this.life = Math.abs(this.life) + 1;
    const { life } = this;
    return {
      now: () => this.clock.now,
      wallTime: () => Math.round(SIMULATION_EPOCH + this.clock.now + this.wallOffset),
      setTimer: (delay, callback) => this.setTimer(life, delay, callback),
      random: this.random,
      log: this.log,
    };
  }

  /** Ends the life at once. */
  kill(): void {
    this.life = -Math.abs(this.life);
    this.paused = false;
    this.delayed = [];
  }

  /** Stops all activity until `resume`; what happens meanwhile is done then. */
  pause(): void {
    this.paused = this.isAlive;
  }

  /** Goes on, with everything that became due in between. */
  resume(): void {
    this.paused = false;
    const due = this.delayed;
    this.delayed = [];
    due.forEach((run) => this.clock.schedule(0, run));
  }

  /** Runs something in this life, now or when a pause ends; nothing when the life is over. */
  enter(callback: () => void): void {
    this.run(this.life, callback);
  }

  private setTimer(life: number, delay: number, callback: () => void): CancelTimer {
    let cancelled = false;
    const cancel = this.clock.schedule(delay, () =>
      this.run(life, () => {
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

  private run(life: number, callback: () => void): void {
    if (life !== this.life || life <= 0) {
      return;
    }
    if (this.paused) {
      this.delayed.push(() => this.run(life, callback));
      return;
    }
    callback();
  }
}
