/** Calls to replicas over one kept TCP connection each, many under way at a time. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { encodeFrame, FrameReader } from '../wire/framing.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { Member } from './membership.js';
import { decodeReplicaMessage, encodeReplicaMessage } from './messages.js';
import type {
  OneWayMessage,
  ReplicaMessage,
  ReplicaReply,
  ReplicaRequest,
  UnknownMessage,
} from './messages.js';
import { ConnectionProtocol } from './connection-protocol.js';
import { PRESENCE_PROBE } from './replica-caller.js';
import type { ReplicaCaller, ReplyListener, UnnumberedRequest } from './replica-caller.js';
import { fallbackRequestOf, adaptFallbackReply, decodeKindCount } from './protocol-negotiation.js';
import { probeKindCount } from './protocol-probe.js';

/** Longest wait for a connection to a replica, in milliseconds. */
export const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** Longest wait of a message to which nothing comes back, in milliseconds. */
const FLUSH_DELAY_MILLISECONDS = 25;
/** Pause before a broken connection is made anew, in milliseconds. */
export const RECONNECT_DELAY_MILLISECONDS = 100;
/** Bytes that may wait for one replica; beyond, calls to it fail at once. */
const MAXIMUM_QUEUED_BYTES = 8 * 1024 * 1024;
/**
 * A connection is given up when something is owed on it and nothing came for this long, however many
 * calls have ended meanwhile: it may be silent for good while a new one works.
 */
export const SOCKET_SILENCE_MILLISECONDS = 1_000;
/**
 * Longest wait for what a replica tells of its build, in milliseconds; a trial may follow, so that the first request
 * that needs it may end before: its client comes back when it is known.
 */
const KIND_COUNT_TIMEOUT_MILLISECONDS = 500;

interface PendingCall {
  readonly listener: ReplyListener;
  readonly cancelTimer: CancelTimer;
}

/** A connection to one replica, made when first needed and again after it broke. */
class ReplicaConnection {
  private socket: Socket | undefined;
  private reconnectAt = -Infinity;
  /** Local time since which a reply is owed and nothing came, in milliseconds; undefined when none is. */
  private dueSince: number | undefined;
  /** Frames to which nothing comes back; they go with the next call or after a moment. */
  private bufferedFrames: Buffer[] = [];
  private bufferedBytes = 0;
  private readonly pending = new Map<number, PendingCall>();
  /** Of the connection that stands. */
  private protocol: ConnectionProtocol;
  private unknownLogged = false;

  constructor(
    private readonly member: Member,
    private readonly runtime: Runtime,
    private readonly onMembers: (record: string) => void,
    private readonly newCall: () => number,
  ) {
    this.protocol = this.newProtocol();
  }

  call(request: ReplicaRequest, timeoutMilliseconds: number, listener: ReplyListener): void {
    const socket = this.open();
    if (socket === undefined || socket.writableLength > MAXIMUM_QUEUED_BYTES) {
      this.runtime.setTimer(0, () => listener(undefined));
      return;
    }
    const cancelTimer = this.runtime.setTimer(timeoutMilliseconds, () =>
      this.handleTimeout(request.call),
    );
    const pending = { listener, cancelTimer };
    this.pending.set(request.call, pending);
    this.protocol.checkSupport(request, (isRead) => {
      if (this.pending.get(request.call) !== pending) {
        return;
      }
      if (isRead) {
        this.sendRequest(request);
      } else {
        this.sendFallback(request, pending);
      }
    });
  }

  /** Sends what an older build reads, or says in its place that it doesn't know the request. */
  private sendFallback(request: ReplicaRequest, pending: PendingCall): void {
    const fallback = fallbackRequestOf(request);
    if (fallback === undefined) {
      // Later, as any reply: nobody is called back within the call.
      this.runtime.setTimer(0, () => this.deliverReply({ type: 'notKnown', call: request.call }));
      return;
    }
    const listener: ReplyListener = (reply) =>
      pending.listener(reply === undefined ? undefined : adaptFallbackReply(reply));
    this.pending.set(request.call, { ...pending, listener });
    this.sendRequest(fallback);
  }

  /** From now on a reply is owed. */
  private sendRequest(request: ReplicaRequest): void {
    this.dueSince ??= this.runtime.now();
    this.flush(encodeFrame(encodeReplicaMessage(request)));
  }

  private newProtocol(): ConnectionProtocol {
    return new ConnectionProtocol((done) => {
      const probe = { ...PRESENCE_PROBE, call: this.newCall() } as ReplicaRequest;
      this.call(probe, KIND_COUNT_TIMEOUT_MILLISECONDS, (reply) => {
        const kindCount = decodeKindCount(reply);
        if (kindCount !== undefined || reply === undefined) {
          done(kindCount);
        } else {
          probeKindCount(this.member, this.runtime, done);
        }
      });
    });
  }

  notify(message: OneWayMessage): void {
    if (this.open() === undefined || this.bufferedBytes > MAXIMUM_QUEUED_BYTES) {
      return;
    }
    const frame = encodeFrame(encodeReplicaMessage(message));
    this.bufferedFrames.push(frame);
    this.bufferedBytes += frame.length;
    if (this.bufferedFrames.length === 1) {
      this.runtime.setTimer(FLUSH_DELAY_MILLISECONDS, () => this.flush());
    }
  }

