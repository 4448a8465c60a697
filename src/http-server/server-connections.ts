/** The connections of a server, and how they end when it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import { ServerConnection } from './server-connection.js';
import type { ServerConnectionOptions } from './server-connection.js';

/** All open connections of an HTTP server, each of which serves one request at a time. */
export class ServerConnections {
  private readonly bySocket = new Map<Socket, ServerConnection>();

  /** Serves the requests of a server; no other listener may. */
  constructor(
    private readonly server: Server,
    options: ServerConnectionOptions,
  ) {
    server.on('connection', (socket: Socket) => {
      this.bySocket.set(socket, new ServerConnection(socket, options));
      socket.on('close', () => this.bySocket.delete(socket));
    });
    const listenerFor =
      (expectsContinue: boolean) =>
      (request: IncomingMessage, response: ServerResponse): void =>
        this.bySocket.get(request.socket)?.add(request, response, expectsContinue);
    server.on('request', listenerFor(false));
    server.on('checkContinue', listenerFor(true));
    server.on('clientError', (error: Error, socket: Socket) =>
      this.bySocket.get(socket)?.handleInputError(error),
    );
    // Without a listener, Node closes the connection, whatever is being served on it.
    server.on('connect', ({ socket }: IncomingMessage) =>
      this.bySocket.get(socket)?.handleInputError(new Error('CONNECT is not supported')),
    );
  }

  /** Number of requests that are being served or wait for earlier ones. */
  get openRequests(): number {
    let count = 0;
    this.bySocket.forEach(({ openCount }) => (count += openCount));
    return count;
  }

  /** Whether no request is open, and no connection is closing. */
  get isQuiet(): boolean {
    return [...this.bySocket.values()].every((each) => each.openCount === 0 && !each.isLingering);
  }

  /** Lets the answer to a request close its connection; returns whether the request waits for earlier ones. */
  closeAfter(request: IncomingMessage): boolean {
    return this.bySocket.get(request.socket)?.closeAfter(request) ?? false;
  }

  /** Stops listening, and closes the connections that wait for a request. */
  stopListening(done: () => void = () => undefined): void {
    // Node's own also closes connections whose answer it has not passed on yet.
    NetServer.prototype.close.call(this.server, done);
    this.bySocket.forEach((connection) => {
      if (connection.isIdle) {
        connection.destroy();
      }
    });
  }

  /** Ends all connections in order: what was written is delivered, and what still arrives is not served. */
  endAll(): void {
    [...this.bySocket.values()].forEach((connection) => connection.end());
  }

  /** Destroys all connections. */
  destroyAll(): void {
    [...this.bySocket.values()].forEach((connection) => connection.destroy());
  }
}
