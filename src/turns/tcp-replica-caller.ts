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
import { LinkKinds } from './link-kinds.js';
import { PRESENCE_PROBE } from './replica-caller.js';
import type { ReplicaCaller, ReplyListener, UnnumberedRequest } from './replica-caller.js';
import { olderFormOf, replyToOlderForm, toldKinds } from './replica-forms.js';
import { tryKinds } from './trial-connection.js';

/** Longest wait for a connection to a replica, in milliseconds. */
export const CONNECT_MILLISECONDS = 500;
/** Longest wait of a message to which nothing comes back, in milliseconds. */
const LAZY_MILLISECONDS = 25;
/** Pause before a broken connection is made anew, in milliseconds. */
export const RECONNECT_MILLISECONDS = 100;
/** Bytes that may wait for one replica; beyond, calls to it fail at once. */
const MAXIMUM_QUEUED_BYTES = 8 * 1024 * 1024;
/**
 * A connection is given up when something is owed on it and nothing came for this long, however many
 * calls have ended meanwhile: it may be silent for good while a new one works.
 */
export const LINK_SILENCE_MILLISECONDS = 1_000;
/**
 * Longest wait for what a replica tells of its build, in milliseconds; a trial may follow, so that the first request
 * that needs it may end before: its client comes back when it is known.
 */
const KINDS_MILLISECONDS = 500;

interface PendingCall {
  readonly listener: ReplyListener;
  readonly cancelTimer: CancelTimer;
}

/** A connection to one replica, made when first needed and again after it broke. */
class ReplicaLink {
  private socket: Socket | undefined;
  private retryAt = -Infinity;
  /** Local time since which a reply is owed and nothing came, in milliseconds; undefined when none is. */
  private owedSince: number | undefined;
  /** Frames to which nothing comes back; they go with the next call or after a moment. */
  private lazyFrames: Buffer[] = [];
  private lazyBytes = 0;
  private readonly pending = new Map<number, PendingCall>();
  /** Of the connection that stands. */
  private kinds: LinkKinds;
  private unknownLogged = false;

  constructor(
    private readonly member: Member,
    private readonly runtime: Runtime,
    private readonly onMembers: (record: string) => void,
    private readonly newCall: () => number,
  ) {
    this.kinds = this.unknownKinds();
  }

  call(request: ReplicaRequest, timeoutMilliseconds: number, listener: ReplyListener): void {
    const socket = this.open();
    if (socket === undefined || socket.writableLength > MAXIMUM_QUEUED_BYTES) {
      this.runtime.setTimer(0, () => listener(undefined));
      return;
    }
    const cancelTimer = this.runtime.setTimer(timeoutMilliseconds, () => this.expire(request.call));
    const pending = { listener, cancelTimer };
    this.pending.set(request.call, pending);
    this.kinds.whetherRead(request, (isRead) => {
      if (this.pending.get(request.call) !== pending) {
        return;
      }
      if (isRead) {
        this.ask(request);
      } else {
        this.sendOlderForm(request, pending);
      }
    });
  }

  /** Sends what an older build reads, or says in its place that it doesn't know the request. */
  private sendOlderForm(request: ReplicaRequest, pending: PendingCall): void {
    const older = olderFormOf(request);
    if (older === undefined) {
      // Later, as any reply: nobody is called back within the call.
      this.runtime.setTimer(0, () => this.answer({ type: 'notKnown', call: request.call }));
      return;
    }
    const listener: ReplyListener = (reply) =>
      pending.listener(reply === undefined ? undefined : replyToOlderForm(reply));
    this.pending.set(request.call, { ...pending, listener });
    this.ask(older);
  }

  /** From now on a reply is owed. */
  private ask(request: ReplicaRequest): void {
    this.owedSince ??= this.runtime.now();
    this.flush(encodeFrame(encodeReplicaMessage(request)));
  }

  private unknownKinds(): LinkKinds {
    return new LinkKinds((done) => {
      const question = { ...PRESENCE_PROBE, call: this.newCall() } as ReplicaRequest;
      this.call(question, KINDS_MILLISECONDS, (reply) => {
        const told = toldKinds(reply);
        if (told !== undefined || reply === undefined) {
          done(told);
        } else {
          tryKinds(this.member, this.runtime, done);
        }
      });
    });
  }

