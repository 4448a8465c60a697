/**
 * Keep-alive connections to one runner. An idle connection is closed if it receives data that belongs to no request,
 * and well before the runner's own idle timeout, so that no request is sent on a connection that is being closed.
 */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { ResetAwareAgent } from '../../http-client/reset-aware-agent.js';

/** Share of the runner's idle timeout after which an idle connection is closed. */
const IDLE_FRACTION = 0.85;
/** Idle timeout of connections whose runner announced none. */
const DEFAULT_IDLE_MILLISECONDS = 4_000;
/** Longest idle timeout that is used: a socket throws on a time that is not finite. */
const MAXIMUM_IDLE_MILLISECONDS = 3_600_000;
const MILLISECONDS_IN_SECOND = 1_000;

const discardListeners = new WeakMap<Duplex, () => void>();

/** Returns the idle timeout for the value of a `Keep-Alive: timeout=SECONDS` header, in milliseconds. */
function idleMillisecondsOf(header: string | undefined): number {
  const seconds = /timeout=(\d+)/.exec(header ?? '')?.[1];
  if (seconds === undefined) {
    return DEFAULT_IDLE_MILLISECONDS;
  }
  const milliseconds = Number(seconds) * MILLISECONDS_IN_SECOND * IDLE_FRACTION;
  return Math.min(Math.max(1, milliseconds), MAXIMUM_IDLE_MILLISECONDS);
}

/** HTTP agent for the connections to one address. */
export class RunnerAgent extends ResetAwareAgent {
  /** Requests that wait for a connection, by the functions that check whether they still may be sent. */
  private readonly waiting = new Set<() => void>();

  constructor(maximumConnections: number) {
    super({ keepAlive: true, maxSockets: maximumConnections, scheduling: 'lifo', noDelay: true });
  }

  /** Whether an idle connection is open. */
  get hasIdle(): boolean {
    for (const name in this.freeSockets) {
      if ((this.freeSockets[name]?.length ?? 0) > 0) {
        return true;
      }
    }
    return false;
  }

  /** Adds a request that waits for a connection; returns the function that removes it. */
  addWaiting(check: () => void): () => void {
    this.waiting.add(check);
    return () => this.waiting.delete(check);
  }

  /** Checks again whether the requests that wait for a connection may be sent to the runner. */
  checkWaiting(): void {
    [...this.waiting].forEach((check) => check());
  }

  /** Called by Node.js when a request is done; returns true to keep the connection open. */
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

  /** Called by Node.js when an idle connection is reused for a request. */
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

/** Stores the `Keep-Alive` header of an answer until its connection becomes idle. */
export function noteKeepAlive(socket: Duplex, header: string | undefined): void {
  if (header !== undefined) {
    keepAliveHeaders.set(socket, header);
  }
}
