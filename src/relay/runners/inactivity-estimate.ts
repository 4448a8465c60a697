/**
 * Learns how long the runners of one service usually say nothing while they work, as TCP learns when
 * an acknowledgement is overdue (RFC 6298): a smoothed mean and a smoothed deviation.
 */

/** Weights of the newest sample in the mean and in the deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations beyond the mean at which a silence counts as unusual. */
const TIMEOUT_DEVIATIONS = 2;
/** Bounds of what counts as unusual, in milliseconds; the lower one holds until something is known. */
const MINIMUM_TIMEOUT_MILLISECONDS = 150;
const MAXIMUM_TIMEOUT_MILLISECONDS = 1_000;

/** See the head of this file. */
export class InactivityEstimate {
  private mean: number | undefined;
  private deviation = 0;

  /** Takes the longest silence within one answer that came whole, in milliseconds. */
  observe(milliseconds: number): void {
    if (this.mean === undefined) {
      this.mean = milliseconds;
      this.deviation = milliseconds / 2;
      return;
    }
    const error = milliseconds - this.mean;
    this.deviation += (Math.abs(error) - this.deviation) * DEVIATION_WEIGHT;
    this.mean += error * MEAN_WEIGHT;
  }

  /** Silence from which on a runner may be out of reach, in milliseconds. */
  get timeoutMilliseconds(): number {
    const timeout = (this.mean ?? 0) + TIMEOUT_DEVIATIONS * this.deviation;
    return Math.min(MAXIMUM_TIMEOUT_MILLISECONDS, Math.max(MINIMUM_TIMEOUT_MILLISECONDS, timeout));
  }
}
