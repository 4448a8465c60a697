/**
 * The recovery time bounds of a deployment that depend on replicas, and for each the sum of the timers on its worst
 * path, given a healthy store and network. docs/design/bounds.md explains the terms; each sum has a scenario in which
 * the last fault strikes at that moment. Copying and reading state takes time proportional to the state; see
 * docs/CAPACITY.md.
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

/** Delay before reading an unreadable disk is retried, in milliseconds. */
export const REOPEN_DELAY_MILLISECONDS = 500;
/** Fraction of a bound that is reserved for delayed processes. */
const LATENESS_MARGIN = 0.1;

/** The recovery time bounds of a deployment, in milliseconds; infinite where it sets none. */
export interface ReplicaBounds {
  /** From the start or return of a machine until it is a complete member. */
  readonly catchUpMilliseconds: number;
  /** From the return of all machines until requests are served. */
  readonly recoveryMilliseconds: number;
  /** From the end of a disturbance until unaffected machines are connected. */
  readonly contactMilliseconds: number;
}

/** A bound that is shorter than the sum of its timers plus the margin. */
export interface UnmetBound {
  readonly promise: 'a machine replaced' | 'a disk replaced' | 'service after a return' | 'contact';
  /** The bound, in milliseconds. */
  readonly bound: number;
  /** Sum of the timers on the worst path, in milliseconds. */
  readonly worst: number;
}

/**
 * Worst time from the start of a successor until it has replaced the lost member, in milliseconds. It occurs when the
 * members restart at the same time as the successor, and so have to detect the silence from the beginning.
 */
export function worstReplacementMilliseconds(
  { removalMilliseconds, sameZoneDelayMilliseconds }: MembershipTimings,
  /** Number of head starts that the successor grants: members in its zone, or better ranks where spread matters. */
  headStarts: number,
): number {
  const untilVacant =
    START_MILLISECONDS + removalMilliseconds + headStarts * sameZoneDelayMilliseconds;
  const untilJoined =
    URGENT_POLL_MILLISECONDS + DECISION_INTERVAL_MILLISECONDS + CHANGE_MILLISECONDS;
  const untilRemoved =
    PULL_INTERVAL_MILLISECONDS + DECISION_INTERVAL_MILLISECONDS + CHANGE_MILLISECONDS;
  return untilVacant + untilJoined + untilRemoved;
}

/**
 * Worst time from the start of a member with a lost disk until it is complete, in milliseconds: the member learns the
 * record from a replica that pulls from it, one call times out on a dead connection, and the ready mark is written.
 */
export function worstRefillMilliseconds(): number {
  const untilPulled =
    START_MILLISECONDS + RECONNECT_DELAY_MILLISECONDS + PULL_INTERVAL_MILLISECONDS;
  return untilPulled + CALL_TIMEOUT_MILLISECONDS + DECLARATION_MILLISECONDS + CHANGE_MILLISECONDS;
}

/**
 * Worst time until a gateway reaches its replicas again over a new connection after a disturbance, in milliseconds.
 * @param farthestMilliseconds round trip to the farthest region, by which a silence is longer; 0 within one region
 */
export function worstContactMilliseconds(farthestMilliseconds = 0): number {
  const untilConnected =
    SOCKET_SILENCE_MILLISECONDS + RECONNECT_DELAY_MILLISECONDS + CONNECT_TIMEOUT_MILLISECONDS;
  const untilSilent = MEMBER_SILENCE_MILLISECONDS + farthestMilliseconds;
  return untilConnected + untilSilent + REACHABILITY_CHECK_MILLISECONDS;
}

/** Worst time from the return of all machines until writes are acknowledged, in milliseconds. */
export function worstRecoveryMilliseconds(farthestMilliseconds = 0): number {
  const untilContact = worstContactMilliseconds(farthestMilliseconds);
  return REOPEN_DELAY_MILLISECONDS + worstRefillMilliseconds() + untilContact;
}

/** Returns the bounds that cannot be met in the worst case. */
export function unmetBounds(
  bounds: ReplicaBounds,
  headStarts: number,
  farthestMilliseconds = 0,
): readonly UnmetBound[] {
  const { catchUpMilliseconds, recoveryMilliseconds, contactMilliseconds } = bounds;
  const timings = membershipTimingsFor(catchUpMilliseconds);
  const replacement = worstReplacementMilliseconds(timings, headStarts);
  const sums: readonly UnmetBound[] = [
    { promise: 'a machine replaced', bound: catchUpMilliseconds, worst: replacement },
    { promise: 'a disk replaced', bound: catchUpMilliseconds, worst: worstRefillMilliseconds() },
    {
      promise: 'service after a return',
      bound: recoveryMilliseconds,
      worst: worstRecoveryMilliseconds(farthestMilliseconds),
    },
    {
      promise: 'contact',
      bound: contactMilliseconds,
      worst: worstContactMilliseconds(farthestMilliseconds),
    },
  ];
  return sums.filter(({ bound, worst }) => worst > bound * (1 - LATENESS_MARGIN));
}

/** Maximum number of members in a successor's zone, not counting the lost one that it replaces. */
export function maximumSameZoneMembers(wantedMembers: number, zoneCount: number): number {
  return Math.ceil(wantedMembers / Math.max(1, zoneCount)) - 1;
}
