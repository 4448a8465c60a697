/**
 * What waits to be taken by one client. A client that keeps up is written to at once; one that is behind is
 * handed one piece after another, so that each piece taken shows that it reads.
 */

/**
 * Bytes handed to a client that is behind at a time: a reader of a few kilobytes a second still shows that it
 * reads within the time that it has.
 */
export const CHUNK_BYTES = 8 * 1024;

/** What an outlet writes to: the part of Node's response that it uses. */
export interface WriterTarget {
  /** Bytes that the target itself holds. */
  readonly writableLength: number;
  write(bytes: Buffer, done?: (error: Error | null | undefined) => void): boolean;
  end(bytes?: Buffer): unknown;
  once(event: 'drain', listener: () => void): unknown;
}

/** Told what becomes of a client that is behind. */
export interface WriterListener {
  /** It began to be behind. */
  onBackpressure(): void;
  /** It has taken some of what waited. */
  onProgress(): void;
  /** All is taken but what the target holds. */
  onDrained(): void;
}

/** See the head of this file. */
export class ClientWriter {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private backpressured = false;
  private ended = false;

  constructor(
    private readonly target: WriterTarget,
    private readonly listener: WriterListener,
  ) {}

  /** Bytes that the client has not taken. */
  get bufferedBytes(): number {
    return this.queuedBytes + this.target.writableLength;
  }

  /** Whether the client is behind. */
  get isBackpressured(): boolean {
    return this.backpressured;
  }

  /** Hands over bytes. */
  push(bytes: Buffer): void {
    if (this.backpressured || bytes.length > CHUNK_BYTES) {
      this.enqueue(bytes);
    } else if (!this.target.write(bytes)) {
      this.startBackpressure();
      this.target.once('drain', () => this.handleProgress());
    }
  }

  /** Ends the answer once all is taken. */
  end(): void {
    this.ended = true;
    if (!this.backpressured) {
      this.target.end();
    }
  }

  /** Forgets what waits. */
  discard(): void {
    this.queue = [];
    this.queuedBytes = 0;
  }

  private enqueue(bytes: Buffer): void {
    this.queue.push(bytes);
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
