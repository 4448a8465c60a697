/**
 * Durable storage of a replica in append-only segment files. Each process starts a new segment, and another one when
 * the current segment is full, and appends only to the newest. Correctness therefore does not depend on the durability
 * of renames or removals: a file that reappears after a power loss contains only old records, which merge again. The
 * directory entry of a segment must be durable before its first record is written, at the cost of one extra sync per
 * segment.
 *
 * An embedded LevelDB (`classic-level`) does not meet this requirement: it failed to open after a power loss that
 * preserved the removal of an old manifest but not the rename of its successor.
 */
import type { Runtime } from '../runtime/runtime.js';
import { contentBytesOf, isCompactionDue, writeInSlices } from './compaction.js';
import type { DiskUse } from './compaction.js';
import { DurableFolder } from './durable-folder.js';
import type { SegmentFile, SegmentFolder } from './durable-folder.js';
import { decodeSegment, encodeRecord } from './segment-codec.js';
import type { StorageChange, TurnStorage, WriteUrgency, WrittenChange } from './turn-storage.js';

const SEGMENT_PATTERN = /^segment-(\d+)\.log$/;
/** Maximum delay of a lazy write, in milliseconds. */
const LAZY_WRITE_MILLISECONDS = 250;
/** Delay before a failed write is retried in a new segment, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500;
/** Size at which a segment is closed, in bytes. Segments are read into memory one at a time at startup. */
const MAXIMUM_SEGMENT_BYTES = 8 * 1024 * 1024;
/**
 * Time after startup in which no compaction starts, in milliseconds, since callers wait for other work then. A random
 * delay of up to the same length is added, so that replicas started together do not compact together.
 */
const COMPACTION_GRACE_MILLISECONDS = 20_000;
/** Errors of a disk without space, or without any left of the user's quota. */
const NO_SPACE_ERRORS: ReadonlySet<unknown> = new Set(['ENOSPC', 'EDQUOT']);
/** Size of queued changes beyond which no more are taken from callers, in bytes; a disk may stall or fail for long. */
const MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;
/** Size of encoded records from which on they are written, in bytes. */
const SLICE_BYTES = 256 * 1024;
/** Memory that a queued change takes beside the content of a turn, in bytes. */
const CHANGE_BYTES = 512;
/** Failures of a write in a row from which on the disk counts as failing; a single one may concern a segment only. */
const FAILURES_UNTIL_FAILING = 2;
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
  readonly urgency: WriteUrgency;
}

/** Why nothing new becomes durable. */
type Refusal = 'full' | 'failing' | 'stalled';

function isNoSpace(cause: unknown): boolean {
  return cause instanceof Error && NO_SPACE_ERRORS.has((cause as NodeJS.ErrnoException).code);
}

function memoryBytesOf(change: StorageChange): number {
  return CHANGE_BYTES + contentBytesOf(change);
}

function isWritten(change: StorageChange): change is WrittenChange {
  return change.tag !== 'dropEntry' && change.tag !== 'dropTurn';
}

/** Encodes changes, some records at a time: their copies would take as much memory as all that waits. */
function* encodeSlices(changes: readonly WrittenChange[]): Generator<Buffer> {
  let records: Buffer[] = [];
  let bytes = 0;
  for (const change of changes) {
    const record = encodeRecord(change);
    records.push(record);
    bytes += record.length;
    if (bytes >= SLICE_BYTES) {
      yield joinRecords(records);
      records = [];
      bytes = 0;
    }
  }
  if (records.length > 0) {
    yield joinRecords(records);
  }
}

function joinRecords(records: readonly Buffer[]): Buffer {
  return records.length === 1 ? records[0]! : Buffer.concat(records);
}

