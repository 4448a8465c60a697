/** Reads request bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';

/** Maximum size of a request body, in bytes. */
export const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

function tooLarge(): CallError {
  return notRun('TooLarge', `A body may have ${MAXIMUM_BODY_BYTES} bytes.`);
}

/**
 * Reads the body as text, or returns why that failed. The rest of a body that is too large is discarded;
 * the error response closes the connection, since the body may never end.
 */
export function readBody(request: IncomingMessage): Promise<E.Either<CallError, string>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const onData = (chunk: Buffer): void => {
      length += chunk.length;
      if (length > MAXIMUM_BODY_BYTES) {
        request.off('data', onData);
        request.resume();
        resolve(E.left(tooLarge()));
        return;
      }
      chunks.push(chunk);
    };
    request.on('data', onData);
    request.once('end', () => resolve(E.right(Buffer.concat(chunks).toString('utf8'))));
    request.once('error', () => resolve(E.left(notRun('Malformed', 'The body broke off.'))));
  });
}

/** Reads the body as JSON, or returns why that failed. */
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
