/**
 * Reads the body of a request, within limits on its size, its time and the memory of the process.
 */
import type { IncomingMessage } from 'node:http';
import { PartList } from '../../http-client/part-list.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { MemoryBudget, SlowSender } from '../memory/memory-budget.js';

/** Result of reading a body. */
export type BodyResult =
  | { readonly tag: 'Whole'; readonly body: Buffer }
  /** The body exceeds the size limit. */
  | { readonly tag: 'TooLarge' }
  /** The body did not arrive in time. */
  | { readonly tag: 'Late' }
  /** The body has too many bytes around its content. */
  | { readonly tag: 'TooMuchFraming' }
  /** There is no memory for the body, or none became available in time to start reading. */
  | { readonly tag: 'NoMemory' }
  /** The client sent too little for too long, while memory was short. */
  | { readonly tag: 'Idle' }
  /** The process stops. */
  | { readonly tag: 'Stopped' };

/** Why a body is given up by others than its reader. */
export type BodyRefusal = 'TooMuchFraming' | 'Stopped';

/** Gives a body up; returns false if it was read or given up before. */
export type RefuseBody = (reason: BodyRefusal) => boolean;

/** Options for reading a body. */
export interface BodyReadOptions {
  readonly runtime: Runtime;
  readonly memory: MemoryBudget;
  /** Maximum size of the body, in bytes. */
  readonly limitBytes: number;
  readonly timeoutMilliseconds: number;
  /** Time without a notable part of the body after which it is given up, in milliseconds. */
  readonly idleMilliseconds: number;
  /** Bytes that the request takes beside its body. */
  readonly requestBytes: number;
}

/** Bytes of a body that show that its client is sending; fewer may be sent just to keep the request open. */
const PROGRESS_BYTES = 1_024;

/** Whether a request has a body; a request without one never waits for memory. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

class BodyReader implements SlowSender {
  private readonly parts = new PartList();
  private finished = false;
  private started = false;
  private readonly cancelTimeout: () => void;
  private cancelWait: () => void = () => undefined;
  private cancelIdleCheck: () => void = () => undefined;
  private progressAt: number;
  private progressBytes = 0;

  constructor(
    private readonly request: IncomingMessage,
    private readonly options: BodyReadOptions,
    private readonly allocation: MemoryAllocation,
    private readonly done: (result: BodyResult) => void,
  ) {
    const { runtime, timeoutMilliseconds } = options;
    this.progressAt = runtime.now();
    this.cancelTimeout = runtime.setTimer(timeoutMilliseconds, () => this.finishLate());
    request.on('error', () => this.detach());
    request.on('close', () => this.detach());
  }

  start(): void {
    if (hasBody(this.request)) {
      this.cancelWait = this.options.memory.whenBodyAccepted(() => this.read());
    } else {
      this.read();
    }
  }

  private read(): void {
    if (this.finished) {
      return;
    }
    this.started = true;
    this.progressAt = this.options.runtime.now();
    if (!this.request.complete) {
      this.options.memory.addSender(this);
      this.checkIdleAfter(this.options.idleMilliseconds);
    }
    this.request.on('data', (chunk: Buffer) => this.addChunk(chunk));
    this.request.on('end', () => this.finish({ tag: 'Whole', body: this.parts.concat() }));
  }

  /** Bytes held for the request. */
  get heldBytes(): number {
    return this.parts.bytes + this.options.requestBytes;
  }

  /** Time since the client last sent a notable part of the body, in milliseconds. */
  get idleMilliseconds(): number {
    return this.options.runtime.now() - this.progressAt;
  }

  private checkIdleAfter(milliseconds: number): void {
    const { runtime, idleMilliseconds: limit } = this.options;
    this.cancelIdleCheck = runtime.setTimer(milliseconds, () => {
      const left = limit - this.idleMilliseconds;
      if (left > 0) {
        this.checkIdleAfter(left);
      } else {
        this.finish({ tag: 'Late' });
      }
    });
  }

  /**
   * Ends reading at the timeout. If reading never started, the cause is a shortage of memory here
   * and not the client.
   */
  private finishLate(): void {
    this.finish({ tag: this.started ? 'Late' : 'NoMemory' });
  }

  private addChunk(chunk: Buffer): void {
    if (this.finished) {
      return;
    }
    this.parts.add(chunk);
    if (this.parts.bytes - this.progressBytes >= PROGRESS_BYTES) {
      this.progressBytes = this.parts.bytes;
      this.progressAt = this.options.runtime.now();
    }
    if (this.parts.bytes > this.options.limitBytes) {
      this.finish({ tag: 'TooLarge' });
      return;
    }
    this.allocation.set(this.parts.bytes);
    if (this.options.memory.level === 'cut') {
      this.finish({ tag: 'NoMemory' });
    }
  }

  /** Gives the body up since its client is idle and memory is short. */
  refuse(): void {
    this.finish({ tag: 'Idle' });
  }

  /** Gives the body up; returns false if it was read or given up before. */
  giveUp(tag: BodyRefusal): boolean {
    if (this.finished) {
      return false;
    }
    this.finish({ tag });
    return true;
  }

  private finish(result: BodyResult): void {
    if (this.finished) {
      return;
    }
    this.detach();
    if (result.tag !== 'Whole') {
      this.parts.clear();
      this.allocation.release();
    }
    this.done(result);
  }

  private detach(): void {
    this.finished = true;
    this.cancelTimeout();
    this.cancelWait();
    this.cancelIdleCheck();
    this.options.memory.removeSender(this);
  }
}

/**
 * Reads a body; calls back once, unless the client disconnects first. The allocation counts the
 * bytes read; those of a complete body stay counted until the caller releases them.
 * @returns a function that ends reading
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReadOptions,
  allocation: MemoryAllocation,
  done: (result: BodyResult) => void,
): RefuseBody {
  const reader = new BodyReader(request, options, allocation, done);
  reader.start();
  return (reason) => reader.giveUp(reason);
}
