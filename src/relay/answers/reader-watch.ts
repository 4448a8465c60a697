/**
 * Judges a client that is behind: how long it may take nothing, and when its runner is read on all the same so
 * that the runner does not end the answer for going unread.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';

/** How the answer of a client that is behind stands. */
export type ReaderStand =
  /** Its runner is read no faster than the client takes. */
  | 'held'
  /** Its runner is read on, whatever the client takes: the answer is kept for others as well. */
  | 'readOn'
  /** The whole answer is here. */
  | 'ready';

/** Time between two looks, in milliseconds: half the least time that counts. */
const LOOK_MILLISECONDS = 500;
/**
 * Time that a runner is left unread for a client's sake, in milliseconds: runners cut answers off that stay
 * unread for some seconds, and one step of the way to the runner and back is to spare.
 */
const UNREAD_MILLISECONDS = 1_000;
/**
 * Time that a client may take nothing while its runner is working, in milliseconds: longer than a lost packet, a
 * change of a mobile link or a pause of its process takes.
 */
const IDLE_MILLISECONDS = 5_000;
/** The same while memory is short, and the runner is therefore not read on: before the runner cuts it off. */
const SHORT_IDLE_MILLISECONDS = 2_000;
/** Time that a client may take nothing of an answer that is ready, in milliseconds: nothing else waits for it. */
const READY_IDLE_MILLISECONDS = 20_000;

/** What a watch knows of its answer and does with it. */
export interface WatchedReader {
  stand(): ReaderStand;
  /** Whether there is memory for waiting. */
  hasMemory(): boolean;
  /** Reads a little more from the runner. */
  readOn(): void;
  /** Ends the answer. */
  cut(reason: string): void;
}

/** See the head of this file. */
export class ReaderWatch {
  private cancelTimer: CancelTimer = () => undefined;
  private takenAt = 0;
  private readAt = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly reader: WatchedReader,
  ) {}

  /** Time since the client last took something, in milliseconds. */
  get idleMilliseconds(): number {
    return this.runtime.now() - this.takenAt;
  }

  /** The client began to be behind. */
  start(): void {
    this.takenAt = this.runtime.now();
    this.readAt = this.takenAt;
    this.cancelTimer();
    this.look();
  }

  /** The client has taken something. */
  noteTaken(): void {
    this.takenAt = this.runtime.now();
  }

  /** The runner was read. */
  noteRead(): void {
    this.readAt = this.runtime.now();
  }

  /** The client has caught up or is gone. */
  stop(): void {
    this.cancelTimer();
  }

  private get limitMilliseconds(): number {
    switch (this.reader.stand()) {
      case 'ready':
        return READY_IDLE_MILLISECONDS;
      case 'readOn':
        return Infinity;
      case 'held':
        return this.reader.hasMemory() ? IDLE_MILLISECONDS : SHORT_IDLE_MILLISECONDS;
    }
  }

  private look(): void {
    const { reader, runtime } = this;
    if (this.idleMilliseconds >= this.limitMilliseconds) {
      reader.cut('the client takes nothing of its answer');
      return;
    }
    const unread = runtime.now() - this.readAt;
    if (reader.stand() === 'held' && unread >= UNREAD_MILLISECONDS && reader.hasMemory()) {
      this.readAt = runtime.now();
      reader.readOn();
    }
    this.cancelTimer = runtime.setTimer(LOOK_MILLISECONDS, () => this.look());
  }
}
