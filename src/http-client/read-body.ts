/** Reads the bodies of HTTP answers of which only whole ones are of use. */
import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import { watchEnd } from './answer-end.js';
import { PartList } from './part-list.js';

/**
 * Reads the body of an answer; calls back once, with the body of a whole answer or with the reason why there is none. To be called as
 * soon as the head arrives.
 * @param maximumBytes size beyond which the body is not read on; the caller then closes the connection
 */
export function readWholeBody(
  answer: IncomingMessage,
  method: string,
  maximumBytes: number,
  done: (body: E.Either<string, Buffer>) => void,
): void {
  const end = watchEnd(answer, method);
  const parts = new PartList();
  let isFinished = false;
  const finish = (body: E.Either<string, Buffer>): void => {
    if (!isFinished) {
      isFinished = true;
      done(body);
    }
  };
  answer.on('data', (chunk: Buffer) => {
    parts.add(chunk);
    if (parts.bytes > maximumBytes || parts.hasTooManyParts) {
      answer.pause();
      const excess = parts.hasTooManyParts
        ? 'has too many chunks'
        : `exceeds ${maximumBytes} bytes`;
      parts.clear();
      finish(E.left(`the answer ${excess}`));
    }
  });
  answer.on('end', () =>
    finish(end.isWhole() ? E.right(parts.concat()) : E.left('answer incomplete')),
  );
  answer.on('error', (error) => finish(E.left(error.message)));
  answer.on('aborted', () => finish(E.left('answer incomplete')));
}
