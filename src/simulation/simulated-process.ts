/** Processes in virtual time. */
import type { CancelTimer, LogFunction, Runtime } from '../runtime/runtime.js';
import type { RandomSource } from '../runtime/random.js';
import type { VirtualClock } from './virtual-clock.js';

/** Wall-clock time at the start of every simulation, in milliseconds since the Unix epoch. */
export const SIMULATION_EPOCH = 1_750_000_000_000;

/** A log function that discards every line. */
export const silentLog: LogFunction = () => undefined;

/** A process that can be paused, killed and restarted; callbacks of earlier runs never execute. */
export class SimulatedProcess {
  /** Offset of the wall clock, set by a clock jump, in milliseconds. */
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

  /** Whether the process was started and not killed since; it may be paused. */
  get isAlive(): boolean {
    return this.incarnation > 0;
  }

  get isPaused(): boolean {
    return this.paused;
  }

  /** Starts a new run of the process and returns its runtime. */
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

  /** Ends the current run; its timers and deferred callbacks never execute. */
  kill(): void {
    this.incarnation = -Math.abs(this.incarnation);
    this.paused = false;
    this.deferred = [];
  }

  /** Pauses the process; callbacks that become due are deferred until `resume`. */
  pause(): void {
    this.paused = this.isAlive;
  }

  /** Resumes the process and schedules the deferred callbacks. */
  resume(): void {
    this.paused = false;
    const due = this.deferred;
    this.deferred = [];
    due.forEach((run) => this.clock.schedule(0, run));
  }

  /** Runs a callback now, or after the pause; it is dropped when the process isn't alive. */
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