  tell(message: OneWayMessage): void {
    if (this.open() === undefined || this.lazyBytes > MAXIMUM_QUEUED_BYTES) {
      return;
    }
    const frame = encodeFrame(encodeReplicaMessage(message));
    this.lazyFrames.push(frame);
    this.lazyBytes += frame.length;
    if (this.lazyFrames.length === 1) {
      this.runtime.setTimer(LAZY_MILLISECONDS, () => this.flush());
    }
  }

  close(): void {
    this.socket?.destroy();
  }

  /** Sends what waited, and a frame behind it, in one write. */
  private flush(frame?: Buffer): void {
    const frames = frame === undefined ? this.lazyFrames : [...this.lazyFrames, frame];
    this.lazyFrames = [];
    this.lazyBytes = 0;
    if (frames.length > 0) {
      this.socket?.write(frames.length === 1 ? frames[0]! : Buffer.concat(frames));
    }
  }

  private open(): Socket | undefined {
    if (this.socket !== undefined || this.runtime.now() < this.retryAt) {
      return this.socket;
    }
    const socket = connect({ host: this.member.host, port: this.member.port, noDelay: true });
    this.socket = socket;
    this.kinds = this.unknownKinds();
    this.unknownLogged = false;
    const reader = new FrameReader();
    socket.setTimeout(CONNECT_MILLISECONDS, () => socket.connecting && socket.destroy());
    socket.on('connect', () => socket.setTimeout(0));
    socket.on('error', () => undefined);
    socket.on('close', () => this.drop(socket));
    socket.on('data', (chunk: Buffer) => this.read(socket, reader, chunk));
    return socket;
  }

  private read(socket: Socket, reader: FrameReader, chunk: Buffer): void {
    try {
      for (const content of reader.push(chunk)) {
        this.take(decodeReplicaMessage(content));
      }
      this.owedSince = this.pending.size > 0 ? this.runtime.now() : undefined;
    } catch (cause) {
      const reason = cause instanceof Error ? cause.message : String(cause);
      const fields = { event: 'replica.unreadable', member: this.member.id, reason };
      this.runtime.log('error', 'unreadable message of a replica', fields);
      socket.destroy();
    }
  }

  private take(message: ReplicaMessage | UnknownMessage): void {
    if (message.type === 'unknown') {
      this.noteUnknown(message);
      this.answerWith(message.call, undefined);
      return;
    }
    if (message.type === 'members') {
      this.onMembers(message.record);
      return;
    }
    if (message.type === 'settle') {
      return;
    }
    this.answer(message as ReplicaReply);
  }

  private answer(reply: ReplicaReply): void {
    this.answerWith(reply.call, reply);
  }

  private answerWith(call: number, reply: ReplicaReply | undefined): void {
    const pending = this.pending.get(call);
    if (pending !== undefined) {
      this.pending.delete(call);
      pending.cancelTimer();
      pending.listener(reply);
    }
  }

  private noteUnknown({ kind }: UnknownMessage): void {
    if (!this.unknownLogged) {
      this.unknownLogged = true;
      const fields = { event: 'replica.unknown', member: this.member.id, kind };
      this.runtime.log('warn', 'a reply of a kind that this build does not know', fields);
    }
  }

  private expire(call: number): void {
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
    const { owedSince } = this;
    return owedSince !== undefined && this.runtime.now() - owedSince >= LINK_SILENCE_MILLISECONDS;
  }

  private drop(socket: Socket): void {
    if (this.socket !== socket) {
      return;
    }
    this.socket = undefined;
    this.owedSince = undefined;
    this.retryAt = this.runtime.now() + RECONNECT_MILLISECONDS;
    const lost = [...this.pending.values()];
    this.pending.clear();
    for (const pending of lost) {
      pending.cancelTimer();
      pending.listener(undefined);
    }
  }
}

/** See the head of this file. */
export class TcpReplicaCaller implements ReplicaCaller {
  private readonly links = new Map<string, ReplicaLink>();
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
    this.linkTo(member).call(numbered, timeoutMilliseconds, listener);
  }

  tell(member: Member, message: OneWayMessage): void {
    this.linkTo(member).tell(message);
  }

  /** Closes the connections to replicas that are no longer members. */
  keepOnly(members: readonly Member[]): void {
    const kept = new Set(members.map((member) => member.id));
    for (const [id, link] of this.links) {
      if (!kept.has(id)) {
        link.close();
        this.links.delete(id);
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

  private linkTo(member: Member): ReplicaLink {
    let link = this.links.get(member.id);
    if (link === undefined) {
      link = new ReplicaLink(member, this.runtime, this.onMembers, () => this.newCall());
      this.links.set(member.id, link);
    }
    return link;
  }
}
