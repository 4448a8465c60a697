/** Frames on a byte stream: a big-endian length of four bytes, then the content. */

/** Maximum content of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
const LENGTH_BYTES = 4;
/**
 * Growth of the memory for an unfinished frame. The system provides it only as it is written to, so a frame takes what has
 * come of it, and leaves little behind on the way.
 */
const GROWTH_FACTOR = 8;
const NO_BYTES = Buffer.alloc(0);

/** Encodes content as a frame. */
export function encodeFrame(content: Uint8Array): Buffer {
  return writeFrame(content.length, (bytes) => bytes.set(content));
}

/** Encodes content of a known size as a frame; `write` writes it in its place, since large content takes time and memory to copy. */
export function writeFrame(contentBytes: number, write: (content: Buffer) => void): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + contentBytes);
  frame.writeUInt32BE(contentBytes, 0);
  write(frame.subarray(LENGTH_BYTES));
  return frame;
}

/** Splits a byte stream into the contents of its frames. */
export class FrameReader {
  /** Starts with what has come of the unfinished frame. Of its own, since a slice would keep all that came with it. */
  private unfinished = NO_BYTES;
  private heldBytes = 0;

  constructor(private readonly maximumBytes = MAXIMUM_FRAME_BYTES) {}

  /** Number of bytes that have come of the unfinished frame. */
  get unfinishedBytes(): number {
    return this.heldBytes;
  }

  /** Adds a chunk; returns the contents that are now complete. Throws if a frame is too long. */
  push(chunk: Buffer): Buffer[] {
    const contents: Buffer[] = [];
    let start = 0;
    while (start < chunk.length) {
      const end = this.heldBytes === 0 ? this.frameEnd(chunk, start) : undefined;
      if (end === undefined || end > chunk.length) {
        start = this.hold(chunk, start);
        contents.push(...this.takeFinished());
      } else {
        contents.push(chunk.subarray(start + LENGTH_BYTES, end));
        start = end;
      }
    }
    return contents;
  }

  /** Returns where the frame that starts at `start` ends; undefined while its length is incomplete. */
  private frameEnd(bytes: Buffer, start: number): number | undefined {
    if (bytes.length - start < LENGTH_BYTES) {
      return undefined;
    }
    const length = bytes.readUInt32BE(start);
    if (length > this.maximumBytes) {
      throw new RangeError(
        `frame of ${length} bytes exceeds the maximum of ${this.maximumBytes} bytes`,
      );
    }
    return start + LENGTH_BYTES + length;
  }

  /** Size of the unfinished frame, or of its length while that is incomplete. */
  private get wantedBytes(): number {
    return this.frameEnd(this.unfinished.subarray(0, this.heldBytes), 0) ?? LENGTH_BYTES;
  }

  /** Holds what a chunk has of the unfinished frame; returns where that ends. */
  private hold(chunk: Buffer, start: number): number {
    const wantedBytes = this.wantedBytes;
    const end = Math.min(chunk.length, start + wantedBytes - this.heldBytes);
    const bytes = this.heldBytes + end - start;
    if (bytes > this.unfinished.length) {
      const grown = Math.max(bytes, GROWTH_FACTOR * this.unfinished.length);
      const larger = Buffer.allocUnsafeSlow(Math.min(wantedBytes, grown));
      this.unfinished.copy(larger, 0, 0, this.heldBytes);
      this.unfinished = larger;
    }
    chunk.copy(this.unfinished, this.heldBytes, start, end);
    this.heldBytes = bytes;
    return end;
  }

  /** Returns the content of the unfinished frame, and holds nothing any more, if the frame is now complete. */
  private takeFinished(): Buffer[] {
    if (this.heldBytes < LENGTH_BYTES || this.heldBytes < this.wantedBytes) {
      return [];
    }
    const content = this.unfinished.subarray(LENGTH_BYTES);
    this.unfinished = NO_BYTES;
    this.heldBytes = 0;
    return [content];
  }
}
