/**
 * Monitors a client under backpressure. It disconnects a client that reads nothing for too long, and it lets a
 * paused runner be read a little from time to time, so that the runner does not time out and abort the answer.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';

/** How the answer of a client under backpressure is delivered. */
export type DeliveryState =
  /** The runner is read no faster than the client reads. */
  | 'held'
  /** The runner is read at full speed, because the answer is also stored as a turn. */
  | 'readOn'
  /** The whole answer is buffered. */
  | 'ready';

/** Time between two checks; half of the shortest limit below. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Longest pause of a runner before another window is read. Runners abort answers that are not read for some seconds;
 * this leaves a margin for the round trip to the runner.
 */
const MAXIMUM_PAUSE_MILLISECONDS = 1_000;
/**
 * Idle timeout of a client while its runner is working. It tolerates a lost packet, a mobile network handover, or a
 * pause of the client's process.
 */
const IDLE_TIMEOUT_MILLISECONDS = 5_000;
/**
 * The same while memory is low. The runner is then not read during a pause, so the client is disconnected before
 * the runner would abort the answer.
 */
const LOW_MEMORY_IDLE_TIMEOUT_MILLISECONDS = 2_000;
/** Idle timeout of a client once the whole answer is buffered; longer, since no runner is occupied. */
const READY_IDLE_TIMEOUT_MILLISECONDS = 20_000;

/** The answer that `SlowReaderMonitor` observes and controls. */
export interface MonitoredReader {
  deliveryState(): DeliveryState;
  /** Whether there is enough memory to buffer for slow readers. */
  hasSpareMemory(): boolean;
  /** Reads another window from the runner. */
  extendWindow(): void;
  /** Disconnects the client and ends the answer. */
  disconnect(reason: string): void;
}

/** Timer-driven monitor of one client, active while the client is under backpressure. */
export class SlowReaderMonitor {
  private cancelTimer: CancelTimer = () => undefined;
  private lastProgressAt = 0;
  private lastReadAt = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly reader: MonitoredReader,
  ) {}

  /** Time since the client last read something, in milliseconds. */
  get idleMilliseconds(): number {
    return this.runtime.now() - this.lastProgressAt;
  }

  /** Starts monitoring, when backpressure begins. */
  start(): void {
    this.lastProgressAt = this.runtime.now();
    this.lastReadAt = this.lastProgressAt;
    this.cancelTimer();
    this.check();
  }

  /** Records that the client has read something. */
  noteProgress(): void {
    this.lastProgressAt = this.runtime.now();
  }

  /** Records that data was read from the runner. */
  noteRunnerRead(): void {
    this.lastReadAt = this.runtime.now();
  }

  /** Stops monitoring, when the client has caught up or disconnected. */
  stop(): void {
    this.cancelTimer();
  }

  private get idleTimeoutMilliseconds(): number {
    switch (this.reader.deliveryState()) {
      case 'ready':
        return READY_IDLE_TIMEOUT_MILLISECONDS;
      case 'readOn':
        return Infinity;
      case 'held':
        return this.reader.hasSpareMemory()
          ? IDLE_TIMEOUT_MILLISECONDS
          : LOW_MEMORY_IDLE_TIMEOUT_MILLISECONDS;
    }
  }

  private check(): void {
    const { reader, runtime } = this;
    if (this.idleMilliseconds >= this.idleTimeoutMilliseconds) {
      reader.disconnect('the client does not read its answer');
      return;
    }
    const unread = runtime.now() - this.lastReadAt;
    if (
      reader.deliveryState() === 'held' &&
      unread >= MAXIMUM_PAUSE_MILLISECONDS &&
      reader.hasSpareMemory()
    ) {
      this.lastReadAt = runtime.now();
      reader.extendWindow();
    }
    this.cancelTimer = runtime.setTimer(CHECK_INTERVAL_MILLISECONDS, () => this.check());
  }
}
