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
  /** Most bytes of unfinished messages of all connections together; a single one may have more. @default unlimited */
  readonly maximumUnfinishedBytes?: number;
}

/** One connection. */
export interface CallConnection {
  readonly socket: Socket;
  readonly reader: FrameReader;
  /** Local time of the last bytes received, in milliseconds; that of its start before there are any. */
  heardAt: number;
  /** Number of bytes that have come of its unfinished message. */
  unfinishedBytes: number;
}

/** Share of the bytes of unfinished messages that connections may have that have sent no whole message, if there are several. */
const UNPROVEN_SHARE = 0.5;
/** Minimum time between two log lines about one bound, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** All open connections. Where a bound requires it, those are closed first that have sent no whole message yet. */
export class CallConnections {
  private readonly open = new Set<CallConnection>();
  /** Connections that have sent no whole message, those silent for longest first. */
  private readonly unproven = new Set<CallConnection>();
  /** Connections with an unfinished message, those on which it has stood still for longest first. */
  private readonly unfinished = new Set<CallConnection>();
  private unfinishedBytes = 0;
  /** Those of connections that have sent no whole message. */
  private unprovenBytes = 0;
  private readonly closedCounts = new Map<string, number>();
  private readonly loggedAt = new Map<string, number>();

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
    const connection = { socket, reader, heardAt: this.runtime.now(), unfinishedBytes: 0 };
    this.open.add(connection);
    this.unproven.add(connection);
    socket.on('close', () => this.remove(connection));
    return connection;
  }

  /** Notes that a connection has sent a whole message. */
  noteMessage(connection: CallConnection): void {
    if (this.unproven.delete(connection)) {
      this.unprovenBytes -= connection.unfinishedBytes;
    }
  }

  /** Notes that a connection's reader was given bytes; may close this connection or others. */
  noteBytes(connection: CallConnection): void {
    connection.heardAt = this.runtime.now();
    if (this.unproven.delete(connection)) {
      this.unproven.add(connection);
    }
    this.setUnfinished(connection, connection.reader.unfinishedBytes);
    const { maximumUnfinishedBytes = Infinity } = this.limits;
    for (
      let excess = this.findExcess(maximumUnfinishedBytes);
      excess !== undefined;
      excess = this.findExcess(maximumUnfinishedBytes)
    ) {
      this.closeUnfinished(excess, maximumUnfinishedBytes);
    }
  }

  /** Closes all connections. */
  closeAll(): void {
    this.open.forEach((connection) => this.close(connection));
  }

  private setUnfinished(connection: CallConnection, bytes: number): void {
    const change = bytes - connection.unfinishedBytes;
    this.unfinishedBytes += change;
    this.unprovenBytes += this.unproven.has(connection) ? change : 0;
    connection.unfinishedBytes = bytes;
    this.unfinished.delete(connection);
    if (bytes > 0) {
      this.unfinished.add(connection);
    }
  }

  /** Returns the connection to close for the sake of memory; undefined if none needs to be. */
  private findExcess(limit: number): CallConnection | undefined {
    const isBeyond = this.unfinishedBytes > limit && this.unfinished.size > 1;
    if (!isBeyond && this.unprovenBytes <= limit * UNPROVEN_SHARE) {
      return undefined;
    }
    const [longestStill] = this.unfinished;
    const unproven = [...this.unfinished].filter((connection) => this.unproven.has(connection));
    if (isBeyond) {
      return unproven[0] ?? longestStill;
    }
    return unproven.length > 1 ? unproven[0] : undefined;
  }

  private closeUnfinished(closed: CallConnection, limit: number): void {
    const count = this.countClosed('unfinished');
    if (this.mayLog('unfinished')) {
      this.runtime.log('warn', 'unfinished messages take too much memory, connection closed', {
        event: 'replica.unfinished',
        from: closed.socket.remoteAddress ?? '',
        bytes: closed.unfinishedBytes,
        still: Math.round(this.runtime.now() - closed.heardAt),
        total: this.unfinishedBytes,
        connections: this.unfinished.size,
        limit,
        count,
      });
    }
    this.close(closed);
  }

  private logCrowded(closed: CallConnection | undefined, socket: Socket): void {
    const count = this.countClosed('crowded');
    if (this.mayLog('crowded')) {
      this.runtime.log('warn', 'as many connections as may be, one closed', {
        event: 'replica.crowded',
        closed: closed === undefined ? 'new' : 'silent',
        from: (closed?.socket ?? socket).remoteAddress ?? '',
        silent: closed === undefined ? 0 : Math.round(this.runtime.now() - closed.heardAt),
        connections: this.open.size,
        count,
      });
    }
  }

  private countClosed(bound: string): number {
    const count = (this.closedCounts.get(bound) ?? 0) + 1;
    this.closedCounts.set(bound, count);
    return count;
  }

  private mayLog(bound: string): boolean {
    const now = this.runtime.now();
    if (now - (this.loggedAt.get(bound) ?? -Infinity) < LOG_INTERVAL_MILLISECONDS) {
      return false;
    }
    this.loggedAt.set(bound, now);
    return true;
  }

  private close(connection: CallConnection): void {
    connection.socket.destroy();
    this.remove(connection);
  }

  private remove(connection: CallConnection): void {
    this.setUnfinished(connection, 0);
    this.open.delete(connection);
    this.unproven.delete(connection);
  }
}
