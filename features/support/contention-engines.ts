/**
 * Simulated model engines in virtual time: each engine has a few slots and a bounded queue, and
 * more urgent requests are started first and preempt less urgent ones.
 */
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { CancelTimer } from '../../src/runtime/runtime.js';

const QUEUE_CAPACITY = 18;
/** Time to read a preempted request again, in milliseconds. */
const REREAD_MILLISECONDS = 5;

/** A request at an engine. */
export interface EngineRun {
  readonly rank: number;
  /** Remaining time on an engine of the usual speed, in milliseconds. */
  workMilliseconds: number;
  readonly done: () => void;
  /** Called each time that the engine starts or continues the request. */
  readonly started?: () => void;
}

interface Running {
  readonly run: EngineRun;
  readonly startedAt: number;
  readonly cancel: CancelTimer;
}

/** One simulated engine. */
export class SimulatedEngine {
  private running: Running[] = [];
  private waiting: EngineRun[] = [];
  /** Whether the engine is running. */
  isUp = true;

  constructor(
    private readonly clock: VirtualClock,
    readonly slots: number,
    private readonly slowness: number,
  ) {}

  /** Starts or queues a request; returns false if the engine is full or has failed. */
  submit(run: EngineRun): boolean {
    if (!this.isUp) {
      return false;
    }
    if (this.running.length < this.slots) {
      this.start(run);
      return true;
    }
    const last = this.lessUrgentThan(run.rank);
    if (last !== undefined) {
      this.preempt(last);
      this.start(run);
      return true;
    }
    if (this.waiting.length >= QUEUE_CAPACITY) {
      return false;
    }
    this.enqueue(run, false);
    return true;
  }

  /** Removes a request whose client disconnected. */
  cancel(run: EngineRun): void {
    this.waiting = this.waiting.filter((other) => other !== run);
    const running = this.running.find((other) => other.run === run);
    if (running !== undefined) {
      running.cancel();
      this.release(running);
    }
  }

  /** Fails the engine; returns the requests that are lost. */
  fail(): readonly EngineRun[] {
    this.isUp = false;
    this.running.forEach(({ cancel }) => cancel());
    const lost = [...this.running.map(({ run }) => run), ...this.waiting];
    this.running = [];
    this.waiting = [];
    return lost;
  }

  private lessUrgentThan(rank: number): Running | undefined {
    const behind = this.running.filter(({ run }) => run.rank > rank);
    return behind.sort((left, right) => right.run.rank - left.run.rank)[0];
  }

  private preempt(running: Running): void {
    running.cancel();
    this.running = this.running.filter((other) => other !== running);
    const { run, startedAt } = running;
    const worked = (this.clock.now - startedAt) / this.slowness;
    run.workMilliseconds = Math.max(0, run.workMilliseconds - worked) + REREAD_MILLISECONDS;
    this.enqueue(run, true);
  }

  private enqueue(run: EngineRun, isFirst: boolean): void {
    const place = this.waiting.findIndex(({ rank }) =>
      isFirst ? rank >= run.rank : rank > run.rank,
    );
    this.waiting.splice(place < 0 ? this.waiting.length : place, 0, run);
  }

  private start(run: EngineRun): void {
    run.started?.();
    const cancel = this.clock.schedule(run.workMilliseconds * this.slowness, () => {
      this.release(running);
      run.done();
    });
    const running: Running = { run, startedAt: this.clock.now, cancel };
    this.running.push(running);
  }

  private release(running: Running): void {
    this.running = this.running.filter((other) => other !== running);
    const next = this.waiting.shift();
    if (next !== undefined) {
      this.start(next);
    }
  }
}
