/**
 * Engines in virtual time by the law of model engines: a request is read, then each step of all that run takes
 * base + slope x running; places are few, a queue stands before them, and the more urgent go first and take the
 * places of the less urgent.
 */
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { CancelTimer } from '../../src/runtime/runtime.js';

const QUEUE_CAPACITY = 18;
/** Time for reading a preempted request again, in milliseconds. */
const REREAD_MILLISECONDS = 5;

/** One request at an engine. */
export interface EngineRun {
  readonly rank: number;
  /** Time that it still needs on an engine of usual speed, in milliseconds. */
  workMilliseconds: number;
  readonly done: () => void;
}

interface Running {
  readonly run: EngineRun;
  readonly startedAt: number;
  readonly cancel: CancelTimer;
}

/** See the head of this file. */
export class SimulatedEngine {
  private running: Running[] = [];
  private waiting: EngineRun[] = [];
  /** Whether it is there. */
  isUp = true;

  constructor(
    private readonly clock: VirtualClock,
    readonly slots: number,
    private readonly slowness: number,
  ) {}

  /** Takes a request; false where it is full. */
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

  /** Its client left. */
  cancel(run: EngineRun): void {
    this.waiting = this.waiting.filter((other) => other !== run);
    const running = this.running.find((other) => other.run === run);
    if (running !== undefined) {
      running.cancel();
      this.release(running);
    }
  }

  /** Loses all that is there. */
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
