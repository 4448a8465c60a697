/**
 * Hands the bytes of a connection to Node's parser, no further than to the end of the request that is in progress. What is behind it
 * stays as it came: a parsed request takes kilobytes of the heap, and its bytes may be a few.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import type { SmallChunkQueue } from './small-chunk-queue.js';

/** Bytes behind the request in progress up to which the connection is read, so that its end is noticed. */
const MAXIMUM_BYTES_AHEAD = 256 * 1024;
/** Bytes of a body in chunks that are parsed at a time. */
const SLICE_BYTES = 4 * 1024;
/** Chunks in as many bytes from which on they count as small. */
const SMALL_CHUNKS = 64;
/** Ends the head of a request, and a body in chunks. */
const BLANK_LINE = Buffer.from('\r\n\r\n');
const BLANK_LINE_OVERLAP = BLANK_LINE.length - 1;
const NO_BYTES = Buffer.alloc(0);
const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
/** Bytes that are read and discarded of a connection that is closing. */
const MAXIMUM_DISCARDED_BYTES = 5 * 1024 * 1024;

/** Bytes that have arrived and were not parsed. */
interface ReceivedBytes {
  readonly bytes: Buffer;
  /** Local time of their arrival, in milliseconds. */
  readonly receivedAt: number;
}

/** Options of a {@link ConnectionInput}. */
export interface ConnectionInputOptions {
  readonly runtime: Runtime;
  /** Shared by all connections of a server. */
  readonly smallChunks: SmallChunkQueue;
  /** Whether a request may be parsed, or the rest of the one in progress. */
  readonly mayParse: () => boolean;
  /** Whether there is memory to read further than is parsed. */
  readonly mayReadAhead: () => boolean;
  /** Returns the bytes that the head of a request may take. */
  readonly maximumHeadBytes: () => number;
  /** Called with the number of bytes of each read. */
  readonly onReceived: (bytes: number) => void;
  /** Called when the bytes that are held have changed. */
  readonly onHeld: () => void;
  /** Called when the head of a request takes more bytes than it may. */
  readonly onHeadTooLong: () => void;
}

