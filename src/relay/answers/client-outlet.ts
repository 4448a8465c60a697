/**
 * What waits to be taken by one client. A client that keeps up is written to at once; one that is behind is
 * handed one piece after another, so that each piece taken shows that it reads.
 */

/**
 * Bytes handed to a client that is behind at a time: a reader of a few kilobytes a second still shows that it
 * reads within the time that it has.
 */
export const PIECE_BYTES = 8 * 1024;

/** What an outlet writes to: the part of Node's response that it uses. */
export interface OutletTarget {
  /** Bytes that the target itself holds. */
  readonly writableLength: number;
  write(bytes: Buffer, done?: (error: Error | null | undefined) => void): boolean;
  end(bytes?: Buffer): unknown;
  once(event: 'drain', listener: () => void): unknown;
}

/** Told what becomes of a client that is behind. */
export interface OutletListener {
  /** It began to be behind. */
  onBehind(): void;
  /** It has taken some of what waited. */
  onTaken(): void;
  /** All is taken but what the target holds. */
  onCaughtUp(): void;
}

/** See the head of this file. */
export class ClientOutlet {
  private queue: Buffer[] = [];
  private queuedBytes = 0;
  private behind = false;
  private ended = false;

  constructor(
    private readonly target: OutletTarget,
    private readonly listener: OutletListener,
  ) {}

  /** Bytes that the client has not taken. */
  get heldBytes(): number {
    return this.queuedBytes + this.target.writableLength;
  }

  /** Whether the client is behind. */
  get isBehind(): boolean {
    return this.behind;
  }

  /** Hands over bytes. */
  push(bytes: Buffer): void {
    if (this.behind || bytes.length > PIECE_BYTES) {
      this.enqueue(bytes);
    } else if (!this.target.write(bytes)) {
      this.fallBehind();
      this.target.once('drain', () => this.take());
    }
  }

  /** Ends the answer once all is taken. */
  end(): void {
    this.ended = true;
    if (!this.behind) {
      this.target.end();
    }
  }

  /** Forgets what waits. */
  drop(): void {
    this.queue = [];
    this.queuedBytes = 0;
  }

  private enqueue(bytes: Buffer): void {
    this.queue.push(bytes);
    this.queuedBytes += bytes.length;
    if (!this.behind) {
      this.fallBehind();
      this.writePiece();
    }
  }

  private fallBehind(): void {
    this.behind = true;
    this.listener.onBehind();
  }

  private take(): void {
    this.listener.onTaken();
    this.writePiece();
  }

  private writePiece(): void {
    const piece = this.takePiece();
    if (piece !== undefined) {
      this.target.write(piece, (error) => {
        if (error === null || error === undefined) {
          this.take();
        }
      });
      return;
    }
    this.behind = false;
    this.listener.onCaughtUp();
    if (this.ended) {
      this.target.end();
    }
  }

  private takePiece(): Buffer | undefined {
    const first = this.queue[0];
    if (first === undefined) {
      return undefined;
    }
    const piece = first.subarray(0, PIECE_BYTES);
    if (piece.length === first.length) {
      this.queue.shift();
    } else {
      this.queue[0] = first.subarray(PIECE_BYTES);
    }
    this.queuedBytes -= piece.length;
    return piece;
  }
}
