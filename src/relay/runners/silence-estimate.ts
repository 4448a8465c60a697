/**
 * Learns how long the runners of one service usually say nothing while they work, as TCP learns when
 * an acknowledgement is overdue (RFC 6298): a smoothed mean and a smoothed deviation.
 */

/** Weights of the newest sample in the mean and in the deviation. */
const MEAN_SHARE = 1 / 8;
const DEVIATION_SHARE = 1 / 4;
/** Deviations beyond the mean at which a silence counts as unusual. */
const UNUSUAL_DEVIATIONS = 2;
/** Bounds of what counts as unusual, in milliseconds; the lower one holds until something is known. */
const LEAST_UNUSUAL_MILLISECONDS = 150;
const MOST_UNUSUAL_MILLISECONDS = 1_000;

/** See the head of this file. */
export class SilenceEstimate {
  private mean: number | undefined;
  private deviation = 0;
  private readonly byKind = new Map<string, SilenceEstimate>();

  /** What is learned of one kind of request alone. */
  ofKind(kind: string): SilenceEstimate {
    const known = this.byKind.get(kind) ?? new SilenceEstimate();
    this.byKind.set(kind, known);
    return known;
  }

  /** Takes the longest silence within one answer that came whole, in milliseconds. */
  take(milliseconds: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
      this.deviation = milliseconds / 2;
      return;
    }
    const error = milliseconds - this.mean;
    this.deviation += (Math.abs(error) - this.deviation) * DEVIATION_SHARE;
    this.mean += error * MEAN_SHARE;
  }

  /** Silence from which on a runner may be out of reach, in milliseconds. */
  get unusualMilliseconds(): number {
    return Math.min(
      MOST_UNUSUAL_MILLISECONDS,
      this.learnedMilliseconds ?? LEAST_UNUSUAL_MILLISECONDS,
    );
  }

  /** The same without an upper bound, in milliseconds; undefined until something is known. */
  get learnedMilliseconds(): number | undefined {
    return this.mean === undefined
      ? undefined
      : Math.max(LEAST_UNUSUAL_MILLISECONDS, this.mean + UNUSUAL_DEVIATIONS * this.deviation);
  }
}
