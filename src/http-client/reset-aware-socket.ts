/**
 * A socket that distinguishes an orderly end of its connection from a reset. When data and a reset arrive together, the event loop
 * reports the end of the stream without reading the error. Separate reads avoid that: after each chunk, reading stops and
 * goes on in a later turn of the event loop, so that the end or the error is the result of a read of its own.
 *
 * An end proves an answer only if nothing of the request can still be reset. It is therefore held back while the request is being
 * written, and after a long request for some time more, in which the server may reset the connection instead of reading the rest.
 */
import { Socket } from 'node:net';

/** Requests up to this size are taken for read once their answer ends, in bytes: about what a server reads at once. */
const SHORT_REQUEST_BYTES = 64 * 1024;
/** Time for which a reset is awaited after the end of an answer to a longer request, in milliseconds. */
const RESET_WAIT_MILLISECONDS = 400;
/** Interval at which the connection is checked meanwhile, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 20;
const NO_BYTES = Buffer.alloc(0);

/** TCP socket for connections whose end may mark the end of a message. */
export class ResetAwareSocket extends Socket {
  private separatesReads = false;
  /** Whether data arrived in this turn of the event loop, so that nothing more is read until a later one. */
  private hasReadInTurn = false;
  /** Size of the read that was asked for in this turn; undefined if none was. */
  private deferredRead: number | undefined;
  private endedInOwnTurn = false;
  /** Bytes that were written to the connection before the current request. */
  private bytesBeforeRequest = 0;

  /** Notes that the next bytes to be written are those of another request. */
  beginRequest(): void {
    this.bytesBeforeRequest = this.bytesWritten;
  }

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
      if (this.separatesReads && this.mayBeUnread) {
        this.holdEnd();
        return false;
      }
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

  /** Whether the server may not have read all of the request. */
  private get mayBeUnread(): boolean {
    const requestBytes = this.bytesWritten - this.bytesBeforeRequest;
    return this.writableLength > 0 || requestBytes > SHORT_REQUEST_BYTES;
  }

  /** Reports the end once the request is written and the connection was not reset for some time after that. */
  private holdEnd(): void {
    let checksLeft = RESET_WAIT_MILLISECONDS / CHECK_INTERVAL_MILLISECONDS;
    const check = (): void => {
      if (this.destroyed) {
        return;
      }
      if (checksLeft <= 0 || this.writableFinished) {
        super.push(null);
        return;
      }
      if (this.writableLength === 0) {
        checksLeft -= 1;
        // Sends nothing, and fails if the connection was reset: nothing else shows that once the end has been read.
        this.write(NO_BYTES);
      }
      setTimeout(check, CHECK_INTERVAL_MILLISECONDS);
    };
    check();
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
