/** The TCP server of a replica. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { Listeners } from '../runtime/listeners.js';
import type { Runtime } from '../runtime/runtime.js';
import { decodeSuspects } from '../suspects/suspect-news.js';
import { ExceptionLog } from '../telemetry/exception-log.js';
import { CallConnections } from './call-connections.js';
import type { CallConnection, CallLimits } from './call-connections.js';
import type { MemberDirectory } from './member-directory.js';
import { decodeReplicaMessage, encodeReplicaFrame } from './messages.js';
import type {
  MembersMessage,
  ReplicaMessage,
  ReplicaReply,
  ReplicaRequest,
  UnknownMessage,
} from './messages.js';
import type { Replica } from './replica.js';

/** Maximum number of reply bytes queued for one connection; a connection whose reader is slower is closed. */
const MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 2_000;

/** Decodes a message, with the reports in it that the replica decodes itself; throws if it is malformed. */
function decodeRequest(content: Buffer): ReplicaMessage | UnknownMessage {
  const message = decodeReplicaMessage(content);
  if (message.type === 'recordSuspects') {
    decodeSuspects(message.news);
  }
  return message;
}

/** Accepts connections and passes their requests to a replica. */
export class ReplicaServer {
  private readonly connections: CallConnections;
  private readonly server: Server;
  /** Unknown message kinds that were already logged. */
  private readonly unknownKinds = new Set<number>();

  constructor(
    private readonly replica: Replica,
    private readonly directory: MemberDirectory,
    private readonly runtime: Runtime,
    private readonly listeners = new Listeners(runtime),
    /** Records the exceptions of single messages. */
    readonly exceptions = new ExceptionLog(runtime),
    limits: CallLimits = {},
    /** Called with the number of bytes of each read, and of each message that is sent. */
    private readonly onBuffered: (bytes: number) => void = () => undefined,
  ) {
    this.connections = new CallConnections(runtime, limits);
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Starts listening; calls back once the server does. */
  listen(host: string, port: number, done: () => void): void {
    this.listeners.listen(this.server, { purpose: 'calls', host, port }, done);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.connections.closeAll();
  }

  private accept(socket: Socket): void {
    socket.on('error', () => undefined);
    const connection = this.connections.add(socket);
    if (connection === undefined) {
      return;
    }
    socket.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS);
    socket.on('data', (chunk: Buffer) => this.read(connection, chunk));
  }

  /** Handles the messages that a chunk completes, up to the first one that can't be read or handled: it closes the connection. */
  private read(connection: CallConnection, chunk: Buffer): void {
    const { socket, reader } = connection;
    this.onBuffered(chunk.length);
    try {
      for (const content of reader.push(chunk)) {
        const message = decodeRequest(content);
        this.connections.noteMessage(connection);
        if (!this.handle(socket, message)) {
          socket.destroy();
          return;
        }
      }
      this.connections.noteBytes(connection);
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      this.runtime.log('error', 'malformed request, connection closed', {
        event: 'replica.unreadable',
        reason,
      });
      socket.destroy();
    }
  }

  /** Returns whether a message was handled without an exception. */
  private handle(socket: Socket, message: ReplicaMessage | UnknownMessage): boolean {
    try {
      this.dispatch(socket, message);
      return true;
    } catch (cause) {
      const fields = { message: message.type, from: socket.remoteAddress ?? '' };
      this.exceptions.record('message', cause, fields);
      return false;
    }
  }

  private dispatch(socket: Socket, message: ReplicaMessage | UnknownMessage): void {
    if (message.type === 'unknown') {
      this.refuseUnknown(socket, message);
      return;
    }
    if (message.type === 'members') {
      this.directory.offerText(message.record, 'caller');
      return;
    }
    if (message.type === 'settle') {
      this.replica.settle(message.entry);
      return;
    }
    this.replica.handle(message as ReplicaRequest, (reply) => this.send(socket, reply));
  }

  /** Replies that a message's kind is unknown; its sender is of a newer build and understands that reply. */
  private refuseUnknown(socket: Socket, { kind, call }: UnknownMessage): void {
    if (!this.unknownKinds.has(kind)) {
      this.unknownKinds.add(kind);
      const fields = { event: 'replica.unknown', kind };
      this.runtime.log('warn', 'request of an unknown message kind', fields);
    }
    if (call > 0) {
      this.send(socket, { type: 'notKnown', call });
    }
  }

  private send(socket: Socket, reply: ReplicaReply | MembersMessage): void {
    if (socket.destroyed) {
      return;
    }
    if (socket.writableLength > MAXIMUM_QUEUED_BYTES) {
      socket.destroy();
      return;
    }
    const frame = encodeReplicaFrame(reply);
    this.onBuffered(frame.length);
    socket.write(frame);
  }
}
