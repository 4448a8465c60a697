/**
 * Durable storage of a replica in append-only segment files. Each process begins a new segment, and
 * another when one is long, and only ever appends to the newest, so no rename and no removal has to
 * last for the state to be right: a file that comes back after a loss of power holds nothing but old
 * records, which merge again. What does have to last is that a segment is there at all: its name does
 * before its first record is written, which costs one more sync for each segment.
 *
 * `classic-level` was tried first: after a loss of power that kept the removal of an old manifest but
 * not the renaming of its successor, the database no longer opened.
 */
import type { FileHandle } from 'node:fs/promises';
import type { Runtime } from '../runtime/runtime.js';
import { isCompactionDue, writeInSlices } from './compaction.js';
import type { DiskUse } from './compaction.js';
import { DurableFolder } from './durable-folder.js';
import { decodeSegment, encodeRecord } from './segment-codec.js';
import type { StorageChange, TurnStorage, WriteUrgency, WrittenChange } from './turn-storage.js';

const SEGMENT_PATTERN = /^segment-(\d+)\.log$/;
/** Longest wait of a lazy write, in milliseconds. */
const LAZY_WRITE_MILLISECONDS = 250;
/** Pause before a refused write is tried in a new segment, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500;
/** Length at which a segment is ended: a start reads one at a time into memory. */
const MAXIMUM_SEGMENT_BYTES = 8 * 1024 * 1024;
/**
 * Time after the start in which nothing is compacted, since callers wait for other work then, in
 * milliseconds; as much again is drawn, so that replicas that started together don't compact together.
 */
const COMPACTION_GRACE_MILLISECONDS = 20_000;
const EMPTY_DISK: DiskUse = { bytes: 0, segments: 0 };

interface Segment {
  readonly number: number;
  bytes: number;
}

function fileNameOf({ number }: Segment): string {
  return `segment-${number}.log`;
}

interface PendingWrite {
  readonly changes: readonly StorageChange[];
  readonly done: (durable: boolean) => void;
}

function isWritten(change: StorageChange): change is WrittenChange {
  return change.tag !== 'dropEntry' && change.tag !== 'dropTurn';
}

/** See the head of this file. */
export class SegmentTurnStorage implements TurnStorage {
  private queue: PendingWrite[] = [];
  private writing = false;
  private lazyTimerSet = false;
  private file: FileHandle | undefined;
  /** All that are on the disk, the newest last. */
  private segments: Segment[] = [];
  /** What the last compaction left. */
  private left = EMPTY_DISK;
  private compacting = false;
  /** Local time before which nothing is compacted, in milliseconds. */
  private readonly compactionAllowedAt: number;
  private closing: (() => void) | undefined;
  /** Everything that is to survive a compaction; set by the replica. */
  private liveChanges: () => Iterable<StorageChange> = () => [];
  /** Synced writes so far. */
  writeCount = 0;

  private constructor(
    private readonly folder: DurableFolder,
    private readonly runtime: Runtime,
  ) {
    this.compactionAllowedAt =
      runtime.now() + COMPACTION_GRACE_MILLISECONDS * (1 + runtime.random.uniform());
  }

