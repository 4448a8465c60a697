/** Counts the requests of a service that are served before a turn of a new program. */

/** Requests in flight at a service, relative to a program of one rank. */
export interface RankedDemand {
  /** All requests in flight. */
  readonly inFlight: number;
  /** Requests of less urgent ranks. */
  readonly lessUrgent: number;
  /** Requests of the program's own rank. */
  readonly sameRank: number;
  /**
   * Requests that had the program's rank until their programs became late and dropped to a less
   * urgent one.
   */
  readonly lateSameRank: number;
}

/** Requests served before a turn of the program, and those of them that are more urgent. */
export interface DemandAhead {
  readonly ahead: number;
  readonly moreUrgent: number;
  /** Share of all requests in flight that are ahead, 0 to 1; 1 if there are none. */
  readonly aheadShare: number;
}

/**
 * Counts the requests ahead of a program. Late programs of its rank are ranked below it at the
 * runners, but they arrived earlier and count as ahead. The counts are of different ages, so each
 * is capped at the number in flight: while slots are free, no wait is predicted.
 */
export function demandAhead({
  inFlight,
  lessUrgent,
  sameRank,
  lateSameRank,
}: RankedDemand): DemandAhead {
  const notLessUrgent = Math.max(0, inFlight - lessUrgent);
  const ahead = Math.min(inFlight, notLessUrgent + Math.min(lateSameRank, lessUrgent));
  return {
    ahead,
    aheadShare: inFlight > 0 ? ahead / inFlight : 1,
    moreUrgent: Math.max(0, notLessUrgent - sameRank),
  };
}
