/** One try of a request at one runner, over HTTP/1.1. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { AnswerHead, AttemptFailure } from '../answers/answer-reader.js';
import type { HeaderNames } from '../request/header-names.js';
import type { Runner } from '../runners/runner.js';
import type { RunnerAgent } from './runner-agent.js';
import { noteKeepAlive } from './runner-agent.js';

/** Receives what comes of a try; nothing follows `onEnd` or `onFailure`. */
export interface AttemptListener {
  /** The connection stands, and the request goes over it. */
  onConnected(): void;
  /** The connection took the whole request, or the try is over; may come twice. */
  onSendEnd(): void;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** What is sent. */
export interface AttemptRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A try under way. */
export interface Attempt {
  /** Closes the connection; the listener hears nothing more. */
  cancel(): void;
  /** The listener hears nothing more; the rest of the answer is read, so the connection stays. */
  ignoreRest(): void;
  /**
   * Whether a byte may have reached the runner. A runner may answer before it has read a long body, so one that
   * got any byte may have run the request.
   */
  wasSent(): boolean;
  /** Stops reading the answer; what has come already waits in a buffer of the connection's size. */
  pause(): void;
  /** Reads on. */
  resume(): void;
}

const STATUS_MISDIRECTED_REQUEST = 421;

function readHead(response: IncomingMessage, names: HeaderNames): AnswerHead {
  const status = response.statusCode ?? 0;
  return {
    status,
    reason: response.statusMessage ?? '',
    rawHeaders: response.rawHeaders,
    headers: response.headers,
    notExecuted:
      response.headers[names.notExecuted] !== undefined || status === STATUS_MISDIRECTED_REQUEST,
    closing: response.headers.connection?.toLowerCase() === 'close',
  };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Whether an answer carries the id of the request it came for; refusals may carry none. */
function belongsTo(head: AnswerHead, names: HeaderNames, requestId: string): boolean {
  const id = head.headers[names.requestId];
  return id === undefined ? head.status >= 300 : id === requestId;
}

class HttpAttempt implements Attempt {
  private readonly client: ClientRequest;
  private response: IncomingMessage | undefined;
  private sent = false;
  private finished = false;

  constructor(
    private readonly runner: Runner,
    agent: RunnerAgent,
    private readonly request: AttemptRequest,
    private readonly names: HeaderNames,
    connectMilliseconds: number,
    private readonly listener: AttemptListener,
  ) {
    this.client = httpRequest({
      host: runner.host,
      port: runner.port,
      method: request.method,
      path: request.path,
      headers: request.headers as string[],
      agent,
    });
    this.watchConnection(connectMilliseconds);
    this.client.on('finish', () => listener.onSendEnd());
    this.client.on('close', () => listener.onSendEnd());
    this.client.on('response', (response) => this.handleResponse(response));
    this.client.on('error', (error) => this.fail(error.message));
    this.client.on('close', () => this.handleClose());
    this.client.end(request.body);
  }

  cancel(): void {
    this.finished = true;
    this.client.destroy();
  }

  ignoreRest(): void {
    this.finished = true;
    this.response?.resume();
  }

  wasSent(): boolean {
    return this.sent;
  }

  pause(): void {
    this.response?.pause();
  }

  resume(): void {
    this.response?.resume();
  }

  private watchConnection(connectMilliseconds: number): void {
    this.client.on('socket', (socket) => {
      if (!socket.connecting) {
        this.noteConnected();
        return;
      }
      socket.setTimeout(connectMilliseconds, () => {
        if (socket.connecting) {
          socket.destroy(new Error('no connection in time'));
        }
      });
      socket.once('connect', () => {
        this.noteConnected();
        socket.setTimeout(0);
      });
    });
  }

  private noteConnected(): void {
    this.sent = true;
    if (!this.client.destroyed) {
      this.listener.onConnected();
    }
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.finished) {
      return;
    }
    const head = readHead(response, this.names);
    if (!belongsTo(head, this.names, this.request.requestId)) {
      const id = String(head.headers[this.names.requestId]);
      this.reportFailure({
        tag: 'BadAnswer',
        detail: `answer of request ${id} from ${this.runner.id}`,
      });
      this.client.destroy();
      return;
    }
    this.response = response;
    noteKeepAlive(response.socket, firstValue(response.headers['keep-alive']));
    response.on('data', (chunk: Buffer) => {
      if (!this.finished) {
        this.listener.onData(chunk);
      }
    });
    response.on('end', () => this.handleEnd(response));
    response.on('aborted', () => this.fail('answer cut off'));
    response.on('error', (error) => this.fail(error.message));
    this.listener.onHead(head);
  }

  /** An answer that came whole and is not read yet ends when it is read: a runner may close behind it. */
  private handleClose(): void {
    if (this.response?.complete !== true) {
      this.fail('connection closed');
    }
  }

  private handleEnd(response: IncomingMessage): void {
    if (this.finished) {
      return;
    }
    if (!response.complete) {
      this.fail('answer cut off');
      return;
    }
    this.finished = true;
    this.listener.onEnd();
  }

  private fail(detail: string): void {
    this.reportFailure({ tag: this.sent ? 'Lost' : 'NeverSent', detail });
  }

  private reportFailure(failure: AttemptFailure): void {
    if (!this.finished) {
      this.finished = true;
      this.listener.onFailure(failure);
    }
  }
}

/** Sends a request to a runner. */
export function startAttempt(
  runner: Runner,
  agent: RunnerAgent,
  request: AttemptRequest,
  names: HeaderNames,
  connectMilliseconds: number,
  listener: AttemptListener,
): Attempt {
  return new HttpAttempt(runner, agent, request, names, connectMilliseconds, listener);
}
