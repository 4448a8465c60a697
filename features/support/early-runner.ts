/** Runner on a plain socket that answers, without a length, before it has read the request. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

const HOST = '127.0.0.1';
/** Bytes that a closing runner reads after its answer. */
const READ_BYTES = 256 * 1024;

/** What becomes of the connection after the runner has sent its answer. */
export type EarlyEnd =
  /** Reset at once. */
  | 'reset'
  /** Ended in order, and closed by a runner that has read a part of the request: the rest is answered with a reset. */
  | 'close'
  /** Ended in order, and reset some time later while the rest of the request is unread. */
  | 'end and reset'
  /** Ended in order; the rest of the request is read. */
  | 'end and read on';

/** Sends the answer to the first bytes of each request. */
export class EarlyRunner {
  /** Number of requests that were answered. */
  answered = 0;
  /** Bytes of the last request that were read. */
  readBytes = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  /**
   * @param answerOf returns the answer to a request, with its head
   * @param resetAfter time from the end of the connection to its reset, in milliseconds
   */
  constructor(
    private readonly answerOf: (head: string) => string,
    private readonly end: EarlyEnd,
    private readonly resetAfter = 0,
  ) {
    this.server = createServer({ allowHalfOpen: true }, (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
      socket.once('data', (chunk: Buffer) => this.answer(socket, chunk));
    });
  }

  /** Listens on a free port; resolves with it. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, HOST, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private answer(socket: Socket, chunk: Buffer): void {
    const head = chunk.toString('latin1');
    if (!head.startsWith('POST ')) {
      // Health checks aren't of interest.
      socket.destroy();
      return;
    }
    this.answered += 1;
    this.readBytes = chunk.length;
    const answer = this.answerOf(head);
    switch (this.end) {
      case 'reset':
        socket.pause();
        socket.write(answer, () => socket.resetAndDestroy());
        return;
      case 'close':
        socket.on('data', (more: Buffer) => {
          this.readBytes += more.length;
          if (this.readBytes >= READ_BYTES) {
            socket.destroy();
          }
        });
        socket.end(answer);
        return;
      case 'end and reset':
        socket.pause();
        socket.end(answer, () => setTimeout(() => socket.resetAndDestroy(), this.resetAfter));
        return;
      case 'end and read on':
        socket.on('data', (more: Buffer) => (this.readBytes += more.length));
        socket.on('end', () => socket.destroy());
        socket.end(answer);
    }
  }
}
