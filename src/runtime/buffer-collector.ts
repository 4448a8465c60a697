/**
 * Collects buffers that nothing refers to any more. Each read of a connection takes a buffer outside the heap, and V8 lets up to 64 MB of
 * them wait for its next collection, however little memory the process has.
 */

/** The heap, as far as buffers are concerned. */
export interface BufferHeap {
  /** Bytes of all buffers, those that wait to be collected included. */
  bufferBytes(): number;
  /** Bytes of the process: its heap, all buffers, and what is planned for the runtime itself. */
  usedBytes(): number;
  /** Collects buffers that were created lately; takes some milliseconds. The bytes are free soon afterwards. */
  collectYoung(): void;
  /** Collects all buffers; takes longer the larger the heap is. The bytes are free soon afterwards. */
  collectAll(): void;
}

/** Bytes of new buffers between two looks at the heap. */
const CHECK_BYTES = 1024 * 1024;
/** Share of the allowance by which buffers may grow until the young ones are collected. */
const YOUNG_SHARE = 0.25;
/** Share of what is left of the memory limit by which buffers may grow until all are collected, if that is less than the allowance. */
const LEFT_SHARE = 0.5;
/** Growth that is always allowed, in bytes: a process at its limit does other things than collecting. */
const MINIMUM_ALLOWANCE_BYTES = 4 * 1024 * 1024;

/** Starts collections once the buffers of a process have grown by more than its plan leaves for those that wait. */
export class BufferCollector {
  private uncheckedBytes = 0;
  /** Least bytes of buffers since all were collected. */
  private baseBytes = Infinity;
  /** Least bytes of buffers since any were collected. */
  private youngBaseBytes = Infinity;
  /** What was collected at the last look. */
  private collected: 'nothing' | 'young' | 'all' = 'nothing';

  /**
   * @param allowanceBytes growth of the buffers from which on all are collected
   * @param limitBytes memory of the process
   */
  constructor(
    private readonly heap: BufferHeap,
    private readonly allowanceBytes: number,
    private readonly limitBytes = Infinity,
  ) {}

  /** Notes that buffers of this size were created. */
  noteBuffers(bytes: number): void {
    this.uncheckedBytes += bytes;
    if (this.uncheckedBytes >= CHECK_BYTES) {
      this.uncheckedBytes = 0;
      this.check();
    }
  }

  private check(): void {
    const { heap, collected } = this;
    const allowanceBytes = this.currentAllowanceBytes;
    const bytes = heap.bufferBytes();
    this.baseBytes = collected === 'all' ? bytes : Math.min(this.baseBytes, bytes);
    this.youngBaseBytes = collected === 'nothing' ? Math.min(this.youngBaseBytes, bytes) : bytes;
    if (bytes - this.baseBytes >= allowanceBytes) {
      this.collected = 'all';
      heap.collectAll();
    } else if (bytes - this.youngBaseBytes >= allowanceBytes * YOUNG_SHARE) {
      this.collected = 'young';
      heap.collectYoung();
    } else {
      this.collected = 'nothing';
    }
  }

  private get currentAllowanceBytes(): number {
    const leftBytes = this.limitBytes - this.heap.usedBytes();
    const allowed = Math.min(this.allowanceBytes, leftBytes * LEFT_SHARE);
    return Math.max(allowed, MINIMUM_ALLOWANCE_BYTES);
  }
}
