/**
 * Writes an answer to one client. Data is written directly as long as the client keeps up. Under backpressure it is
 * queued and written chunk by chunk, so that each completed write shows that the client is still reading.
 */

/**
 * Size of the chunks written under backpressure: small enough that a client reading a few kilobytes per second
 * completes a write within the idle timeout.
 */
export const CHUNK_BYTES = 8 * 1024;
/**
 * Size of the blocks that queued data is held in. A view keeps all of its buffer alive, so that the last bytes of an answer in one
 * buffer would hold the memory of the whole.
 */
export const BLOCK_BYTES = 8 * CHUNK_BYTES;

/** Splits data into blocks that are released one by one; data of a single block is not copied. */
function blocksOf(bytes: Buffer): Buffer[] {
  if (bytes.length <= BLOCK_BYTES) {
    return [bytes];
  }
  const count = Math.ceil(bytes.length / BLOCK_BYTES);
  return Array.from({ length: count }, (_, index) =>
    Buffer.from(bytes.subarray(index * BLOCK_BYTES, (index + 1) * BLOCK_BYTES)),
  );
}

/** The part of Node's `ServerResponse` that `ClientWriter` uses. */
export interface WriterTarget {
  /** Bytes buffered by the target itself. */
  readonly writableLength: number;
  write(bytes: Buffer, done?: (error: Error | null | undefined) => void): boolean;
  end(bytes?: Buffer): unknown;
  once(event: 'drain', listener: () => void): unknown;
}

/** Receives the changes of a client's backpressure. */
export interface WriterListener {
  /** The client no longer keeps up. */
  onBackpressure(): void;
  /** The client has read some of the buffered data. */
  onProgress(): void;
  /** The queue is empty; only the target's own buffer may still hold data. */
  onDrained(): void;
}

/** Writer for one answer, with a queue for the data that the client has not read. */
export class ClientWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private backpressured = false;
  private ended = false;

  constructor(
    private readonly target: WriterTarget,
    private readonly listener: WriterListener,
  ) {}

  /** Bytes in the queue and in the target's buffer. */
  get bufferedBytes(): number {
    return this.queuedBytes + this.target.writableLength;
  }

  /** Whether the client does not keep up at present. */
  get isBackpressured(): boolean {
    return this.backpressured;
  }

  /** Writes data, or queues it under backpressure. */
  push(bytes: Buffer): void {
    if (this.backpressured || bytes.length > CHUNK_BYTES) {
      this.enqueue(bytes);
    } else if (!this.target.write(bytes)) {
      this.startBackpressure();
      this.target.once('drain', () => this.handleProgress());
    }
  }

  /** Ends the answer once the queue is empty. */
  end(): void {
    this.ended = true;
    if (!this.backpressured) {
      this.target.end();
    }
  }

  /** Discards the queue. */
  discard(): void {
    this.queue = [];
    this.queuedBytes = 0;
  }

  private enqueue(bytes: Buffer): void {
    this.queue.push(...blocksOf(bytes));
    this.queuedBytes += bytes.length;
    if (!this.backpressured) {
      this.startBackpressure();
      this.writeChunk();
    }
  }

  private startBackpressure(): void {
    this.backpressured = true;
    this.listener.onBackpressure();
  }

  private handleProgress(): void {
    this.listener.onProgress();
    this.writeChunk();
  }

  private writeChunk(): void {
    const chunk = this.takeChunk();
    if (chunk !== undefined) {
      this.target.write(chunk, (error) => {
        if (error === null || error === undefined) {
          this.handleProgress();
        }
      });
      return;
    }
    this.backpressured = false;
    this.listener.onDrained();
    if (this.ended) {
      this.target.end();
    }
  }

  private takeChunk(): Buffer | undefined {
    const first = this.queue[0];
    if (first === undefined) {
      return undefined;
    }
    const chunk = first.subarray(0, CHUNK_BYTES);
    if (chunk.length === first.length) {
      this.queue.shift();
    } else {
      this.queue[0] = first.subarray(CHUNK_BYTES);
    }
    this.queuedBytes -= chunk.length;
    return chunk;
  }
}
