/**
 * One connection of a server. Its requests are served one after another, in the order in which they arrive: RFC 9112, 9.3.2, lets a
 * server answer requests that were sent ahead in parallel only if none of them changes anything. An answer that closes the connection
 * is the answer to the last request that was started, so what is behind it has not run.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Runtime } from '../runtime/runtime.js';
import { ConnectionInput } from './connection-input.js';
import { RequestCompletion } from './request-completion.js';
import type { ConnectionCloser } from './request-completion.js';
import type { SmallChunkQueue } from './small-chunk-queue.js';

/**
 * Time for which a closed connection is still read, in milliseconds. Closing it with unread bytes would reset it, and the client
 * might lose an answer that it has not read yet (RFC 9112, 9.6).
 */
const LINGER_MILLISECONDS = 2_000;

/** Error of Node's parser for a head that did not arrive in time. */
const HEAD_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Error of Node's parser for a head that is too long. */
const HEAD_OVERFLOW = 'HPE_HEADER_OVERFLOW';
/** Error of Node's parser for a connection whose client ended it inside a request. */
const UNEXPECTED_END = 'HPE_INVALID_EOF_STATE';
/** Answers to bytes that are no request, by the code of the parser's error. */
const INPUT_ERROR_STATUSES: Readonly<Record<string, string>> = {
  [HEAD_TIMEOUT]: '408 Request Timeout',
  [HEAD_OVERFLOW]: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
};
const BAD_REQUEST = '400 Bad Request';

/** What a client asks for with `Expect`: nothing, to be told to send its body, or something that no server knows. */
export type Expectation = 'none' | 'continue' | 'unknown';

/** One request and its answer. */
export interface ServerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly completion: RequestCompletion;
  /** Local time at which its head had arrived, in milliseconds. */
  readonly arrivedAt: number;
  /** What its client expects before it sends the body. */
  readonly expectation: Expectation;
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
  /** Called when a connection closes behind an answer although more had arrived; that was not served. */
  readonly onUnserved?: () => void;
  /** Whether there is memory to read what clients send ahead. @default there always is */
  readonly mayReadAhead?: () => boolean;
  /** Returns the bytes that the head of a request may take. @default unlimited here, and limited by Node's parser */
  readonly maximumHeadBytes?: () => number;
  /** Called with the status line's end for bytes that are no request, or a head that is too long or too late. */
  readonly onInputRefused?: (status: string) => void;
  /** Called with the number of bytes of each read of a connection. */
  readonly onReceived?: (bytes: number) => void;
  /** Called when the bytes that a connection holds have changed. */
  readonly onHeld?: (connection: ServerConnection) => void;
  /** Called after a request has completed or a connection has closed. */
  readonly onProgress?: (connection: ServerConnection) => void;
}

/** Whether an error of a connection comes from the system, as when the client has reset it, and not from the parser. */
function isSystemError(error: Error): boolean {
  return 'syscall' in error;
}

function codeOf(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? '';
}

/** A connection, with the request that is being served. */
export class ServerConnection {
  private readonly input: ConnectionInput;
  private current: ServerExchange | undefined;
  /** Who began to close the connection; undefined while it is open. */
  private closer: ConnectionCloser | undefined;
  /** Whether a head has said that the connection closes behind its answer. */
  private hasClosingAnswer = false;
  /** Status for bytes that were no request; nothing behind them is read. */
  private inputError: string | undefined;
  private isEnding = false;

  constructor(
    private readonly socket: Socket,
    private readonly options: ServerConnectionOptions,
    smallChunks: SmallChunkQueue,
  ) {
    const { runtime, maximumHeadBytes = () => Infinity, onHeld } = options;
    const { mayReadAhead = () => true, onReceived = () => undefined } = options;
    this.input = new ConnectionInput(socket, {
      runtime,
      smallChunks,
      mayParse: () => this.mayParse,
      mayReadAhead,
      maximumHeadBytes,
      onReceived,
      onHeld: () => onHeld?.(this),
      onHeadTooLong: () => this.refuseInput(HEAD_OVERFLOW),
    });
    // Node calls this behind the last answer; its own destroys the connection at once.
    socket.destroySoon = () => this.end();
    socket.on('end', () => (this.closer ??= 'client'));
    socket.on('error', (error) => (this.closer ??= isSystemError(error) ? 'client' : 'gateway'));
    socket.on('close', () => this.handleClose());
  }

  /** Whether a request is being served. */
  get isServing(): boolean {
    return this.current !== undefined;
  }

  /** Bytes that have arrived and belong to no request yet. */
  get heldBytes(): number {
    return this.input.heldBytes;
  }

  /** Whether the body of the request in progress has not arrived, or is not read yet. */
  get isReceivingBody(): boolean {
    return this.current?.request.complete === false;
  }

  /** Time since anything arrived, in milliseconds. */
  get idleMilliseconds(): number {
    return this.input.idleMilliseconds;
  }

