/**
 * Judges a client that is behind: how long it may take nothing, and when its runner is read on all the same so
 * that the runner does not end the answer for going unread.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';

/** How the answer of a client that is behind stands. */
export type DeliveryState =
  /** Its runner is read no faster than the client takes. */
  | 'held'
  /** Its runner is read on, whatever the client takes: the answer is kept for others as well. */
  | 'readOn'
  /** The whole answer is here. */
  | 'ready';

/** Time between two looks, in milliseconds: half the least time that counts. */
const CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Time that a runner is left unread for a client's sake, in milliseconds: runners cut answers off that stay
 * unread for some seconds, and one step of the way to the runner and back is to spare.
 */
const MAXIMUM_PAUSE_MILLISECONDS = 1_000;
/**
 * Time that a client may take nothing while its runner is working, in milliseconds: longer than a lost packet, a
 * change of a mobile link or a pause of its process takes.
 */
const IDLE_TIMEOUT_MILLISECONDS = 5_000;
/** The same while memory is short, and the runner is therefore not read on: before the runner cuts it off. */
const LOW_MEMORY_IDLE_TIMEOUT_MILLISECONDS = 2_000;
/** Time that a client may take nothing of an answer that is ready, in milliseconds: nothing else waits for it. */
const READY_IDLE_TIMEOUT_MILLISECONDS = 20_000;

/** What a watch knows of its answer and does with it. */
export interface MonitoredReader {
  deliveryState(): DeliveryState;
  /** Whether there is memory for waiting. */
  hasSpareMemory(): boolean;
  /** Reads a little more from the runner. */
  extendWindow(): void;
  /** Ends the answer. */
  disconnect(reason: string): void;
}

/** See the head of this file. */
export class SlowReaderMonitor {
  private cancelTimer: CancelTimer = () => undefined;
  private lastProgressAt = 0;
  private lastReadAt = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly reader: MonitoredReader,
  ) {}

  /** Time since the client last took something, in milliseconds. */
  get idleMilliseconds(): number {
    return this.runtime.now() - this.lastProgressAt;
  }

  /** The client began to be behind. */
  start(): void {
    this.lastProgressAt = this.runtime.now();
    this.lastReadAt = this.lastProgressAt;
    this.cancelTimer();
    this.check();
  }

  /** The client has taken something. */
  noteProgress(): void {
    this.lastProgressAt = this.runtime.now();
  }

  /** The runner was read. */
  noteRead(): void {
    this.lastReadAt = this.runtime.now();
  }

  /** The client has caught up or is gone. */
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
      reader.disconnect('the client takes nothing of its answer');
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
