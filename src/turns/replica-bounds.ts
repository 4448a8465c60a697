/**
 * The bounds of a deployment that replicas answer to, and for each the timers on its worst path added up, with a store
 * and links that are well. docs/design/bounds.md tells the terms; each sum has a scenario in which the last fault comes
 * at that very moment. What is copied and read grows with the state and stands in docs/CAPACITY.md, not here.
 */
import { DECLARATION_MILLISECONDS } from './completeness.js';
import {
  CHANGE_MILLISECONDS,
  HURRIED_LOOK_MILLISECONDS,
  membershipTimingsFor,
  PULL_MILLISECONDS,
  START_MILLISECONDS,
  STEP_MILLISECONDS,
} from './membership-timings.js';
import type { MembershipTimings } from './membership-timings.js';
import { REACH_LOOK_MILLISECONDS, REACH_SILENCE_MILLISECONDS } from './replica-reach.js';
import { CALL_MILLISECONDS } from './replica-sync.js';
import {
  CONNECT_MILLISECONDS,
  LINK_SILENCE_MILLISECONDS,
  RECONNECT_MILLISECONDS,
} from './tcp-replica-caller.js';

/** Pause before a disk that can't be read is tried again, in milliseconds. */
export const REOPEN_MILLISECONDS = 500;
/** Part of a bound that is left to processes that are late. */
const LATE_PART = 0.1;

/** What a deployment promises, in milliseconds; infinite where it names no bound. */
export interface ReplicaBounds {
  /** From its start or its return on, so long after it a machine counts. */
  readonly catchUpMilliseconds: number;
  /** From the return of all machines to service. */
  readonly recoveryMilliseconds: number;
  /** From the end of a trouble until machines that are calm are in touch. */
  readonly contactMilliseconds: number;
}

/** A bound that the sum of its timers doesn't fit. */
export interface UnmetBound {
  readonly promise: 'a machine replaced' | 'a disk replaced' | 'service after a return' | 'contact';
  /** Milliseconds. */
  readonly bound: number;
  /** Sum of the timers on the worst path, in milliseconds. */
  readonly worst: number;
}

/**
 * From the start of a successor until it stands in the place of the gone one. It is that long when the members
 * begin anew as the successor starts, so that they must notice the silence themselves.
 */
export function worstReplacementMilliseconds(
  { removalMilliseconds, courtesyMilliseconds }: MembershipTimings,
  /** Members present in the successor's own zone. */
  neighbours: number,
): number {
  const untilOpen = START_MILLISECONDS + removalMilliseconds + neighbours * courtesyMilliseconds;
  const untilJoined = HURRIED_LOOK_MILLISECONDS + STEP_MILLISECONDS + CHANGE_MILLISECONDS;
  const untilRemoved = PULL_MILLISECONDS + STEP_MILLISECONDS + CHANGE_MILLISECONDS;
  return untilOpen + untilJoined + untilRemoved;
}

/**
 * From the start of a member whose disk was lost until it is complete: it learns the record from who reads its log,
 * one call goes into a dead connection, and its word that it is complete reaches its disk.
 */
export function worstRefillMilliseconds(): number {
  const untilAsked = START_MILLISECONDS + RECONNECT_MILLISECONDS + PULL_MILLISECONDS;
  return untilAsked + CALL_MILLISECONDS + DECLARATION_MILLISECONDS + CHANGE_MILLISECONDS;
}

/** From the end of a trouble until a gateway has its replicas again: a dead connection is given up and made anew. */
export function worstContactMilliseconds(): number {
  const untilConnected = LINK_SILENCE_MILLISECONDS + RECONNECT_MILLISECONDS + CONNECT_MILLISECONDS;
  return untilConnected + REACH_SILENCE_MILLISECONDS + REACH_LOOK_MILLISECONDS;
}

/** From the return of all machines until writes are acknowledged: a disk that opens late, a refill, contact. */
export function worstRecoveryMilliseconds(): number {
  return REOPEN_MILLISECONDS + worstRefillMilliseconds() + worstContactMilliseconds();
}

/** The bounds that can't be kept in the worst case. */
export function unmetBounds(bounds: ReplicaBounds, neighbours: number): readonly UnmetBound[] {
  const { catchUpMilliseconds, recoveryMilliseconds, contactMilliseconds } = bounds;
  const timings = membershipTimingsFor(catchUpMilliseconds);
  const replacement = worstReplacementMilliseconds(timings, neighbours);
  const sums: readonly UnmetBound[] = [
    { promise: 'a machine replaced', bound: catchUpMilliseconds, worst: replacement },
    { promise: 'a disk replaced', bound: catchUpMilliseconds, worst: worstRefillMilliseconds() },
    {
      promise: 'service after a return',
      bound: recoveryMilliseconds,
      worst: worstRecoveryMilliseconds(),
    },
    { promise: 'contact', bound: contactMilliseconds, worst: worstContactMilliseconds() },
  ];
  return sums.filter(({ bound, worst }) => worst > bound * (1 - LATE_PART));
}

/** Members present in the zone of a successor at most, besides the gone one whose place it takes. */
export function mostNeighbours(wantedMembers: number, zoneCount: number): number {
  return Math.ceil(wantedMembers / Math.max(1, zoneCount)) - 1;
}
