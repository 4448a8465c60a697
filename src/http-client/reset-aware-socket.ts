/**
 * A socket that distinguishes an orderly end of its connection from a reset. When data and a reset arrive together, the event loop
 * reports the end of the stream without reading the error. Separate reads avoid that: after each chunk, reading stops and
 * goes on in a later turn of the event loop, so that the end or the error is the result of a read of its own.
 */
import { Socket } from 'node:net';

/** TCP socket for connections whose end may mark the end of a message. */
export class ResetAwareSocket extends Socket {
  private separatesReads = false;
  /** Whether data arrived in this turn of the event loop, so that nothing more is read until a later one. */
  private hasReadInTurn = false;
  /** Size of the read that was asked for in this turn; undefined if none was. */
  private deferredRead: number | undefined;
  private endedInOwnTurn = false;

  /** Reads separately from now on, because the end of the connection marks the end of the message. */
  separateReads(): void {
    this.separatesReads = true;
  }

  /** Whether the connection has ended in order, by a read of its own. */
  get hasVerifiedEnd(): boolean {
    return this.separatesReads && this.endedInOwnTurn;
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.endedInOwnTurn = !this.hasReadInTurn;
      return super.push(chunk);
    }
    const mayReadOn = super.push(chunk, encoding);
    // `push` handles the chunk before it returns: a head in it may have called for separate reads.
    if (!this.separatesReads || this.destroyed) {
      return mayReadOn;
    }
    if (!this.hasReadInTurn) {
      this.hasReadInTurn = true;
      setImmediate(() => this.startTurn());
    }
    return false;
  }

  override _read(size: number): void {
    if (this.hasReadInTurn) {
      this.deferredRead = size;
    } else {
      super._read(size);
    }
  }

  private startTurn(): void {
    this.hasReadInTurn = false;
    const size = this.deferredRead;
    this.deferredRead = undefined;
    if (size !== undefined && !this.destroyed) {
      super._read(size);
    }
  }
}
