/** Buffers a runner's plain answer and forwards it once it is complete. */
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { AnsweredCall, AnswerHead, AnswerReader } from './answer-reader.js';

/** Largest accepted body of a plain answer. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Reader of one attempt's plain answer. */
export class PlainAnswer implements AnswerReader {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private head: AnswerHead | undefined;

  private readonly allocation: MemoryAllocation;

  constructor(private readonly call: AnsweredCall) {
    this.allocation = call.context.memory.allocate('answers');
  }

  onHead(head: AnswerHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    this.allocation.set(this.bytes);
    if (this.bytes > MAXIMUM_ANSWER_BYTES) {
      this.call.failAttempt({ tag: 'BadAnswer', detail: 'the answer exceeds the maximum size' });
    }
  }

  onEnd(): void {
    if (this.head !== undefined) {
      this.call.noteFirstByte();
      const body = Buffer.concat(this.chunks);
      this.release();
      this.call.answer.sendWhole(this.head, body);
      this.call.finishAnswered(this.head.status);
    }
  }

  release(): void {
    this.chunks.length = 0;
    this.allocation.release();
  }
}
