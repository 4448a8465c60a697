/** Virtual time for simulations. */
import TinyQueue from 'tinyqueue';
import type { CancelTimer } from '../runtime/runtime.js';

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  run: (() => void) | undefined;
}

/** A clock that advances from event to event; events at the same time run in scheduling order. */
export class VirtualClock {
  private readonly events = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  private time = 0;
  private scheduledCount = 0;

  /** Milliseconds of virtual time since the start. */
  get now(): number {
    return this.time;
  }

  /** Number of events scheduled so far. */
  get eventCount(): number {
    return this.scheduledCount;
  }

  /** Schedules a callback after a delay in milliseconds; returns a function that cancels it. */
  schedule(delay: number, run: () => void): CancelTimer {
    this.scheduledCount += 1;
    const event: ScheduledEvent = {
      at: this.time + Math.max(0, delay),
      sequence: this.scheduledCount,
      run,
    };
    this.events.push(event);
    return () => {
      event.run = undefined;
    };
  }

  /** Runs all events up to a time, or until a condition holds; returns whether it holds. */
  runUntil(time: number, finished: () => boolean = () => false): boolean {
    for (let event = this.events.peek(); event !== undefined; event = this.events.peek()) {
      if (finished()) {
        return true;
      }
      if (event.at > time) {
        break;
      }
      this.events.pop();
      this.time = event.at;
      event.run?.();
    }
    this.time = Math.max(this.time, time);
    return finished();
  }
}
