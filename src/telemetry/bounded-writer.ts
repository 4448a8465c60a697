/**
 * Writes lines to a file descriptor without ever blocking the process: lines wait in a bounded
 * queue, those beyond it are dropped and counted, and the count is told in a line of its own. Lines that
 * come within a moment go out in one write, since each write wakes a thread of its own.
 */
import { write } from 'node:fs';

/** Bytes that may wait; a reader that stops reading stops nothing. */
export const MAXIMUM_WAITING_BYTES = 1024 * 1024;
const LARGEST_WRITE_BYTES = 64 * 1024;

/** Writes bytes and calls back with the number written; replaced in tests. */
export type WriteFunction = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Calls back after a moment in which more lines may come. */
export type GatherFunction = (write: () => void) => void;

const AT_ONCE: GatherFunction = (writeNow) => writeNow();

/** Writes to a file descriptor by a thread, so that a full pipe blocks no caller. */
export function writeTo(descriptor: number): WriteFunction {
  return (bytes, done) => write(descriptor, bytes, 0, bytes.length, null, done);
}

/** See the head of this file. */
export class BoundedWriter {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private writing = false;
  private gathering = false;
  private untoldDrops = 0;
  /** Lines dropped so far. */
  droppedLines = 0;

  constructor(
    private readonly writeBytes: WriteFunction,
    private readonly gather: GatherFunction = AT_ONCE,
  ) {}

  /** Takes one line without its line feed. */
  push(line: string): void {
    const bytes = Buffer.from(`${line}\n`);
    if (this.waitingBytes + bytes.length > MAXIMUM_WAITING_BYTES) {
      this.droppedLines += 1;
      this.untoldDrops += 1;
      return;
    }
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    if (this.waitingBytes >= LARGEST_WRITE_BYTES) {
      this.writeNext();
    } else if (!this.gathering) {
      this.gathering = true;
      this.gather(() => {
        this.gathering = false;
        this.writeNext();
      });
    }
  }

  /** Hands over the lines that wait and were not begun to be written: for the end of the process. */
  takeWaiting(): Buffer {
    const rest = Buffer.concat(this.waiting);
    this.waiting = [];
    this.waitingBytes -= rest.length;
    return rest;
  }

  private writeNext(): void {
    if (this.writing || this.waiting.length === 0) {
      return;
    }
    this.writing = true;
    const parts: Buffer[] = [];
    let bytes = 0;
    while (this.waiting.length > 0 && bytes < LARGEST_WRITE_BYTES) {
      const part = this.waiting.shift()!;
      parts.push(part);
      bytes += part.length;
    }
    this.writeAll(Buffer.concat(parts), parts.length, () => {
      this.waitingBytes -= bytes;
      this.writing = false;
      this.tellDrops();
      this.writeNext();
    });
  }

  private writeAll(bytes: Buffer, lines: number, done: () => void): void {
    this.writeBytes(bytes, (error, written) => {
      if (error !== null) {
        this.droppedLines += lines;
        this.untoldDrops += lines;
        done();
      } else if (written < bytes.length) {
        this.writeAll(bytes.subarray(written), lines, done);
      } else {
        done();
      }
    });
  }

  private tellDrops(): void {
    if (this.untoldDrops > 0 && this.waitingBytes < MAXIMUM_WAITING_BYTES / 2) {
      const line = JSON.stringify({ message: 'log lines dropped', dropped: this.untoldDrops });
      this.untoldDrops = 0;
      this.push(line);
    }
  }
}
