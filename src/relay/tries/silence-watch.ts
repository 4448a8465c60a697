/** Notices that a runner has fallen silent: probes its address, since a dead one never answers. */
import type { CancelTimer } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerRecord } from '../runners/runner-book.js';

/** How much longer the next silence may be after a probe that found the runner in reach. */
const PATIENCE_FACTOR = 2;

/** Watches the runner of one try until it is stopped. */
export class SilenceWatch {
  private cancelTimer: CancelTimer = () => undefined;
  private stopped = false;
  private paused = false;
  private heardAt: number;
  /** Longest time without a byte so far, in milliseconds. */
  private longestSilence = 0;
  /** Silence after which the address is probed, in milliseconds. */
  private limit: number;

  constructor(
    private readonly context: RelayContext,
    private readonly record: RunnerRecord,
    /** Told once, when the runner's address takes no connection any more. */
    private readonly onOutOfReach: () => void,
  ) {
    this.heardAt = context.runtime.now();
    this.limit = record.silence.unusualMilliseconds;
    this.lookAfter(this.limit);
  }

  /** Notes a byte from the runner. */
  noteHeard(): void {
    const now = this.context.runtime.now();
    this.longestSilence = Math.max(this.longestSilence, now - this.heardAt);
    this.heardAt = now;
    this.record.heardAt = now;
  }

  /** Notes that the answer came whole: its silences were usual ones. */
  noteWhole(): void {
    this.record.silence.take(this.longestSilence);
  }

  /** The runner is not read for a while: its silence says nothing. */
  pause(): void {
    this.cancelTimer();
    this.paused = true;
  }

  /** The runner is read again; its silence counts from now on. */
  resume(): void {
    if (this.paused && !this.stopped) {
      this.paused = false;
      this.heardAt = this.context.runtime.now();
      this.lookAfter(this.limit);
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.stopped = true;
    this.cancelTimer();
  }

  private lookAfter(milliseconds: number): void {
    this.cancelTimer();
    this.cancelTimer = this.context.runtime.setTimer(milliseconds, () => this.look());
  }

  private look(): void {
    if (this.stopped || this.paused) {
      return;
    }
    const { runtime, connections } = this.context;
    const silence = runtime.now() - Math.max(this.heardAt, this.record.heardAt);
    if (silence < this.limit) {
      this.lookAfter(this.limit - silence);
      return;
    }
    connections.probe(this.record.runner, (reachable) => this.judge(reachable));
  }

  private judge(reachable: boolean): void {
    if (this.stopped || this.paused) {
      return;
    }
    if (reachable) {
      // Others that wait for this runner need not ask again so soon.
      this.record.heardAt = this.context.runtime.now();
      this.limit *= PATIENCE_FACTOR;
      this.lookAfter(this.limit);
      return;
    }
    const { book, connections } = this.context;
    this.stop();
    book.noteOutOfReach(this.record, 'silent and out of reach');
    this.onOutOfReach();
    connections.closeAll(this.record.runner);
  }
}
