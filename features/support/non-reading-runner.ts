/** Test runner that accepts connections but reads nothing from them. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';

const READ_MILLISECONDS = 500;
const REQUEST_ID = new RegExp(`${DEFAULT_HEADER_NAMES.requestId}: (\\S+)`, 'gi');

/** TCP server on loopback that leaves its sockets paused. */
export class NonReadingRunner {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor() {
    this.server = createServer({ pauseOnConnect: true }, (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
    });
  }

  /** Listens on a free loopback port; resolves with the port. */
  listen(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Reads what has arrived; resolves with the ids of all requests whose head did. */
  async readIds(): Promise<string[]> {
    let text = '';
    this.sockets.forEach((socket) => {
      socket.on('data', (bytes: Buffer) => (text += bytes.toString('latin1')));
      socket.resume();
    });
    await new Promise((resolve) => setTimeout(resolve, READ_MILLISECONDS));
    return [...text.matchAll(REQUEST_ID)].map((match) => match[1]!);
  }

  /** Closes the server and all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
