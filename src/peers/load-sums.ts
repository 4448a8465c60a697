/**
 * Requests at each runner as gateways have told them: of one gateway, of all of a zone, or of all
 * zones. What a silent sender told is forgotten soon.
 */
import type { LoadMessage, RunnerLoad } from './load-message.js';

/** Requests by the hash of their runner. */
export type LoadVector = ReadonlyMap<number, number>;

/** What one sender told last. */
export interface ReceivedMessage {
  readonly message: LoadMessage;
  /** Local time at which it was heard, in milliseconds. */
  readonly heardAt: number;
}

/** Adds up loads by runner. */
export function sumLoads(lists: Iterable<readonly RunnerLoad[]>): Map<number, number> {
  const sums = new Map<number, number>();
  for (const loads of lists) {
    for (const { runnerHash, inFlight } of loads) {
      sums.set(runnerHash, (sums.get(runnerHash) ?? 0) + inFlight);
    }
  }
  return sums;
}

/** Loads as a list for a message. */
export function toRunnerLoads(sums: LoadVector): RunnerLoad[] {
  return [...sums].flatMap(([runnerHash, inFlight]) =>
    inFlight > 0 ? [{ runnerHash, inFlight: Math.min(inFlight, MAXIMUM_LOAD) }] : [],
  );
}

/** Largest number of requests that a message tells of one runner. */
const MAXIMUM_LOAD = 0xffff;

/** Time after which a message is of no use to anybody, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

/** The newest message of each sender, dropped when it has been silent for too long. */
export class LatestMessages {
  private readonly bySender = new Map<string, ReceivedMessage>();

  /** Takes a message; false when a newer one of the same life of its sender was taken before. */
  accept(sender: string, message: LoadMessage, heardAt: number): boolean {
    const known = this.bySender.get(sender)?.message;
    if (known?.life === message.life && message.sequence <= known.sequence) {
      return false;
    }
    // Put at the end: messages stay in the order in which they were heard.
    this.bySender.delete(sender);
    this.bySender.set(sender, { message, heardAt });
    this.forgetBefore(heardAt - RETENTION_MILLISECONDS);
    return true;
  }

  /** Messages heard since a local time, the newest last. */
  since(time: number): LoadMessage[] {
    return [...this.bySender.values()].flatMap(({ message, heardAt }) =>
      heardAt >= time ? [message] : [],
    );
  }

  private forgetBefore(time: number): void {
    for (const [sender, { heardAt }] of this.bySender) {
      if (heardAt >= time) {
        return;
      }
      this.bySender.delete(sender);
    }
  }
}