/** Whether a body comes in chunks. */
function isChunked({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined;
}

/** Returns the number of bytes at the start that are line breaks; a parser skips those ahead of a request. */
function lineBreaksIn(bytes: Buffer): number {
  const end = bytes.findIndex((byte) => byte !== CARRIAGE_RETURN && byte !== LINE_FEED);
  return end < 0 ? bytes.length : end;
}

/** The bytes that a client has sent, ahead of the parser. */
export class ConnectionInput {
  private readonly received: ReceivedBytes[] = [];
  private readonly readers: ((bytes: Buffer) => void)[];
  private readonly resumeSocket: () => Socket;
  /** Last bytes parsed, in which a blank line may have begun. */
  private tail: Buffer = NO_BYTES;
  /** Bytes of the body in progress that are still to come; undefined for a body in chunks. */
  private bodyBytes: number | undefined = 0;
  private chunkCount = 0;
  private isParsing = false;
  private isHeldBack = false;
  private isQueued = false;
  private isClosed = false;
  private request: IncomingMessage | undefined;
  private aheadBytes = 0;
  private headBytes = 0;
  private discardedBytes = 0;
  private lastReceivedAt = 0;
  /** Bytes ahead of the parser, and of a head that is not complete. */
  heldBytes = 0;
  /** Local time at which the bytes that are being parsed had arrived, in milliseconds. */
  receivedAt = 0;

  /** Takes the place of the listeners that a connection's data has so far, and passes it on to them. */
  constructor(
    private readonly socket: Socket,
    private readonly options: ConnectionInputOptions,
  ) {
    this.readers = socket.listeners('data') as ((bytes: Buffer) => void)[];
    socket.removeAllListeners('data');
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    this.resumeSocket = socket.resume.bind(socket);
    // Node resumes the connection whenever a request is read.
    socket.resume = () => {
      if (!this.isHeldBack) {
        this.resumeSocket();
      }
      this.parse();
      return socket;
    };
  }

  /** Whether anything has arrived behind the request in progress. */
  get hasMore(): boolean {
    return this.aheadBytes > 0;
  }

  /** Whether the head of a request has begun to arrive. */
  get hasPartialHead(): boolean {
    return this.headBytes > 0 || this.aheadBytes > 0;
  }

  /** Time since anything arrived, in milliseconds. */
  get idleMilliseconds(): number {
    return this.options.runtime.now() - this.lastReceivedAt;
  }

  /** Whether the head of a request has arrived, and its body has not. */
  get isInsideRequest(): boolean {
    return this.request !== undefined;
  }

  /** Notes the request whose head was parsed just now. */
  startRequest(request: IncomingMessage): void {
    this.request = request;
    this.headBytes = 0;
    if (isChunked(request)) {
      this.bodyBytes = undefined;
      request.once('resume', () => request.on('data', () => (this.chunkCount += 1)));
    } else {
      this.bodyBytes = Number(request.headers['content-length'] ?? 0);
    }
  }

  /** Parses what has arrived, as far as it may be parsed. */
  parse(): void {
    if (this.isParsing || this.isQueued) {
      return;
    }
    this.isParsing = true;
    while (this.received.length > 0 && !this.isClosed && this.options.mayParse()) {
      if (this.socket.isPaused() && !this.isHeldBack) {
        // The body in progress is not read.
        break;
      }
      this.parseSlice();
      if (this.chunkCount >= SMALL_CHUNKS && this.received.length > 0) {
        this.isQueued = true;
        this.options.smallChunks.add(() => this.continueParsing());
        break;
      }
    }
    this.isParsing = false;
    this.updateReading();
  }

  /** Reads on and discards what comes, so that the end of the connection is noticed. */
  close(): void {
    this.isClosed = true;
    this.received.length = 0;
    this.aheadBytes = 0;
    this.headBytes = 0;
    this.noteHeld();
    this.isHeldBack = false;
    this.resumeSocket();
  }

  private continueParsing(): void {
    this.isQueued = false;
    this.parse();
  }

  private receive(bytes: Buffer): void {
    this.options.onReceived(bytes.length);
    if (this.isClosed) {
      this.discardedBytes += bytes.length;
      if (this.discardedBytes > MAXIMUM_DISCARDED_BYTES) {
        this.socket.destroy();
      }
      return;
    }
    this.lastReceivedAt = this.options.runtime.now();
    this.received.push({ bytes, receivedAt: this.lastReceivedAt });
    this.aheadBytes += bytes.length;
    this.parse();
  }

  private parseSlice(): void {
    const { bytes, receivedAt } = this.received[0]!;
    const size = this.sliceBytes(bytes);
    const slice = bytes.subarray(0, size);
    if (size === bytes.length) {
      this.received.shift();
    } else {
      this.received[0] = { bytes: bytes.subarray(size), receivedAt };
    }
    this.aheadBytes -= size;
    this.receivedAt = receivedAt;
    this.chunkCount = 0;
    // A copy, since a part of a buffer keeps all of it.
    this.tail = Buffer.from(slice.subarray(-BLANK_LINE_OVERLAP));
    if (this.bodyBytes !== undefined && this.bodyBytes > 0) {
      this.bodyBytes -= size;
      this.tail = NO_BYTES;
    } else if (this.bodyBytes === 0 && (this.headBytes > 0 || lineBreaksIn(slice) < size)) {
      this.headBytes += size;
    }
    this.readers.forEach((read) => read.call(this.socket, slice));
    if (this.request?.complete === true) {
      this.request = undefined;
      this.bodyBytes = 0;
    }
    if (this.headBytes > this.options.maximumHeadBytes()) {
      this.options.onHeadTooLong();
    }
  }

  /** Whether the next byte that is no line break begins a request. */
  private get isAtHead(): boolean {
    return this.bodyBytes === 0 && this.headBytes === 0;
  }

  /** Returns how many of the next bytes belong to the head or body in progress for sure. */
  private sliceBytes(bytes: Buffer): number {
    if (this.bodyBytes !== undefined && this.bodyBytes > 0) {
      return Math.min(this.bodyBytes, bytes.length);
    }
    const lineBreaks = this.isAtHead ? lineBreaksIn(bytes) : 0;
    if (lineBreaks > 0) {
      return lineBreaks;
    }
    const overlap = Buffer.concat([this.tail, bytes.subarray(0, BLANK_LINE_OVERLAP)]);
    const inOverlap = overlap.indexOf(BLANK_LINE);
    if (inOverlap >= 0) {
      return inOverlap + BLANK_LINE.length - this.tail.length;
    }
    const index = bytes.indexOf(BLANK_LINE);
    const end = index < 0 ? bytes.length : index + BLANK_LINE.length;
    return this.bodyBytes === undefined ? Math.min(end, SLICE_BYTES) : end;
  }

  /** Stops reading from the connection while too much is ahead of the parser. */
  private updateReading(): void {
    if (this.isClosed) {
      return;
    }
    const maximum = this.options.mayReadAhead() ? MAXIMUM_BYTES_AHEAD : 1;
    const isTooMuch = this.aheadBytes >= maximum || this.isQueued;
    if (isTooMuch && !this.isHeldBack) {
      this.isHeldBack = true;
      this.socket.pause();
    } else if (!isTooMuch && this.isHeldBack) {
      this.isHeldBack = false;
      this.resumeSocket();
    }
    this.noteHeld();
  }

  private noteHeld(): void {
    // A part of a buffer keeps all of it.
    const first = this.received[0]?.bytes;
    const keptBytes = first === undefined ? 0 : first.buffer.byteLength - first.length;
    const bytes = this.aheadBytes + this.headBytes + keptBytes;
    if (bytes !== this.heldBytes) {
      this.heldBytes = bytes;
      this.options.onHeld();
    }
  }
}
