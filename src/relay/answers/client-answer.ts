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
import { ClientWriter, CHUNK_BYTES } from './client-writer.js';
import type { LocalAnswer } from './local-answers.js';
import { SlowReaderMonitor } from './slow-reader-monitor.js';
import type { DeliveryState } from './slow-reader-monitor.js';

/**
 * Bytes that a client may be behind before its runner is held: a hundred usual events, so that a client that pauses
 * for a moment holds nobody. What came from its runner at once is held beside, at most 64 KiB more.
 */
export const WINDOW_BYTES = 16 * 1024;

/** Where the answer comes from, as long as it comes. */
export interface AnswerSource {
  /** Whether it is read on whatever the client takes. */
  readonly ignoresBackpressure: boolean;
  /** Reads nothing more from the runner. */
  pause(): void;
  /** Reads on. */
  resume(): void;
  /** A try that begins is read. */
  noteNewAttempt(): void;
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
  private sourcePaused = false;
  private windowBytes = WINDOW_BYTES;
  private source: AnswerSource | undefined;
  private readonly writer: ClientWriter;
  private readonly monitor: SlowReaderMonitor;
  private readonly allocation: MemoryAllocation;

  constructor(
    private readonly response: ServerResponse,
    private readonly options: ClientAnswerOptions,
  ) {
    const { runtime, memory } = options;
    this.allocation = memory.allocate('answers');
    this.writer = new ClientWriter(response, {
      onBackpressure: () => this.handleBackpressure(),
      onProgress: () => this.handleProgress(),
      onDrained: () => this.handleDrained(),
    });
    this.monitor = new SlowReaderMonitor(runtime, {
      deliveryState: () => this.deliveryState,
      hasSpareMemory: () => memory.canBufferSlowReaders,
      extendWindow: () => this.extendWindow(),
      disconnect: (reason) => this.cut(reason),
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
    return this.writer.bufferedBytes;
  }

  /** Time since the client last took something, in milliseconds; it counts while the client is behind. */
  get idleMilliseconds(): number {
    return this.monitor.idleMilliseconds;
  }

  /** Calls back when the client left before the end of its answer. */
  onDisconnect(listener: () => void): void {
    this.options.completion.onComplete(() => {
      if (!this.response.writableFinished) {
        listener();
      }
    });
  }

  /** Names what is read for this answer. */
  setSource(source: AnswerSource): void {
    this.source = source;
  }

  /** Another runner is read from now on: only what it sends may hold it. */
  noteNewAttempt(): void {
    this.sourcePaused = false;
    this.windowBytes = WINDOW_BYTES;
    this.source?.noteNewAttempt();
  }

  /** Gives an answer of the relay itself. */
  sendLocal(answer: LocalAnswer, requestId: string | undefined): void {
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
    if (body.length <= CHUNK_BYTES) {
      this.response.end(body);
      return;
    }
    this.writer.push(body);
    this.writer.end();
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
    this.writer.push(bytes);
    if (this.writer.isBackpressured) {
      this.noteBuffered();
    }
  }

  /** Ends a stream as complete. */
  end(): void {
    this.ended = true;
    this.writer.end();
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
      stand: this.deliveryState,
      held: this.heldBytes,
      idle: Math.round(this.idleMilliseconds),
    });
    this.source?.end(reason);
    this.abort();
    this.release();
  }

  private get deliveryState(): DeliveryState {
    if (this.ended) {
      return 'ready';
    }
    return this.source?.ignoresBackpressure === true ? 'readOn' : 'held';
  }

  private handleBackpressure(): void {
    this.options.memory.addReader(this);
    this.monitor.start();
    this.noteBuffered();
  }

  /** Some more waits for the client. */
  private noteBuffered(): void {
    const { heldBytes } = this;
    this.monitor.noteRead();
    if (heldBytes > this.windowBytes && !this.sourcePaused && this.deliveryState === 'held') {
      this.sourcePaused = true;
      this.source?.pause();
    }
    this.allocation.set(heldBytes);
  }

  private handleProgress(): void {
    this.monitor.noteProgress();
    this.allocation.set(this.heldBytes);
    if (this.sourcePaused && this.heldBytes <= WINDOW_BYTES / 2) {
      this.resumeSource();
    }
  }

  private handleDrained(): void {
    this.monitor.stop();
    this.options.memory.removeReader(this);
    this.windowBytes = WINDOW_BYTES;
    this.allocation.set(0);
    if (this.sourcePaused) {
      this.resumeSource();
    }
  }

  /** The runner must not go unread for long: one more window is read. */
  private extendWindow(): void {
    if (this.sourcePaused) {
      this.windowBytes = this.heldBytes + WINDOW_BYTES;
      this.resumeSource();
    }
  }

  private resumeSource(): void {
    this.sourcePaused = false;
    this.source?.resume();
  }

  private release(): void {
    this.monitor.stop();
    this.options.memory.removeReader(this);
    this.writer.discard();
    this.allocation.release();
  }

  private writeHead(status: number, reason: string, headers: string[]): void {
    this.headSent = true;
    if (this.options.isClosing()) {
      headers.push('connection', 'close');
    }
    this.response.writeHead(status, reason, headers);
  }
}
