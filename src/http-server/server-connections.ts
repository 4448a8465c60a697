/** The connections of a server, and how they end when it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import { ServerConnection } from './server-connection.js';
import type { Expectation, ServerConnectionOptions } from './server-connection.js';
import { SmallChunkQueue } from './small-chunk-queue.js';

/** Options of the connections of a server, and of their number. */
export interface ServerConnectionsOptions extends ServerConnectionOptions {
  /** Most connections that are open at a time. @default unlimited */
  readonly maximumConnections?: number;
  /** Makes room for a new connection when there are as many as may be and none is idle; returns whether one will close. */
  readonly makeRoom?: () => boolean;
}

/** All open connections of an HTTP server, each of which serves one request at a time. */
export class ServerConnections {
  private readonly bySocket = new Map<Socket, ServerConnection>();
  /** Connections on which no request is in progress, those for longest first. */
  private readonly idle = new Set<ServerConnection>();
  private isStopped = false;

  /** Serves the requests of a server; no other listener may. Listeners of its connections' data are added before. */
  constructor(
    private readonly server: Server,
    private readonly options: ServerConnectionsOptions,
  ) {
    const smallChunks = new SmallChunkQueue(options.runtime);
    const connectionOptions = {
      ...options,
      onProgress: (connection: ServerConnection) => this.handleProgress(connection),
    };
    server.on('connection', (socket: Socket) => {
      if (!this.hasRoom()) {
        socket.destroy();
        return;
      }
      socket.on('close', () => this.bySocket.delete(socket));
      const connection = new ServerConnection(socket, connectionOptions, smallChunks);
      this.bySocket.set(socket, connection);
      this.idle.add(connection);
      socket.on('close', () => this.idle.delete(connection));
    });
    const listenerFor =
      (expectation: Expectation) =>
      (request: IncomingMessage, response: ServerResponse): void => {
        const connection = this.bySocket.get(request.socket);
        if (connection !== undefined) {
          this.idle.delete(connection);
          connection.add(request, response, expectation);
        }
      };
    server.on('request', listenerFor('none'));
    server.on('checkContinue', listenerFor('continue'));
    server.on('checkExpectation', listenerFor('unknown'));
    server.on('clientError', (error: Error, socket: Socket) =>
      this.bySocket.get(socket)?.handleInputError(error),
    );
    // Without a listener, Node closes the connection, whatever is being served on it.
    server.on('connect', ({ socket }: IncomingMessage) =>
      this.bySocket.get(socket)?.handleInputError(new Error('CONNECT is not supported')),
    );
  }

  /** Number of requests that are being served. */
  get openRequests(): number {
    let count = 0;
    this.bySocket.forEach(({ isServing }) => (count += isServing ? 1 : 0));
    return count;
  }

  /** Whether no request is in progress or has arrived, and no connection is closing. */
  get isQuiet(): boolean {
    return [...this.bySocket.values()].every((connection) => connection.isQuiet);
  }

  /** Lets the answer to a request that is in progress close its connection. */
  closeAfter(request: IncomingMessage): void {
    this.bySocket.get(request.socket)?.closeAfterAnswer();
  }

  /** Stops listening, and closes the connections that wait for a request. */
  stopListening(done: () => void = () => undefined): void {
    // Node's own also closes connections whose answer it has not passed on yet.
    NetServer.prototype.close.call(this.server, done);
    this.isStopped = true;
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

  /** Closes an idle connection, or one that is made to close, if there are as many as may be. */
  private hasRoom(): boolean {
    const { maximumConnections = Infinity, makeRoom } = this.options;
    if (this.bySocket.size < maximumConnections) {
      return true;
    }
    const [longestIdle] = this.idle;
    longestIdle?.destroy();
    return longestIdle !== undefined || makeRoom?.() === true;
  }

  private handleProgress(connection: ServerConnection): void {
    if (!connection.isServing && !connection.isDestroyed) {
      this.idle.add(connection);
    }
    if (this.isStopped && connection.isIdle) {
      // Its last answer began before the stop, and didn't say that the connection closes.
      connection.end();
    }
    this.options.onProgress?.(connection);
  }

  /** Destroys all connections. */
  destroyAll(): void {
    [...this.bySocket.values()].forEach((connection) => connection.destroy());
  }
}
