/**
 * Timings of member replacement, derived from the time within which a successor must have replaced a lost member.
 * replica-bounds.ts sums them up along the worst path.
 */

/** Timings of failure detection and replacement, in milliseconds. */
export interface MembershipTimings {
  /** Upper bound on the time from the start of a successor until it has replaced the lost member. */
  readonly catchUpMilliseconds: number;
  /** Silence of a member after which standbys start reading the members' logs. */
  readonly suspicionMilliseconds: number;
  /** Silence of a member after which it may be replaced and removed. */
  readonly removalMilliseconds: number;
  /** Delay before joining per present member in the joining replica's own zone, which favors other zones. */
  readonly sameZoneDelayMilliseconds: number;
  /** Interval at which a replica polls the members. */
  readonly pollMilliseconds: number;
}

/** Default upper bound, in milliseconds; every timing reaches its maximum with it. */
export const DEFAULT_CATCH_UP_MILLISECONDS = 16_000;

/** Fractions of the bound; together with the fixed intervals below they leave a tenth of a 4 s bound to delays. */
const SUSPICION_SHARE = 1 / 4;
const REMOVAL_SHARE = 0.45;
const SAME_ZONE_DELAY_SHARE = 1 / 16;
const POLL_SHARE = 1 / 8;

/** Shorter silences are mostly brief stalls, for which reading the logs would be wasted effort. */
const MINIMUM_SUSPICION_MILLISECONDS = 750;
const MAXIMUM_SUSPICION_MILLISECONDS = 2_000;
/**
 * Exceeds the quorum lease of 1.5 s, for which a member that lost contact with the majority still grants its quota
 * share: no place is taken before.
 */
const MINIMUM_REMOVAL_MILLISECONDS = 1_600;
/** Outlasts process freezes of a few seconds; waiting longer would not improve detection. */
const MAXIMUM_REMOVAL_MILLISECONDS = 4_000;
const MAXIMUM_SAME_ZONE_DELAY_MILLISECONDS = 1_000;
const MAXIMUM_POLL_MILLISECONDS = 1_000;

/** Interval at which a non-member polls the members while one of them is silent, in milliseconds. */
export const URGENT_POLL_MILLISECONDS = 250;
/** Interval between two decisions on the membership record, in milliseconds. */
export const DECISION_INTERVAL_MILLISECONDS = 250;
/** Maximum pause between two pulls from a member that replies, in milliseconds. */
export const PULL_INTERVAL_MILLISECONDS = 300;
/** Allowance for a process to start and learn the membership record, in milliseconds. */
export const START_MILLISECONDS = 600;
/** Allowance for one change of the record, in milliseconds: a disk sync, a swap in the store, and a pull. */
export const CHANGE_MILLISECONDS = 50;

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value));
}

/** Derives the timings from an upper bound in milliseconds. */
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
