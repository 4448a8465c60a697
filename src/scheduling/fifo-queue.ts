/** Calls in order of arrival; the queue of the baseline policies. */
import type { CallId } from '../model/identifiers.js';
import type { CallTicket } from '../wire/messages.js';

/** A first-come-first-served queue with removal. */
export class FifoQueue {
  private readonly tickets = new Map<CallId, CallTicket>();

  /** Appends a call. */
  add(ticket: CallTicket): void {
    this.tickets.set(ticket.call, ticket);
  }

  /** Removes a call. */
  remove(call: CallId): void {
    this.tickets.delete(call);
  }

  /** The call that came first. */
  peek(): CallTicket | undefined {
    for (const ticket of this.tickets.values()) {
      return ticket;
    }
    return undefined;
  }
}