  close(): void {
    this.socket?.destroy();
  }

  /** Sends what waited, and a frame behind it, in one write. */
  private flush(frame?: Buffer): void {
    const frames = frame === undefined ? this.bufferedFrames : [...this.bufferedFrames, frame];
    this.bufferedFrames = [];
    this.bufferedBytes = 0;
    if (frames.length > 0) {
      this.socket?.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
    }
  }

  private open(): Socket | undefined {
    if (this.socket !== undefined || this.runtime.now() < this.reconnectAt) {
      return this.socket;
    }
    const socket = connect({ host: this.member.host, port: this.member.port, noDelay: true });
    this.socket = socket;
    this.protocol = this.newProtocol();
    this.unknownLogged = false;
    const reader = new FrameReader();
    socket.setTimeout(CONNECT_TIMEOUT_MILLISECONDS, () => socket.connecting && socket.destroy());
    socket.on('connect', () => socket.setTimeout(0));
    socket.on('error', () => undefined);
    socket.on('close', () => this.handleClose(socket));
    socket.on('data', (chunk: Buffer) => this.handleData(socket, reader, chunk));
    return socket;
  }

  private handleData(socket: Socket, reader: FrameReader, chunk: Buffer): void {
    try {
      for (const content of reader.push(chunk)) {
        this.dispatch(decodeReplicaMessage(content));
      }
      this.dueSince = this.pending.size > 0 ? this.runtime.now() : undefined;
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      const fields = { event: 'replica.unreadable', member: this.member.id, reason };
      this.runtime.log('error', 'unreadable message of a replica', fields);
      socket.destroy();
    }
  }

  private dispatch(message: ReplicaMessage | UnknownMessage): void {
    if (message.type === 'unknown') {
      this.logUnknownKind(message);
      this.completeCall(message.call, undefined);
      return;
    }
    if (message.type === 'members') {
      this.onMembers(message.record);
      return;
    }
    if (message.type === 'settle') {
      return;
    }
    this.deliverReply(message as ReplicaReply);
  }

  private deliverReply(reply: ReplicaReply): void {
    this.completeCall(reply.call, reply);
  }

  private completeCall(call: number, reply: ReplicaReply | undefined): void {
    const pending = this.pending.get(call);
    if (pending !== undefined) {
      this.pending.delete(call);
      pending.cancelTimer();
      pending.listener(reply);
    }
  }

  private logUnknownKind({ kind }: UnknownMessage): void {
    if (!this.unknownLogged) {
      this.unknownLogged = true;
      const fields = { event: 'replica.unknown', member: this.member.id, kind };
      this.runtime.log('warn', 'a reply of a kind that this build does not know', fields);
    }
  }

  private handleTimeout(call: number): void {
    const pending = this.pending.get(call);
    this.pending.delete(call);
    if (this.isSilent) {
      const fields = {
        event: 'replica.silent',
        member: this.member.id,
        pending: this.pending.size,
      };
      this.runtime.log('info', 'connection to a replica given up', fields);
      this.socket?.destroy();
    }
    pending?.listener(undefined);
  }

  private get isSilent(): boolean {
    const { dueSince: dueSince } = this;
    return dueSince !== undefined && this.runtime.now() - dueSince >= SOCKET_SILENCE_MILLISECONDS;
  }

  private handleClose(socket: Socket): void {
    if (this.socket !== socket) {
      return;
    }
    this.socket = undefined;
    this.dueSince = undefined;
    this.reconnectAt = this.runtime.now() + RECONNECT_DELAY_MILLISECONDS;
    const interrupted = [...this.pending.values()];
    this.pending.clear();
    for (const pending of interrupted) {
      pending.cancelTimer();
      pending.listener(undefined);
    }
  }
}

/** See the head of this file. */
export class TcpReplicaCaller implements ReplicaCaller {
  private readonly connections = new Map<string, ReplicaConnection>();
  private lastCall = 0;

  constructor(
    private readonly runtime: Runtime,
    /** Told each record of members that a replica sends. */
    private readonly onMembers: (record: string) => void,
  ) {}

  call(
    member: Member,
    request: UnnumberedRequest,
    timeoutMilliseconds: number,
    listener: ReplyListener,
  ): void {
    const numbered = { ...request, call: this.newCall() } as ReplicaRequest;
    this.connectionTo(member).call(numbered, timeoutMilliseconds, listener);
  }

  notify(member: Member, message: OneWayMessage): void {
    this.connectionTo(member).notify(message);
  }

  /** Closes the connections to replicas that are no longer members. */
  keepOnly(members: readonly Member[]): void {
    const memberIds = new Set(members.map((member) => member.id));
    for (const [id, connection] of this.connections) {
      if (!memberIds.has(id)) {
        connection.close();
        this.connections.delete(id);
      }
    }
  }

  /** Closes all connections. */
  close(): void {
    this.keepOnly([]);
  }

  private newCall(): number {
    this.lastCall = (this.lastCall + 1) >>> 0;
    return this.lastCall;
  }

  private connectionTo(member: Member): ReplicaConnection {
    let connection = this.connections.get(member.id);
    if (connection === undefined) {
      connection = new ReplicaConnection(member, this.runtime, this.onMembers, () =>
        this.newCall(),
      );
      this.connections.set(member.id, connection);
    }
    return connection;
  }
}
