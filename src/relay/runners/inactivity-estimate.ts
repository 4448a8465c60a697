/**
 * Learns for how long the runners of a service usually send nothing while they work on a request. The timeout is
 * computed from a smoothed mean and a smoothed deviation, like TCP's retransmission timeout (RFC 6298).
 */

/** Weights of the newest sample in the smoothed mean and deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations above the mean at which the timeout lies. */
const TIMEOUT_DEVIATIONS = 2;
/** Bounds of the timeout; the minimum also applies before the first sample. */
const MINIMUM_TIMEOUT_MILLISECONDS = 150;
const MAXIMUM_TIMEOUT_MILLISECONDS = 1_000;

/** Adaptive inactivity timeout of one service. */
export class InactivityEstimate {
  private mean: number | undefined;
  private deviation = 0;

  /** Adds the longest time without a byte within one complete answer, in milliseconds. */
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

  /** Time without a byte after which a runner may be unreachable, in milliseconds. */
  get timeoutMilliseconds(): number {
    const timeout = (this.mean ?? 0) + TIMEOUT_DEVIATIONS * this.deviation;
    return Math.min(MAXIMUM_TIMEOUT_MILLISECONDS, Math.max(MINIMUM_TIMEOUT_MILLISECONDS, timeout));
  }
}
