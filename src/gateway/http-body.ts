/** Reads a request's body within a bound of bytes. */
import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';

/** Longest body a caller may send, in bytes. */
export const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

/** The body as text, or why it cannot be had. */
export async function readBody(request: IncomingMessage): Promise<E.Either<CallError, string>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAXIMUM_BODY_BYTES) {
      return E.left(notRun('TooLarge', `A body may have ${MAXIMUM_BODY_BYTES} bytes.`));
    }
    chunks.push(chunk);
  }
  return E.right(Buffer.concat(chunks).toString('utf8'));
}

/** The body as JSON, or why it cannot be had. */
export async function readJsonBody(
  request: IncomingMessage,
): Promise<E.Either<CallError, unknown>> {
  const text = await readBody(request);
  if (E.isLeft(text)) {
    return text;
  }
  return E.tryCatch(
    () => JSON.parse(text.right) as unknown,
    () => notRun('Malformed', 'The body is not JSON.'),
  );
}
