/** Which of the requests at the runners of a service go before a new program of some rank: plain data in, data out. */

/** Requests at the runners of a service, as a program of one rank sees them. */
export interface RankedDemand {
  /** All of them. */
  readonly inFlight: number;
  /** Those of later ranks. */
  readonly lessUrgent: number;
  /** Those of its own rank. */
  readonly sameRank: number;
  /** Those behind it that were of its own rank until their programs became late. */
  readonly lateSameRank: number;
}

/** Requests that go before a turn of the program, and those of them that are more urgent. */
export interface DemandAhead {
  readonly ahead: number;
  readonly moreUrgent: number;
}

/**
 * What is before a program. Late programs of its rank are behind it at the runners, and yet have come before it.
 * Figures are of different ages, so none is taken for more than there is in all: where places are free none waits.
 */
export function demandAhead({
  inFlight,
  lessUrgent: lessUrgent,
  sameRank: sameRank,
  lateSameRank: lateSameRank,
}: RankedDemand): DemandAhead {
  const notLessUrgent = Math.max(0, inFlight - lessUrgent);
  return {
    ahead: Math.min(inFlight, notLessUrgent + Math.min(lateSameRank, lessUrgent)),
    moreUrgent: Math.max(0, notLessUrgent - sameRank),
  };
}
