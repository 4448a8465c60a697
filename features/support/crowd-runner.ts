/** A runner for crowds: keeps nothing of what it ran, and tells in each answer how much of the body it got. */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';

/** Largest head that it accepts, in bytes: gateways add lines of their own to the longest head of a client. */
const HEAD_BYTES = 64 * 1024;
const PADDING_QUERY = /fill=(\d+)/;
const EVENTS_QUERY = /events=(\d+)/;
const STREAM_QUERY = /\bstream\b/;
const DEFAULT_EVENTS = 3;

function queryNumber({ url = '' }: IncomingMessage, query: RegExp): number | undefined {
  const value = query.exec(url)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** Returns the digest of a body, as answers tell it. */
export function digestOf(body: Buffer): string {
  return createHash('sha256').update(body).digest('hex');
}

/** Returns the start of the answer to a request with a body of this digest. */
export function answerTo(requestId: string, digest: string): string {
  return `ran ${requestId} with ${digest}`;
}

/** HTTP server that answers at once: with `fill=BYTES` in the path longer, with `stream` in events, of which `events=COUNT` come. */
export class CrowdRunner {
  private readonly server: Server;

  constructor(readonly id: string) {
    this.server = createServer({ maxHeaderSize: HEAD_BYTES }, (request, response) =>
      this.handle(request, response),
    );
  }

  /** Starts the server; resolves once it listens. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, host, () => resolve()));
  }

  /** Closes the server and all connections at once. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const hash = createHash('sha256');
    request.on('data', (chunk: Buffer) => hash.update(chunk));
    request.on('end', () => this.respond(request, response, hash.digest('hex')));
  }

  private respond(request: IncomingMessage, response: ServerResponse, digest: string): void {
    const expected = request.headers[NAMES.expectedRunner];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    const id = String(request.headers[NAMES.requestId]);
    const headers = { [NAMES.requestId]: id, [NAMES.signature]: `signed by ${this.id}` };
    const bytes = queryNumber(request, PADDING_QUERY) ?? 0;
    if (STREAM_QUERY.test(request.url ?? '')) {
      response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
      this.sendEvent(request, response, 1, 'x'.repeat(bytes));
      return;
    }
    const body = answerTo(id, digest).padEnd(bytes, '.');
    response.writeHead(200, { ...headers, 'content-length': String(body.length) }).end(body);
  }

  private sendEvent(
    request: IncomingMessage,
    response: ServerResponse,
    event: number,
    text: string,
  ): void {
    if (response.destroyed) {
      return;
    }
    if (event > (queryNumber(request, EVENTS_QUERY) ?? DEFAULT_EVENTS)) {
      response.end();
      return;
    }
    const next = (): void => this.sendEvent(request, response, event + 1, text);
    if (response.write(`id: ${event}\ndata: event ${event} ${text}\n\n`)) {
      setImmediate(next);
    } else {
      response.once('drain', next);
    }
  }
}