/** Appends changes to segment files, syncs them in batches, and compacts the files. */
export class SegmentTurnStorage implements TurnStorage {
  private queue: PendingWrite[] = [];
  private writing = false;
  private lazyTimerSet = false;
  /** Size of the changes that are queued or being written, in bytes. */
  private queuedBytes = 0;
  private refusal: Refusal | undefined;
  private failureCount = 0;
  private file: SegmentFile | undefined;
  /** Number of the newest segment; never reused, since a removed file may reappear. */
  private lastNumber = 0;
  /** All segments on disk, oldest first. */
  private segments: Segment[] = [];
  /** Disk usage right after the last compaction. */
  private left = EMPTY_DISK;
  private compacting = false;
  /** Local time before which no compaction starts, in milliseconds. */
  private readonly compactionAllowedAt: number;
  private closing: (() => void) | undefined;
  /** Source of the live state that a compaction rewrites; see {@link useLiveChanges}. */
  private liveChanges: () => Iterable<StorageChange> = () => [];
  /** Number of synced batches so far. */
  writeCount = 0;

  private constructor(
    private readonly folder: SegmentFolder,
    private readonly runtime: Runtime,
  ) {
    this.compactionAllowedAt =
      runtime.now() + COMPACTION_GRACE_MILLISECONDS * (1 + runtime.random.uniform());
  }

  /**
   * Opens a folder, creating it if it is missing. Rejects on I/O errors.
   * @param wrap gives the folder whose files are used, for injecting faults
   */
  static async open(
    path: string,
    runtime: Runtime,
    wrap: (folder: SegmentFolder) => SegmentFolder = (folder) => folder,
  ): Promise<SegmentTurnStorage> {
    const folder = wrap(await DurableFolder.open(path));
    const storage = new SegmentTurnStorage(folder, runtime);
    const names = await folder.names();
    storage.segments = names
      .flatMap((name) => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
      .map((number) => ({ number: Number(number), bytes: 0 }))
      .sort((left, right) => left.number - right.number);
    storage.lastNumber = storage.segments.at(-1)?.number ?? 0;
    return storage;
  }

  get isFull(): boolean {
    return this.refusal !== undefined;
  }

  /**
   * Reads all segments, oldest first, and calls back with each change. Resolves with the number of records that
   * this build cannot decode.
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
        this.runtime.log('warn', 'segment ends in a torn record', fields);
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

  /** Sets the source of the live state, which is rewritten when old segments are removed. */
  useLiveChanges(liveChanges: () => Iterable<StorageChange>): void {
    this.liveChanges = liveChanges;
  }

  write(
    changes: readonly StorageChange[],
    done: (durable: boolean) => void,
    urgency: WriteUrgency = 'urgent',
  ): void {
    this.queue.push({ changes, done, urgency });
    this.queuedBytes += changes.reduce((sum, change) => sum + memoryBytesOf(change), 0);
    if (this.queuedBytes > MAXIMUM_QUEUED_BYTES && this.refusal === undefined) {
      this.setRefusal('stalled');
    }
    if (urgency !== 'lazy') {
      this.writeNext();
    } else if (!this.lazyTimerSet) {
      this.lazyTimerSet = true;
      this.runtime.setTimer(LAZY_WRITE_MILLISECONDS, () => {
        this.lazyTimerSet = false;
        this.writeNext();
      });
    }
  }

  /** Flushes pending writes, closes the current segment, and calls back. */
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
    const bytes = this.queuedBytes;
    this.queue = [];
    this.append(writes.flatMap((write) => write.changes)).then(
      () => {
        this.writing = false;
        this.writeCount += 1;
        this.failureCount = 0;
        this.queuedBytes -= bytes;
        this.setRefusal(this.queuedBytes > MAXIMUM_QUEUED_BYTES ? 'stalled' : undefined);
        writes.forEach((write) => write.done(true));
        this.compactIfDue();
        this.writeNext();
      },
      (cause: unknown) => this.retryInNewSegment(writes, cause),
    );
  }

  private async append(changes: readonly StorageChange[]): Promise<void> {
    const written = changes.filter(isWritten);
    if (written.length === 0) {
      return;
    }
    this.file ??= await this.openSegment();
    let appendedBytes = 0;
    for (const bytes of encodeSlices(written)) {
      appendedBytes += bytes.length;
      for (let from = 0; from < bytes.length;) {
        const { bytesWritten } = await this.file.write(bytes, from);
        from += bytesWritten;
      }
    }
    await this.file.datasync();
    const segment = this.segments.at(-1)!;
    segment.bytes += appendedBytes;
    if (segment.bytes >= MAXIMUM_SEGMENT_BYTES) {
      this.closeSegment();
    }
  }

