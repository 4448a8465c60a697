/** Interfaces between the readers of a runner's answer and the call that the answer belongs to. */
import type { OutputPart } from '../../turns/stream-outputs.js';
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { ClientAnswer } from './client-answer.js';

/** How an attempt failed. `NeverSent` and `Excluded` prove that the runner has not run the request, other tags do not. */
export type AttemptFailure =
  /** No connection could be established, so nothing was sent; `isRefused` if nothing listens at the runner's address. */
  | { readonly tag: 'NeverSent'; readonly detail: string; readonly isRefused: boolean }
  /** A connection was established, but the named rule excluded the runner by then, so nothing was sent. */
  | { readonly tag: 'Excluded'; readonly detail: string }
  /** The request was sent, but the connection ended before the answer was complete. */
  | { readonly tag: 'Lost'; readonly detail: string }
  /** The runner sent something that cannot be the answer to this request. */
  | { readonly tag: 'BadAnswer'; readonly detail: string };

/** Status and headers of a runner's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly reason: string;
  /** Alternating header names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Whether the runner states that it has not run the request. */
  readonly notExecuted: boolean;
  /** Whether the runner will close the connection, for example because it is shutting down. */
  readonly closing: boolean;
}

/** First status code that is not a success. */
export const FIRST_REDIRECT = 300;

/** Reads the answer of an attempt and forwards it to the client. */
export interface AnswerReader {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The runner completed its answer. */
  onEnd(): void;
  /** Releases all buffers, at the end of the call or when another reader takes over. */
  release(): void;
}

/** The call that an answer belongs to, as its reader sees it. */
export interface AnsweredCall {
  readonly context: RelayContext;
  readonly request: RelayRequest;
  readonly answer: ClientAnswer;
  /** Body that is sent to runners: the body of the request, behind the chain of turns that it continues. */
  readonly prompt: Buffer;
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** Records when the first byte of the answer is forwarded. */
  noteFirstByte(): void;
  /** Records when the first event of a stream arrives. */
  noteFirstEvent(): void;
  /**
   * Records events of a turn that its client may resume, before they are forwarded.
   */
  recordOutput(part: Omit<OutputPart, 'stream'>): void;
  /** Finishes the call after a complete answer was forwarded. */
  finishAnswered(status: number): void;
  /** Fails the attempt in progress although its connection is intact. */
  failAttempt(failure: AttemptFailure): void;
  /** Aborts an answer that has started and can't be completed. */
  abort(reason: string): void;
}
