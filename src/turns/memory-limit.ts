/**
 * Bounds what a replica holds. All turns that are kept stay in its memory for as long as their routes tell, and a replica beyond the
 * memory of its machine is killed; so would be its successor, which reads the same turns from the disk.
 */
import type { BufferHeap } from '../runtime/buffer-collector.js';
import type { Runtime } from '../runtime/runtime.js';

/** Share of the memory limit in use from which on nothing more is kept; the rest is for messages and for gaps between buffers. */
const USABLE_SHARE = 0.75;
/** Time between two collections that find out whether what is in use is needed, in milliseconds. */
const COLLECTION_INTERVAL_MILLISECONDS = 1_000;
/** Minimum time between two log lines, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Tells whether a replica may take more turns. */
export interface TurnMemory {
  /** Whether nothing more may be kept. */
  readonly isReached: boolean;
  /** Notes that a turn was refused. */
  noteRefused(): void;
}

/** Limit on the memory of the process. */
export class ReplicaMemoryLimit implements TurnMemory {
  private reached = false;
  private collectedAt = -Infinity;
  private loggedAt = -Infinity;
  private refusedCount = 0;

  constructor(
    private readonly runtime: Pick<Runtime, 'now' | 'log'>,
    private readonly heap: Pick<BufferHeap, 'usedBytes' | 'collectAll'>,
    private readonly limitBytes: number,
  ) {}

  get isReached(): boolean {
    const usedBytes = this.heap.usedBytes();
    if (usedBytes < this.limitBytes * USABLE_SHARE) {
      this.reached = false;
    } else if (this.runtime.now() - this.collectedAt >= COLLECTION_INTERVAL_MILLISECONDS) {
      // The next call sees what was left.
      this.collectedAt = this.runtime.now();
      this.heap.collectAll();
    } else {
      this.reached = true;
    }
    return this.reached;
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
