/**
 * Durable storage of a replica in append-only segment files. Each process begins a new segment and
 * only ever appends to it, so no rename and no removal has to last for the state to be right: a file
 * that comes back after a loss of power holds nothing but old records, which merge again.
 *
 * `classic-level` was tried first: after a loss of power that kept the removal of an old manifest but
 * not the renaming of its successor, the database no longer opened.
 */
import { mkdir, open, readdir, readFile, unlink } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import type { Runtime } from '../runtime/runtime.js';
import { decodeSegment, encodeRecord } from './segment-codec.js';
import type { WrittenChange } from './segment-codec.js';
import type {
  ReplicaMeta,
  StorageChange,
  StoredEntry,
  StoredState,
  StoredTurn,
  TurnStorage,
  WriteUrgency,
} from './turn-storage.js';

const SEGMENT_PATTERN = /^segment-(\d+)\.log$/;
/** Longest wait of a lazy write, in milliseconds. */
const LAZY_MILLISECONDS = 250;
/** Pause before a refused write is tried in a new segment, in milliseconds. */
const REFUSED_MILLISECONDS = 500;
/** Bytes after which the state is written anew and old segments are removed. */
const COMPACTION_BYTES = 48 * 1024 * 1024;
/** Segments after which the same is done. */
const COMPACTION_SEGMENTS = 12;

interface PendingWrite {
  readonly changes: readonly StorageChange[];
  readonly done: (durable: boolean) => void;
}

function isWritten(change: StorageChange): change is WrittenChange {
  return change.tag === 'meta' || change.tag === 'entry' || change.tag === 'turn';
}

/** See the head of this file. */
export class SegmentTurnStorage implements TurnStorage {
  private queue: PendingWrite[] = [];
  private writing = false;
  private lazyTimerSet = false;
  private file: FileHandle | undefined;
  private number = 0;
  private segments: number[] = [];
  private bytes = 0;
  private closing: (() => void) | undefined;
  /** Everything that is to survive a compaction; set by the replica. */
  private liveChanges: () => readonly StorageChange[] = () => [];
  /** Synced writes so far. */
  writeCount = 0;

  private constructor(
    private readonly folder: string,
    private readonly runtime: Runtime,
  ) {}

  /** Opens a folder, made when it is missing. Rejects when the disk refuses. */
  static async open(folder: string, runtime: Runtime): Promise<SegmentTurnStorage> {
    await mkdir(folder, { recursive: true });
    const storage = new SegmentTurnStorage(folder, runtime);
    const names = await readdir(folder);
    storage.segments = names
      .flatMap((name) => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
      .map(Number)
      .sort((left, right) => left - right);
    storage.number = storage.segments.at(-1) ?? 0;
    return storage;
  }

  /** Reads all segments. */
  async load(): Promise<StoredState> {
    let meta: ReplicaMeta | undefined;
    const entries: StoredEntry[] = [];
    const turns: StoredTurn[] = [];
    for (const segment of this.segments) {
      const bytes = await readFile(this.pathOf(segment));
      const { changes, tornBytes } = decodeSegment(bytes);
      this.bytes += bytes.length;
      if (tornBytes > 0) {
        const fields = { event: 'disk.torn', segment, tornBytes, records: changes.length };
        this.runtime.log('warn', 'segment ends in a torn write', fields);
      }
      for (const change of changes) {
        if (change.tag === 'meta') {
          meta = change.meta;
        } else if (change.tag === 'entry') {
          entries.push(change.entry);
        } else {
          turns.push(change.turn);
        }
      }
    }
    return { meta, entries, turns };
  }

  /** Tells what is to survive when old segments are removed. */
  useLiveChanges(liveChanges: () => readonly StorageChange[]): void {
    this.liveChanges = liveChanges;
  }

  write(
    changes: readonly StorageChange[],
    done: (durable: boolean) => void,
    urgency: WriteUrgency = 'urgent',
  ): void {
    this.queue.push({ changes, done });
    if (urgency === 'urgent') {
      this.writeNext();
    } else if (!this.lazyTimerSet) {
      this.lazyTimerSet = true;
      this.runtime.setTimer(LAZY_MILLISECONDS, () => {
        this.lazyTimerSet = false;
        this.writeNext();
      });
    }
  }

  /** Writes what waits, then calls back. */
  close(done: () => void): void {
    this.closing = done;
    this.writeNext();
  }

  private pathOf(segment: number): string {
    return join(this.folder, `segment-${segment}.log`);
  }

  private writeNext(): void {
    if (this.writing) {
      return;
    }
    if (this.queue.length === 0) {
      this.closing?.();
      return;
    }
    this.writing = true;
    const writes = this.queue;
    this.queue = [];
    this.append(writes.flatMap((write) => write.changes)).then(
      () => {
        this.writing = false;
        this.writeCount += 1;
        writes.forEach((write) => write.done(true));
        this.compactIfLarge();
        this.writeNext();
      },
      (cause: unknown) => this.refuse(writes, cause),
    );
  }

  private async append(changes: readonly StorageChange[]): Promise<void> {
    const records = changes.filter(isWritten).map(encodeRecord);
    if (records.length === 0) {
      return;
    }
    const bytes = Buffer.concat(records);
    this.file ??= await this.openSegment();
    for (let from = 0; from < bytes.length;) {
      const { bytesWritten } = await this.file.write(bytes, from);
      from += bytesWritten;
    }
    await this.file.datasync();
    this.bytes += bytes.length;
  }

  private async openSegment(): Promise<FileHandle> {
    this.number += 1;
    this.segments.push(this.number);
    return open(this.pathOf(this.number), 'wx');
  }

  /** What may stand half written in this segment is written again into a new one. */
  private refuse(writes: readonly PendingWrite[], cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.runtime.log('error', 'disk refused a write', { event: 'disk.refused', reason });
    const { file } = this;
    this.file = undefined;
    file?.close().catch(() => undefined);
    this.queue = [...writes, ...this.queue];
    this.runtime.setTimer(REFUSED_MILLISECONDS, () => {
      this.writing = false;
      this.writeNext();
    });
  }

  /** Writes the live state into a new segment; once that is synced, the older ones may go. */
  private compactIfLarge(): void {
    if (this.bytes < COMPACTION_BYTES && this.segments.length < COMPACTION_SEGMENTS) {
      return;
    }
    const { file } = this;
    const old = this.segments;
    this.file = undefined;
    this.segments = [];
    this.bytes = 0;
    file?.close().catch(() => undefined);
    this.queue.unshift({
      changes: this.liveChanges(),
      done: () => this.removeSegments(old),
    });
  }

  private removeSegments(segments: readonly number[]): void {
    const fields = { event: 'disk.compacted', segments: segments.length };
    this.runtime.log('info', 'old segments removed', fields);
    for (const segment of segments) {
      unlink(this.pathOf(segment)).catch(() => undefined);
    }
  }
}
