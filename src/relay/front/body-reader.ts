/** Reads the body of one request, within its bound, its time and the memory of the process. */
import type { IncomingMessage } from 'node:http';
import type { Runtime } from '../../runtime/runtime.js';
import type { Holding } from '../memory/memory-accounts.js';
import type { MemoryBudget } from '../memory/memory-budget.js';

/** How reading a body ended. */
export type BodyEnd =
  | { readonly tag: 'Whole'; readonly body: Buffer }
  /** It exceeds the bound. */
  | { readonly tag: 'TooLarge' }
  /** It did not come in time. */
  | { readonly tag: 'Late' }
  /** There is no memory for it, or there was none to begin in its time. */
  | { readonly tag: 'NoMemory' };

/** What a body is read with. */
export interface BodyReading {
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
  private over = false;
  private begun = false;
  private readonly cancel: () => void;
  private stopWaiting: () => void = () => undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly reading: BodyReading,
    private readonly holding: Holding,
    private readonly done: (end: BodyEnd) => void,
  ) {
    const { runtime, timeoutMilliseconds } = reading;
    this.cancel = runtime.setTimer(timeoutMilliseconds, () => this.endLate());
    request.on('error', () => this.giveUp());
    request.on('close', () => this.giveUp());
  }

  start(): void {
    if (hasBody(this.request)) {
      this.stopWaiting = this.reading.memory.whenBodyMayCome(() => this.read());
    } else {
      this.read();
    }
  }

  private read(): void {
    if (this.over) {
      return;
    }
    this.begun = true;
    this.request.on('data', (chunk: Buffer) => this.take(chunk));
    this.request.on('end', () => this.finish({ tag: 'Whole', body: this.joined() }));
  }

  /** A body that was never begun was kept waiting here: that is not its client's fault. */
  private endLate(): void {
    this.finish({ tag: this.begun ? 'Late' : 'NoMemory' });
  }

  private take(chunk: Buffer): void {
    if (this.over) {
      return;
    }
    this.bytes += chunk.length;
    if (this.bytes > this.reading.limitBytes) {
      this.finish({ tag: 'TooLarge' });
      return;
    }
    this.chunks.push(chunk);
    this.holding.set(this.bytes);
    if (this.reading.memory.level === 'cut') {
      this.finish({ tag: 'NoMemory' });
    }
  }

  private joined(): Buffer {
    return this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
  }

  private finish(end: BodyEnd): void {
    if (this.over) {
      return;
    }
    this.giveUp();
    if (end.tag !== 'Whole') {
      this.chunks.length = 0;
      this.holding.release();
    }
    this.done(end);
  }

  private giveUp(): void {
    this.over = true;
    this.cancel();
    this.stopWaiting();
  }
}

/**
 * Reads a body; calls back once, unless the client leaves before. The holding counts what was read; a whole body
 * stays counted until the caller releases it.
 */
export function readBody(
  request: IncomingMessage,
  reading: BodyReading,
  holding: Holding,
  done: (end: BodyEnd) => void,
): void {
  new BodyReader(request, reading, holding, done).start();
}
