/**
 * The answer to one client: a runner's own, passed on unchanged, or a short one of the relay. What the client has
 * not taken is bounded: the runner is read no faster than the client takes beyond a window.
 */
import type { ServerResponse } from 'node:http';
import { STATUS_CODES } from 'node:http';
import type { Runtime } from '../../runtime/runtime.js';
import type { RequestCompletion } from '../front/request-completions.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { MemoryBudget, SlowReader } from '../memory/memory-budget.js';
import { headersToClient } from '../request/forwarded-headers.js';
import type { AnswerHead } from './answer-reader.js';
import { ClientOutlet, PIECE_BYTES } from './client-outlet.js';
import type { OwnAnswer } from './own-answers.js';
import { ReaderWatch } from './reader-watch.js';
import type { ReaderStand } from './reader-watch.js';

/**
 * Bytes that a client may be behind before its runner is held: a hundred usual events, so that a client that pauses
 * for a moment holds nobody. What came from its runner at once is held beside, at most 64 KiB more.
 */
export const WINDOW_BYTES = 16 * 1024;

/** Where the answer comes from, as long as it comes. */
export interface AnswerSource {
  /** Whether it is read on whatever the client takes. */
  readonly readsOn: boolean;
  /** Reads nothing more from the runner. */
  hold(): void;
  /** Reads on. */
  release(): void;
  /** A try that begins is read. */
  noteNewTry(): void;
  /** The client does not take its answer, which is cut. */
  end(reason: string): void;
}

/** What an answer is made with. */
export interface ClientAnswerOptions {
  /** When the request is over. */
  readonly completion: RequestCompletion;
  readonly runtime: Runtime;
  readonly memory: MemoryBudget;
  readonly requestIdHeader: string;
  readonly requestId: string;
  /** Whether the connection is to be closed after the answer. */
  readonly isClosing: () => boolean;
}

/** See the head of this file. */
export class ClientAnswer implements SlowReader {
  private headSent = false;
  private ended = false;
  private held = false;
  private windowBytes = WINDOW_BYTES;
  private source: AnswerSource | undefined;
  private readonly outlet: ClientOutlet;
  private readonly watch: ReaderWatch;
  private readonly holding: MemoryAllocation;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: ClientAnswerOptions,
  ) {
    const { runtime, memory } = options;
    this.holding = memory.allocate('answers');
    this.outlet = new ClientOutlet(response, {
      onBehind: () => this.noteBehind(),
      onTaken: () => this.noteTaken(),
      onCaughtUp: () => this.noteCaughtUp(),
    });
    this.watch = new ReaderWatch(runtime, {
      stand: () => this.stand,
      hasMemory: () => memory.canBufferSlowReaders,
      readOn: () => this.readOn(),
      cut: (reason) => this.cut(reason),
    });
    options.completion.onComplete(() => this.release());
  }

  /** Whether the first byte of an answer is out. */
  get started(): boolean {
    return this.headSent;
  }

  /** Name of the request. */
  get requestId(): string {
    return this.options.requestId;
  }

  /** Bytes that the client has not taken yet. */
  get heldBytes(): number {
    return this.outlet.heldBytes;
  }

  /** Time since the client last took something, in milliseconds; it counts while the client is behind. */
  get idleMilliseconds(): number {
    return this.watch.idleMilliseconds;
  }

  /** Calls back when the client left before the end of its answer. */
  onLeft(listener: () => void): void {
    this.options.completion.onComplete(() => {
      if (!this.response.writableFinished) {
        listener();
      }
    });
  }

  /** Names what is read for this answer. */
  comesFrom(source: AnswerSource): void {
    this.source = source;
  }

  /** Another runner is read from now on: only what it sends may hold it. */
  noteNewTry(): void {
    this.held = false;
    this.windowBytes = WINDOW_BYTES;
    this.source?.noteNewTry();
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
      headers.push(this.options.requestIdHeader, requestId);
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
    this.ended = true;
    if (body.length <= PIECE_BYTES) {
      this.response.end(body);
      return;
    }
    this.outlet.push(body);
    this.outlet.end();
  }

  /** Begins to pass on a runner's stream. */
  beginStream(head: AnswerHead): void {
    this.writeHead(head.status, head.reason, headersToClient(head.rawHeaders));
    this.response.flushHeaders();
  }

  /** Passes on some of a stream; nothing once the client is gone. */
  write(bytes: Buffer): void {
    if (this.response.destroyed) {
      return;
    }
    this.outlet.push(bytes);
    if (this.outlet.isBehind) {
      this.noteHeld();
    }
  }

  /** Ends a stream as complete. */
  end(): void {
    this.ended = true;
    this.outlet.end();
  }

  /** Breaks the connection, so that what was sent can't look complete. */
  abort(): void {
    this.response.destroy();
  }

  /** Ends an answer that its client does not take. */
  cut(reason: string): void {
    const { runtime, memory, requestId } = this.options;
    memory.noteCut();
    runtime.log('warn', 'slow reader cut', {
      event: 'memory.cut',
      request: requestId,
      reason,
      stand: this.stand,
      held: this.heldBytes,
      idle: Math.round(this.idleMilliseconds),
    });
    this.source?.end(reason);
    this.abort();
    this.release();
  }

  private get stand(): ReaderStand {
    if (this.ended) {
      return 'ready';
    }
    return this.source?.readsOn === true ? 'readOn' : 'held';
  }

  private noteBehind(): void {
    this.options.memory.addReader(this);
    this.watch.start();
    this.noteHeld();
  }

  /** Some more waits for the client. */
  private noteHeld(): void {
    const { heldBytes } = this;
    this.watch.noteRead();
    if (heldBytes > this.windowBytes && !this.held && this.stand === 'held') {
      this.held = true;
      this.source?.hold();
    }
    this.holding.set(heldBytes);
  }

  private noteTaken(): void {
    this.watch.noteTaken();
    this.holding.set(this.heldBytes);
    if (this.held && this.heldBytes <= WINDOW_BYTES / 2) {
      this.letSourceGo();
    }
  }

  private noteCaughtUp(): void {
    this.watch.stop();
    this.options.memory.removeReader(this);
    this.windowBytes = WINDOW_BYTES;
    this.holding.set(0);
    if (this.held) {
      this.letSourceGo();
    }
  }

  /** The runner must not go unread for long: one more window is read. */
  private readOn(): void {
    if (this.held) {
      this.windowBytes = this.heldBytes + WINDOW_BYTES;
      this.letSourceGo();
    }
  }

  private letSourceGo(): void {
    this.held = false;
    this.source?.release();
  }

  private release(): void {
    this.watch.stop();
    this.options.memory.removeReader(this);
    this.outlet.drop();
    this.holding.release();
  }

  private writeHead(status: number, reason: string, headers: string[]): void {
    this.headSent = true;
    if (this.options.isClosing()) {
      headers.push('connection', 'close');
    }
    this.response.writeHead(status, reason, headers);
  }
}
