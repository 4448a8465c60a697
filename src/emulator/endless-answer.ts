/** Answers with a part that never ends: their bytes are sent for as long as the receiver keeps the connection open. */
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';

/** The part of an answer that has no end. */
export type EndlessPart =
  /** Line breaks ahead of the status line. */
  | 'blankLines'
  /** Informational answers ahead of the final one. */
  | 'informational'
  | 'reason'
  | 'headerLines'
  | 'headerValue'
  | 'body'
  /** Further lines of a folded header. */
  | 'foldedHeader'
  /** Zeros ahead of the size of the first chunk. */
  | 'chunkSize'
  /** Zeros ahead of the size of a chunk that follows another one. */
  | 'laterChunkSize'
  /** Blanks behind a chunk's size. */
  | 'chunkSizeBlanks'
  /** Carriage returns without a line feed behind a chunk's size. */
  | 'carriageReturns'
  | 'chunkExtension'
  | 'quotedExtension'
  /** Chunks of one byte whose sizes have many zeros ahead. */
  | 'paddedChunks'
  /** Chunks of one byte with long extensions. */
  | 'extendedChunks'
  /** Chunks of one byte. */
  | 'tinyChunks'
  | 'trailers'
  /** Bytes behind a whole answer. */
  | 'extraBytes';

/** What marks the end of an answer's body. */
export type BodyFraming = 'length' | 'chunks' | 'close';

/** What an endless body consists of. */
export type BodyFiller = 'letters' | 'lineFeeds' | 'events';

/** Form of an endless answer. */
export interface EndlessForm {
  readonly part: EndlessPart;
  readonly framing: BodyFraming;
  readonly status: number;
  readonly filler: BodyFiller;
  /** Sends a byte now and then instead of as much as the connection takes. */
  readonly isSlow: boolean;
}

export const ENDLESS_PARTS: readonly EndlessPart[] = [
  'blankLines',
  'informational',
  'reason',
  'headerLines',
  'headerValue',
  'foldedHeader',
  'body',
  'chunkSize',
  'laterChunkSize',
  'chunkSizeBlanks',
  'carriageReturns',
  'chunkExtension',
  'quotedExtension',
  'paddedChunks',
  'extendedChunks',
  'tinyChunks',
  'trailers',
  'extraBytes',
];
export const BODY_FRAMINGS: readonly BodyFraming[] = ['length', 'chunks', 'close'];

/** What was sent of one endless answer. */
export interface EndlessRecord {
  bytes: number;
  readonly startedAt: number;
  /** Local time at which the connection closed, in milliseconds; undefined while it is open. */
  closedAt: number | undefined;
}

const PIECE_BYTES = 64 * 1024;
const SLOW_PAUSE_MILLISECONDS = 20;
/** Time after which the sender gives up; a receiver that bounds what it reads has closed the connection long before. */
const MAXIMUM_MILLISECONDS = 10_000;
const ENDLESS_LENGTH = 1_000_000_000_000;
const SHORT_BODY = 'short';
/** Length of the padding in a chunk that has little else: well below what parsers refuse in one chunk. */
const CHUNK_PADDING_BYTES = 1_000;

const FILLERS: Readonly<Record<BodyFiller, string>> = {
  letters: 'x',
  lineFeeds: '\n',
  events: 'data: x\n\n',
};

function framingLine(framing: BodyFraming, length: number): string {
  switch (framing) {
    case 'length':
      return `content-length: ${length}\r\n`;
    case 'chunks':
      return 'transfer-encoding: chunked\r\n';
    case 'close':
      return '';
  }
}

/** Start of an answer, and the text that follows again and again. */
function textsOf(
  { part, framing, status, filler }: EndlessForm,
  headers: Readonly<Record<string, string>>,
): { readonly start: string; readonly repeated: string } {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const statusLine = `HTTP/1.1 ${status} Spoiled\r\n`;
  const openHead = `${statusLine}${lines.join('')}`;
  const chunkedHead = `${openHead}${framingLine('chunks', 0)}\r\n`;
  switch (part) {
    case 'blankLines':
      return { start: '', repeated: '\r\n' };
    case 'informational':
      return { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' };
    case 'reason':
      return { start: `HTTP/1.1 ${status} `, repeated: 'x' };
    case 'headerLines':
      return { start: openHead, repeated: 'x-filler: x\r\n' };
    case 'headerValue':
      return { start: `${openHead}x-filler: `, repeated: 'x' };
    case 'foldedHeader':
      return { start: `${openHead}x-filler: x\r\n`, repeated: ' x\r\n' };
    case 'chunkSize':
      return { start: chunkedHead, repeated: '0' };
    case 'laterChunkSize':
      return { start: `${chunkedHead}5\r\n${SHORT_BODY}\r\n`, repeated: '0' };
    case 'chunkSizeBlanks':
      return { start: `${chunkedHead}5`, repeated: ' ' };
    case 'carriageReturns':
      return { start: `${chunkedHead}5`, repeated: '\r' };
    case 'chunkExtension':
      return { start: `${chunkedHead}5;`, repeated: 'x' };
    case 'quotedExtension':
      return { start: `${chunkedHead}5;x="`, repeated: 'x' };
    case 'paddedChunks':
      return { start: chunkedHead, repeated: `${'0'.repeat(CHUNK_PADDING_BYTES)}1\r\nx\r\n` };
    case 'extendedChunks':
      return { start: chunkedHead, repeated: `1;${'x'.repeat(CHUNK_PADDING_BYTES)}\r\nx\r\n` };
    case 'tinyChunks':
      return { start: chunkedHead, repeated: '1\r\nx\r\n' };
    case 'trailers':
      return {
        start: `${chunkedHead}5\r\n${SHORT_BODY}\r\n0\r\n`,
        repeated: 'x-filler: x\r\n',
      };
    case 'extraBytes':
      return {
        start: `${openHead}${framingLine('length', SHORT_BODY.length)}\r\n${SHORT_BODY}`,
        repeated: 'x',
      };
    case 'body': {
      const text = FILLERS[filler];
      const start = `${openHead}${framingLine(framing, ENDLESS_LENGTH)}\r\n`;
      const chunk = text.repeat(Math.floor(PIECE_BYTES / text.length));
      return framing === 'chunks'
        ? { start, repeated: `${chunk.length.toString(16)}\r\n${chunk}\r\n` }
        : { start, repeated: text };
    }
  }
}

/** Starts to send an endless answer, as fast as the receiver takes it unless the form is slow. */
export function sendEndless(
  socket: Socket,
  form: EndlessForm,
  headers: Readonly<Record<string, string>>,
): EndlessRecord {
  const { start, repeated } = textsOf(form, headers);
  const record: EndlessRecord = { bytes: 0, startedAt: performance.now(), closedAt: undefined };
  socket.once('close', () => {
    record.closedAt = performance.now();
  });
  socket.setTimeout(0);
  const piece = Buffer.from(
    repeated.repeat(Math.max(1, Math.floor(PIECE_BYTES / repeated.length))),
  );
  let slowPosition = 0;
  const send = (): void => {
    if (socket.destroyed) {
      return;
    }
    if (performance.now() - record.startedAt > MAXIMUM_MILLISECONDS) {
      socket.destroy();
      return;
    }
    const next = form.isSlow ? piece.subarray(slowPosition, slowPosition + 1) : piece;
    slowPosition = (slowPosition + 1) % piece.length;
    record.bytes += next.length;
    socket.write(next, () =>
      form.isSlow ? setTimeout(send, SLOW_PAUSE_MILLISECONDS) : setImmediate(send),
    );
  };
  socket.write(start, 'latin1', send);
  return record;
}
