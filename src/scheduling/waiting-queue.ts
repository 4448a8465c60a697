/**
 * Orders waiting calls by class, then by group using weighted fair queueing over virtual time, then
 * by the rank that the policy assigned. Operations take amortized logarithmic time in the number of
 * waiting calls.
 */
import TinyQueue from 'tinyqueue';
import type { CallId, GroupName } from '../model/identifiers.js';
import { CALL_CLASSES } from '../model/call.js';
import type { CallClass } from '../model/call.js';
import type { CallTicket } from '../wire/messages.js';

/** A waiting call with its rank. */
export interface RankedTicket {
  readonly ticket: CallTicket;
  /** The lowest rank is served first among the calls of a group and class. */
  readonly rank: number;
  /** Monotonic time in milliseconds. */
  readonly enqueuedAt: number;
}

interface GroupQueue {
  readonly group: GroupName;
  readonly tickets: TinyQueue<RankedTicket>;
}

interface GroupHeapEntry {
  readonly queue: GroupQueue;
  /** The group's virtual time when the entry was pushed. */
  readonly virtualTime: number;
}

/** Time in milliseconds after which a waiting call may be served ahead of higher classes. */
const STARVATION_MILLISECONDS: Readonly<Record<CallClass, number>> = {
  urgent: Infinity,
  interactive: 60_000,
  batch: 120_000,
};
/** Minimum number of calls served in regular order between two starved ones. */
const CALLS_PER_STARVED_CALL = 8;
/**
 * Maximum lag behind the system's virtual time that a group keeps while idle, in milliseconds of
 * service per unit of share.
 */
const MAXIMUM_LAG = 20_000;

/** The queue of one pool. */
export class WaitingQueue {
  /** The waiting calls. A heap entry of a call that is not listed here is stale. */
  private readonly waitingByCall = new Map<CallId, RankedTicket>();
  private readonly virtualTimes = new Map<GroupName, number>();
  private readonly groups = new Map<CallClass, Map<GroupName, GroupQueue>>();
  private readonly groupHeaps = new Map<CallClass, TinyQueue<GroupHeapEntry>>();
  private readonly arrivals = new Map<CallClass, RankedTicket[]>();
  private systemVirtualTime = 0;
  private servedSinceStarved = 0;

  constructor() {
    for (const callClass of CALL_CLASSES) {
      this.groups.set(callClass, new Map());
      this.groupHeaps.set(
        callClass,
        new TinyQueue<GroupHeapEntry>([], (left, right) => left.virtualTime - right.virtualTime),
      );
      this.arrivals.set(callClass, []);
    }
  }

  get size(): number {
    return this.waitingByCall.size;
  }

  add(ranked: RankedTicket): void {
    const { ticket } = ranked;
    this.waitingByCall.set(ticket.call, ranked);
    const groups = this.groups.get(ticket.callClass)!;
    let queue = groups.get(ticket.group);
    if (queue === undefined) {
      queue = {
        group: ticket.group,
        tickets: new TinyQueue<RankedTicket>([], (left, right) => left.rank - right.rank),
      };
      groups.set(ticket.group, queue);
    }
    const wasEmpty = queue.tickets.length === 0;
    queue.tickets.push(ranked);
    this.arrivals.get(ticket.callClass)!.push(ranked);
    if (wasEmpty) {
      this.scheduleGroup(ticket.callClass, queue);
    }
  }

  /** Removes a call. Its heap entries are discarded later, when they reach the front. */
  remove(call: CallId): void {
    this.waitingByCall.delete(call);
  }

  /** Removes and returns the next call to serve. */
  take(now: number): RankedTicket | undefined {
    const starving = this.takeStarving(now);
    if (starving !== undefined) {
      return starving;
    }
    for (const callClass of CALL_CLASSES) {
      const taken = this.takeFromClass(callClass);
      if (taken !== undefined) {
        this.servedSinceStarved += 1;
        return taken;
      }
    }
    return undefined;
  }

  /** Charges a group a cost in milliseconds of service; a negative cost refunds an overestimate. */
  charge(group: GroupName, cost: number, share: number): void {
    const start = Math.max(this.virtualTimeOf(group), this.systemVirtualTime - MAXIMUM_LAG);
    this.virtualTimes.set(group, start + cost / Math.max(share, 0.001));
  }

  /** Returns a group's virtual time: the cost charged to it, divided by its share. */
  virtualTimeOf(group: GroupName): number {
    return this.virtualTimes.get(group) ?? this.systemVirtualTime;
  }

  private scheduleGroup(callClass: CallClass, queue: GroupQueue): void {
    const floor = this.systemVirtualTime - MAXIMUM_LAG;
    const virtualTime = Math.max(this.virtualTimeOf(queue.group), floor);
    this.virtualTimes.set(queue.group, virtualTime);
    this.groupHeaps.get(callClass)!.push({ queue, virtualTime });
  }

  private takeFromClass(callClass: CallClass): RankedTicket | undefined {
    const heap = this.groupHeaps.get(callClass)!;
    for (let entry = heap.pop(); entry !== undefined; entry = heap.pop()) {
      const { queue } = entry;
      this.dropRemoved(queue);
      if (queue.tickets.length === 0) {
        continue;
      }
      const current = this.virtualTimeOf(queue.group);
      if (current > entry.virtualTime) {
        // The group was charged since this entry was pushed: reinsert it at its virtual time.
        heap.push({ queue, virtualTime: current });
        continue;
      }
      const taken = queue.tickets.pop()!;
      this.waitingByCall.delete(taken.ticket.call);
      this.systemVirtualTime = Math.max(this.systemVirtualTime, entry.virtualTime);
      if (queue.tickets.length > 0) {
        heap.push({ queue, virtualTime: current });
      }
      return taken;
    }
    return undefined;
  }

  private dropRemoved(queue: GroupQueue): void {
    for (let head = queue.tickets.peek(); head !== undefined; head = queue.tickets.peek()) {
      if (this.waitingByCall.get(head.ticket.call) === head) {
        return;
      }
      queue.tickets.pop();
    }
  }

  private takeStarving(now: number): RankedTicket | undefined {
    if (this.servedSinceStarved < CALLS_PER_STARVED_CALL) {
      return undefined;
    }
    for (const callClass of CALL_CLASSES) {
      const oldest = this.oldestOf(callClass);
      if (oldest !== undefined && now - oldest.enqueuedAt > STARVATION_MILLISECONDS[callClass]) {
        this.waitingByCall.delete(oldest.ticket.call);
        this.servedSinceStarved = 0;
        return oldest;
      }
    }
    return undefined;
  }

  private oldestOf(callClass: CallClass): RankedTicket | undefined {
    const arrivals = this.arrivals.get(callClass)!;
    let removedCount = 0;
    while (removedCount < arrivals.length) {
      const ranked = arrivals[removedCount]!;
      if (this.waitingByCall.get(ranked.ticket.call) === ranked) {
        break;
      }
      removedCount += 1;
    }
    // Removes the served and removed calls at the front with one splice.
    arrivals.splice(0, removedCount);
    return arrivals[0];
  }
}
