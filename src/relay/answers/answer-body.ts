/** Collects the body of a runner's answer, within bounds on its size and on the memory of the process. */
import { PartList } from '../../http-client/part-list.js';
import type { MemoryAccount, MemoryAllocation } from '../memory/memory-accounts.js';
import type { MemoryBudget } from '../memory/memory-budget.js';

/** Largest accepted body. */
export const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * Size up to which a body is collected whatever else the process holds. Larger ones need spare memory, so that many endless answers
 * at the same time don't use up what other requests need.
 */
export const SMALL_ANSWER_BYTES = 256 * 1024;

/** Body of one answer. */
export class AnswerBody {
  private readonly parts = new PartList();
  private readonly allocation: MemoryAllocation;

  constructor(
    private readonly memory: MemoryBudget,
    account: MemoryAccount,
  ) {
    this.allocation = memory.allocate(account);
  }

  /** Adds bytes; returns why there may be no more, and then holds none. */
  add(...parts: Buffer[]): string | undefined {
    for (const part of parts) {
      this.parts.add(part);
      this.allocation.add(part.length);
    }
    const { bytes } = this.allocation;
    if (bytes > MAXIMUM_ANSWER_BYTES) {
      this.clear();
      return 'the answer exceeds the maximum size';
    }
    if (this.parts.hasTooManyParts) {
      this.clear();
      return 'the answer has too many chunks';
    }
    if (bytes > SMALL_ANSWER_BYTES && !this.memory.canBufferSlowReaders) {
      this.clear();
      return `there is no memory for an answer of more than ${bytes} bytes`;
    }
    return undefined;
  }

  /** All bytes in order, in buffers of their own; they stay counted until the release. */
  get content(): readonly Buffer[] {
    return this.parts.content;
  }

  /** Returns all bytes; they stay counted until the release. */
  concat(): Buffer {
    return this.parts.concat();
  }

  /** Drops all bytes. */
  clear(): void {
    this.parts.clear();
    this.allocation.set(0);
  }

  /** Drops all bytes for good. */
  release(): void {
    this.parts.clear();
    this.allocation.release();
  }
}
