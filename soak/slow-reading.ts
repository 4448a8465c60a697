/** Slow reading of long streams by clients of the soak, and the check that such readers are served at all. */
import type { IncomingMessage } from 'node:http';
import type { RandomSource } from '../src/runtime/random.js';

/** Number of events of a long stream. */
export const LONG_EVENTS = 150;
/** Length of the text of each of its events. */
export const LONG_EVENT_BYTES = 61_440;
/** Path of a 9 MB stream, which exceeds what the kernel buffers for a client that does not read. */
export const LONG_PATH = `/long/work?stream&events=${LONG_EVENTS}&fill=${LONG_EVENT_BYTES}`;

/** Up to this many long streams may all be interrupted by faults; of more, at least one must complete. */
const TOLERATED_INTERRUPTED_STREAMS = 10;

/** Returns a violation when enough long streams were requested and none was received completely. */
export function slowReaderViolations(counts: {
  readonly slowAsked: number;
  readonly slowWhole: number;
}): string[] {
  const { slowAsked, slowWhole } = counts;
  const isServed = slowAsked <= TOLERATED_INTERRUPTED_STREAMS || slowWhole > 0;
  return isServed
    ? []
    : [`slow readers: none of ${slowAsked} long streams was received completely`];
}

/** Number of pauses in one stream. */
const PAUSE_COUNT = 3;
/** Shortest and longest pause, in milliseconds. */
const PAUSE_MILLISECONDS: readonly [number, number] = [20, 700];
/** Time for which the client reads between two pauses, in milliseconds. */
const READ_MILLISECONDS = 30;

/** Pauses the reading of a response several times, for random durations. */
export class SlowReading {
  constructor(private readonly random: RandomSource) {}

  /** Pauses a response several times, then lets the rest be read. */
  slowDown(response: IncomingMessage): void {
    this.pause(response, PAUSE_COUNT);
  }

  private pause(response: IncomingMessage, remainingPauses: number): void {
    if (remainingPauses === 0 || response.destroyed) {
      return;
    }
    response.pause();
    setTimeout(
      () => {
        response.resume();
        setTimeout(() => this.pause(response, remainingPauses - 1), READ_MILLISECONDS);
      },
      this.random.integer(...PAUSE_MILLISECONDS),
    );
  }
}
