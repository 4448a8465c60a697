/** Virtual time: events run one after another in the order of their time, then of their making. */
import TinyQueue from 'tinyqueue';
import type { CancelTimer } from '../runtime/runtime.js';

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  run: (() => void) | undefined;
}

/** A clock that moves only from event to event. */
export class VirtualClock {
  private readonly events = new TinyQueue<ScheduledEvent>(
    [],
    (left, right) => left.at - right.at || left.sequence - right.sequence,
  );
  private time = 0;
  private scheduledCount = 0;

  /** Virtual milliseconds since the start. */
  get now(): number {
    return this.time;
  }

  /** Number of events made so far. */
  get eventCount(): number {
    return this.scheduledCount;
  }

  /** Runs something later. */
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

  /** Runs all events up to a time, or until a condition holds; true when it came to hold. */
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
