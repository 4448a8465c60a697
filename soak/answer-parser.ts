/** Parses the answers on one connection strictly, as a client that sends requests ahead must be able to. */

const END_OF_LINE = '\r\n';
const END_OF_HEAD = '\r\n\r\n';
const STATUS_LINE = /^HTTP\/1\.1 ([1-5]\d\d) [\t\x20-\x7e]*$/;
const HEADER_LINE = /^([!#$%&'*+.^_`|~\w-]+):[\t ]*([^\r\n]*)$/;
const CHUNK_SIZE = /^([0-9a-f]{1,8})(;.*)?$/i;
const DIGITS = /^\d{1,12}$/;
/** Statuses of answers that have no body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Head of an answer, and as much of its body as has arrived. */
export interface ParsedAnswer {
  readonly status: number;
  /** Headers by name, in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  /** Whether it says that its connection closes. */
  readonly closes: boolean;
  readonly body: string;
}

/** Thrown for bytes that are no answer in the protocol. */
export class AnswerSyntaxError extends Error {}

type Framing = { readonly length: number } | 'chunked' | 'untilEnd';

/** Head of the answer whose body is being read. */
interface Head {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly framing: Framing;
}

function readHead(text: string): Head {
  const [statusLine = '', ...lines] = text.split(END_OF_LINE);
  const status = STATUS_LINE.exec(statusLine)?.[1];
  if (status === undefined) {
    throw new AnswerSyntaxError(`status line "${statusLine.slice(0, 80)}"`);
  }
  const headers = new Map<string, string>();
  for (const line of lines) {
    const match = HEADER_LINE.exec(line);
    if (match === null) {
      throw new AnswerSyntaxError(`header line "${line.slice(0, 80)}"`);
    }
    headers.set(match[1]!.toLowerCase(), match[2]!.trim());
  }
  return { status: Number(status), headers, framing: readFraming(Number(status), headers) };
}

function readFraming(status: number, headers: ReadonlyMap<string, string>): Framing {
  const length = headers.get('content-length');
  const coding = headers.get('transfer-encoding');
  if (coding !== undefined && (length !== undefined || coding !== 'chunked')) {
    throw new AnswerSyntaxError(`transfer-encoding "${coding}", content-length "${length}"`);
  }
  if (BODILESS_STATUSES.has(status)) {
    return { length: 0 };
  }
  if (coding !== undefined) {
    return 'chunked';
  }
  if (length === undefined) {
    return 'untilEnd';
  }
  if (!DIGITS.test(length)) {
    throw new AnswerSyntaxError(`content-length "${length}"`);
  }
  return { length: Number(length) };
}

/** Turns the bytes of a connection into answers. */
export class AnswerParser {
  private unread = '';
  private head: Head | undefined;
  private body = '';
  /** Bytes of the current chunk that have not arrived; undefined between chunks. */
  private chunkLeft: number | undefined;
  /** Whether the last chunk has arrived, and its trailer has not. */
  private isInTrailer = false;

  /** @param onAnswer called with each whole answer */
  constructor(private readonly onAnswer: (answer: ParsedAnswer) => void) {}

  /** Takes the next bytes. Throws `AnswerSyntaxError` if they are no answer. */
  push(bytes: Buffer): void {
    this.unread += bytes.toString('latin1');
    while (this.head === undefined ? this.takeHead() : this.takeBody(this.head)) {
      // The next part may have come with it.
    }
  }

  /** Takes the orderly end of the connection, which ends an answer without a length. */
  end(): void {
    if (this.head?.framing === 'untilEnd') {
      this.complete(this.head);
    }
  }

  /** The answer that has begun and is not whole; undefined if there is none. */
  get partial(): ParsedAnswer | undefined {
    return this.head === undefined ? undefined : this.answerOf(this.head);
  }

  /** Whether bytes have arrived that belong to no whole answer. */
  get hasPartial(): boolean {
    return this.head !== undefined || this.unread !== '';
  }

  private takeHead(): boolean {
    const end = this.unread.indexOf(END_OF_HEAD);
    if (end < 0) {
      return false;
    }
    const head = readHead(this.unread.slice(0, end));
    this.unread = this.unread.slice(end + END_OF_HEAD.length);
    // Interim answers have no body and precede the final one.
    if (head.status >= 200) {
      this.head = head;
    }
    return true;
  }

  /** Takes a part of the body; returns whether another part may follow at once. */
  private takeBody(head: Head): boolean {
    const { framing } = head;
    if (framing === 'chunked') {
      return this.takeChunk(head);
    }
    if (framing === 'untilEnd') {
      this.take(this.unread.length);
      return false;
    }
    this.take(framing.length - this.body.length);
    if (this.body.length < framing.length) {
      return false;
    }
    this.complete(head);
    return true;
  }

  private takeChunk(head: Head): boolean {
    if (this.chunkLeft !== undefined) {
      this.chunkLeft -= this.take(this.chunkLeft);
      return this.chunkLeft === 0 && this.takeEndOfChunk();
    }
    const end = this.unread.indexOf(END_OF_LINE);
    if (end < 0) {
      return false;
    }
    const line = this.unread.slice(0, end);
    this.unread = this.unread.slice(end + END_OF_LINE.length);
    if (this.isInTrailer) {
      if (line === '') {
        this.complete(head);
      }
      return true;
    }
    const size = CHUNK_SIZE.exec(line)?.[1];
    if (size === undefined) {
      throw new AnswerSyntaxError(`chunk size "${line.slice(0, 80)}"`);
    }
    this.isInTrailer = parseInt(size, 16) === 0;
    this.chunkLeft = this.isInTrailer ? undefined : parseInt(size, 16);
    return true;
  }

  private takeEndOfChunk(): boolean {
    if (this.unread.length < END_OF_LINE.length) {
      return false;
    }
    if (!this.unread.startsWith(END_OF_LINE)) {
      throw new AnswerSyntaxError(`end of chunk "${this.unread.slice(0, 80)}"`);
    }
    this.unread = this.unread.slice(END_OF_LINE.length);
    this.chunkLeft = undefined;
    return true;
  }

  /** Moves up to so many bytes to the body; returns their number. */
  private take(most: number): number {
    const taken = this.unread.slice(0, most);
    this.body += taken;
    this.unread = this.unread.slice(taken.length);
    return taken.length;
  }

  private complete(head: Head): void {
    const answer = this.answerOf(head);
    this.head = undefined;
    this.body = '';
    this.isInTrailer = false;
    this.onAnswer(answer);
  }

  private answerOf({ status, headers, framing }: Head): ParsedAnswer {
    const closes = headers.get('connection')?.toLowerCase() === 'close' || framing === 'untilEnd';
    return { status, headers, closes, body: this.body };
  }
}
