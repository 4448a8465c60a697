/** Reads the body of one request, within its bound, its time and the memory of the process. */
import type { IncomingMessage } from 'node:http';
import type { Runtime } from '../../runtime/runtime.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { MemoryBudget } from '../memory/memory-budget.js';

/** How reading a body ended. */
export type BodyResult =
  | { readonly tag: 'Whole'; readonly body: Buffer }
  /** It exceeds the bound. */
  | { readonly tag: 'TooLarge' }
  /** It did not come in time. */
  | { readonly tag: 'Late' }
  /** There is no memory for it, or there was none to begin in its time. */
  | { readonly tag: 'NoMemory' };

/** What a body is read with. */
export interface BodyReadOptions {
  readonly runtime: Runtime;
  readonly memory: MemoryBudget;
  /** Most bytes of the body. */
  readonly limitBytes: number;
  readonly timeoutMilliseconds: number;
}

/** Whether a request has a body at all: one without is never made to wait. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
}

class BodyReader {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private finished = false;
  private started = false;
  private readonly cancelTimeout: () => void;
  private cancelWait: () => void = () => undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly options: BodyReadOptions,
    private readonly allocation: MemoryAllocation,
    private readonly done: (result: BodyResult) => void,
  ) {
    const { runtime, timeoutMilliseconds } = options;
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
    this.request.on('data', (chunk: Buffer) => this.addChunk(chunk));
    this.request.on('end', () => this.finish({ tag: 'Whole', body: this.wholeBody() }));
  }

  /** A body that was never begun was kept waiting here: that is not its client's fault. */
  private finishLate(): void {
    this.finish({ tag: this.started ? 'Late' : 'NoMemory' });
  }

  private addChunk(chunk: Buffer): void {
    if (this.finished) {
      return;
    }
    this.bytes += chunk.length;
    if (this.bytes > this.options.limitBytes) {
      this.finish({ tag: 'TooLarge' });
      return;
    }
    this.chunks.push(chunk);
    this.allocation.set(this.bytes);
    if (this.options.memory.level === 'cut') {
      this.finish({ tag: 'NoMemory' });
    }
  }

  private wholeBody(): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
  }

  private finish(result: BodyResult): void {
    if (this.finished) {
      return;
    }
    this.detach();
    if (result.tag !== 'Whole') {
      this.chunks.length = 0;
      this.allocation.release();
    }
    this.done(result);
  }

  private detach(): void {
    this.finished = true;
    this.cancelTimeout();
    this.cancelWait();
  }
}

/**
 * Reads a body; calls back once, unless the client leaves before. The holding counts what was read; a whole body
 * stays counted until the caller releases it.
 */
export function readBody(
  request: IncomingMessage,
  options: BodyReadOptions,
  allocation: MemoryAllocation,
  done: (result: BodyResult) => void,
): void {
  new BodyReader(request, options, allocation, done).start();
}
