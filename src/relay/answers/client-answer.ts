/** The answer to one client: a runner's own, passed on unchanged, or a short one of the relay. */
import type { ServerResponse } from 'node:http';
import { STATUS_CODES } from 'node:http';
import { headersToClient } from '../request/forwarded-headers.js';
import type { AnswerHead } from './answer-reader.js';
import type { OwnAnswer } from './own-answers.js';

/** See the head of this file. */
export class ClientAnswer {
  private headSent = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestIdHeader: string,
    /** Whether the connection is to be closed after the answer. */
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether the first byte of an answer is out. */
  get started(): boolean {
    return this.headSent;
  }

  /** Bytes that the client has not taken yet. */
  get queuedBytes(): number {
    return this.response.writableLength;
  }

  /** Calls back when the client left before the end of its answer. */
  onLeft(listener: () => void): void {
    this.response.on('close', () => {
      if (!this.response.writableFinished) {
        listener();
      }
    });
  }

  /** Gives an answer of the relay itself. */
  sendOwn(answer: OwnAnswer, requestId: string | undefined): void {
    const { status, detail, verdict, retryAfterSeconds } = answer;
    const title = STATUS_CODES[status] ?? 'Error';
    const body = Buffer.from(`${JSON.stringify({ title, status, detail, verdict })}\n`);
    const headers = [
      'content-type',
      'application/problem+json',
      'content-length',
      String(body.length),
    ];
    if (requestId !== undefined) {
      headers.push(this.requestIdHeader, requestId);
    }
    if (retryAfterSeconds !== undefined) {
      headers.push('retry-after', String(retryAfterSeconds));
    }
    this.writeHead(status, title, headers);
    this.response.end(body);
  }

  /** Passes on a runner's whole answer. */
  sendWhole(head: AnswerHead, body: Buffer): void {
    const headers = headersToClient(head.rawHeaders);
    headers.push('content-length', String(body.length));
    this.writeHead(head.status, head.reason, headers);
    this.response.end(body);
  }

  /** Begins to pass on a runner's stream. */
  beginStream(head: AnswerHead): void {
    this.writeHead(head.status, head.reason, headersToClient(head.rawHeaders));
    this.response.flushHeaders();
  }

  write(bytes: Buffer): void {
    this.response.write(bytes);
  }

  /** Ends a stream as complete. */
  end(): void {
    this.response.end();
  }

  /** Breaks the connection, so that what was sent can't look complete. */
  abort(): void {
    this.response.destroy();
  }

  private writeHead(status: number, reason: string, headers: string[]): void {
    this.headSent = true;
    if (this.isClosing()) {
      headers.push('connection', 'close');
    }
    this.response.writeHead(status, reason, headers);
  }
}
