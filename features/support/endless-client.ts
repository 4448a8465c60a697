/** A client that sends a sound start, and then the same bytes without end. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

const HOST = '127.0.0.1';
const PIECE_BYTES = 64 * 1024;

/** Sends to a port of this machine until the connection is closed. */
export class EndlessClient {
  private readonly socket: Socket;
  private readonly startedAt = performance.now();
  /** All that the server sent. */
  text = '';
  /** Time after which the connection was closed; undefined while it is open. */
  closedAfter: number | undefined;

  constructor(port: number, start: string, filler: string) {
    const piece = Buffer.from(filler.repeat(Math.ceil(PIECE_BYTES / filler.length)));
    const socket = connect(port, HOST);
    this.socket = socket;
    const send = (): void => {
      while (socket.writable && socket.write(piece)) {
        // The next piece follows.
      }
    };
    socket.on('connect', () => {
      socket.write(start);
      send();
    });
    socket.on('drain', send);
    socket.on('data', (chunk) => (this.text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => (this.closedAfter = performance.now() - this.startedAt));
  }

  /** Bytes that were passed to the connection. */
  get bytesSent(): number {
    return this.socket.bytesWritten;
  }

  /** Ends the connection. */
  close(): void {
    this.socket.destroy();
  }
}
