/** Recursive least squares with forgetting: fits `y = w · x` as observations come in. */

/** A running fit of a few coefficients. */
export class RecursiveLeastSquares {
  private readonly covariance: number[][];

  /**
   * @param coefficients first guesses, changed in place as the fit goes on
   * @param trust variance of each first guess: smaller is trusted longer
   * @param forgetting weight of the past after one more observation, below 1
   */
  constructor(
    readonly coefficients: number[],
    trust: readonly number[],
    private readonly forgetting: number,
  ) {
    this.covariance = trust.map((variance, row) =>
      trust.map((_unused, column) => (row === column ? variance : 0)),
    );
  }

  /** Learns from one observation. */
  observe(features: readonly number[], value: number): void {
    const gain = this.covariance.map((row) => dot(row, features));
    const scale = this.forgetting + dot(features, gain);
    const error = value - dot(this.coefficients, features);
    for (let row = 0; row < gain.length; row += 1) {
      this.coefficients[row] = this.coefficients[row]! + (gain[row]! / scale) * error;
      for (let column = 0; column < gain.length; column += 1) {
        const reduced = this.covariance[row]![column]! - (gain[row]! * gain[column]!) / scale;
        // The bound keeps a direction that is never observed from growing without end.
        this.covariance[row]![column] = Math.min(1, reduced / this.forgetting);
      }
    }
  }
}

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * (right[index] ?? 0), 0);
}
