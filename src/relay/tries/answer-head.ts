/**
 * Parses the head of a runner's answer into one that can be forwarded. Node's parser accepts any three digits as a status and any
 * bytes as a reason, and its writer throws on those that HTTP doesn't allow. The parser checks names and values of headers itself.
 */
import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import { isFieldContent } from '../../http-client/field-value.js';
import type { AnswerHead } from '../answers/answer-reader.js';
import type { HeaderNames } from '../request/header-names.js';

/** Status of a runner at whose address another one was expected. */
export const STATUS_MISDIRECTED_REQUEST = 421;
/** Statuses of final answers; Node handles the informational ones below. */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const NO_CONTENT = 204;

/** A 204 has no content (RFC 9110, section 15.3.5): one that announces some is not what the runner meant to send. */
function contradictsItsStatus({ statusCode, headers }: IncomingMessage): boolean {
  return (
    statusCode === NO_CONTENT &&
    (headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) !== 0)
  );
}

/** Whether HTTP allows a status for a final answer. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

/** Returns the head of an answer, or why it is not one that HTTP allows. */
export function parseAnswerHead(
  response: IncomingMessage,
  names: HeaderNames,
): E.Either<string, AnswerHead> {
  const { statusCode: status = 0, statusMessage: reason = '', headers, rawHeaders } = response;
  if (!isFinalStatus(status)) {
    return E.left(`status ${status}`);
  }
  if (!isFieldContent(reason)) {
    return E.left(`status ${status} with control characters in its reason`);
  }
  if (contradictsItsStatus(response)) {
    return E.left(`status ${status} with content`);
  }
  return E.right({
    status,
    reason,
    rawHeaders,
    headers,
    notExecuted: headers[names.notExecuted] !== undefined || status === STATUS_MISDIRECTED_REQUEST,
    closing: headers.connection?.toLowerCase() === 'close',
  });
}
