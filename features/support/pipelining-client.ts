/** A client that sends requests ahead on one connection, and reads the answers when it is told to. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { ROUTED_HOST } from './relay-world.js';

const HOST = '127.0.0.1';
const END_OF_HEAD = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** One whole answer. */
export interface PipelinedAnswer {
  readonly status: number;
  /** Id of the request that it answers; empty if it names none. */
  readonly id: string;
  /** Whether it says that the connection closes. */
  readonly closes: boolean;
  /** By name in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Request to send ahead. */
export interface PipelinedRequest {
  readonly route: string;
  readonly id: string;
  readonly body?: string;
  /** Part of the path after the question mark. @default the route */
  readonly query?: string;
  readonly timeoutMilliseconds?: number;
  /** Sends only this many bytes of the request. @default all */
  readonly bytes?: number;
}

function textOf({
  route,
  id,
  body = '',
  query = route,
  timeoutMilliseconds = 10_000,
}: PipelinedRequest): string {
  const lines = [
    `POST /${route}/work?${query} HTTP/1.1`,
    `host: ${ROUTED_HOST}`,
    `${NAMES.requestId}: ${id}`,
    `${NAMES.timeout}: ${timeoutMilliseconds}`,
    `content-length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}${END_OF_HEAD}${body}`;
}

/** Client with one connection. */
export class PipeliningClient {
  private readonly socket: Socket;
  private unread = '';
  /** Whole answers, in their order. */
  readonly answers: PipelinedAnswer[] = [];
  /** Whether the server has ended the connection. */
  isClosed = false;

  constructor(port: number, isReading = true) {
    this.socket = connect({ port, host: HOST });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    if (isReading) {
      this.read();
    }
  }

  /** Sends requests without waiting for answers. */
  send(...requests: readonly PipelinedRequest[]): void {
    this.write(requests.map((request) => textOf(request).slice(0, request.bytes)).join(''));
  }

  /** Sends bytes as they are. */
  write(text: string): void {
    if (this.socket.writable) {
      this.socket.write(text);
    }
  }

  /** Begins to read. */
  read(): void {
    this.socket.on('data', (chunk) => {
      this.unread += chunk.toString('latin1');
      while (this.takeAnswer()) {
        // The next one may have come with it.
      }
    });
    this.socket.on('end', () => (this.isClosed = true));
  }

  /** Ends the side of the client. */
  halfClose(): void {
    this.socket.end();
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }

  private takeAnswer(): boolean {
    const headEnd = this.unread.indexOf(END_OF_HEAD);
    if (headEnd < 0) {
      return false;
    }
    const [statusLine = '', ...lines] = this.unread.slice(0, headEnd).split('\r\n');
    const headers = new Map(
      lines.map((line) => {
        const [name = '', ...value] = line.split(':');
        return [name.toLowerCase(), value.join(':').trim()];
      }),
    );
    const bodyStart = headEnd + END_OF_HEAD.length;
    const length = headers.get('content-length');
    const lastChunk = this.unread.indexOf(LAST_CHUNK, bodyStart);
    if (length === undefined && lastChunk < 0) {
      return false;
    }
    const end = length === undefined ? lastChunk + LAST_CHUNK.length : bodyStart + Number(length);
    if (end > this.unread.length) {
      return false;
    }
    this.answers.push({
      status: Number(statusLine.split(' ')[1]),
      id: headers.get(NAMES.requestId) ?? '',
      closes: headers.get('connection') === 'close',
      headers,
      body: this.unread.slice(bodyStart, end),
    });
    this.unread = this.unread.slice(end);
    return true;
  }
}
