/** What marks the end of an HTTP answer, and whether the answer is whole. */
import type { IncomingMessage } from 'node:http';
import { ResetAwareSocket } from './reset-aware-socket.js';

/** What marks the end of an answer's body. */
export type AnswerFraming =
  /** The answer has no body, by its status or its request's method. */
  | 'none'
  /** A `content-length` header. */
  | 'length'
  /** The last chunk of a chunked body. */
  | 'chunked'
  /** The end of the connection. */
  | 'close';

/** The end of one answer. */
export interface AnswerEnd {
  readonly framing: AnswerFraming;
  /** Returns whether the answer is whole; to be called once the answer has ended. */
  isWhole(): boolean;
}

const NO_CONTENT_STATUSES = new Set([204, 304]);

function framingOf(answer: IncomingMessage, method: string): AnswerFraming {
  const { headers, statusCode = 0 } = answer;
  if (method === 'HEAD' || NO_CONTENT_STATUSES.has(statusCode)) {
    return 'none';
  }
  const transferCoding = headers['transfer-encoding'];
  if (transferCoding !== undefined) {
    return /\bchunked\s*$/i.test(transferCoding) ? 'chunked' : 'close';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/**
 * Watches the end of an answer. An answer that is framed by the end of its connection is whole only if that end was in order;
 * call this as soon as the head arrives, since the end may arrive with it. The connection must be one of a
 * `ResetAwareAgent`: the end of any other proves nothing.
 */
export function watchEnd(answer: IncomingMessage, method: string): AnswerEnd {
  const framing = framingOf(answer, method);
  if (framing !== 'close') {
    return { framing, isWhole: () => answer.complete };
  }
  const { socket } = answer;
  if (!(socket instanceof ResetAwareSocket)) {
    return { framing, isWhole: () => false };
  }
  socket.separateReads();
  return { framing, isWhole: () => answer.complete && socket.hasVerifiedEnd };
}
