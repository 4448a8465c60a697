/**
 * Tracks the completion of requests, each reported once. The response to a pipelined request emits
 * no `close` event if its connection closes before the earlier responses are sent; the `close`
 * event of the connection completes such a request too.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Who closed a connection: its client, an answer that said so, or this process without saying so. */
export type ConnectionCloser = 'client' | 'answer' | 'gateway';

/** Completion of one request: its answer was sent, or its connection closed. */
export class RequestCompletion {
  private readonly listeners: (() => void)[] = [];
  private completed = false;
  /** Who closed the connection before the answer was sent; undefined if nobody did. */
  closedBy: ConnectionCloser | undefined;

  /** @param run runs each listener, so that one that throws doesn't keep the others from being called */
  constructor(private readonly run: (listener: () => void) => void = (listener) => listener()) {}

  /** Adds a listener that is called once the request is complete. */
  onComplete(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Marks the request as complete; further calls have no effect. */
  complete(closedBy?: ConnectionCloser): void {
    if (!this.completed) {
      this.completed = true;
      this.closedBy = closedBy;
      this.listeners.forEach((listener) => this.run(listener));
    }
  }
}

/** A connection, and the requests in progress on it. */
interface ConnectionRequests {
  readonly completions: Set<RequestCompletion>;
  /** Who began to close the connection; undefined while it is open. */
  closer: ConnectionCloser | undefined;
}

/** Whether an error of a connection comes from the system, as when the client has reset it, and not from the parser. */
function isSystemError(error: Error): boolean {
  return 'syscall' in error;
}

/** The connections of a server, and the requests in progress on each. */
export class RequestCompletions {
  private readonly bySocket = new Map<Socket, ConnectionRequests>();

  /** Adds a new connection. */
  addSocket(socket: Socket): void {
    const connection: ConnectionRequests = { completions: new Set(), closer: undefined };
    this.bySocket.set(socket, connection);
    socket.on('end', () => (connection.closer ??= 'client'));
    socket.on(
      'error',
      (error) => (connection.closer ??= isSystemError(error) ? 'client' : 'gateway'),
    );
    socket.on('close', () => {
      this.bySocket.delete(socket);
      const { completions, closer = 'gateway' } = connection;
      completions.forEach((completion) => completion.complete(closer));
    });
  }

  /** Records that the answer which is being sent on a connection closes it. */
  noteClosingAnswer(socket: Socket): void {
    const connection = this.bySocket.get(socket);
    if (connection !== undefined) {
      connection.closer ??= 'answer';
    }
  }

  /** Starts tracking a request that arrived over a connection. */
  track(
    socket: Socket,
    response: ServerResponse,
    run?: (listener: () => void) => void,
  ): RequestCompletion {
    const completion = new RequestCompletion(run);
    const completions = this.bySocket.get(socket)?.completions;
    completions?.add(completion);
    completion.onComplete(() => completions?.delete(completion));
    response.on('close', () => completion.complete());
    return completion;
  }

  /** Destroys all connections. */
  destroyAll(): void {
    [...this.bySocket.keys()].forEach((socket) => socket.destroy());
  }
}
