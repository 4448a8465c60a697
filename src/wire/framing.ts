/** Frames on a byte stream: four bytes of length, then the content; lengths are bounded. */

/** Longest content of a frame, in bytes. */
export const MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;
const LENGTH_BYTES = 4;

/** Puts content into a frame. */
export function encodeFrame(content: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  frame.set(content, LENGTH_BYTES);
  return frame;
}

/** Cuts a byte stream into the contents of frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private buffered = 0;

  constructor(private readonly maximumBytes = MAXIMUM_FRAME_BYTES) {}

  /** Takes a chunk; returns the contents that are complete. Throws on a frame beyond the bound. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
    const contents: Buffer[] = [];
    for (let content = this.next(); content !== undefined; content = this.next()) {
      contents.push(content);
    }
    return contents;
  }

  private next(): Buffer | undefined {
    if (this.buffered < LENGTH_BYTES) {
      return undefined;
    }
    if (this.chunks[0]!.length < LENGTH_BYTES) {
      this.join();
    }
    const length = this.chunks[0]!.readUInt32BE(0);
    if (length > this.maximumBytes) {
      throw new RangeError(`frame of ${length} bytes exceeds ${this.maximumBytes}`);
    }
    const end = LENGTH_BYTES + length;
    if (this.buffered < end) {
      return undefined;
    }
    if (this.chunks[0]!.length < end) {
      this.join();
    }
    const first = this.chunks[0]!;
    this.chunks[0] = first.subarray(end);
    this.buffered -= end;
    return first.subarray(LENGTH_BYTES, end);
  }

  private join(): void {
    this.chunks = [Buffer.concat(this.chunks)];
  }
}
