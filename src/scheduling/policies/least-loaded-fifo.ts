/** Baseline policy: calls in order of arrival, each on the engine with the fewest running calls. */
import type { CallTicket } from '../../wire/messages.js';
import { FifoQueue } from '../fifo-queue.js';
import type {
  EngineView,
  HoldDecision,
  Placement,
  PoolView,
  SchedulingPolicy,
} from '../pool-view.js';

/** Assigns the oldest call to the available engine with the fewest running calls. */
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
    // The baseline keeps no state per program.
  }
}
