/** Sends messages between nodes over TCP: one outgoing connection per peer, opened on first use. */
import { createServer, connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import type { NodeId } from '../model/identifiers.js';
import type { Runtime } from '../runtime/runtime.js';
import { encodeFrame, FrameReader } from './framing.js';
import {
  decodeHello,
  decodeMessage,
  encodeHello,
  encodeMessage,
  PROTOCOL_VERSION,
} from './message-codec.js';
import type { Message, Transport } from './messages.js';

/** Address at which a peer listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Identity and dependencies of the transport. */
export interface TcpTransportOptions {
  /** Name of the cluster; connections from nodes of other clusters are closed. */
  readonly cluster: string;
  readonly self: NodeId;
  readonly runtime: Runtime;
  /** Address of a peer; undefined when unknown. */
  readonly addressOf: (node: NodeId) => PeerAddress | undefined;
  readonly receive: (from: NodeId, message: Message) => void;
}

/** Bytes that may be queued for one peer; further messages are dropped. */
const MAXIMUM_QUEUED_BYTES = 128 * 1024 * 1024;
/** Delay before reconnecting after a connection has closed, in milliseconds. */
const RECONNECT_DELAY_MILLISECONDS = 200;
/** Timeout for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;

interface PeerConnection {
  socket: Socket | undefined;
  retryAt: number;
}

/** Transport over TCP: sends on outgoing connections only and receives on incoming ones only. */
export class TcpTransport implements Transport {
  private readonly connections = new Map<NodeId, PeerConnection>();
  private readonly incomingSockets = new Set<Socket>();
  private readonly server: Server;
  private closed = false;
  /** Number of bytes sent to peers so far. */
  sentBytes = 0;

  constructor(private readonly options: TcpTransportOptions) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts listening; calls `done` with the port. */
  listen(host: string, port: number, done: (port: number) => void): void {
    this.server.listen(port, host, () => done((this.server.address() as AddressInfo).port));
  }

  send(to: NodeId, message: Message): void {
    const socket = this.socketTo(to);
    if (socket === undefined || socket.writableLength > MAXIMUM_QUEUED_BYTES) {
      return;
    }
    const frame = encodeFrame(encodeMessage(message));
    this.sentBytes += frame.length;
    socket.write(frame);
  }

  /** Closes every connection and stops listening. */
  close(): void {
    this.closed = true;
    this.server.close();
    this.connections.forEach((connection) => connection.socket?.destroy());
    this.incomingSockets.forEach((socket) => socket.destroy());
  }

  private socketTo(node: NodeId): Socket | undefined {
    const connection = this.connections.get(node) ?? { socket: undefined, retryAt: -Infinity };
    this.connections.set(node, connection);
    if (
      connection.socket === undefined &&
      !this.closed &&
      this.options.runtime.now() >= connection.retryAt
    ) {
      this.open(node, connection);
    }
    return connection.socket;
  }

  private open(node: NodeId, connection: PeerConnection): void {
    const address = this.options.addressOf(node);
    if (address === undefined) {
      return;
    }
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    connection.socket = socket;
    socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS, () => {
      if (socket.connecting) {
        socket.destroy();
      }
    });
    socket.on('connect', () => socket.setTimeout(0));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      connection.socket = undefined;
      connection.retryAt = this.options.runtime.now() + RECONNECT_DELAY_MILLISECONDS;
    });
    socket.resume();
    const { cluster, self: ownName } = this.options;
    const hello = encodeHello({ version: PROTOCOL_VERSION, cluster, node: ownName });
    socket.write(encodeFrame(hello));
  }

  private accept(socket: Socket): void {
    this.incomingSockets.add(socket);
    const reader = new FrameReader();
    let peer: NodeId | undefined;
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('close', () => this.incomingSockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const content of reader.push(chunk)) {
          if (peer === undefined) {
            peer = this.readHello(content);
          } else {
            this.dispatch(peer, content);
          }
        }
      } catch (cause) {
        this.reject(socket, cause);
      }
    });
  }

  private readHello(content: Buffer): NodeId {
    const hello = decodeHello(content);
    if (E.isLeft(hello)) {
      throw new Error(`invalid hello: ${hello.left}`);
    }
    if (hello.right.version !== PROTOCOL_VERSION) {
      throw new Error(
        `peer uses protocol version ${hello.right.version} instead of ${PROTOCOL_VERSION}`,
      );
    }
    if (hello.right.cluster !== this.options.cluster) {
      throw new Error(
        `peer belongs to cluster ${hello.right.cluster} instead of ${this.options.cluster}`,
      );
    }
    return hello.right.node;
  }

  private dispatch(peer: NodeId, content: Buffer): void {
    const message = decodeMessage(content);
    if (E.isLeft(message)) {
      throw new Error(`invalid message: ${message.left}`);
    }
    try {
      this.options.receive(peer, message.right);
    } catch (cause) {
      // The peer did not cause the error of a handler, so its connection stays open.
      const reason = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
      const { type } = message.right;
      this.options.runtime.log('error', 'message handler failed', { peer, type, reason });
    }
  }

  private reject(socket: Socket, cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.options.runtime.log('warn', 'closed a peer connection after invalid data', { reason });
    socket.destroy();
  }
}