  private async openSegment(): Promise<SegmentFile> {
    this.lastNumber += 1;
    const segment = { number: this.lastNumber, bytes: 0 };
    this.segments.push(segment);
    return this.folder.create(fileNameOf(segment));
  }

  /** Closes the current segment; the next write opens a new one. */
  private closeSegment(): void {
    const { file } = this;
    this.file = undefined;
    // All writes are synced, so a failure to close loses nothing.
    file?.close().catch(() => undefined);
  }

  /** Retries failed writes in a new segment, since the current one may end in a torn record. */
  private retryInNewSegment(writes: readonly PendingWrite[], cause: unknown): void {
    this.closeSegment();
    this.queue = [...writes, ...this.queue];
    this.failureCount += 1;
    this.removeUnusedSegment();
    if (!isNoSpace(cause)) {
      this.logDiskError(cause);
    }
    if (isNoSpace(cause) || this.failureCount >= FAILURES_UNTIL_FAILING) {
      this.setRefusal(isNoSpace(cause) ? 'full' : 'failing');
      this.failAnsweredWrites();
      if (this.closing !== undefined) {
        this.closing();
        return;
      }
    }
    this.runtime.setTimer(RETRY_DELAY_MILLISECONDS, () => {
      this.writing = false;
      this.writeNext();
    });
  }

  /** Removes the newest segment if nothing in it is durable; each retry would otherwise leave one behind. */
  private removeUnusedSegment(): void {
    const segment = this.segments.at(-1);
    if (segment?.bytes === 0) {
      this.segments.pop();
      this.folder.remove(fileNameOf(segment)).catch(() => undefined);
    }
  }

  /** Reports the failure of the writes for which callers wait; their changes stay queued. */
  private failAnsweredWrites(): void {
    const failed = this.queue.filter(({ urgency }) => urgency === 'answered');
    this.queue = this.queue.map((write) =>
      write.urgency === 'answered'
        ? { changes: write.changes, done: () => undefined, urgency: 'urgent' }
        : write,
    );
    failed.forEach(({ done }) => done(false));
  }

  private setRefusal(refusal: Refusal | undefined): void {
    const before = this.refusal;
    if (refusal === before) {
      return;
    }
    this.refusal = refusal;
    const { segments, queuedBytes } = this;
    const fields = { segments: segments.length, bytes: this.use.bytes, queuedBytes };
    if (refusal === 'full') {
      this.runtime.log('error', 'disk is full', { event: 'disk.full', ...fields });
    } else if (refusal !== undefined) {
      const unavailable = { event: 'disk.unavailable', reason: refusal, ...fields };
      this.runtime.log('error', 'disk takes no writes', unavailable);
    } else if (before === 'full') {
      this.runtime.log('info', 'disk has space again', { event: 'disk.hasSpace', ...fields });
    } else {
      this.runtime.log('info', 'disk takes writes again', { event: 'disk.available', ...fields });
    }
  }

  private logDiskError(cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.runtime.log('error', 'disk operation failed', { event: 'disk.refused', reason });
  }

  /** Rewrites the live state into new segments if a compaction is due; the old segments are removed afterwards. */
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
    runtime.log('info', 'compaction started', { event: 'disk.compacting', ...inputs });
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
    this.runtime.log('info', 'compaction finished, removing old segments', {
      event: 'disk.compacted',
      segments: old.length,
      bytesLeft: this.left.bytes,
      milliseconds: Math.round(this.runtime.now() - startedAt),
    });
    for (const segment of old) {
      // A segment that could not be removed is read again at the next start, without effect.
      this.folder.remove(fileNameOf(segment)).catch((cause: unknown) => this.logDiskError(cause));
    }
  }
}
