/**
 * How runners were told apart before their speeds were learned: a mean of this gateway's own requests, of which
 * differences under 1.4 count as noise. Kept to compare with.
 */
const MEAN_SHARE = 0.1;
const SERVICE_SHARE = 0.02;
const NOISE_RATIO = 1.4;

/** Means of one service at one gateway. */
export class MeanPace {
  private mean = 100;
  private count = 0;
  private readonly own = new Map<string, number>();

  /** Takes the time of a request, in milliseconds. */
  take(runner: string, milliseconds: number): void {
    this.count += 1;
    this.mean += (milliseconds - this.mean) * Math.max(SERVICE_SHARE, 1 / this.count);
    const before = this.own.get(runner) ?? this.mean;
    this.own.set(runner, before + (milliseconds - before) * MEAN_SHARE);
  }

  /** Time expected at a runner, in milliseconds. */
  expected(runner: string): number {
    const own = this.own.get(runner) ?? this.mean;
    const isUsual = own < this.mean * NOISE_RATIO && own * NOISE_RATIO > this.mean;
    return isUsual ? this.mean : own;
  }
}
