/**
 * The budget of bytes of one process. At its marks, in this order: bodies of new requests wait unread, new
 * requests are refused, and the slowest readers that hold the most are cut. A reader that keeps up is never
 * cut, whoever else holds what.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { MemoryAllocation, MEMORY_ACCOUNTS } from './memory-accounts.js';
import type { AccountBytes, MemoryAccount } from './memory-accounts.js';
import { levelOf } from './memory-bounds.js';
import type { MemoryBounds, MemoryLevel } from './memory-bounds.js';

/** A client that has not taken what was written for it. */
export interface SlowReader {
  readonly requestId: string;
  /** Bytes held for it. */
  readonly heldBytes: number;
  /** Time since it last took any, in milliseconds. */
  readonly idleMilliseconds: number;
  /** Ends its answer. */
  cut(reason: string): void;
}

/** Idle time below which a reader counts as reading: a round trip to a far client and a pause of its process. */
const ACTIVE_READER_MILLISECONDS = 250;
/** Least time between two log lines of one level, in milliseconds: a level swings with the load. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Bodies let in together: of some tens of kilobytes each, a small part of the smallest budget. */
const ADMIT_BATCH_BODIES = 16;
/** Pause between two lots of bodies, in milliseconds: what was let in has begun to count by then. */
const ADMIT_INTERVAL_MILLISECONDS = 10;

/** Sorts readers so that the first to be cut comes first. */
export type CutOrder = (left: SlowReader, right: SlowReader) => number;

/** Those that hold the most for the longest come first: few are cut, and none that took something just now. */
export const byBytesAndTime: CutOrder = (left, right) =>
  right.heldBytes * right.idleMilliseconds - left.heldBytes * left.idleMilliseconds;

