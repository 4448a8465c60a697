/**
 * Models how long programs pause between turns as a decaying histogram with logarithmic bins, and
 * derives from it how long a prompt is worth holding in an engine's cache.
 */

/** Upper bounds of the bins, in milliseconds; the last bin also counts longer pauses. */
const BIN_ENDS: readonly number[] = Array.from({ length: 24 }, (_, bin) => 100 * 1.5 ** bin);
/** Weight of earlier observations after each new one. */
const DECAY_FACTOR = 0.997;
/** Initial count of each bin up to one minute, and of programs that never return. */
const PRIOR_WEIGHT = 0.3;

/** Pause distribution of one kind of program. */
export class PauseModel {
  private readonly counts: number[] = BIN_ENDS.map((end) => (end <= 60_000 ? PRIOR_WEIGHT : 0));
  private neverReturned = PRIOR_WEIGHT;

  /** Records the pause of a program that returned. */
  observePause(milliseconds: number): void {
    this.decayCounts();
    const bin = BIN_ENDS.findIndex((end) => milliseconds <= end);
    const index = bin < 0 ? BIN_ENDS.length - 1 : bin;
    this.counts[index] = this.counts[index]! + 1;
  }

  /** Records that a program ended without another call. */
  observeEnd(): void {
    this.decayCounts();
    this.neverReturned += 1;
  }

  /**
   * Returns the hold duration with the greatest expected gain, in milliseconds; 0 if no hold has a
   * positive one. A return during the hold saves `savedMilliseconds` of engine time, and each
   * millisecond of holding costs `pricePerMillisecond` of it.
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
      // Programs that return within the bin hold for half of it on average, others for all of it.
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
