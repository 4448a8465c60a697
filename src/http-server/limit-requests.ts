/**
 * Limits on what a client may send beyond requests. Node's parser bounds header lines, but neither line breaks between requests, nor
 * the zeros of a chunk's size, nor extensions over all chunks, nor the rest of a request that was answered before it was complete.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { maximumFramingBytes } from '../http-client/framing-limit.js';

/** Bytes up to the end of a request's head, with what precedes it: more than the largest head that a parser accepts here. */
export const MAXIMUM_BYTES_TO_HEAD = 128 * 1024;
/** Bytes of a request that may arrive after its answer was sent, unless a server sets its own limit. */
const DEFAULT_REST_BYTES = 64 * 1024;
const EXPECTATION_FAILED = 417;
const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

/** Options for the limits of a server. */
export interface RequestLimitOptions {
  /** Returns how many bytes of a request may arrive after its answer was sent, or after it was refused. @default 64 KiB */
  readonly restBytes?: () => number;
  /**
   * Called once for a connection that exceeds a limit, with the request that is being received, if there is one.
   * Returns true if that request will be answered with a refusal that closes the connection.
   */
  readonly onExceeded?: (reason: string, request: IncomingMessage | undefined) => boolean;
}

/** Compares the bytes that a client's connection delivers with those that the parser hands on. */
class RequestByteCount {
  /** The request that is being received. */
  request: IncomingMessage | undefined;
  private response: ServerResponse | undefined;
  private isNew = false;
  private isAnswered = false;
  private isRefused = false;
  private receivedBytes = 0;
  private contentBytes = 0;

  constructor(private readonly restBytes: () => number) {}

  /** Whether a request whose head has arrived is not answered yet. */
  get isAnswerDue(): boolean {
    return this.response !== undefined && !this.response.writableFinished;
  }

  /** Starts to count for a request whose head has arrived. */
  watch(request: IncomingMessage, response: ServerResponse): void {
    this.request = request;
    this.response = response;
    this.isNew = true;
    // A listener that is added earlier would make the request flow before its reader wants it.
    request.once('resume', () => {
      request.on('data', (chunk: Buffer) => {
        if (this.request === request) {
          this.contentBytes += chunk.length;
        }
      });
    });
  }

  /** Allows for the rest of a request that will be answered with a refusal. */
  allowRest(): void {
    this.isRefused = true;
    this.receivedBytes = 0;
  }

  /** Counts bytes that the parser has handled; returns why there may be no more. */
  add(bytes: number): string | undefined {
    this.receivedBytes += bytes;
    if (this.isRefused) {
      // The refusal may have to wait for the answers to earlier requests.
      return this.checkRest();
    }
    if (this.isNew) {
      // The bytes of the head and those ahead of it arrived with these.
      this.isNew = false;
      this.restart();
    }
    if (this.request?.complete === true) {
      this.request = undefined;
      this.restart();
    }
    return this.request === undefined ? this.checkBetween() : this.checkRequest(this.request);
  }

  private restart(): void {
    this.isAnswered = false;
    this.receivedBytes = 0;
    this.contentBytes = 0;
  }

  private checkBetween(): string | undefined {
    return this.receivedBytes > MAXIMUM_BYTES_TO_HEAD
      ? `no request within ${MAXIMUM_BYTES_TO_HEAD} bytes`
      : undefined;
  }

  private checkRest(): string | undefined {
    return this.receivedBytes > this.restBytes()
      ? `${this.receivedBytes} bytes of a request that was answered`
      : undefined;
  }

  private checkRequest(request: IncomingMessage): string | undefined {
    if (this.response!.writableFinished) {
      if (!this.isAnswered) {
        this.isAnswered = true;
        this.receivedBytes = 0;
      }
      return this.checkRest();
    }
    if (request.headers['transfer-encoding'] === undefined) {
      return undefined;
    }
    const handedOnBytes = this.contentBytes + request.readableLength;
    const framingBytes = this.receivedBytes - handedOnBytes;
    return framingBytes > maximumFramingBytes(handedOnBytes)
      ? `${framingBytes} bytes around ${handedOnBytes} bytes of content`
      : undefined;
  }
}

/** Closes connections of a server whose clients send more than the limits beyond requests. */
export function limitRequests(server: Server, options: RequestLimitOptions = {}): void {
  const { restBytes = () => DEFAULT_REST_BYTES, onExceeded } = options;
  const counts = new WeakMap<Socket, RequestByteCount>();
  server.on('connection', (socket: Socket) => {
    const count = new RequestByteCount(restBytes);
    counts.set(socket, count);
    let isExceeded = false;
    // Called after the parser has handled the chunk, since Node adds its own listener first.
    const handleChunk = (chunk: Buffer): void => {
      const reason = count.add(chunk.length);
      if (reason === undefined) {
        return;
      }
      if (!isExceeded && onExceeded?.(reason, count.request) === true) {
        count.allowRest();
      } else {
        socket.off('data', handleChunk);
        socket.pause();
        closeConnection(socket, count);
      }
      isExceeded = true;
    };
    socket.on('data', handleChunk);
  });
  const watch = (request: IncomingMessage, response: ServerResponse): void =>
    counts.get(request.socket)?.watch(request, response);
  server.on('request', watch);
  server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
    watch(request, response);
    if (server.listenerCount('checkExpectation') === 1) {
      // What Node does unless a listener takes these requests, as this one does.
      response.writeHead(EXPECTATION_FAILED).end();
    }
  });
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    if (server.listenerCount('checkContinue') > 1) {
      watch(request, response);
      return;
    }
    // What Node does unless a listener takes these requests, as this one does.
    response.writeContinue();
    server.emit('request', request, response);
  });
}

function closeConnection(socket: Socket, count: RequestByteCount): void {
  if (count.isAnswerDue || count.request !== undefined) {
    socket.destroy();
  } else {
    socket.write(BAD_REQUEST);
    socket.destroySoon();
  }
}
