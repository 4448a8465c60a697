/** Classifies a runner's answer by its status and headers. */
import { FIRST_REDIRECT } from '../answers/answer-reader.js';
import type { AnswerHead } from '../answers/answer-reader.js';
import type { HeaderNames } from '../request/header-names.js';

/** What an answer's head says about its request. */
export type AnswerClass =
  /** The runner has not run the request and will not run it. */
  | 'NotExecuted'
  /** The runner's answer, success or failure, to be forwarded unchanged. */
  | 'Answer'
  /** A status that tells clients that nothing ran, without the runner having said so by its header. */
  | 'FalsePromise'
  /** A success without the runner's signature, which must not be forwarded. */
  | 'Unsigned';

/** Statuses from which clients conclude that their request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const FIRST_SUCCESS = 200;
/** First status code of server errors. */
export const FIRST_SERVER_ERROR_STATUS = 500;

export function classifyAnswer(head: AnswerHead, names: HeaderNames): AnswerClass {
  if (head.notExecuted) {
    return 'NotExecuted';
  }
  if (head.status >= FIRST_SUCCESS && head.status < FIRST_REDIRECT) {
    return head.headers[names.signature] === undefined ? 'Unsigned' : 'Answer';
  }
  return NOT_RUN_STATUSES.has(head.status) ? 'FalsePromise' : 'Answer';
}
