/**
 * Estimates the least time in which a runner answers a request that was not held up on its way. What an answer takes
 * beyond it may have been a delay of the request.
 */

/** Factor by which the shortest time grows with each answer that took longer. */
const GROWTH = 1.05;
/** Shortest time that grows, in milliseconds. */
const MINIMUM_MILLISECONDS = 1;
/** Number of answers from which the shortest time is relied on. */
const RELIABLE_ANSWERS = 3;
/** Share of the shortest time that answers take at least. */
const LEAST_SHARE = 0.5;
/** Longest time that is assumed before it is reliable, in milliseconds: the first answers may all be late. */
const MAXIMUM_UNRELIABLE_MILLISECONDS = 100;

/** Time from sending a request to a runner until the first byte of its answer. */
export class AnswerTime {
  private answers = 0;
  private shortest = Infinity;

  /** Least time of the next answer, in milliseconds; 0 if none was observed. */
  get leastMilliseconds(): number {
    if (this.answers === 0) {
      return 0;
    }
    const isReliable = this.answers >= RELIABLE_ANSWERS;
    const maximum = isReliable ? Infinity : MAXIMUM_UNRELIABLE_MILLISECONDS;
    return LEAST_SHARE * Math.min(maximum, this.shortest);
  }

  /** Records the time of an answer, in milliseconds. */
  observe(milliseconds: number): void {
    this.answers += 1;
    const grown = Math.max(MINIMUM_MILLISECONDS, this.shortest) * GROWTH;
    this.shortest = Math.min(milliseconds, grown);
  }
}
