/** How an answer was delimited and how its connection ended, for logs and metrics. */
import type { IncomingMessage } from 'node:http';

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

/** What became of the connection by the time that the answer was over. */
export type ConnectionEnding =
  /** It was still open. */
  | 'open'
  /** The runner ended it in order. */
  | 'end'
  /** Its end was reported as in order, but the connection no longer has a peer. */
  | 'peerGone'
  /** It failed, or this gateway closed it. */
  | 'closed';

/** Framing of an answer and ending of its connection. */
export interface AnswerDelivery {
  readonly framing: AnswerFraming;
  readonly ending: ConnectionEnding;
}

const NO_CONTENT_STATUSES = new Set([204, 304]);

/** Returns what marks the end of the body of a response to a request with the given method. */
export function framingOf(response: IncomingMessage, method: string): AnswerFraming {
  const { headers, statusCode = 0 } = response;
  if (method === 'HEAD' || NO_CONTENT_STATUSES.has(statusCode)) {
    return 'none';
  }
  const transferCoding = headers['transfer-encoding'];
  if (transferCoding !== undefined) {
    return /\bchunked\s*$/i.test(transferCoding) ? 'chunked' : 'close';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}
