/** The connections on which gateways and other replicas call a replica, and the bounds on them. */
import type { Socket } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import { FrameReader } from '../wire/framing.js';

/**
 * Bounds on the connections to a replica. Gateways and other replicas keep one connection to each replica, and another
 * one for a moment where they find out which messages it knows. Their largest message is a turn to be kept: a request's body
 * (4 MiB unless the configuration allows more) and an answer of 16 MiB at most; all others carry lists of ids and short records.
 */
export interface CallLimits {
  /** Most connections that are open at a time. @default unlimited */
  readonly maximumConnections?: number;
}

/** One connection. */
export interface CallConnection {
  readonly socket: Socket;
  readonly reader: FrameReader;
  /** Local time of the last bytes received, in milliseconds; that of its start before there are any. */
  heardAt: number;
}

/** Minimum time between two log lines, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** All open connections. Where a bound requires it, those are closed first that have sent no whole message yet. */
export class CallConnections {
  private readonly open = new Set<CallConnection>();
  /** Connections that have sent no whole message, those silent for longest first. */
  private readonly unproven = new Set<CallConnection>();
  private closedCount = 0;
  private loggedAt = -Infinity;

  constructor(
    private readonly runtime: Pick<Runtime, 'now' | 'log'>,
    private readonly limits: CallLimits,
  ) {}

  /** Takes a new connection, if need be in the place of another one; returns undefined, and closes it, if there is no room. */
  add(socket: Socket): CallConnection | undefined {
    const { maximumConnections = Infinity } = this.limits;
    if (this.open.size >= maximumConnections) {
      const [longestSilent] = this.unproven;
      this.logCrowded(longestSilent, socket);
      if (longestSilent === undefined) {
        socket.destroy();
        return undefined;
      }
      this.close(longestSilent);
    }
    const reader = new FrameReader();
    const connection = { socket, reader, heardAt: this.runtime.now() };
    this.open.add(connection);
    this.unproven.add(connection);
    socket.on('close', () => this.remove(connection));
    return connection;
  }

  /** Notes that a connection has sent a whole message. */
  noteMessage(connection: CallConnection): void {
    this.unproven.delete(connection);
  }

  /** Notes that a connection's reader was given bytes. */
  noteBytes(connection: CallConnection): void {
    connection.heardAt = this.runtime.now();
    if (this.unproven.delete(connection)) {
      this.unproven.add(connection);
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    this.open.forEach((connection) => this.close(connection));
  }

  private logCrowded(closed: CallConnection | undefined, socket: Socket): void {
    const now = this.runtime.now();
    this.closedCount += 1;
    if (now - this.loggedAt < LOG_INTERVAL_MILLISECONDS) {
      return;
    }
    this.loggedAt = now;
    this.runtime.log('warn', 'as many connections as may be, one closed', {
      event: 'replica.crowded',
      closed: closed === undefined ? 'new' : 'silent',
      from: (closed?.socket ?? socket).remoteAddress ?? '',
      silent: closed === undefined ? 0 : Math.round(now - closed.heardAt),
      connections: this.open.size,
      count: this.closedCount,
    });
  }

  private close(connection: CallConnection): void {
    connection.socket.destroy();
    this.remove(connection);
  }

  private remove(connection: CallConnection): void {
    this.open.delete(connection);
    this.unproven.delete(connection);
  }
}
