/** Test server on a plain socket, which decides byte by byte what its clients receive. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** TCP server on loopback. */
export class RawServer {
  private readonly server: Server;

  /**
   * @param respond called with the first bytes of each connection
   * @param atOnce calls it as soon as a connection is open, before any bytes arrive
   */
  constructor(respond: (socket: Socket, received: Buffer) => unknown, atOnce = false) {
    this.server = createServer((socket) => {
      socket.on('error', () => undefined);
      if (atOnce) {
        respond(socket, Buffer.alloc(0));
      } else {
        socket.once('data', (chunk: Buffer) => respond(socket, chunk));
      }
    });
  }

  /** Listens on a free port; resolves with it. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Stops listening. */
  close(): void {
    this.server.close();
  }
}
