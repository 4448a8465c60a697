/** Recursive least squares with exponential forgetting, for the linear model `y = w · x`. */

/** An online linear regression. */
export class RecursiveLeastSquares {
  private covariance: number[][];

  /**
   * @param coefficients initial estimates; updated in place
   * @param initialVariances variance of each initial estimate; a small one is corrected slowly
   * @param forgettingFactor weight of earlier observations after each new one, below 1
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

  /** Updates the fit with one observation, unless the result would not be finite. */
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
        // Keeps the variance of features that are never observed from growing without bound.
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
