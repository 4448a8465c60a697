/** Calls replicas over TCP, with one persistent connection per replica and multiplexed calls. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { FrameReader } from '../wire/framing.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { RegionTraffic } from '../topology/region-traffic.js';
import type { Member } from './membership.js';
import { decodeReplicaMessage, encodeReplicaFrame } from './messages.js';
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

/** Timeout for connecting to a replica, in milliseconds. */
export const CONNECT_TIMEOUT_MILLISECONDS = 500;
/** Maximum time for which notifications are buffered, in milliseconds. */
const FLUSH_DELAY_MILLISECONDS = 25;
/** Minimum delay before reconnecting after a connection closed, in milliseconds. */
export const RECONNECT_DELAY_MILLISECONDS = 100;
/** Maximum number of bytes queued for one replica; calls fail at once and notifications are dropped beyond it. */
const MAXIMUM_QUEUED_BYTES = 8 * 1024 * 1024;
/**
 * Time without any received message, while replies are due, after which a connection is closed, in milliseconds. Calls
 * that time out meanwhile don't restart it: the connection may be dead while a new one would work.
 */
export const SOCKET_SILENCE_MILLISECONDS = 1_000;
/**
 * Timeout for querying a replica's message kind count, in milliseconds. A probe may follow, so the first request that
 * depends on the count may time out; by the time its client retries, the count is known.
 */
const KIND_COUNT_TIMEOUT_MILLISECONDS = 500;

interface PendingCall {
  readonly listener: ReplyListener;
  readonly cancelTimer: CancelTimer;
}

/** A connection to one replica, opened on demand and reopened after it was closed. */
class ReplicaConnection {
  private socket: Socket | undefined;
  private reconnectAt = -Infinity;
  /** Local time since which a reply has been due without anything received, in milliseconds; undefined if none is. */
  private dueSince: number | undefined;
  /** Buffered notifications, sent with the next call or after the flush delay. */
  private bufferedFrames: Buffer[] = [];
  private bufferedBytes = 0;
  private readonly pending = new Map<number, PendingCall>();
  /** Negotiated protocol of the current socket. */
  private protocol: ConnectionProtocol;
  private unknownLogged = false;

  constructor(
    private readonly member: Member,
    private readonly runtime: Runtime,
    private readonly onMembers: (record: string) => void,
    private readonly newCall: () => number,
    private readonly traffic: RegionTraffic | undefined,
    private readonly onBuffered: (bytes: number) => void,
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
    this.protocol.checkSupport(request, (isSupported) => {
      if (this.pending.get(request.call) !== pending) {
        return;
      }
      if (isSupported) {
        this.sendRequest(request);
      } else {
        this.sendFallback(request, pending);
      }
    });
  }

  /** Sends the fallback of a request to an older build, or replies `notKnown` on its behalf if there is none. */
  private sendFallback(request: ReplicaRequest, pending: PendingCall): void {
    const fallback = fallbackRequestOf(request);
    if (fallback === undefined) {
      // Deferred, so that the listener is never called synchronously.
      this.runtime.setTimer(0, () => this.deliverReply({ type: 'notKnown', call: request.call }));
      return;
    }
    const listener: ReplyListener = (reply) =>
      pending.listener(reply === undefined ? undefined : adaptFallbackReply(reply));
    this.pending.set(request.call, { ...pending, listener });
    this.sendRequest(fallback);
  }

  /** Sends a request; a reply is due from now on. */
  private sendRequest(request: ReplicaRequest): void {
    this.dueSince ??= this.runtime.now();
    this.flush(encodeReplicaFrame(request));
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
    const frame = encodeReplicaFrame(message);
    this.bufferedFrames.push(frame);
    this.bufferedBytes += frame.length;
    if (this.bufferedFrames.length === 1) {
      this.runtime.setTimer(FLUSH_DELAY_MILLISECONDS, () => this.flush());
    }
  }

  close(): void {
    this.socket?.destroy();
  }

  /** Sends the buffered notifications, followed by a frame if given, in one write. */
  private flush(frame?: Buffer): void {
    const frames = frame === undefined ? this.bufferedFrames : [...this.bufferedFrames, frame];
    this.bufferedFrames = [];
    this.bufferedBytes = 0;
    if (frames.length > 0 && this.socket !== undefined) {
      const bytes = frames.length === 1 ? frames[0]! : Buffer.concat(frames);
      this.onBuffered(bytes.length);
      this.socket.write(bytes);
      this.traffic?.recordZone('replicas', 'sent', this.member.zone, bytes.length);
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
    this.onBuffered(chunk.length);
    this.traffic?.recordZone('replicas', 'received', this.member.zone, chunk.length);
    try {
      for (const content of reader.push(chunk)) {
        this.dispatch(decodeReplicaMessage(content));
      }
      this.dueSince = this.pending.size > 0 ? this.runtime.now() : undefined;
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      const fields = { event: 'replica.unreadable', member: this.member.id, reason };
      this.runtime.log('error', 'malformed message from a replica, connection closed', fields);
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
      this.runtime.log('warn', 'message of an unknown kind from a replica', fields);
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
      this.runtime.log('info', 'silent connection to a replica closed', fields);
      this.socket?.destroy();
    }
    pending?.listener(undefined);
  }

  private get isSilent(): boolean {
    const { dueSince } = this;
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

/** Manages the connections to all replicas and assigns call numbers. */
export class TcpReplicaCaller implements ReplicaCaller {
  private readonly connections = new Map<string, ReplicaConnection>();
  private lastCall = 0;

  constructor(
    private readonly runtime: Runtime,
    /** Called with each membership record, as JSON, that a replica sends. */
    private readonly onMembers: (record: string) => void,
    /** Counts the bytes exchanged with replicas by region. @default not counted */
    private readonly traffic?: RegionTraffic,
    /** Called with the number of bytes of each read, and of each message that is sent. */
    private readonly onBuffered: (bytes: number) => void = () => undefined,
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

  /** Closes the connections to all replicas that are not among the given members. */
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
      const newCall = (): number => this.newCall();
      connection = new ReplicaConnection(
        member,
        this.runtime,
        this.onMembers,
        newCall,
        this.traffic,
        this.onBuffered,
      );
      this.connections.set(member.id, connection);
    }
    return connection;
  }
}
