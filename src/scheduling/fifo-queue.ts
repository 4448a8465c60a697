/** The queue of the baseline policies: calls in order of arrival. */
import type { CallId } from '../model/identifiers.js';
import type { CallTicket } from '../wire/messages.js';

/** A first-in, first-out queue from which any call can be removed. */
export class FifoQueue {
  private readonly tickets = new Map<CallId, CallTicket>();

  add(ticket: CallTicket): void {
    this.tickets.set(ticket.call, ticket);
  }

  /** Removes a call; does nothing if the queue does not contain it. */
  remove(call: CallId): void {
    this.tickets.delete(call);
  }

  /** Returns the oldest call without removing it. */
  peek(): CallTicket | undefined {
    for (const ticket of this.tickets.values()) {
      return ticket;
    }
    return undefined;
  }
}
