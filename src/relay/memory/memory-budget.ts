/**
 * The memory budget of a process. At its thresholds, in this order, bodies of new requests wait
 * unread, new requests are refused, and the slowest readers that hold the most bytes are
 * disconnected. A reader that keeps up is never disconnected, whatever others hold.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { MemoryAllocation, MEMORY_ACCOUNTS } from './memory-accounts.js';
import type { AccountBytes, MemoryAccount } from './memory-accounts.js';
import { levelOf } from './memory-bounds.js';
import type { MemoryBounds, MemoryLevel } from './memory-bounds.js';

/** A client that has not read all of what was written to it. */
export interface SlowReader {
  readonly requestId: string;
  /** Bytes buffered for the client. */
  readonly heldBytes: number;
  /** Time since the client last read anything, in milliseconds. */
  readonly idleMilliseconds: number;
  /** Aborts the answer. */
  cut(reason: string): void;
}

/**
 * Idle time below which a client counts as reading, in milliseconds: covers a round trip to a
 * distant client and a pause of its process.
 */
const ACTIVE_READER_MILLISECONDS = 250;
/**
 * Minimum time between two log lines of one level, in milliseconds: levels change often under
 * varying load.
 */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/**
 * Number of waiting bodies to admit at once; with some tens of kilobytes each, a small part of the
 * smallest budget.
 */
const ADMIT_BATCH_BODIES = 16;
/**
 * Pause between two batches of bodies, in milliseconds; by then, the bytes of the previous batch
 * begin to count.
 */
const ADMIT_INTERVAL_MILLISECONDS = 10;

/** A client that has not sent all of its body. */
export interface SlowSender {
  /** Bytes held for the request. */
  readonly heldBytes: number;
  /** Time since the client last sent a notable part of its body, in milliseconds. */
  readonly idleMilliseconds: number;
  /** Refuses the request as not run, and closes its connection. */
  refuse(): void;
}

/** Idle time from which on a sender may be refused for the sake of others, in milliseconds: more than a lost packet takes. */
const IDLE_SENDER_MILLISECONDS = 1_000;
/** Time between two searches for idle senders while memory is short, in milliseconds. */
const SENDER_CHECK_INTERVAL_MILLISECONDS = 250;

/** Compares two clients; the one that sorts first is disconnected first. */
export type CutOrder = (
  left: Pick<SlowReader, 'heldBytes' | 'idleMilliseconds'>,
  right: Pick<SlowReader, 'heldBytes' | 'idleMilliseconds'>,
) => number;

/**
 * Sorts by bytes held times idle time, the largest first, so that few readers are disconnected, and
 * those that have just read something come last.
 */
export const byBytesAndTime: CutOrder = (left, right) =>
  right.heldBytes * right.idleMilliseconds - left.heldBytes * left.idleMilliseconds;

