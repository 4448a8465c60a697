/** Takes requests to a replica over TCP. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import { encodeFrame, FrameReader } from '../wire/framing.js';
import type { MemberDirectory } from './member-directory.js';
import { decodeReplicaMessage, encodeReplicaMessage } from './messages.js';
import type {
  MembersMessage,
  ReplicaMessage,
  ReplicaReply,
  ReplicaRequest,
  UnknownMessage,
} from './messages.js';
import type { Replica } from './replica.js';

/** Bytes of replies that may wait for one caller; a slower one is cut off. */
const MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;
const KEEP_ALIVE_MILLISECONDS = 2_000;

/** See the head of this file. */
export class ReplicaServer {
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;
  /** Kinds that were told in the log: each once. */
  private readonly unknownKinds = new Set<number>();

  constructor(
    private readonly replica: Replica,
    private readonly directory: MemberDirectory,
    private readonly runtime: Runtime,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Listens; calls back when it does. */
  listen(host: string, port: number, done: () => void): void {
    this.server.listen({ host, port }, done);
  }

  /** Closes every connection and stops listening. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    const reader = new FrameReader();
    this.sockets.add(socket);
    socket.setKeepAlive(true, KEEP_ALIVE_MILLISECONDS);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      try {
        reader
          .push(chunk)
          .forEach((content) => this.dispatch(socket, decodeReplicaMessage(content)));
      } catch (cause) {
        const reason = cause instanceof Error ? cause.message : String(cause);
        this.runtime.log('error', 'unreadable request', { event: 'replica.unreadable', reason });
        socket.destroy();
      }
    });
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

  /** Who sends a kind that is not known here is of a newer build, and reads that it is not. */
  private refuseUnknown(socket: Socket, { kind, call }: UnknownMessage): void {
    if (!this.unknownKinds.has(kind)) {
      this.unknownKinds.add(kind);
      const fields = { event: 'replica.unknown', kind };
      this.runtime.log('warn', 'a request of a kind that this build does not know', fields);
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
    socket.write(encodeFrame(encodeReplicaMessage(reply)));
  }
}
