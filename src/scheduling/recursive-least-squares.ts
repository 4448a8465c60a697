/** Recursive least squares with forgetting: fits `y = w · x` as observations come in. */

/** A running fit of a few coefficients. */
export class RecursiveLeastSquares {
  private covariance: number[][];

  /**
   * @param coefficients first guesses, changed in place as the fit goes on
   * @param initialVariances variance of each first guess: smaller is trusted longer
   * @param forgettingFactor weight of the past after one more observation, below 1
   */
  constructor(
    readonly coefficients: number[],
    initialVariances: readonly number[],
    private readonly forgettingFactor: number,
  ) {
    this.covariance = initialVariances.map((variance, row) =>
      initialVariances.map((_unused, column) => (row === column ? variance : 0)),
    );
  }

  /** Learns from one observation; one from which no finite fit follows is passed over. */
  observe(features: readonly number[], value: number): void {
    const gain = this.covariance.map((row) => dot(row, features));
    const scale = this.forgettingFactor + dot(features, gain);
    const error = value - dot(this.coefficients, features);
    const coefficients = this.coefficients.map(
      (coefficient, row) => coefficient + (gain[row]! / scale) * error,
    );
    const covariance = this.covariance.map((variances, row) =>
      variances.map((variance, column) => {
        const reduced = variance - (gain[row]! * gain[column]!) / scale;
        // The bound keeps a direction that is never observed from growing without end.
        return Math.min(1, reduced / this.forgettingFactor);
      }),
    );
    if (![...coefficients, ...covariance.flat()].every(Number.isFinite)) {
      return;
    }
    coefficients.forEach((coefficient, row) => {
      this.coefficients[row] = coefficient;
    });
    this.covariance = covariance;
  }
}

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * (right[index] ?? 0), 0);
}
