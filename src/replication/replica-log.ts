/** The log of one replica in memory: entries after a snapshot, addressed by index from 1. */
import type { LogEntry, Snapshot } from './log-entry.js';

/** Maximum number of entries in one message. */
export const MAXIMUM_ENTRIES_PER_MESSAGE = 256;

/** Snapshot of one replica and the entries after it. */
export class ReplicaLog {
  private entries: LogEntry[];

  constructor(
    private base: Snapshot,
    entries: readonly LogEntry[],
  ) {
    this.entries = [...entries];
  }

  /** Index of the newest entry. */
  get lastIndex(): number {
    return this.base.lastIndex + this.entries.length;
  }

  /** Term of the newest entry. */
  get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? this.base.lastTerm;
  }

  /** The snapshot the log starts from. */
  get snapshot(): Snapshot {
    return this.base;
  }

  /** Term of the entry at an index; undefined when the log does not have it. */
  termAt(index: number): number | undefined {
    if (index === this.base.lastIndex) {
      return this.base.lastTerm;
    }
    return this.entries[index - this.base.lastIndex - 1]?.term;
  }

  /** The entry at an index; undefined when the log does not have it. */
  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.base.lastIndex - 1];
  }

  /** At most `MAXIMUM_ENTRIES_PER_MESSAGE` entries, from an index on. */
  entriesFrom(index: number): LogEntry[] {
    const start = index - this.base.lastIndex - 1;
    return this.entries.slice(start, start + MAXIMUM_ENTRIES_PER_MESSAGE);
  }

  /** Replaces all entries from an index on. */
  replaceFrom(index: number, entries: readonly LogEntry[]): void {
    this.entries.length = index - this.base.lastIndex - 1;
    for (const entry of entries) {
      this.entries.push(entry);
    }
  }

  /** Replaces the entries that a snapshot covers; drops all entries if the log conflicts with it. */
  compact(snapshot: Snapshot): void {
    const matchesSnapshot = this.termAt(snapshot.lastIndex) === snapshot.lastTerm;
    const dropped = snapshot.lastIndex - this.base.lastIndex;
    this.entries = matchesSnapshot ? this.entries.slice(dropped) : [];
    this.base = snapshot;
  }
}
