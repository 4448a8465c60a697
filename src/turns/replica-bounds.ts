/**
 * The bounds of a deployment that replicas answer to, and for each the timers on its worst path added up, with a store
 * and links that are well. docs/design/bounds.md tells the terms; each sum has a scenario in which the last fault comes
 * at that very moment. What is copied and read grows with the state and stands in docs/CAPACITY.md, not here.
 */
import { DECLARATION_MILLISECONDS } from './completeness-check.js';
import {
  CHANGE_MILLISECONDS,
  URGENT_POLL_MILLISECONDS,
  membershipTimingsFor,
  PULL_INTERVAL_MILLISECONDS,
  START_MILLISECONDS,
  DECISION_INTERVAL_MILLISECONDS,
} from './membership-timings.js';
import type { MembershipTimings } from './membership-timings.js';
import {
  REACHABILITY_CHECK_MILLISECONDS,
  MEMBER_SILENCE_MILLISECONDS,
} from './replica-reachability.js';
import { CALL_TIMEOUT_MILLISECONDS } from './replica-sync.js';
import {
  CONNECT_TIMEOUT_MILLISECONDS,
  SOCKET_SILENCE_MILLISECONDS,
  RECONNECT_DELAY_MILLISECONDS,
} from './tcp-replica-caller.js';

/** Pause before a disk that can't be read is tried again, in milliseconds. */
export const REOPEN_DELAY_MILLISECONDS = 500;
/** Part of a bound that is left to processes that are late. */
const LATENESS_MARGIN = 0.1;

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
  { removalMilliseconds, sameZoneDelayMilliseconds: sameZoneDelayMilliseconds }: MembershipTimings,
  /** Members present in the successor's own zone. */
  sameZoneMembers: number,
): number {
  const untilVacant =
    START_MILLISECONDS + removalMilliseconds + sameZoneMembers * sameZoneDelayMilliseconds;
  const untilJoined =
    URGENT_POLL_MILLISECONDS + DECISION_INTERVAL_MILLISECONDS + CHANGE_MILLISECONDS;
  const untilRemoved =
    PULL_INTERVAL_MILLISECONDS + DECISION_INTERVAL_MILLISECONDS + CHANGE_MILLISECONDS;
  return untilVacant + untilJoined + untilRemoved;
}

/**
 * From the start of a member whose disk was lost until it is complete: it learns the record from who reads its log,
 * one call goes into a dead connection, and its word that it is complete reaches its disk.
 */
export function worstRefillMilliseconds(): number {
  const untilPulled =
    START_MILLISECONDS + RECONNECT_DELAY_MILLISECONDS + PULL_INTERVAL_MILLISECONDS;
  return untilPulled + CALL_TIMEOUT_MILLISECONDS + DECLARATION_MILLISECONDS + CHANGE_MILLISECONDS;
}

/** From the end of a trouble until a gateway has its replicas again: a dead connection is given up and made anew. */
export function worstContactMilliseconds(): number {
  const untilConnected =
    SOCKET_SILENCE_MILLISECONDS + RECONNECT_DELAY_MILLISECONDS + CONNECT_TIMEOUT_MILLISECONDS;
  return untilConnected + MEMBER_SILENCE_MILLISECONDS + REACHABILITY_CHECK_MILLISECONDS;
}

/** From the return of all machines until writes are acknowledged: a disk that opens late, a refill, contact. */
export function worstRecoveryMilliseconds(): number {
  return REOPEN_DELAY_MILLISECONDS + worstRefillMilliseconds() + worstContactMilliseconds();
}

/** The bounds that can't be kept in the worst case. */
export function unmetBounds(bounds: ReplicaBounds, sameZoneMembers: number): readonly UnmetBound[] {
  const { catchUpMilliseconds, recoveryMilliseconds, contactMilliseconds } = bounds;
  const timings = membershipTimingsFor(catchUpMilliseconds);
  const replacement = worstReplacementMilliseconds(timings, sameZoneMembers);
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
  return sums.filter(({ bound, worst }) => worst > bound * (1 - LATENESS_MARGIN));
}

/** Members present in the zone of a successor at most, besides the gone one whose place it takes. */
export function maximumSameZoneMembers(wantedMembers: number, zoneCount: number): number {
  return Math.ceil(wantedMembers / Math.max(1, zoneCount)) - 1;
}
