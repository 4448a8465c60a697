/** Baseline policy: calls in order of arrival, engines in rotation. */
import type { CallTicket } from '../../wire/messages.js';
import { FifoQueue } from '../fifo-queue.js';
import type { HoldDecision, Placement, PoolView, SchedulingPolicy } from '../pool-view.js';

/** Assigns the oldest call to the next available engine with a free slot. */
export class RoundRobinPolicy implements SchedulingPolicy {
  readonly name = 'round-robin-fifo';
  readonly releasesMemory = false;
  private readonly queue = new FifoQueue();
  private next = 0;

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
    for (let step = 0; step < pool.engines.length; step += 1) {
      const engine = pool.engines[(this.next + step) % pool.engines.length]!;
      if (engine.available && engine.running < engine.concurrency) {
        this.next = (this.next + step + 1) % pool.engines.length;
        this.queue.remove(ticket.call);
        return { ticket, engine };
      }
    }
    return undefined;
  }

  finished(): HoldDecision {
    return { type: 'leave' };
  }

  programEnded(): void {
    // The baseline keeps no state per program.
  }
}
