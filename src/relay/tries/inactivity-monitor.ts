/** Detects unreachable runners: probes a runner's address when nothing was received for unusually long. */
import type { CancelTimer } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerRecord } from '../runners/runner-registry.js';

/** Factor by which the timeout grows after a probe that reached the runner. */
const TIMEOUT_BACKOFF_FACTOR = 2;

/** Monitors the runner of one attempt until `stop` is called. */
export class InactivityMonitor {
  private cancelTimer: CancelTimer = () => undefined;
  private stopped = false;
  private paused = false;
  private lastActivityAt: number;
  /** Longest time without a received byte so far, in milliseconds. */
  private longestInactivity = 0;
  /** Time without a received byte after which the address is probed. */
  private timeoutMilliseconds: number;

  constructor(
    private readonly context: RelayContext,
    private readonly record: RunnerRecord,
    /** Called once, when a probe could not connect to the runner's address, with whether it was refused. */
    private readonly onUnreachable: (isRefused: boolean) => void,
  ) {
    this.lastActivityAt = context.runtime.now();
    this.timeoutMilliseconds = record.inactivity.timeoutMilliseconds;
    this.scheduleCheck(this.timeoutMilliseconds);
  }

  /** Records that data was received from the runner. */
  noteActivity(): void {
    const now = this.context.runtime.now();
    this.longestInactivity = Math.max(this.longestInactivity, now - this.lastActivityAt);
    this.lastActivityAt = now;
    this.record.lastActivityAt = now;
    this.record.lastReceivedAt = now;
    this.record.isSilent = false;
  }

  /** Adds the longest inactivity of a complete answer to the estimate of its service. */
  noteAnswerComplete(): void {
    this.record.inactivity.observe(this.longestInactivity);
  }

  /** Suspends the checks while the runner is not read. */
  pause(): void {
    this.cancelTimer();
    this.paused = true;
  }

  /** Resumes the checks; inactivity counts from now on. */
  resume(): void {
    if (this.paused && !this.stopped) {
      this.paused = false;
      this.lastActivityAt = this.context.runtime.now();
      this.scheduleCheck(this.timeoutMilliseconds);
    }
  }

  /** Ends the monitoring. */
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
    connections.probe(this.record.runner, (isReachable, isRefused) =>
      this.handleProbe(isReachable, isRefused),
    );
  }

  private handleProbe(isReachable: boolean, isRefused: boolean): void {
    if (this.stopped || this.paused) {
      return;
    }
    if (isReachable) {
      // What has arrived while this process stood still was read before the probe ended.
      this.record.isSilent = this.record.lastReceivedAt <= this.lastActivityAt;
      // Counts as activity, so that other attempts on this runner do not probe it again at once.
      this.record.lastActivityAt = this.context.runtime.now();
      this.timeoutMilliseconds *= TIMEOUT_BACKOFF_FACTOR;
      this.scheduleCheck(this.timeoutMilliseconds);
      return;
    }
    const { registry, connections } = this.context;
    this.stop();
    registry.markUnreachable(this.record, 'inactive and unreachable');
    this.onUnreachable(isRefused);
    connections.closeAll(this.record.runner);
  }
}
