/**
 * Writes log lines to a file descriptor without blocking the process. Lines are queued; when the queue
 * is full, further lines are dropped and counted, and a line of its own reports the count. Lines are
 * written in batches, since each write wakes a thread.
 */
import { write } from 'node:fs';

/** Capacity of the queue; beyond it lines are dropped, so that a stalled reader does not block the process. */
export const MAXIMUM_QUEUED_BYTES = 1024 * 1024;
const MAXIMUM_BATCH_BYTES = 64 * 1024;

/** Writes bytes and calls back with the number written. */
export type WriteFunction = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Calls `flush` after a delay in which more lines may be queued. */
export type ScheduleFlush = (flush: () => void) => void;

const FLUSH_IMMEDIATELY: ScheduleFlush = (flush) => flush();

/** Writes to a file descriptor on the thread pool, so that a full pipe does not block the caller. */
export function writeToDescriptor(descriptor: number): WriteFunction {
  return (bytes, done) => write(descriptor, bytes, 0, bytes.length, null, done);
}

/** Queues lines up to a bound and writes them in batches. */
export class BoundedWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private isWriting = false;
  private isFlushScheduled = false;
  private unreportedDrops = 0;
  /** Lines dropped since the start, both for a full queue and for a failed write. */
  droppedLines = 0;

  constructor(
    private readonly writeBytes: WriteFunction,
    private readonly scheduleFlush: ScheduleFlush = FLUSH_IMMEDIATELY,
  ) {}

  /** Queues one line, given without its line feed. */
  push(line: string): void {
    const bytes = Buffer.from(`${line}\n`);
    if (this.queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES) {
      this.droppedLines += 1;
      this.unreportedDrops += 1;
      return;
    }
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    if (this.queuedBytes >= MAXIMUM_BATCH_BYTES) {
      this.writeNextBatch();
    } else if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      this.scheduleFlush(() => {
        this.isFlushScheduled = false;
        this.writeNextBatch();
      });
    }
  }

  /** Removes and returns the queued lines that no write has taken, for the exit of the process. */
  takeQueued(): Buffer {
    const rest = Buffer.concat(this.queue);
    this.queue = [];
    this.queuedBytes -= rest.length;
    return rest;
  }

  private writeNextBatch(): void {
    if (this.isWriting || this.queue.length === 0) {
      return;
    }
    this.isWriting = true;
    const parts: Buffer[] = [];
    let bytes = 0;
    while (this.queue.length > 0 && bytes < MAXIMUM_BATCH_BYTES) {
      const part = this.queue.shift()!;
      parts.push(part);
      bytes += part.length;
    }
    this.writeAll(Buffer.concat(parts), parts.length, () => {
      this.queuedBytes -= bytes;
      this.isWriting = false;
      this.reportDrops();
      this.writeNextBatch();
    });
  }

  private writeAll(bytes: Buffer, lines: number, done: () => void): void {
    this.writeBytes(bytes, (error, written) => {
      if (error !== null) {
        this.droppedLines += lines;
        this.unreportedDrops += lines;
        done();
      } else if (written < bytes.length) {
        this.writeAll(bytes.subarray(written), lines, done);
      } else {
        done();
      }
    });
  }

  private reportDrops(): void {
    if (this.unreportedDrops > 0 && this.queuedBytes < MAXIMUM_QUEUED_BYTES / 2) {
      const line = JSON.stringify({ message: 'log lines dropped', dropped: this.unreportedDrops });
      this.unreportedDrops = 0;
      this.push(line);
    }
  }
}
