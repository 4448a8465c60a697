/**
 * One connection of a server. Its requests are served one after another, in the order in which they arrive: RFC 9112, 9.3.2, lets a
 * server answer requests that were sent ahead in parallel only if none of them changes anything. An answer that closes the connection
 * is the answer to the last request that was started, so what is behind it has not run.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import { RequestCompletion } from './request-completion.js';
import type { ConnectionCloser } from './request-completion.js';

/** Requests that may wait for earlier ones of their connection before it is read no further. */
const MAXIMUM_WAITING_REQUESTS = 64;
/**
 * Time for which a closed connection is still read, in milliseconds. Closing it with unread bytes would reset it, and the client
 * might lose an answer that it has not read yet (RFC 9112, 9.6).
 */
const LINGER_MILLISECONDS = 500;
/** Bytes that are read and discarded in that time. */
const LINGER_BYTES = 1024 * 1024;

/** Error of Node's parser for a head that did not arrive in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Error of Node's parser for a connection whose client ended it inside a request. */
const UNEXPECTED_END = 'HPE_INVALID_EOF_STATE';
/** Answers to bytes that are no request, by the code of the parser's error. */
const INPUT_ERROR_STATUSES: Readonly<Record<string, string>> = {
  [HEAD_TIMEOUT]: '408 Request Timeout',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};
const BAD_REQUEST = '400 Bad Request';

/** One request and its answer. */
export interface ServerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly completion: RequestCompletion;
  /** Local time at which its head had arrived, in milliseconds. */
  readonly arrivedAt: number;
  /** Whether its client waits to be told to send the body. */
  readonly expectsContinue: boolean;
}

/** Options of the connections of a server. */
export interface ServerConnectionOptions {
  readonly runtime: Runtime;
  /** Whether answers close their connections, so that clients reconnect, possibly to another server. */
  readonly isClosing: () => boolean;
  /** Serves a request once all earlier ones of its connection are complete. */
  readonly serve: (exchange: ServerExchange) => void;
  /** Runs a listener of a request's completion. @default calls it */
  readonly runListener?: (request: IncomingMessage, listener: () => void) => void;
  /** Called for a request that arrived behind an answer which closes its connection; it is not served. */
  readonly onUnserved?: (request: IncomingMessage) => void;
  /** Called after a request has completed or a connection has closed. */
  readonly onProgress?: () => void;
}

/** Whether an error of a connection comes from the system, as when the client has reset it, and not from the parser. */
function isSystemError(error: Error): boolean {
  return 'syscall' in error;
}

function codeOf(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? '';
}

/** A connection, with the request that is being served and those behind it. */
export class ServerConnection {
  private current: ServerExchange | undefined;
  private readonly waiting: ServerExchange[] = [];
  /** Who began to close the connection; undefined while it is open. */
  private closer: ConnectionCloser | undefined;
  /** Whether a head has said that the connection closes behind its answer. */
  private hasClosingAnswer = false;
  /** Status for bytes that were no request; nothing behind them is read. */
  private inputError: string | undefined;
  /** Whether the last bytes belong to a head that is not complete. */
  private hasPartialHead = false;
  /** Whether the last bytes had a request in them. */
  private hasNewRequest = false;
  private isReadingPaused = false;
  private isDiscarding = false;
  private isEnding = false;

  constructor(
    private readonly socket: Socket,
    private readonly options: ServerConnectionOptions,
  ) {
    // Node calls this behind the last answer; its own destroys the connection at once.
    socket.destroySoon = () => this.end();
    socket.on('data', () => this.notePartialHead());
    socket.on('end', () => (this.closer ??= 'client'));
    socket.on('error', (error) => (this.closer ??= isSystemError(error) ? 'client' : 'gateway'));
    socket.on('close', () => this.handleClose());
  }

  /** Number of requests that are being served or wait. */
  get openCount(): number {
    return this.waiting.length + (this.current === undefined ? 0 : 1);
  }

  /** Whether nothing is to be done for the connection but to read its next request. */
  get isIdle(): boolean {
    return this.openCount === 0 && !this.hasPartialHead && !this.isEnding;
  }

  /** Whether the connection is closing, and the end of the last answer may not have reached its client. */
  get isLingering(): boolean {
    return this.isEnding;
  }

  /** Takes a request whose head has arrived. */
  add(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
    this.hasNewRequest = true;
    this.hasPartialHead = false;
    const { runtime, isClosing, runListener, onUnserved } = this.options;
    if (this.hasClosingAnswer || this.inputError !== undefined) {
      request.resume();
      onUnserved?.(request);
      return;
    }
    const run = (listener: () => void): void =>
      runListener === undefined ? listener() : runListener(request, listener);
    const completion = new RequestCompletion(run);
    const arrivedAt = runtime.now();
    const exchange = { request, response, completion, arrivedAt, expectsContinue };
    completion.onComplete(() => this.handleComplete(exchange));
    response.on('close', () => completion.complete());
    this.closeAtHead(exchange);
    this.waiting.push(exchange);
    if (this.waiting.length >= MAXIMUM_WAITING_REQUESTS) {
      this.isReadingPaused = true;
      this.socket.pause();
    }
    if (isClosing()) {
      // After the parser has taken all that has arrived: an answer closes only if nothing is behind it.
      queueMicrotask(() => this.startNext());
    } else {
      this.startNext();
    }
  }