/** See the head of this file. */
export class MemoryBudget {
  private readonly accounts = new Map<MemoryAccount, number>();
  private readonly readers = new Set<SlowReader>();
  private readonly levelLoggedAt = new Map<MemoryLevel, number>();
  /** Bodies that wait, the first first. */
  private readonly waitingBodies = new Set<() => void>();
  private isAdmitPending = false;
  private currentLevel: MemoryLevel = 'calm';
  private totalBytes = 0;
  private isCutting = false;
  private cuts = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly bounds: MemoryBounds,
    private readonly cutOrder = byBytesAndTime,
  ) {}

  /** Bytes held in all accounts. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** How near the budget is to its end. */
  get level(): MemoryLevel {
    return this.currentLevel;
  }

  /** Whether bodies of new requests are read. */
  get acceptsBodies(): boolean {
    return this.currentLevel === 'calm';
  }

  /** Whether slow readers may be waited for: nobody else needs the memory. */
  get canBufferSlowReaders(): boolean {
    return this.totalBytes < this.bounds.slowReaderBytes;
  }

  /** Whether a new request may come in. */
  get acceptsRequests(): boolean {
    return this.currentLevel === 'calm' || this.currentLevel === 'wait';
  }

  /** Opens a holding for one request. */
  allocate(account: MemoryAccount): MemoryAllocation {
    return new MemoryAllocation(account, (name, bytes) => this.adjust(name, bytes));
  }

  /**
   * Calls back when the body of a new request may be read: at once, or when there is room. The returned function
   * gives up the wait of a request that is over.
   */
  whenBodyAccepted(listener: () => void): () => void {
    const entry = (): void => listener();
    if (this.acceptsBodies && this.waitingBodies.size === 0) {
      listener();
    } else {
      this.waitingBodies.add(entry);
      this.admitBodies();
    }
    return () => this.waitingBodies.delete(entry);
  }

  /** Adds a client that is behind. */
  addReader(reader: SlowReader): void {
    this.readers.add(reader);
  }

  /** Removes one that has caught up or is gone. */
  removeReader(reader: SlowReader): void {
    this.readers.delete(reader);
  }

  /** Readers cut so far, for whatever reason. */
  get cutCount(): number {
    return this.cuts;
  }

  /** Notes that a reader is cut. */
  noteCut(): void {
    this.cuts += 1;
  }

  /** Bytes by account. */
  byAccount(): AccountBytes {
    const bytesOf = (name: MemoryAccount): number => this.accounts.get(name) ?? 0;
    return { bodies: bytesOf('bodies'), answers: bytesOf('answers'), turns: bytesOf('turns') };
  }

  /** The figures as text in the Prometheus format. */
  render(): string {
    const bytes = this.byAccount();
    const lines = MEMORY_ACCOUNTS.map(
      (name) => `ivyloom_memory_held_bytes{account="${name}"} ${bytes[name]}`,
    );
    lines.push(
      `ivyloom_memory_budget_bytes ${this.bounds.cutBytes === Infinity ? '+Inf' : this.bounds.cutBytes}`,
      `ivyloom_memory_slow_readers ${this.readers.size}`,
      `ivyloom_memory_cut_readers_total ${this.cutCount}`,
      `ivyloom_memory_waiting_bodies ${this.waitingBodies.size}`,
    );
    return `${lines.join('\n')}\n`;
  }

  private adjust(account: MemoryAccount, bytes: number): void {
    this.accounts.set(account, (this.accounts.get(account) ?? 0) + bytes);
    this.totalBytes += bytes;
    this.updateLevel();
  }

  private updateLevel(): void {
    const before = this.currentLevel;
    this.currentLevel = levelOf(this.totalBytes, this.bounds, before);
    if (this.currentLevel !== before) {
      this.logLevel(before);
    }
    if (this.currentLevel === 'cut') {
      this.cutReaders();
    }
    this.admitBodies();
  }

  /** Lets some of the bodies in that wait, and looks again for the others, since all at once pass the mark again. */
  private admitBodies(): void {
    if (!this.acceptsBodies || this.waitingBodies.size === 0 || this.isAdmitPending) {
      return;
    }
    this.isAdmitPending = true;
    this.runtime.setTimer(ADMIT_INTERVAL_MILLISECONDS, () => {
      this.isAdmitPending = false;
      this.admitBodies();
    });
    for (const listener of [...this.waitingBodies].slice(0, ADMIT_BATCH_BODIES)) {
      this.waitingBodies.delete(listener);
      listener();
    }
  }

  /** Cuts those that hold the most for the longest, until the level is left. */
  private cutReaders(): void {
    if (this.isCutting) {
      return;
    }
    this.isCutting = true;
    const victims = [...this.readers]
      .filter((reader) => reader.idleMilliseconds >= ACTIVE_READER_MILLISECONDS)
      .sort(this.cutOrder);
    for (const victim of victims) {
      if (levelOf(this.totalBytes, this.bounds, 'cut') !== 'cut') {
        break;
      }
      victim.cut('memory is short, and the client does not take its answer');
    }
    this.isCutting = false;
    this.currentLevel = levelOf(this.totalBytes, this.bounds, 'cut');
  }

  /** Says who holds what when a mark is passed, either way. */
  private logLevel(before: MemoryLevel): void {
    const now = this.runtime.now();
    const level = this.currentLevel;
    if (now - (this.levelLoggedAt.get(level) ?? -Infinity) < LOG_INTERVAL_MILLISECONDS) {
      return;
    }
    this.levelLoggedAt.set(level, now);
    let largest: SlowReader | undefined;
    for (const reader of this.readers) {
      if (reader.heldBytes > (largest?.heldBytes ?? 0)) {
        largest = reader;
      }
    }
    this.runtime.log(level === 'calm' ? 'info' : 'warn', 'memory passed a mark', {
      event: 'memory.level',
      level,
      before,
      held: this.totalBytes,
      budget: Math.round(this.bounds.cutBytes),
      ...this.byAccount(),
      slowReaders: this.readers.size,
      waitingBodies: this.waitingBodies.size,
      largestReader: largest?.requestId ?? '',
      largestReaderBytes: largest?.heldBytes ?? 0,
    });
  }
}
