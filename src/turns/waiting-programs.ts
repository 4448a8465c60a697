/**
 * The refused programs of one tenant whose clients were told when to return. The times are spaced by what the programs
 * need, so that clients return one after another in the order in which they were refused. Those about to return go before
 * new programs, and more urgent ones before less urgent ones.
 */

/** Time around its return in which a refused program goes before others, in milliseconds. */
const GRACE_MILLISECONDS = 500;
/** Wait of a client that has returned too early, relative to the time in which its tenant has room for a program. */
const RETURNED_SPACING_SHARE = 0.5;
/** Maximum time that a client is told, in milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000;
/** Maximum number of refused programs to remember; the earliest are evicted. */
const MAXIMUM_PROGRAMS = 500;
/** Weight of one program in the share of refused programs that return. */
const RETURN_WEIGHT = 0.05;
/** Time without an admission after which a rank no longer yields to more urgent ones, in milliseconds. */
const STARVED_MILLISECONDS = 10_000;

interface WaitingProgram {
  readonly requests: number;
  readonly rank: number;
  readonly dueAt: number;
}

/** Keeps the places of refused programs. */
export class WaitingPrograms {
  private readonly programs = new Map<number, WaitingProgram>();
  /** Time from which the next refused program may be told to return, by rank, in milliseconds. */
  private readonly nextReturnAt = new Map<number, number>();
  /** Time of the last admission, or of the first refusal after which there was none, by rank. */
  private readonly servedAt = new Map<number, number>();
  private returnShare = 0;

  /** Returns the number of requests that programs before this one in the order are expected to need. */
  requestsAhead(program: number, rank: number, now: number): number {
    const own = this.programs.get(program);
    const isStarved = now - (this.servedAt.get(rank) ?? now) > STARVED_MILLISECONDS;
    let requests = 0;
    for (const [id, other] of this.programs) {
      if (other.dueAt < now - GRACE_MILLISECONDS) {
        this.programs.delete(id);
        this.countReturn(false);
      } else if (id !== program) {
        const isDue = other.rank === rank && other.dueAt <= now + GRACE_MILLISECONDS;
        const isEarlier = own === undefined ? isDue : isDue && other.dueAt < own.dueAt;
        const isMoreUrgent = other.rank < rank && !isStarved;
        requests += isEarlier || isMoreUrgent ? other.requests : 0;
      }
    }
    return requests * this.returnShare;
  }

  /** Records an admitted program. */
  admit(program: number, rank: number, now: number): void {
    if (this.programs.delete(program)) {
      this.countReturn(true);
    }
    this.servedAt.set(rank, now);
  }

  /**
   * Records a refused program, and returns the time after which its client should return, in milliseconds.
   * @param waitMilliseconds time until there is room for the program after those that go before it
   * @param spacingMilliseconds time in which the tenant gets as many requests as the program needs
   */
  refuse(
    program: number,
    rank: number,
    requests: number,
    waitMilliseconds: number,
    spacingMilliseconds: number,
    now: number,
  ): number {
    if (!this.servedAt.has(rank)) {
      this.servedAt.set(rank, now);
    }
    const hasReturned = this.programs.delete(program);
    if (hasReturned) {
      this.countReturn(true);
    }
    // A client that has returned in its turn is not put behind those that were refused after it.
    const earliest = hasReturned
      ? now + spacingMilliseconds * RETURNED_SPACING_SHARE
      : (this.nextReturnAt.get(rank) ?? now);
    const latest = now + MAXIMUM_WAIT_MILLISECONDS;
    const dueAt = Math.min(latest, Math.max(now + waitMilliseconds, earliest));
    if (!hasReturned) {
      this.nextReturnAt.set(rank, Math.min(latest, dueAt + spacingMilliseconds));
    }
    this.programs.set(program, { requests, rank, dueAt });
    if (this.programs.size > MAXIMUM_PROGRAMS) {
      this.programs.delete(this.programs.keys().next().value!);
    }
    return dueAt - now;
  }

  private countReturn(hasReturned: boolean): void {
    this.returnShare += ((hasReturned ? 1 : 0) - this.returnShare) * RETURN_WEIGHT;
  }
}
