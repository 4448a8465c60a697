/** How a client of the soak reads a long stream: in fits and starts, or not at all for a while. */
import type { IncomingMessage } from 'node:http';
import type { RandomSource } from '../src/runtime/random.js';

/** Events of a long stream. */
export const LONG_EVENTS = 150;
/** A stream of 9 MB: more than the kernel takes for a client that reads nothing. */
export const LONG_PATH = `/long/work?stream&events=${LONG_EVENTS}&fill=61440`;

/** Long streams that may all be broken off by faults; of more than these, one at least comes whole. */
const SLOW_ENOUGH = 10;

/** What is broken where clients that read slowly were never served whole, and enough of them asked to tell. */
export function slowReaderViolations(counts: {
  readonly slowAsked: number;
  readonly slowWhole: number;
}): string[] {
  const { slowAsked, slowWhole } = counts;
  const isServed = slowAsked <= SLOW_ENOUGH || slowWhole > 0;
  return isServed ? [] : [`slow readers: none of ${slowAsked} long streams came whole`];
}

/** Pauses of one stream, and the least and longest of them, in milliseconds. */
const PAUSES = 3;
const PAUSE_MILLISECONDS: readonly [number, number] = [20, 700];
/** Time read between two pauses, in milliseconds. */
const READ_MILLISECONDS = 30;

/** See the head of this file. */
export class SlowReading {
  constructor(private readonly random: RandomSource) {}

  /** Pauses an answer several times, then reads the rest. */
  slowDown(response: IncomingMessage): void {
    this.pause(response, PAUSES);
  }

  private pause(response: IncomingMessage, left: number): void {
    if (left === 0 || response.destroyed) {
      return;
    }
    response.pause();
    setTimeout(
      () => {
        response.resume();
        setTimeout(() => this.pause(response, left - 1), READ_MILLISECONDS);
      },
      this.random.integer(...PAUSE_MILLISECONDS),
    );
  }
}
