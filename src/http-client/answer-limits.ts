/**
 * Limits on what a server may send beyond a wanted body. Node's parser bounds header lines, but neither what it skips before a status
 * line, nor the number of informational answers, nor the zeros of a chunk's size, nor extensions over all chunks, nor the rest of an
 * answer that is read only to use its connection again.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { maximumFramingBytes } from './framing-limit.js';

/** Bytes up to the end of an answer's head, with informational answers. */
export const MAXIMUM_HEAD_BYTES = 64 * 1024;
/** Bytes of an unwanted answer's rest that are read before its connection is closed. */
const MAXIMUM_REST_BYTES = 64 * 1024;
/** Time in which that rest has to arrive, in milliseconds. */
const MAXIMUM_REST_MILLISECONDS = 500;

/** Compares the bytes that a connection delivers for one answer with those that the parser hands on. */
class AnswerByteCount {
  private receivedBytes = 0;
  private contentBytes = 0;
  private answer: IncomingMessage | undefined;

  /** Counts bytes that the parser has handled; returns why there may be no more. */
  add(bytes: number): string | undefined {
    this.receivedBytes += bytes;
    if (this.answer === undefined) {
      return this.receivedBytes > MAXIMUM_HEAD_BYTES
        ? `no head within ${MAXIMUM_HEAD_BYTES} bytes`
        : undefined;
    }
    const handedOnBytes = this.contentBytes + this.answer.readableLength;
    const framingBytes = this.receivedBytes - handedOnBytes;
    return framingBytes > MAXIMUM_HEAD_BYTES + maximumFramingBytes(handedOnBytes)
      ? `${framingBytes} bytes around ${handedOnBytes} bytes of content`
      : undefined;
  }

  /** Counts the content of an answer whose head has arrived. */
  watch(answer: IncomingMessage): void {
    this.answer = answer;
    answer.on('data', (chunk: Buffer) => {
      this.contentBytes += chunk.length;
    });
  }
}

/**
 * Destroys a request whose answer has no head within the limit, or whose chunks have too many bytes around their content. The content
 * is read as soon as the head arrives, unless the answer is paused in that turn of the event loop.
 * @param onExceeded called before that, with the reason
 */
export function limitAnswer(
  client: ClientRequest,
  onExceeded: (reason: string) => void = () => undefined,
): void {
  client.once('socket', (socket: Socket) => {
    const count = new AnswerByteCount();
    let isCounting = true;
    // Called after the parser has handled the chunk, since Node adds its own listener first.
    const handleChunk = (chunk: Buffer): void => {
      const reason = isCounting ? count.add(chunk.length) : undefined;
      if (reason !== undefined) {
        stop();
        onExceeded(reason);
        client.destroy(new Error(reason));
      }
    };
    // A chunk with the end of the answer is still passed to `handleChunk`: removing it has no effect while the chunk is emitted.
    const stop = (): void => {
      isCounting = false;
      socket.off('data', handleChunk);
    };
    socket.on('data', handleChunk);
    client.once('response', (answer: IncomingMessage) => {
      if (answer.headers['transfer-encoding'] === undefined) {
        stop();
      } else {
        count.watch(answer);
      }
    });
    client.once('close', stop);
  });
}

/** Reads the rest of an unwanted answer, so that its connection can be used again; closes the connection if the rest is long or late. */
export function discardRest(
  runtime: Pick<Runtime, 'setTimer'>,
  client: ClientRequest,
  answer: IncomingMessage,
): void {
  if (Number(answer.headers['content-length'] ?? 0) > MAXIMUM_REST_BYTES) {
    client.destroy();
    return;
  }
  let receivedBytes = 0;
  const cancel: CancelTimer = runtime.setTimer(MAXIMUM_REST_MILLISECONDS, () => client.destroy());
  answer.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes > MAXIMUM_REST_BYTES) {
      client.destroy();
    }
  });
  answer.once('end', cancel);
  answer.once('close', cancel);
  answer.resume();
}
