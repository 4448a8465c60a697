/** Buffers a runner's plain answer and forwards it once it is complete. */
import { AnswerBody } from './answer-body.js';
import type { AnsweredCall, AnswerHead, AnswerReader } from './answer-reader.js';

/** Reader of one attempt's plain answer. */
export class PlainAnswer implements AnswerReader {
  private readonly body: AnswerBody;
  private head: AnswerHead | undefined;

  constructor(private readonly call: AnsweredCall) {
    this.body = new AnswerBody(call.context.memory, 'answers');
  }

  onHead(head: AnswerHead): void {
    this.head = head;
  }

  onData(chunk: Buffer): void {
    const refusal = this.body.add(chunk);
    if (refusal !== undefined) {
      this.call.failAttempt({ tag: 'BadAnswer', detail: refusal });
    }
  }

  onEnd(): void {
    if (this.head !== undefined) {
      this.call.noteFirstByte();
      const { content } = this.body;
      this.release();
      this.call.answer.sendWhole(this.head, content);
      this.call.finishAnswered(this.head.status);
    }
  }

  release(): void {
    this.body.release();
  }
}
