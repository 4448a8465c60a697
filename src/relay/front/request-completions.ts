/**
 * The ends of requests, each told once. A response that never got its connection, since others before it on the
 * same one were not answered yet, tells no close of its own: the connection's close ends it too.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The end of one request: its answer is out, or its connection is gone. */
export class RequestCompletion {
  private readonly listeners: (() => void)[] = [];
  private completed = false;

  /** Calls back once, when the request is over. */
  onComplete(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Notes the end; may come twice. */
  complete(): void {
    if (!this.completed) {
      this.completed = true;
      this.listeners.forEach((listener) => listener());
    }
  }
}

/** The connections of a server, and the ends of requests under way on each. */
export class RequestCompletions {
  private readonly bySocket = new Map<Socket, Set<RequestCompletion>>();

  /** Takes a new connection. */
  addSocket(socket: Socket): void {
    const completions = new Set<RequestCompletion>();
    this.bySocket.set(socket, completions);
    socket.on('close', () => {
      this.bySocket.delete(socket);
      completions.forEach((completion) => completion.complete());
    });
  }

  /** Opens the end of a request that came over a connection. */
  track(socket: Socket, response: ServerResponse): RequestCompletion {
    const completion = new RequestCompletion();
    const completions = this.bySocket.get(socket);
    completions?.add(completion);
    completion.onComplete(() => completions?.delete(completion));
    response.on('close', () => completion.complete());
    return completion;
  }

  /** Breaks every connection. */
  destroyAll(): void {
    [...this.bySocket.keys()].forEach((socket) => socket.destroy());
  }
}
