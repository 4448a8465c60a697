/**
 * Shares the time for bodies in very small chunks, which take the processor for each chunk: one slice of one connection is parsed at
 * a time, and whatever else the process does goes on between two of them.
 */
import type { Runtime } from '../runtime/runtime.js';

/** Connections whose next bytes are full of small chunks, in the order of their turns. */
export class SmallChunkQueue {
  private readonly turns: (() => void)[] = [];
  private isScheduled = false;

  constructor(private readonly runtime: Runtime) {}

  /** Calls `parse` when its turn comes. */
  add(parse: () => void): void {
    this.turns.push(parse);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.turns.length === 0) {
      return;
    }
    this.isScheduled = true;
    this.runtime.setTimer(0, () => {
      this.isScheduled = false;
      this.turns.shift()?.();
      this.schedule();
    });
  }
}
