/** Baseline: calls in order of arrival, each to the back end with the fewest running calls. */
import type { CallTicket } from '../../wire/messages.js';
import { FifoQueue } from '../fifo-queue.js';
import type {
  EngineView,
  HoldDecision,
  Placement,
  PoolView,
  SchedulingPolicy,
} from '../pool-view.js';

/** Least outstanding calls first. */
export class LeastLoadedPolicy implements SchedulingPolicy {
  readonly name = 'least-loaded-fifo';
  readonly releasesMemory = false;
  private readonly queue = new FifoQueue();

  enqueue(ticket: CallTicket): void {
    this.queue.add(ticket);
  }

  remove(ticket: CallTicket): void {
    this.queue.remove(ticket.call);
  }

  choose(pool: PoolView): Placement | undefined {
    const ticket = this.queue.peek();
    if (ticket === undefined) {
      return undefined;
    }
    let best: EngineView | undefined;
    for (const engine of pool.engines) {
      const free = engine.available && engine.running < engine.concurrency;
      if (free && (best === undefined || engine.running < best.running)) {
        best = engine;
      }
    }
    if (best === undefined) {
      return undefined;
    }
    this.queue.remove(ticket.call);
    return { ticket, engine: best };
  }

  finished(): HoldDecision {
    return { type: 'leave' };
  }

  programEnded(): void {
    // The baseline knows nothing of programs.
  }
}
