/** One attempt of a request on one runner, over HTTP/1.1. */
import { request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { isLeft } from 'fp-ts/lib/Either.js';
import { watchEnd } from '../../http-client/answer-end.js';
import type { AnswerEnd } from '../../http-client/answer-end.js';
import { discardRest, limitAnswer } from '../../http-client/answer-limits.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { AnswerDelivery, ConnectionEnding } from '../answers/answer-delivery.js';
import type { AnswerHead, AttemptFailure } from '../answers/answer-reader.js';
import type { HeaderNames } from '../request/header-names.js';
import type { Runner } from '../runners/runner.js';
import type { RunnerAgent } from './runner-agent.js';
import { parseAnswerHead } from './answer-head.js';
import { noteKeepAlive } from './runner-agent.js';
import { isRefusal } from './runner-connections.js';

/** Receives the events of an attempt. After `onEnd` or `onFailure`, only `onSendEnd` may still be called. */
export interface AttemptListener {
  /**
   * Returns the name of a rule that excludes the runner by now; the attempt then fails as `Excluded`. Called as soon as
   * there is a connection, and again immediately before the request is written.
   */
  reasonAgainstSending(): string | undefined;
  /** The connection is established, and the request is written immediately after this call. */
  onConnected(): void;
  /** Called before `onConnected` if a new connection is opened for the request. */
  onOpening?(): void;
  /** The whole request was written, or the attempt is over; may be called twice. */
  onSendEnd(): void;
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
  /** Wraps each event handler of the attempt, to contain its exceptions. @default they are thrown */
  guard?<Values extends unknown[]>(
    handler: (...values: Values) => void,
  ): (...values: Values) => void;
}

/** The HTTP request of an attempt. */
export interface AttemptRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An attempt in progress. */
export interface Attempt {
  /** Closes the connection and reports no further answer events. */
  cancel(): void;
  /** Reports no further answer events, but reads a short rest of the answer so that the connection can be reused. */
  ignoreRest(runtime: Pick<Runtime, 'setTimer'>): void;
  /**
   * Whether any byte may have reached the runner. The runner may then have run the request, since it may answer
   * before it has read all of a long body.
   */
  wasSent(): boolean;
  /** Returns how the answer was delivered so far; undefined before its head has arrived. */
  delivery(): AnswerDelivery | undefined;
  /** Stops reading the answer; received data stays in the connection's bounded buffer. */
  pause(): void;
  /** Resumes reading the answer. */
  resume(): void;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Returns whether an answer carries the id of its request; answers other than success may carry none. */
function belongsTo(head: AnswerHead, names: HeaderNames, requestId: string): boolean {
  const id = head.headers[names.requestId];
  return id === undefined ? head.status >= 300 : id === requestId;
}

class HttpAttempt implements Attempt {
  private readonly client: ClientRequest;
  private response: IncomingMessage | undefined;
  private sent = false;
  private finished = false;
  private answerEnd: AnswerEnd | undefined;
  private ending: ConnectionEnding = 'open';

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
    limitAnswer(
      this.client,
      this.guard((reason: string) => this.reportFailure({ tag: 'BadAnswer', detail: reason })),
    );
    this.checkWhileWaiting(agent);
    this.watchConnection(connectMilliseconds);
    const noteSendEnd = this.guard(() => listener.onSendEnd());
    this.client.on('finish', noteSendEnd);
    this.client.on('close', noteSendEnd);
    this.client.on(
      'response',
      this.guard((response: IncomingMessage) => this.handleResponse(response)),
    );
    this.client.on(
      'error',
      this.guard((error: Error) => this.fail(error.message, isRefusal(error))),
    );
    this.client.on(
      'close',
      this.guard(() => this.handleClose()),
    );
  }

  cancel(): void {
    this.finished = true;
    this.client.destroy();
  }

  ignoreRest(runtime: Pick<Runtime, 'setTimer'>): void {
    this.finished = true;
    if (this.response !== undefined) {
      discardRest(runtime, this.client, this.response);
    }
  }

  wasSent(): boolean {
    return this.sent;
  }

  delivery(): AnswerDelivery | undefined {
    const { answerEnd, ending } = this;
    return answerEnd && { framing: answerEnd.framing, ending };
  }

  pause(): void {
    this.response?.pause();
  }

  resume(): void {
    this.response?.resume();
  }

  private guard<Values extends unknown[]>(
    handler: (...values: Values) => void,
  ): (...values: Values) => void {
    return this.listener.guard?.(handler) ?? handler;
  }

  /**
   * Ends an attempt that becomes excluded while it waits for a connection, at the latest before one is attached to it: the
   * agent then hands the connection to the next waiting request. Closing it instead would open a new connection for each of
   * the waiting requests.
   */
  private checkWhileWaiting(agent: RunnerAgent): void {
    const { client } = this;
    const attach = client.onSocket.bind(client);
    const checkRules = this.guard(() => {
      const isPending = !this.finished && !this.sent;
      const rule = isPending ? this.listener.reasonAgainstSending() : undefined;
      if (rule !== undefined) {
        stopWaiting();
        this.endExcluded(rule);
      }
    });
    const stopWaiting = agent.addWaiting(checkRules);
    client.once('socket', stopWaiting);
    client.once('close', stopWaiting);
    client.onSocket = (...connection) => {
      checkRules();
      attach(...connection);
    };
  }

  private watchConnection(connectMilliseconds: number): void {
    const noteConnected = this.guard(() => this.noteConnected());
    const noteOpening = this.guard(() => this.listener.onOpening?.());
    this.client.on('socket', (socket) => {
      if (!socket.connecting) {
        noteConnected();
        return;
      }
      noteOpening();
      socket.setTimeout(connectMilliseconds, () => {
        if (socket.connecting) {
          socket.destroy(new Error('connection timed out'));
        }
      });
      socket.once('connect', () => {
        noteConnected();
        socket.setTimeout(0);
      });
    });
  }

  /** Writes the request: only now, since it may have waited for a connection while the runner became excluded. */
  private noteConnected(): void {
    if (this.finished || this.client.destroyed) {
      return;
    }
    const rule = this.listener.reasonAgainstSending();
    if (rule !== undefined) {
      this.endExcluded(rule);
      return;
    }
    this.sent = true;
    this.listener.onConnected();
    this.client.end(this.request.body);
  }

  private endExcluded(rule: string): void {
    this.finished = true;
    this.client.destroy();
    this.listener.onFailure({ tag: 'Excluded', detail: rule });
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.finished) {
      return;
    }
    const parsed = parseAnswerHead(response, this.names);
    if (isLeft(parsed)) {
      this.rejectAnswer(parsed.left);
      return;
    }
    const head = parsed.right;
    if (!belongsTo(head, this.names, this.request.requestId)) {
      const id = String(head.headers[this.names.requestId]);
      this.rejectAnswer(`answer of request ${id} from ${this.runner.id}`);
      return;
    }
    this.response = response;
    noteKeepAlive(response.socket, firstValue(response.headers['keep-alive']));
    const answerEnd = watchEnd(response, this.request.method);
    this.answerEnd = answerEnd;
    response.on(
      'data',
      this.guard((chunk: Buffer) => {
        if (!this.finished) {
          this.listener.onData(chunk);
        }
      }),
    );
    response.on(
      'end',
      this.guard(() => this.handleEnd(answerEnd)),
    );
    response.on(
      'aborted',
      this.guard(() => this.fail('answer incomplete')),
    );
    response.on(
      'error',
      this.guard((error: Error) => this.fail(error.message)),
    );
    this.listener.onHead(head);
  }

  private rejectAnswer(detail: string): void {
    this.reportFailure({ tag: 'BadAnswer', detail });
    this.client.destroy();
  }

  /** Ignores the close after a complete answer that is still being read: `onEnd` follows once it has been read. */
  private handleClose(): void {
    if (this.response?.complete !== true) {
      this.fail('connection closed');
    }
  }

  private handleEnd({ framing, isWhole }: AnswerEnd): void {
    if (this.finished) {
      return;
    }
    if (!isWhole()) {
      this.fail('answer incomplete');
      return;
    }
    this.ending = framing === 'close' ? 'end' : 'open';
    this.finished = true;
    this.listener.onEnd();
  }

  private fail(detail: string, isRefused = false): void {
    if (this.ending === 'open') {
      this.ending = 'closed';
    }
    this.reportFailure(
      this.sent ? { tag: 'Lost', detail } : { tag: 'NeverSent', detail, isRefused },
    );
  }

  private reportFailure(failure: AttemptFailure): void {
    if (!this.finished) {
      this.finished = true;
      this.listener.onFailure(failure);
    }
  }
}

/** Starts an attempt: sends a request to a runner and reports the answer to `listener`. */
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
