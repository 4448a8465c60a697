/**
 * Bounds what a replica holds. All turns that are kept stay in its memory for as long as their routes tell, and a replica beyond the
 * memory of its machine is killed; so would be its successor, which reads the same turns from the disk.
 */
import type { BufferHeap } from '../runtime/buffer-collector.js';
import type { Runtime } from '../runtime/runtime.js';

/** Share of the memory limit in use from which on nothing more is kept; the rest is for messages and for gaps between buffers. */
const KEEP_SHARE = 0.75;
/**
 * Share from which on nothing is copied from other members either. It is larger, so that a member whose disk was lost can copy all that
 * others have kept.
 */
const COPY_SHARE = 0.85;
/** Time between two collections that find out whether what is in use is needed, in milliseconds. */
const COLLECTION_INTERVAL_MILLISECONDS = 1_000;
/** Minimum time between two log lines, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Tells whether a replica may take more turns. */
export interface TurnMemory {
  /** Whether no more turns of callers may be kept. */
  readonly isFull: boolean;
  /** Whether no more turns of other members may be copied. */
  readonly isExhausted: boolean;
  /** Notes that a turn was refused. */
  noteRefused(): void;
}

/** Limit on the memory of the process. */
export class ReplicaMemoryLimit implements TurnMemory {
  private collectedAt = -Infinity;
  private loggedAt = -Infinity;
  private refusedCount = 0;

  constructor(
    private readonly runtime: Pick<Runtime, 'now' | 'log'>,
    private readonly heap: Pick<BufferHeap, 'usedBytes' | 'collectAll'>,
    private readonly limitBytes: number,
  ) {}

  get isFull(): boolean {
    return this.isBeyond(KEEP_SHARE);
  }

  get isExhausted(): boolean {
    return this.isBeyond(COPY_SHARE);
  }

  /** Whether more than a share is in use; collects first, now and then, since much of it may be of no use. */
  private isBeyond(share: number): boolean {
    if (this.heap.usedBytes() < this.limitBytes * share) {
      return false;
    }
    const now = this.runtime.now();
    if (now - this.collectedAt >= COLLECTION_INTERVAL_MILLISECONDS) {
      // The bytes are free soon afterwards, and later calls see what was left.
      this.collectedAt = now;
      this.heap.collectAll();
      return false;
    }
    return true;
  }

  noteRefused(): void {
    this.refusedCount += 1;
    const now = this.runtime.now();
    if (now - this.loggedAt < LOG_INTERVAL_MILLISECONDS) {
      return;
    }
    this.loggedAt = now;
    this.runtime.log('error', 'no memory for more turns', {
      event: 'replica.full',
      used: this.heap.usedBytes(),
      limit: this.limitBytes,
      count: this.refusedCount,
    });
  }
}
