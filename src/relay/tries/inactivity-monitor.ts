/** Notices that a runner has fallen silent: probes its address, since a dead one never answers. */
import type { CancelTimer } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerRecord } from '../runners/runner-registry.js';

/** How much longer the next silence may be after a probe that found the runner in reach. */
const TIMEOUT_BACKOFF_FACTOR = 2;

/** Watches the runner of one try until it is stopped. */
export class InactivityMonitor {
  private cancelTimer: CancelTimer = () => undefined;
  private stopped = false;
  private paused = false;
  private lastActivityAt: number;
  /** Longest time without a byte so far, in milliseconds. */
  private longestInactivity = 0;
  /** Silence after which the address is probed, in milliseconds. */
  private timeoutMilliseconds: number;

  constructor(
    private readonly context: RelayContext,
    private readonly record: RunnerRecord,
    /** Told once, when the runner's address takes no connection any more. */
    private readonly onUnreachable: () => void,
  ) {
    this.lastActivityAt = context.runtime.now();
    this.timeoutMilliseconds = record.inactivity.timeoutMilliseconds;
    this.scheduleCheck(this.timeoutMilliseconds);
  }

  /** Notes a byte from the runner. */
  noteActivity(): void {
    const now = this.context.runtime.now();
    this.longestInactivity = Math.max(this.longestInactivity, now - this.lastActivityAt);
    this.lastActivityAt = now;
    this.record.lastActivityAt = now;
  }

  /** Notes that the answer came whole: its silences were usual ones. */
  noteAnswerComplete(): void {
    this.record.inactivity.observe(this.longestInactivity);
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
      this.lastActivityAt = this.context.runtime.now();
      this.scheduleCheck(this.timeoutMilliseconds);
    }
  }

  /** Ends the watch. */
  stop(): void {
    this.stopped = true;
    this.cancelTimer();
  }

  private scheduleCheck(milliseconds: number): void {
    this.cancelTimer();
    this.cancelTimer = this.context.runtime.setTimer(milliseconds, () => this.check());
  }

  private check(): void {
    if (this.stopped || this.paused) {
      return;
    }
    const { runtime, connections } = this.context;
    const inactivity = runtime.now() - Math.max(this.lastActivityAt, this.record.lastActivityAt);
    if (inactivity < this.timeoutMilliseconds) {
      this.scheduleCheck(this.timeoutMilliseconds - inactivity);
      return;
    }
    connections.probe(this.record.runner, (reachable) => this.handleProbe(reachable));
  }

  private handleProbe(reachable: boolean): void {
    if (this.stopped || this.paused) {
      return;
    }
    if (reachable) {
      // Others that wait for this runner need not ask again so soon.
      this.record.lastActivityAt = this.context.runtime.now();
      this.timeoutMilliseconds *= TIMEOUT_BACKOFF_FACTOR;
      this.scheduleCheck(this.timeoutMilliseconds);
      return;
    }
    const { registry, connections } = this.context;
    this.stop();
    registry.markUnreachable(this.record, 'silent and out of reach');
    this.onUnreachable();
    connections.closeAll(this.record.runner);
  }
}
