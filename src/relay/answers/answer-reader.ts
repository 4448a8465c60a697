/** What taking a runner's answer apart knows of the answer, and what it asks of the call that it belongs to. */
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { ClientAnswer } from './client-answer.js';

/** How a try failed: `NeverSent` proves that the runner has not run it, the others prove nothing. */
export type AttemptFailure =
  /** No connection came up, so nothing was sent. */
  | { readonly tag: 'NeverSent'; readonly detail: string }
  /** The request was sent, and the connection ended before the whole answer. */
  | { readonly tag: 'Lost'; readonly detail: string }
  /** What came is not the answer of this request. */
  | { readonly tag: 'BadAnswer'; readonly detail: string };

/** The first part of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly reason: string;
  readonly rawHeaders: readonly string[];
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** The runner says that it has not run the request. */
  readonly notExecuted: boolean;
  /** The runner is going to close its connections: it may be leaving. */
  readonly closing: boolean;
}

/** First status that is no success. */
export const FIRST_REDIRECT = 300;

/** What takes the answer of one try apart: whole bodies or streams. */
export interface AnswerReader {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The runner ended its answer in order. */
  onEnd(): void;
  /** Gives back what is held: the call is over, or another try takes its place. */
  release(): void;
}

/** The call that an answer belongs to. */
export interface AnsweredCall {
  readonly context: RelayContext;
  readonly request: RelayRequest;
  readonly answer: ClientAnswer;
  /** Milliseconds until the request's time is over. */
  readonly remainingMilliseconds: number;
  /** Notes the first byte of the answer that is passed on. */
  noteFirstByte(): void;
  /** A whole answer was passed on. */
  finishAnswered(status: number): void;
  /** The try under way failed although its connection stands. */
  failAttempt(failure: AttemptFailure): void;
  /** Breaks off an answer that has begun and can't be finished. */
  abort(reason: string): void;
}
