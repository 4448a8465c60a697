/**
 * How long programs of a group pause between turns, as a histogram over logarithmic bins, and how
 * long it pays to hold a prompt's memory over such a pause.
 */

/** Upper ends of the bins, in milliseconds. */
const BIN_ENDS: readonly number[] = Array.from({ length: 24 }, (_, bin) => 100 * 1.5 ** bin);
/** Weight of the past after one more observation. */
const DECAY_FACTOR = 0.997;
/** Observations' worth of belief in the prior, spread evenly over the bins up to a minute. */
const PRIOR_WEIGHT = 0.3;

/** Pauses of one kind of program. */
export class PauseModel {
  private readonly counts: number[] = BIN_ENDS.map((end) => (end <= 60_000 ? PRIOR_WEIGHT : 0));
  private neverReturned = PRIOR_WEIGHT;

  /** Learns that a program came back after a pause. */
  observePause(milliseconds: number): void {
    this.decayCounts();
    const bin = BIN_ENDS.findIndex((end) => milliseconds <= end);
    const index = bin < 0 ? BIN_ENDS.length - 1 : bin;
    this.counts[index] = this.counts[index]! + 1;
  }

  /** Learns that a program ended without coming back. */
  observeEnd(): void {
    this.decayCounts();
    this.neverReturned += 1;
  }

  /**
   * Time for which holding pays, in milliseconds: the horizon with the greatest expected gain,
   * where a return saves `savedMilliseconds` of an engine's time and each held millisecond costs
   * `pricePerMillisecond`, in the same unit.
   */
  optimalHoldMilliseconds(savedMilliseconds: number, pricePerMillisecond: number): number {
    const total = this.counts.reduce((sum, count) => sum + count, this.neverReturned);
    let remaining = 1;
    let gain = 0;
    let bestGain = 0;
    let bestHorizon = 0;
    let start = 0;
    BIN_ENDS.forEach((end, index) => {
      const returning = this.counts[index]! / total;
      // Those who return inside the bin hold for half of it, those who stay for the whole of it.
      const heldTime = (end - start) * (remaining - returning / 2);
      gain += returning * savedMilliseconds - heldTime * pricePerMillisecond;
      remaining -= returning;
      start = end;
      if (gain > bestGain) {
        bestGain = gain;
        bestHorizon = end;
      }
    });
    return bestHorizon;
  }

  private decayCounts(): void {
    for (let index = 0; index < this.counts.length; index += 1) {
      this.counts[index] = this.counts[index]! * DECAY_FACTOR;
    }
    this.neverReturned *= DECAY_FACTOR;
  }
}
