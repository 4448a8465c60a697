/** Sums of loads by runner, and the newest load message of each sender. */
import type { LoadMessage, RunnerLoad } from './load-message.js';

/** Number of requests by the hash of their runner. */
export type LoadVector = ReadonlyMap<number, number>;

/** The last message of one sender. */
export interface ReceivedMessage {
  readonly message: LoadMessage;
  /** Local time of receipt, in milliseconds. */
  readonly receivedAt: number;
}

/** Sums loads by runner. */
export function sumLoads(lists: Iterable<readonly RunnerLoad[]>): Map<number, number> {
  const sums = new Map<number, number>();
  for (const loads of lists) {
    for (const { runnerHash, inFlight } of loads) {
      sums.set(runnerHash, (sums.get(runnerHash) ?? 0) + inFlight);
    }
  }
  return sums;
}

/** Converts sums to the loads of a message; runners without requests are left out. */
export function toRunnerLoads(sums: LoadVector): RunnerLoad[] {
  return [...sums].flatMap(([runnerHash, inFlight]) =>
    inFlight > 0 ? [{ runnerHash, inFlight: Math.min(inFlight, MAXIMUM_LOAD) }] : [],
  );
}

/** Largest number of requests at one runner that fits a message. */
const MAXIMUM_LOAD = 0xffff;

/** Time after which a message is dropped whatever its scope, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

/** Keeps the newest message of each sender until the sender has been silent for too long. */
export class LatestMessages {
  private readonly bySender = new Map<string, ReceivedMessage>();

  /**
   * Stores a message; returns false if a message of the same life with the same or a higher
   * sequence number was stored before.
   */
  accept(sender: string, message: LoadMessage, receivedAt: number): boolean {
    const known = this.bySender.get(sender)?.message;
    if (known?.life === message.life && message.sequence <= known.sequence) {
      return false;
    }
    // Reinserting the entry keeps the map in order of receipt.
    this.bySender.delete(sender);
    this.bySender.set(sender, { message, receivedAt });
    this.forgetBefore(receivedAt - RETENTION_MILLISECONDS);
    return true;
  }

  /** Returns the messages received since a local time, newest last. */
  since(time: number): LoadMessage[] {
    return [...this.bySender.values()].flatMap(({ message, receivedAt }) =>
      receivedAt >= time ? [message] : [],
    );
  }

  private forgetBefore(time: number): void {
    for (const [sender, { receivedAt }] of this.bySender) {
      if (receivedAt >= time) {
        return;
      }
      this.bySender.delete(sender);
    }
  }
}
