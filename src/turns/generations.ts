/**
 * A map whose entries last for a retention time, at most twice as long, and less if there are too many. Entries are dropped by whole
 * generations, which needs neither a time for each entry nor a sweep.
 */
import type { Runtime } from '../runtime/runtime.js';

/** Dependencies and bounds of {@link Generations}. */
export interface GenerationsOptions<Key, Value> {
  readonly runtime: Pick<Runtime, 'now'>;
  /** Time for which entries last at least, in milliseconds. */
  readonly retentionMilliseconds: number;
  /** Entries in a generation; two generations are kept. */
  readonly maximumEntries: number;
  /** Memory of the entries in a generation, in bytes. @default not bounded */
  readonly maximumBytes?: number;
  /** Memory of an entry, in bytes. @default 0 */
  readonly bytesOf?: (key: Key, value: Value) => number;
  /** Whether nothing can have been set before this map was created. @default false */
  readonly isFirst?: boolean | undefined;
}

/** Keeps values by key in two generations. */
export class Generations<Key, Value> {
  /** Called when a new generation starts. */
  onStarted: () => void = () => undefined;
  private current = new Map<Key, Value>();
  private previous = new Map<Key, Value>();
  private currentBytes = 0;
  /** Local time at which the current generation started, in milliseconds. */
  private startedAt: number;
  /** Local time since which no entry is missing, in milliseconds, but for those past their retention. */
  private completeSince: number;

  constructor(private readonly options: GenerationsOptions<Key, Value>) {
    this.startedAt = options.runtime.now();
    this.completeSince = options.isFirst === true ? -Infinity : this.startedAt;
  }

  /** Whether every entry of the retention time is here. */
  get isComplete(): boolean {
    const { runtime, retentionMilliseconds } = this.options;
    return this.completeSince <= runtime.now() - retentionMilliseconds;
  }

  /** Number of entries. */
  get size(): number {
    return this.current.size + this.previous.size;
  }

  /** Sets a value; a full generation starts the next one early. */
  set(key: Key, value: Value): void {
    this.dropExpired();
    const { maximumEntries, maximumBytes = Infinity, bytesOf } = this.options;
    if (this.current.size >= maximumEntries || this.currentBytes >= maximumBytes) {
      this.completeSince = this.startedAt;
      this.start();
    }
    if (bytesOf !== undefined && !this.current.has(key)) {
      this.currentBytes += bytesOf(key, value);
    }
    this.current.set(key, value);
  }

  /** Returns the value of a key; undefined if it is unknown or too old. */
  get(key: Key): Value | undefined {
    this.dropExpired();
    return this.current.get(key) ?? this.previous.get(key);
  }

  /** Removes a key. */
  delete(key: Key): void {
    this.current.delete(key);
    this.previous.delete(key);
  }

  /** Returns all entries, each key with its newest value. */
  entries(): [Key, Value][] {
    this.dropExpired();
    return [...new Map([...this.previous, ...this.current])];
  }

  private dropExpired(): void {
    const { runtime, retentionMilliseconds } = this.options;
    const age = runtime.now() - this.startedAt;
    if (age >= retentionMilliseconds) {
      this.start();
      if (age >= 2 * retentionMilliseconds) {
        this.previous.clear();
      }
    }
  }

  private start(): void {
    this.previous = this.current;
    this.current = new Map();
    this.currentBytes = 0;
    this.startedAt = this.options.runtime.now();
    this.onStarted();
  }
}
