/** Bytes that arrive in parts. Each part takes some hundred bytes beside its content, so small ones are merged. */

/** Number of parts that are merged into one if they are small. */
const MERGED_PARTS = 256;
/** Bytes of that many parts from which on they are not merged. */
const MAXIMUM_MERGED_BYTES = MERGED_PARTS * 1024;
/** Factor from the bytes of a part to those of its buffer up to which the buffer is kept. */
const KEPT_BUFFER_FACTOR = 2;
/** Parts that bytes of any number may come in. */
const FREE_PARTS = 96 * 1024;
/** Bytes for which there may be one part more. */
const BYTES_PER_PART = 64;

/** The parts of one body. */
export class PartList {
  /** Bytes of all parts. */
  bytes = 0;
  private parts: Buffer[] = [];
  /** Number of the parts at the start that are not merged any more. */
  private settledCount = 0;
  private unsettledBytes = 0;
  private addedCount = 0;

  /** Whether the bytes came in more parts than a sound sender makes of them: the time that they take grows with their number. */
  get hasTooManyParts(): boolean {
    return this.addedCount > FREE_PARTS + this.bytes / BYTES_PER_PART;
  }

  /** Adds a part. */
  add(part: Buffer): void {
    // A part of a buffer keeps all of it.
    const isSmallPart = part.length * KEPT_BUFFER_FACTOR < part.buffer.byteLength;
    this.parts.push(isSmallPart ? Buffer.from(part) : part);
    this.addedCount += 1;
    this.bytes += part.length;
    this.unsettledBytes += part.length;
    if (this.parts.length - this.settledCount >= MERGED_PARTS) {
      this.settle();
    }
  }

  /** All bytes in order, in buffers of their own. */
  get content(): readonly Buffer[] {
    return this.parts;
  }

  /** Returns all bytes. */
  concat(): Buffer {
    return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
  }

  /** Drops all parts. */
  clear(): void {
    this.parts = [];
    this.bytes = 0;
    this.settledCount = 0;
    this.unsettledBytes = 0;
    this.addedCount = 0;
  }

  private settle(): void {
    if (this.unsettledBytes < MAXIMUM_MERGED_BYTES) {
      this.parts.push(Buffer.concat(this.parts.splice(this.settledCount)));
    }
    this.settledCount = this.parts.length;
    this.unsettledBytes = 0;
  }
}