  /** Whether the connection is closed. */
  get isDestroyed(): boolean {
    return this.socket.destroyed;
  }

  /** Whether nothing is to be done for the connection but to read its next request. */
  get isIdle(): boolean {
    return !this.isServing && !this.input.hasPartialHead && !this.isEnding;
  }

  /** Whether nothing that has arrived is left to serve, and the client has all answers. */
  get isQuiet(): boolean {
    return !this.isServing && !this.input.hasMore && !this.isEnding;
  }

  /** Serves a request whose head has arrived. */
  add(request: IncomingMessage, response: ServerResponse, expectation: Expectation): void {
    const { runListener, serve } = this.options;
    this.input.startRequest(request);
    const run = (listener: () => void): void =>
      runListener === undefined ? listener() : runListener(request, listener);
    const completion = new RequestCompletion(run);
    const arrivedAt = this.input.receivedAt;
    const exchange = { request, response, completion, arrivedAt, expectation };
    completion.onComplete(() => this.handleComplete(exchange));
    response.on('close', () => completion.complete());
    this.closeAtHead(response);
    this.current = exchange;
    serve(exchange);
  }

  /** Lets the answer in progress close the connection, since what is behind its request can't be read. */
  closeAfterAnswer(): void {
    this.inputError ??= BAD_REQUEST;
  }

  /** Handles bytes that are no request, or a head that did not arrive in time. */
  handleInputError(error: Error): void {
    if (isSystemError(error) || !this.socket.writable) {
      this.socket.destroy();
      return;
    }
    this.refuseInput(codeOf(error));
  }

  /** Gives up what has arrived and is not parsed, as if its rest came too late. */
  refuse(): void {
    this.refuseInput(HEAD_TIMEOUT);
  }

  private refuseInput(code: string): void {
    if (this.isEnding) {
      return;
    }
    if (code === UNEXPECTED_END) {
      this.closer ??= 'client';
    }
    // A request that was answered before it was complete gets no second answer.
    this.hasClosingAnswer ||= this.input.isInsideRequest && !this.isServing;
    if (this.inputError === undefined) {
      this.inputError = INPUT_ERROR_STATUSES[code] ?? BAD_REQUEST;
      this.options.onInputRefused?.(this.inputError);
    }
    this.closeInput();
    this.dropIncomplete();
    this.endAfterInputError();
  }

  /** Ends the connection in order: its client can read the last answer, whatever it still sends. */
  end(): void {
    if (this.isEnding) {
      return;
    }
    this.isEnding = true;
    this.closer ??= 'answer';
    const { socket, options } = this;
    this.closeInput();
    socket.on('end', () => socket.end());
    socket.end();
    const cancel = options.runtime.setTimer(LINGER_MILLISECONDS, () => socket.destroy());
    socket.on('close', cancel);
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.closer ??= 'gateway';
    this.socket.destroy();
  }

  private handleComplete(exchange: ServerExchange): void {
    if (this.current !== exchange) {
      return;
    }
    this.current = undefined;
    // After what else is called for the completed request.
    queueMicrotask(() => this.continue());
  }

  private continue(): void {
    this.options.onProgress?.(this);
    if (this.socket.destroyed || this.isServing) {
      return;
    }
    if (this.inputError !== undefined) {
      this.endAfterInputError();
    } else if (!this.isEnding) {
      this.input.parse();
    }
  }

  private handleClose(): void {
    this.closeInput();
    this.current?.completion.complete(this.closer ?? 'gateway');
    queueMicrotask(() => this.options.onProgress?.(this));
  }

  /** A body that nobody reads yet stays as it came: parsed, each chunk takes more than its bytes. */
  private get mayParse(): boolean {
    const { request } = this.current ?? {};
    return request === undefined || (!request.complete && request.readableFlowing === true);
  }

  /** Parses nothing more of what has arrived or will. */
  private closeInput(): void {
    if (this.input.hasMore) {
      this.options.onUnserved?.();
    }
    this.input.close();
  }

  /** Decides, as the head of an answer is written, whether the connection closes behind it. */
  private closeAtHead(response: ServerResponse): void {
    const writeHead = response.writeHead as (...values: unknown[]) => ServerResponse;
    response.writeHead = (...values: unknown[]) => {
      const isLast = this.options.isClosing() && !this.input.hasMore;
      if (isLast || this.inputError !== undefined) {
        this.hasClosingAnswer = true;
        response.shouldKeepAlive = false;
      }
      return writeHead.apply(response, values);
    };
  }

  /** Gives up a request whose body will not arrive. */
  private dropIncomplete(): void {
    const { current } = this;
    if (current === undefined || current.request.complete) {
      return;
    }
    if (current.response.headersSent) {
      this.socket.destroy();
    } else {
      current.completion.complete(this.closer ?? 'gateway');
    }
  }

  /** Answers bytes that were no request, once the request ahead of them is answered. */
  private endAfterInputError(): void {
    if (this.inputError === undefined || this.isServing || this.isEnding) {
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
}
