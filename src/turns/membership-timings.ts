/**
 * The times that decide how soon a successor stands in the place of a member that is gone, worked out from
 * the bound within which it must. replica-bounds.ts adds them up.
 */

/** Times in milliseconds. */
export interface MembershipTimings {
  /** Bound: from its start on, so long after it the successor of a machine counts. */
  readonly catchUpMilliseconds: number;
  /** Silence from which on those that stand by begin to read what members have. */
  readonly suspicionMilliseconds: number;
  /** Silence from which on a member's place may be taken, and it be taken out. */
  readonly removalMilliseconds: number;
  /** Time for which a vacant place is left to another zone, for each member present in one's own. */
  readonly sameZoneDelayMilliseconds: number;
  /** Pause between two looks of one that stands by at the members. */
  readonly pollMilliseconds: number;
}

/** Bound where the platform names none, in milliseconds: the times are the longest then. */
export const DEFAULT_CATCH_UP_MILLISECONDS = 16_000;

/** Shares of the bound; with the fixed steps below they leave a tenth of four seconds to late processes. */
const SUSPICION_SHARE = 1 / 4;
const REMOVAL_SHARE = 0.45;
const SAME_ZONE_DELAY_SHARE = 1 / 16;
const POLL_SHARE = 1 / 8;

/** A shorter silence is that of a process that stands still for a moment: reading for that would be waste. */
const MINIMUM_SUSPICION_MILLISECONDS = 750;
const MAXIMUM_SUSPICION_MILLISECONDS = 2_000;
/** A member gives out its share of quotas for 1.5 s after it last heard a majority: no place is taken before. */
const MINIMUM_REMOVAL_MILLISECONDS = 1_600;
/** Beyond this a longer silence tells nothing more: freezes of some seconds end before. */
const MAXIMUM_REMOVAL_MILLISECONDS = 4_000;
const MAXIMUM_SAME_ZONE_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_POLL_MILLISECONDS = 1_000;

/** Pause between two looks at the members while one of them is silent, in milliseconds. */
export const URGENT_POLL_MILLISECONDS = 250;
/** Pause between two decisions about the record of members, in milliseconds. */
export const DECISION_INTERVAL_MILLISECONDS = 250;
/** Longest pause between two pulls from a member that is heard, in milliseconds. */
export const PULL_INTERVAL_MILLISECONDS = 300;
/** Allowance for a process to start and to hear of the record, in milliseconds: on two thirds of a core. */
export const START_MILLISECONDS = 600;
/** Allowance for one change of the record: a sync, a swap at a healthy store, the pull that tells others. */
export const CHANGE_MILLISECONDS = 50;

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value));
}

/** Times that fit a bound in milliseconds. */
export function membershipTimingsFor(catchUpMilliseconds: number): MembershipTimings {
  const share = (part: number): number => catchUpMilliseconds * part;
  return {
    catchUpMilliseconds,
    suspicionMilliseconds: clamp(
      share(SUSPICION_SHARE),
      MINIMUM_SUSPICION_MILLISECONDS,
      MAXIMUM_SUSPICION_MILLISECONDS,
    ),
    removalMilliseconds: clamp(
      share(REMOVAL_SHARE),
      MINIMUM_REMOVAL_MILLISECONDS,
      MAXIMUM_REMOVAL_MILLISECONDS,
    ),
    sameZoneDelayMilliseconds: Math.min(
      MAXIMUM_SAME_ZONE_DELAY_MILLISECONDS,
      share(SAME_ZONE_DELAY_SHARE),
    ),
    pollMilliseconds: Math.min(MAXIMUM_POLL_MILLISECONDS, share(POLL_SHARE)),
  };
}
