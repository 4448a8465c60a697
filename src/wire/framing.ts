/** Frames on a byte stream: a big-endian length of four bytes, then the content. */

/** Maximum content of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** Encodes content as a frame. */
export function encodeFrame(content: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  frame.set(content, LENGTH_BYTES);
  return frame;
}

/** Splits a byte stream into the contents of its frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  constructor(private readonly maximumBytes = MAXIMUM_FRAME_BYTES) {}

  /** Adds a chunk; returns the contents that are now complete. Throws if a frame is too long. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const contents: Buffer[] = [];
    for (let content = this.readFrame(); content !== undefined; content = this.readFrame()) {
      contents.push(content);
    }
    return contents;
  }

  private readFrame(): Buffer | undefined {
    if (this.bufferedBytes < LENGTH_BYTES) {
      return undefined;
    }
    if (this.chunks[0]!.length < LENGTH_BYTES) {
      this.mergeChunks();
    }
    const length = this.chunks[0]!.readUInt32BE(0);
    if (length > this.maximumBytes) {
      throw new RangeError(
        `frame of ${length} bytes exceeds the maximum of ${this.maximumBytes} bytes`,
      );
    }
    const end = LENGTH_BYTES + length;
    if (this.bufferedBytes < end) {
      return undefined;
    }
    if (this.chunks[0]!.length < end) {
      this.mergeChunks();
    }
    const first = this.chunks[0]!;
    this.chunks[0] = first.subarray(end);
    this.bufferedBytes -= end;
    return first.subarray(LENGTH_BYTES, end);
  }

  private mergeChunks(): void {
    this.chunks = [Buffer.concat(this.chunks)];
  }
}
