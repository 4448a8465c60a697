/** A runner on a plain socket that spoils the bytes of the first answer to each request and sends the second one whole. */
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import type { RelayWorld } from './relay-world.js';
import { RawServer } from './raw-server.js';

/** What marks the end of the answers. */
export type Framing = 'length' | 'chunks' | 'close';

/** Body of the whole answers. */
export const SOUND_BODY = 'the whole answer';
/** Time between two pieces, so that each arrives by itself. */
const PIECE_PAUSE_MILLISECONDS = 2;
const REQUEST_ID = new RegExp(`^${NAMES.requestId}: (.*)\r$`, 'im');

/** Returns the bytes of a whole answer to a request. */
export function soundAnswer(requestId: string, framing: Framing, status = '200 OK'): Buffer {
  const framingLines = {
    length: `content-length: ${SOUND_BODY.length}\r\n`,
    chunks: 'transfer-encoding: chunked\r\n',
    close: '',
  };
  const body =
    framing === 'chunks'
      ? `${SOUND_BODY.length.toString(16)}\r\n${SOUND_BODY}\r\n0\r\n\r\n`
      : SOUND_BODY;
  const ownLines = `${NAMES.requestId}: ${requestId}\r\n${NAMES.signature}: signed\r\nkeep-alive: timeout=4\r\n`;
  return Buffer.from(
    `HTTP/1.1 ${status}\r\n${ownLines}${framingLines[framing]}connection: close\r\n\r\n${body}`,
  );
}

/** Returns the length of an answer's head. */
export function headLength(answer: Buffer): number {
  return answer.indexOf('\r\n\r\n') + 4;
}

/** Sends the pieces of an answer one after another, then ends the connection. */
export type Spoil = (answer: Buffer) => readonly Buffer[];

/** Both runners of a world in one. */
export class SpoilingRunner {
  /** Spoils the first answer to each request. */
  spoil: Spoil = (answer) => [answer];
  private readonly seen = new Set<string>();
  private readonly server: RawServer;

  constructor(framing: Framing) {
    this.server = new RawServer((socket, received) => {
      const requestId = REQUEST_ID.exec(received.toString('latin1'))?.[1] ?? '';
      const answer = soundAnswer(requestId, framing);
      const pieces = [...(this.seen.has(requestId) ? [answer] : this.spoil(answer))];
      this.seen.add(requestId);
      const sendNext = (): void => {
        const piece = pieces.shift();
        if (piece === undefined || socket.destroyed) {
          socket.end();
          return;
        }
        socket.write(piece, () => setTimeout(sendNext, PIECE_PAUSE_MILLISECONDS));
      };
      sendNext();
    });
  }

  /** Takes the place of both runners of a world. */
  async replaceRunners(world: RelayWorld): Promise<void> {
    const port = await this.server.listen();
    [0, 1].forEach((index) => world.listRunner(index, true, port));
  }

  close(): void {
    this.server.close();
  }
}