/** Accounts for the bytes held by a process and acts on the thresholds. */
export class MemoryBudget {
  private readonly accounts = new Map<MemoryAccount, number>();
  private readonly readers = new Set<SlowReader>();
  private readonly senders = new Set<SlowSender>();
  private readonly levelLoggedAt = new Map<MemoryLevel, number>();
  /** Listeners of the bodies that wait, in the order of arrival. */
  private readonly waitingBodies = new Set<() => void>();
  private isAdmitPending = false;
  private currentLevel: MemoryLevel = 'calm';
  private totalBytes = 0;
  private isCutting = false;
  private isSenderCheckPending = false;
  private cuts = 0;
  private refusedSenders = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly bounds: MemoryBounds,
    private readonly cutOrder = byBytesAndTime,
  ) {}

  /** Bytes held in all accounts. */
  get heldBytes(): number {
    return this.totalBytes;
  }

  /** Current level of memory use. */
  get level(): MemoryLevel {
    return this.currentLevel;
  }

  /** Whether bodies of new requests may be read. */
  get acceptsBodies(): boolean {
    return this.currentLevel === 'calm';
  }

  /** Whether there is memory to buffer answers for slow readers. */
  get canBufferSlowReaders(): boolean {
    return this.totalBytes < this.bounds.slowReaderBytes;
  }

  /** Whether new requests are accepted. */
  get acceptsRequests(): boolean {
    return this.currentLevel === 'calm' || this.currentLevel === 'wait';
  }

  /** Creates an empty allocation for one request. */
  allocate(account: MemoryAccount): MemoryAllocation {
    return new MemoryAllocation(account, (name, bytes) => this.adjust(name, bytes));
  }

  /**
   * Calls back when the body of a new request may be read: at once, or when memory becomes
   * available. The returned function cancels the wait.
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

  /** Adds a client that is behind in reading its answer. */
  addReader(reader: SlowReader): void {
    this.readers.add(reader);
  }

  /** Removes a client that has caught up or disconnected. */
  removeReader(reader: SlowReader): void {
    this.readers.delete(reader);
  }

  /** Adds a client whose body is being read. */
  addSender(sender: SlowSender): void {
    this.senders.add(sender);
    this.checkSendersSoon();
  }

  /** Removes a client whose body has arrived or was given up. */
  removeSender(sender: SlowSender): void {
    this.senders.delete(sender);
  }

  /** Refuses the idle sender that holds most for longest; returns false if no sender is idle. */
  refuseIdleSender(): boolean {
    const [victim] = this.idleSenders();
    if (victim === undefined) {
      return false;
    }
    this.refusedSenders += 1;
    this.senders.delete(victim);
    victim.refuse();
    return true;
  }

  /** Number of readers disconnected so far, for any reason. */
  get cutCount(): number {
    return this.cuts;
  }

  /** Counts a disconnected reader. */
  noteCut(): void {
    this.cuts += 1;
  }

  /** Returns the bytes held by account. */
  byAccount(): AccountBytes {
    const bytesOf = (name: MemoryAccount): number => this.accounts.get(name) ?? 0;
    const entries = MEMORY_ACCOUNTS.map((name) => [name, bytesOf(name)] as const);
    return Object.fromEntries(entries) as AccountBytes;
  }

  /** Renders the metrics in the Prometheus text format. */
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
      `ivyloom_memory_refused_senders_total ${this.refusedSenders}`,
    );
    return `${lines.join('\n')}\n`;
  }

  private adjust(account: MemoryAccount, bytes: number): void {
    this.accounts.set(account, (this.accounts.get(account) ?? 0) + bytes);
    this.totalBytes += bytes;
    this.updateLevel();
  }

  /** Bytes held, or as many as the requests in the heap weigh, if that is more. */
  private get weightedBytes(): number {
    const { cutBytes, requestBytes } = this.bounds;
    if (requestBytes === Infinity) {
      return this.totalBytes;
    }
    const inHeap = this.accounts.get('requests') ?? 0;
    return Math.max(this.totalBytes, (inHeap / requestBytes) * cutBytes);
  }

  /** Returns the idle senders, those that are refused first at the start. */
  private idleSenders(): SlowSender[] {
    return [...this.senders]
      .filter((sender) => sender.idleMilliseconds >= IDLE_SENDER_MILLISECONDS)
      .sort(this.cutOrder);
  }

  /** While memory is short, idle senders are looked for from time to time: nothing else happens when they send nothing. */
  private checkSendersSoon(): void {
    if (this.isSenderCheckPending || this.currentLevel === 'calm' || this.senders.size === 0) {
      return;
    }
    this.isSenderCheckPending = true;
    this.runtime.setTimer(SENDER_CHECK_INTERVAL_MILLISECONDS, () => {
      this.isSenderCheckPending = false;
      this.refuseIdleSenders();
      this.checkSendersSoon();
    });
  }

  private refuseIdleSenders(): void {
    for (const victim of this.idleSenders()) {
      if (this.currentLevel === 'calm') {
        break;
      }
      this.refusedSenders += 1;
      this.senders.delete(victim);
      victim.refuse();
    }
  }

  private updateLevel(): void {
    const before = this.currentLevel;
    this.currentLevel = levelOf(this.weightedBytes, this.bounds, before);
    if (this.currentLevel !== before) {
      this.logLevel(before);
    }
    if (this.currentLevel === 'cut') {
      this.cutReaders();
    }
    this.checkSendersSoon();
    this.admitBodies();
  }

  /**
   * Admits a batch of waiting bodies and schedules the next batch: all at once would exceed the
   * threshold again.
   */
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

  /** Disconnects idle readers in the cut order until the `cut` level is left. */
  private cutReaders(): void {
    if (this.isCutting) {
      return;
    }
    this.isCutting = true;
    const victims = [...this.readers]
      .filter((reader) => reader.idleMilliseconds >= ACTIVE_READER_MILLISECONDS)
      .sort(this.cutOrder);
    for (const victim of victims) {
      if (levelOf(this.weightedBytes, this.bounds, 'cut') !== 'cut') {
        break;
      }
      victim.cut('the memory budget is used up and the client does not read its answer');
    }
    this.isCutting = false;
    this.currentLevel = levelOf(this.weightedBytes, this.bounds, 'cut');
  }

  /** Logs a change of level, with the bytes held and the largest reader. */
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
    this.runtime.log(level === 'calm' ? 'info' : 'warn', 'memory level changed', {
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
