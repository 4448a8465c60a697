/**
 * Sends one client its answer: a runner's answer, forwarded unchanged, or a short local answer of the relay. The
 * memory for unsent data is bounded: once it exceeds a window, reading from the runner is paused.
 */
import type { ServerResponse } from 'node:http';
import { STATUS_CODES } from 'node:http';
import type { Runtime } from '../../runtime/runtime.js';
import type { ConnectionCloser, RequestCompletion } from '../../http-server/request-completion.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { MemoryBudget, SlowReader } from '../memory/memory-budget.js';
import { headersToClient } from '../request/forwarded-headers.js';
import type { AnswerHead } from './answer-reader.js';
import { BLOCK_BYTES, ClientWriter, CHUNK_BYTES } from './client-writer.js';
import type { LocalAnswer } from './local-answers.js';
import { SlowReaderMonitor } from './slow-reader-monitor.js';
import type { DeliveryState } from './slow-reader-monitor.js';

/**
 * Unsent bytes up to which the runner is still read: about a hundred typical events, so that a short pause of the
 * client does not pause the runner. Data that was already received adds up to 64 KiB.
 */
export const WINDOW_BYTES = 16 * 1024;

/** The runner that an answer is read from. */
export interface AnswerSource {
  /** Whether the runner is read at full speed even if the client does not keep up. */
  readonly ignoresBackpressure: boolean;
  /** Pauses reading from the runner. */
  pause(): void;
  /** Resumes reading from the runner. */
  resume(): void;
  /** Ends a pause, since a new attempt starts. */
  noteNewAttempt(): void;
  /** Ends the call because the client does not read its answer. */
  end(reason: string): void;
}

/** Dependencies of `ClientAnswer`. */
export interface ClientAnswerOptions {
  /** Reports the end of the exchange with the client. */
  readonly completion: RequestCompletion;
  readonly runtime: Runtime;
  readonly memory: MemoryBudget;
  readonly requestIdHeader: string;
  readonly requestId: string;
}

/** The answer to one request of a client, with flow control and slow-reader detection. */
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
    options.completion.onComplete(() => {
      this.logUndelivered();
      this.release();
    });
  }

  /** Whether the head of an answer was sent. */
  get started(): boolean {
    return this.headSent;
  }

  /** Id of the request. */
  get requestId(): string {
    return this.options.requestId;
  }

  /** Bytes that are buffered because the client has not read them yet. */
  get heldBytes(): number {
    return this.writer.bufferedBytes;
  }

  /** Time since the client last read something, in milliseconds; only meaningful under backpressure. */
  get idleMilliseconds(): number {
    return this.monitor.idleMilliseconds;
  }

  /** Calls `listener` with who closed the connection, if it closes before the end of the answer. */
  onDisconnect(listener: (closer: ConnectionCloser) => void): void {
    const { completion } = this.options;
    completion.onComplete(() => {
      if (!this.response.writableFinished) {
        listener(completion.closedBy ?? 'gateway');
      }
    });
  }

  /** Sets the source that is paused and resumed as the client's reading requires. */
  setSource(source: AnswerSource): void {
    this.source = source;
  }

  /** Resets flow control for a new attempt, so that only data of the new runner can pause it. */
  noteNewAttempt(): void {
    this.sourcePaused = false;
    this.windowBytes = WINDOW_BYTES;
    this.source?.noteNewAttempt();
  }

  /** Sends a local answer as problem details (`application/problem+json`). */
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
    this.endWith(body);
  }

  /** Sends a local answer if none has started, and breaks off the one that has. */
  sendLocalOrAbort(answer: LocalAnswer, requestId: string | undefined): void {
    if (this.headSent || this.response.destroyed) {
      this.abort();
    } else {
      this.sendLocal(answer, requestId);
    }
  }

  /** Forwards a runner's complete answer, whose body is given in parts. */
  sendWhole(head: AnswerHead, parts: readonly Buffer[]): void {
    const bodyBytes = parts.reduce((sum, part) => sum + part.length, 0);
    const headers = headersToClient(head.rawHeaders);
    headers.push('content-length', String(bodyBytes));
    this.writeHead(head.status, head.reason, headers);
    if (bodyBytes <= CHUNK_BYTES) {
      this.endWith(Buffer.concat(parts));
      return;
    }
    this.ended = true;
    // A long body is not copied into one buffer: each part is released once it is taken.
    const pieces = bodyBytes <= BLOCK_BYTES ? [Buffer.concat(parts)] : parts;
    pieces.forEach((piece) => this.writer.push(piece));
    if (this.writer.isBackpressured) {
      this.noteBuffered();
    }
    this.writer.end();
  }

  /** Sends the last bytes in one piece; a client that doesn't take them is behind like any other. */
  private endWith(body: Buffer): void {
    this.ended = true;
    this.response.end(body);
    if (this.response.writableLength > 0) {
      this.handleBackpressure();
    }
  }

  /** Starts to forward a runner's stream. */
  beginStream(head: AnswerHead): void {
    this.writeHead(head.status, head.reason, headersToClient(head.rawHeaders));
    this.response.flushHeaders();
  }

  /** Forwards a part of a stream; does nothing after the client has disconnected. */
  write(bytes: Buffer): void {
    if (this.response.destroyed) {
      return;
    }
    this.writer.push(bytes);
    if (this.writer.isBackpressured) {
      this.noteBuffered();
    }
  }

  /** Ends a complete stream. */
  end(): void {
    this.ended = true;
    this.writer.end();
  }

  /** Destroys the connection, so that a partial answer cannot be mistaken for a complete one. */
  abort(): void {
    const { socket, req } = this.response;
    if (req.httpVersion === '1.0') {
      // There are no chunks: an orderly end of the connection would mark the end of the answer.
      socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  /** Disconnects a client that does not read its answer, and ends the call. */
  cut(reason: string): void {
    const { runtime, memory, requestId } = this.options;
    memory.noteCut();
    runtime.log('warn', 'slow reader disconnected', {
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

  /** Updates the memory allocation after data was buffered, and pauses the source if the window is exceeded. */
  private noteBuffered(): void {
    const { heldBytes } = this;
    this.monitor.noteRunnerRead();
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

  /** Reads another window from a paused runner, which would otherwise time out. */
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

  /** Logs an answer that was passed on as a whole, and of which the client did not take the end. */
  private logUndelivered(): void {
    const { runtime, requestId, completion } = this.options;
    if (this.ended && !this.response.writableFinished) {
      runtime.log('info', 'answer not delivered', {
        event: 'relay.undelivered',
        request: requestId,
        held: this.heldBytes,
        closedBy: completion.closedBy ?? 'gateway',
      });
    }
  }

  private release(): void {
    this.monitor.stop();
    this.options.memory.removeReader(this);
    this.writer.discard();
    this.allocation.release();
  }

  private writeHead(status: number, reason: string, headers: string[]): void {
    this.response.writeHead(status, reason, headers);
    this.headSent = true;
  }
}
