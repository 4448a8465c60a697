/**
 * Limits on what a server may send beyond a wanted body. Node's parser bounds header lines, but neither what it skips before a status
 * line, nor the number of informational answers, nor the rest of an answer that is read only to use its connection again.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** Bytes up to the end of an answer's head, with informational answers. */
export const MAXIMUM_HEAD_BYTES = 64 * 1024;
/** Bytes of an unwanted answer's rest that are read before its connection is closed. */
const MAXIMUM_REST_BYTES = 64 * 1024;
/** Time in which that rest has to arrive, in milliseconds. */
const MAXIMUM_REST_MILLISECONDS = 500;

/**
 * Destroys a request whose answer has no head within the limit.
 * @param onExceeded called before that, with the reason
 */
export function limitHead(
  client: ClientRequest,
  onExceeded: (reason: string) => void = () => undefined,
): void {
  client.once('socket', (socket: Socket) => {
    let receivedBytes = 0;
    const count = (chunk: Buffer): void => {
      receivedBytes += chunk.length;
      if (receivedBytes > MAXIMUM_HEAD_BYTES) {
        stop();
        const reason = `no head within ${MAXIMUM_HEAD_BYTES} bytes`;
        onExceeded(reason);
        client.destroy(new Error(reason));
      }
    };
    // A chunk with the head is still passed to `count`, whose removal has no effect while the chunk is being emitted.
    const stop = (): void => {
      receivedBytes = -Infinity;
      socket.off('data', count);
    };
    socket.on('data', count);
    client.once('response', stop);
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