  /**
   * Lets the answer to a request close the connection, since what is behind the request can't be read; returns whether the request
   * waits for earlier ones.
   */
  closeAfter(request: IncomingMessage): boolean {
    this.inputError ??= BAD_REQUEST;
    const index = this.waiting.findIndex((exchange) => exchange.request === request);
    this.dropBehind(index + 1);
    return index >= 0;
  }

  /** Handles bytes that are no request, or a head that did not arrive in time. */
  handleInputError(error: Error): void {
    if (isSystemError(error) || !this.socket.writable) {
      this.socket.destroy();
      return;
    }
    const code = codeOf(error);
    // The rest of a head can't arrive while the connection is not read.
    const isExpected = code === HEAD_TIMEOUT && this.isReadingPaused;
    if (isExpected || this.inputError !== undefined || this.isEnding) {
      return;
    }
    if (code === UNEXPECTED_END) {
      this.closer ??= 'client';
    }
    this.inputError = INPUT_ERROR_STATUSES[code] ?? BAD_REQUEST;
    this.discardInput();
    this.dropIncomplete();
    this.endAfterInputError();
  }

  /** Ends the connection in order: its client can read the last answer, whatever it still sends. */
  end(): void {
    if (this.isEnding) {
      return;
    }
    this.isEnding = true;
    const { socket } = this;
    this.discardInput();
    socket.end();
    const cancel = this.options.runtime.setTimer(LINGER_MILLISECONDS, () => socket.destroy());
    socket.on('close', cancel);
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.closer ??= 'gateway';
    this.socket.destroy();
  }

  private startNext(): void {
    if (this.current !== undefined || this.socket.destroyed || this.hasClosingAnswer) {
      return;
    }
    this.current = this.waiting.shift();
    if (this.isReadingPaused && this.waiting.length < MAXIMUM_WAITING_REQUESTS) {
      this.isReadingPaused = false;
      this.socket.resume();
    }
    if (this.current !== undefined) {
      this.options.serve(this.current);
    } else {
      this.endAfterInputError();
    }
  }

  private handleComplete(exchange: ServerExchange): void {
    const index = this.waiting.indexOf(exchange);
    if (this.current === exchange) {
      this.current = undefined;
      // After what else is called for the completed request.
      queueMicrotask(() => this.startNext());
    } else if (index >= 0) {
      this.waiting.splice(index, 1);
    }
    this.options.onProgress?.();
  }

  private handleClose(): void {
    const { closer = 'gateway' } = this;
    const open = this.current === undefined ? this.waiting : [this.current, ...this.waiting];
    [...open].forEach(({ completion }) => completion.complete(closer));
    this.options.onProgress?.();
  }

  /** Decides, as the head of an answer is written, whether the connection closes behind it. */
  private closeAtHead(exchange: ServerExchange): void {
    const { response } = exchange;
    const writeHead = response.writeHead as (...values: unknown[]) => ServerResponse;
    response.writeHead = (...values: unknown[]) => {
      const isLast = this.waiting.length === 0;
      if (isLast && (this.options.isClosing() || this.inputError !== undefined)) {
        this.hasClosingAnswer = true;
        this.closer ??= 'answer';
        response.shouldKeepAlive = false;
      }
      return writeHead.apply(response, values);
    };
  }

  /** Gives up the newest request if its body will not arrive. */
  private dropIncomplete(): void {
    const newest = this.waiting.at(-1) ?? this.current;
    if (newest === undefined || newest.request.complete) {
      return;
    }
    if (newest.response.headersSent) {
      this.socket.destroy();
    } else {
      newest.completion.complete(this.closer ?? 'gateway');
    }
  }

  private dropBehind(count: number): void {
    this.waiting.splice(count).forEach(({ completion }) => completion.complete('gateway'));
  }

  /** Answers bytes that were no request, once all requests ahead of them are answered. */
  private endAfterInputError(): void {
    if (this.inputError === undefined || this.openCount > 0 || this.isEnding) {
      return;
    }
    if (!this.hasClosingAnswer) {
      this.hasClosingAnswer = true;
      this.socket.write(
        `HTTP/1.1 ${this.inputError}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
      );
    }
    this.end();
  }

  /** Reads on without parsing, so that the end of the connection is noticed. */
  private discardInput(): void {
    const { socket } = this;
    if (this.isDiscarding) {
      return;
    }
    this.isDiscarding = true;
    let discardedBytes = 0;
    socket.removeAllListeners('data');
    socket.on('data', (chunk) => {
      discardedBytes += chunk.length;
      if (discardedBytes > LINGER_BYTES) {
        socket.pause();
      }
    });
    socket.on('end', () => socket.end());
    socket.resume();
  }

  private notePartialHead(): void {
    const newest = this.waiting.at(-1) ?? this.current;
    this.hasPartialHead = !this.hasNewRequest && newest?.request.complete !== false;
    this.hasNewRequest = false;
  }
}
