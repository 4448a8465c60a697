/**
 * The ends of requests, each told once. A response that never got its connection, since others before it on the
 * same one were not answered yet, tells no close of its own: the connection's close ends it too.
 */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** The end of one request: its answer is out, or its connection is gone. */
export class RequestEnd {
  private readonly listeners: (() => void)[] = [];
  private over = false;

  /** Calls back once, when the request is over. */
  onOver(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Notes the end; may come twice. */
  note(): void {
    if (!this.over) {
      this.over = true;
      this.listeners.forEach((listener) => listener());
    }
  }
}

/** The connections of a server, and the ends of requests under way on each. */
export class RequestEnds {
  private readonly bySocket = new Map<Socket, Set<RequestEnd>>();

  /** Takes a new connection. */
  addSocket(socket: Socket): void {
    const ends = new Set<RequestEnd>();
    this.bySocket.set(socket, ends);
    socket.on('close', () => {
      this.bySocket.delete(socket);
      ends.forEach((end) => end.note());
    });
  }

  /** Opens the end of a request that came over a connection. */
  open(socket: Socket, response: ServerResponse): RequestEnd {
    const end = new RequestEnd();
    const ends = this.bySocket.get(socket);
    ends?.add(end);
    end.onOver(() => ends?.delete(end));
    response.on('close', () => end.note());
    return end;
  }

  /** Breaks every connection. */
  destroyAll(): void {
    [...this.bySocket.keys()].forEach((socket) => socket.destroy());
  }
}
