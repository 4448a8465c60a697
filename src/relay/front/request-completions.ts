/**
 * Tracks the completion of requests, each reported once. The response to a pipelined request emits
 * no `close` event if its connection closes before the earlier responses are sent; the `close`
 * event of the connection completes such a request too.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Completion of one request: its answer was sent, or its connection closed. */
export class RequestCompletion {
  private readonly listeners: (() => void)[] = [];
  private completed = false;

  /** @param run runs each listener, so that one that throws doesn't keep the others from being called */
  constructor(private readonly run: (listener: () => void) => void = (listener) => listener()) {}

  /** Adds a listener that is called once the request is complete. */
  onComplete(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Marks the request as complete; further calls have no effect. */
  complete(): void {
    if (!this.completed) {
      this.completed = true;
      this.listeners.forEach((listener) => this.run(listener));
    }
  }
}

/** The connections of a server, and the requests in progress on each. */
export class RequestCompletions {
  private readonly bySocket = new Map<Socket, Set<RequestCompletion>>();

  /** Adds a new connection. */
  addSocket(socket: Socket): void {
    const completions = new Set<RequestCompletion>();
    this.bySocket.set(socket, completions);
    socket.on('close', () => {
      this.bySocket.delete(socket);
      completions.forEach((completion) => completion.complete());
    });
  }

  /** Starts tracking a request that arrived over a connection. */
  track(
    socket: Socket,
    response: ServerResponse,
    run?: (listener: () => void) => void,
  ): RequestCompletion {
    const completion = new RequestCompletion(run);
    const completions = this.bySocket.get(socket);
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
