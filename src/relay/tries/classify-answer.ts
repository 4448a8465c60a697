/** What the head of a runner's answer says about its request. */
import { FIRST_REDIRECT } from '../answers/answer-reader.js';
import type { AnswerHead } from '../answers/answer-reader.js';
import type { HeaderNames } from '../request/header-names.js';

/** The judgement of an answer's head. */
export type AnswerClass =
  /** The runner has not run the request and never will. */
  | 'NotExecuted'
  /** The runner's own answer, success or failure, to be passed on unchanged. */
  | 'Answer'
  /** A status that would promise the client that nothing ran, where the runner promised nothing. */
  | 'FalsePromise'
  /** A success without the runner's signature: not an answer. */
  | 'Unsigned';

/** Statuses by which a client learns that its request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const FIRST_SUCCESS = 200;
/** First status by which a runner says that it failed. */
export const FIRST_SERVER_ERROR = 500;

/** Judges an answer by its head. */
export function classifyAnswer(head: AnswerHead, names: HeaderNames): AnswerClass {
  if (head.notExecuted) {
    return 'NotExecuted';
  }
  if (head.status >= FIRST_SUCCESS && head.status < FIRST_REDIRECT) {
    return head.headers[names.signature] === undefined ? 'Unsigned' : 'Answer';
  }
  return NOT_RUN_STATUSES.has(head.status) ? 'FalsePromise' : 'Answer';
}
