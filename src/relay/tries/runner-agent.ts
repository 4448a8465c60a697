/**
 * Kept connections to one runner. An idle connection is closed when bytes come that belong to no
 * request, and well before the runner would close it, so that no request meets a closing one.
 */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';

/** Part of the runner's own idle time after which we close first. */
const IDLE_FRACTION = 0.85;
/** Idle time of a connection whose runner told none, in milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 4_000;
const MILLISECONDS_IN_SECOND = 1_000;

const discardListeners = new WeakMap<Duplex, () => void>();

/** Reads the seconds of a `Keep-Alive: timeout=N` header. */
function idleMillisecondsOf(header: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(header ?? '')?.[1];
  if (seconds === undefined) {
    return DEFAULT_IDLE_MILLISECONDS;
  }
  return Math.max(1, Number(seconds) * MILLISECONDS_IN_SECOND * IDLE_FRACTION);
}

/** See the head of this file. One agent serves one address. */
export class RunnerAgent extends Agent {
  constructor(maximumConnections: number) {
    super({ keepAlive: true, maxSockets: maximumConnections, scheduling: 'lifo', noDelay: true });
  }

  /** Whether a connection is open that carries no request. */
  get hasIdle(): boolean {
    for (const name in this.freeSockets) {
      if ((this.freeSockets[name]?.length ?? 0) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Called by Node when a request is done; false closes the connection. */
  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const idle = idleMillisecondsOf(keepAliveHeaders.get(stream));
    keepAliveHeaders.delete(stream);
    const discard = (): void => {
      socket.destroy();
    };
    discardListeners.set(stream, discard);
    socket.on('data', discard);
    socket.on('end', discard);
    socket.setTimeout(idle, discard);
    socket.setKeepAlive(true, MILLISECONDS_IN_SECOND);
    return true;
  }

  /** Called by Node when an idle connection is taken again. */
  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket;
    const discard = discardListeners.get(stream);
    if (discard !== undefined) {
      socket.removeListener('data', discard);
      socket.removeListener('end', discard);
      socket.setTimeout(0);
      socket.removeListener('timeout', discard);
    }
    super.reuseSocket(stream, request);
  }
}

const keepAliveHeaders = new WeakMap<Duplex, string>();

/** Notes what a runner told about its idle connections, before the connection becomes idle. */
export function noteKeepAlive(socket: Duplex, header: string | undefined): void {
  if (header !== undefined) {
    keepAliveHeaders.set(socket, header);
  }
}