  /** Opens a folder, made when it is missing. Rejects when the disk refuses. */
  static async open(path: string, runtime: Runtime): Promise<SegmentTurnStorage> {
    const folder = await DurableFolder.open(path);
    const storage = new SegmentTurnStorage(folder, runtime);
    const names = await folder.names();
    storage.segments = names
      .flatMap((name) => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
      .map((number) => ({ number: Number(number), bytes: 0 }))
      .sort((left, right) => left.number - right.number);
    return storage;
  }

  /**
   * Reads all segments, the oldest first, one at a time; tells each change. Resolves with the number of records of
   * kinds that only newer builds know.
   */
  async load(onChange: (change: WrittenChange) => void): Promise<number> {
    let unknownRecords = 0;
    for (const segment of this.segments) {
      const bytes = await this.folder.read(fileNameOf(segment));
      segment.bytes = bytes.length;
      const { records, tornBytes, ...read } = decodeSegment(bytes, onChange);
      unknownRecords += read.unknownRecords;
      if (tornBytes > 0) {
        const fields = { event: 'disk.torn', segment: segment.number, tornBytes, records };
        this.runtime.log('warn', 'segment ends in a torn write', fields);
      }
    }
    const { segments, use } = this;
    const numbers = segments.map((segment) => segment.number).join(' ');
    this.runtime.log('info', 'segments read', {
      event: 'disk.read',
      segments: numbers,
      bytes: use.bytes,
      unknownRecords,
    });
    return unknownRecords;
  }

  /** Tells what is to survive when old segments are removed. */
  useLiveChanges(liveChanges: () => Iterable<StorageChange>): void {
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
      this.runtime.setTimer(LAZY_WRITE_MILLISECONDS, () => {
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

  private get use(): DiskUse {
    const bytes = this.segments.reduce((sum, segment) => sum + segment.bytes, 0);
    return { bytes, segments: this.segments.length };
  }

  private writeNext(): void {
    if (this.writing) {
      return;
    }
    if (this.queue.length === 0) {
      if (this.closing !== undefined) {
        this.closeSegment();
        this.closing();
      }
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
        this.compactIfDue();
        this.writeNext();
      },
      (cause: unknown) => this.retryInNewSegment(writes, cause),
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
    const segment = this.segments.at(-1)!;
    segment.bytes += bytes.length;
    if (segment.bytes >= MAXIMUM_SEGMENT_BYTES) {
      this.closeSegment();
    }
  }

  private async openSegment(): Promise<FileHandle> {
    const segment = { number: (this.segments.at(-1)?.number ?? 0) + 1, bytes: 0 };
    this.segments.push(segment);
    return this.folder.create(fileNameOf(segment));
  }

  /** What is written from now on goes into a new segment. */
  private closeSegment(): void {
    const { file } = this;
    this.file = undefined;
    // What was written is synced: a refusal to close takes nothing away.
    file?.close().catch(() => undefined);
  }

  /** What may stand half written in this segment is written again into a new one. */
  private retryInNewSegment(writes: readonly PendingWrite[], cause: unknown): void {
    this.logDiskError(cause);
    this.closeSegment();
    this.queue = [...writes, ...this.queue];
    this.runtime.setTimer(RETRY_DELAY_MILLISECONDS, () => {
      this.writing = false;
      this.writeNext();
    });
  }

  private logDiskError(cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.runtime.log('error', 'disk refused a write', { event: 'disk.refused', reason });
  }

  /** Writes the live state into new segments; once that is synced, the older ones may go. */
  private compactIfDue(): void {
    const { use, left, runtime } = this;
    if (
      this.compacting ||
      runtime.now() < this.compactionAllowedAt ||
      !isCompactionDue(use, left)
    ) {
      return;
    }
    this.compacting = true;
    this.closeSegment();
    const old = [...this.segments];
    const startedAt = runtime.now();
    const inputs = { bytes: use.bytes, segments: use.segments, leftBefore: left.bytes };
    runtime.log('info', 'state is written anew', { event: 'disk.compacting', ...inputs });
    writeInSlices(
      runtime,
      this.liveChanges(),
      (changes, done) => this.write(changes, () => done()),
      () => this.finishCompaction(old, startedAt),
    );
  }

  private finishCompaction(old: readonly Segment[], startedAt: number): void {
    this.segments = this.segments.filter((segment) => !old.includes(segment));
    this.left = this.use;
    this.compacting = false;
    this.runtime.log('info', 'old segments removed', {
      event: 'disk.compacted',
      segments: old.length,
      bytesLeft: this.left.bytes,
      milliseconds: Math.round(this.runtime.now() - startedAt),
    });
    for (const segment of old) {
      // One that stays is read again at the next start and changes nothing.
      this.folder.remove(fileNameOf(segment)).catch((cause: unknown) => this.logDiskError(cause));
    }
  }
}
