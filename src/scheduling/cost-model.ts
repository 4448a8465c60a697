/**
 * Estimates the duration of calls on a service's engines by regression over finished calls. The
 * coefficients are the prefill time per uncached prompt token, the decode time per generated token
 * in an otherwise empty batch, and the decode time that each concurrent call in the batch adds.
 */
import { RecursiveLeastSquares } from './recursive-least-squares.js';

/** Coefficients before the first observation, in milliseconds per token. */
const INITIAL_COEFFICIENTS = [0.08, 9, 0.4];
/** Initial variances of the coefficients, each at the scale of its feature. */
const INITIAL_VARIANCES = [1e-4, 1e-1, 1e-2];
/** Weight of earlier observations after each new one. */
const FORGETTING_FACTOR = 0.999;
/** Lower bounds per token, since the regression may yield values near or below 0. */
const MINIMUM_PREFILL_MILLISECONDS = 0.001;
const MINIMUM_DECODE_MILLISECONDS = 0.1;
/** Weight of each new answer in the moving average of the output length. */
const OUTPUT_LENGTH_SMOOTHING = 0.02;

/** Cost estimates of one service. */
export class CostModel {
  private readonly regression = new RecursiveLeastSquares(
    [...INITIAL_COEFFICIENTS],
    INITIAL_VARIANCES,
    FORGETTING_FACTOR,
  );
  private meanOutputTokens = 128;

  /** Prefill time per uncached prompt token. */
  get prefillMillisecondsPerToken(): number {
    return Math.max(MINIMUM_PREFILL_MILLISECONDS, this.regression.coefficients[0]!);
  }

  /** Decode time per generated token in an otherwise empty batch. */
  get decodeMillisecondsPerToken(): number {
    return Math.max(MINIMUM_DECODE_MILLISECONDS, this.regression.coefficients[1]!);
  }

  /** Decode time that each concurrent call in the batch adds to a generated token. */
  get interferenceMillisecondsPerToken(): number {
    return Math.max(0, this.regression.coefficients[2]!);
  }

  /**
   * Updates the estimates from a finished call.
   *
   * @param concurrentCalls number of other calls on the same engine
   * @param milliseconds time from the start of the call to its answer
   */
  observe(
    uncachedTokens: number,
    generatedTokens: number,
    concurrentCalls: number,
    milliseconds: number,
  ): void {
    this.meanOutputTokens += OUTPUT_LENGTH_SMOOTHING * (generatedTokens - this.meanOutputTokens);
    const features = [uncachedTokens, generatedTokens, generatedTokens * concurrentCalls];
    this.regression.observe(features, milliseconds);
  }

  /** Expected number of generated tokens, at most `maximumTokens`. */
  expectedOutputTokens(maximumTokens: number): number {
    return Math.min(maximumTokens, this.meanOutputTokens);
  }

  /** Expected milliseconds from the start of a call to its answer, without queueing. */
  serviceMilliseconds(
    uncachedTokens: number,
    maximumTokens: number,
    concurrentCalls: number,
  ): number {
    const perToken =
      this.decodeMillisecondsPerToken + concurrentCalls * this.interferenceMillisecondsPerToken;
    const decode = this.expectedOutputTokens(maximumTokens) * perToken;
    return uncachedTokens * this.prefillMillisecondsPerToken + decode;
  }

  /** Sum of the milliseconds by which a call delays the calls it runs beside. */
  delayToConcurrentCalls(
    uncachedTokens: number,
    maximumTokens: number,
    concurrentCalls: number,
  ): number {
    const decode = this.expectedOutputTokens(maximumTokens) * this.interferenceMillisecondsPerToken;
    // The engine generates no tokens for other calls during prefill.
    return concurrentCalls * (uncachedTokens * this.prefillMillisecondsPerToken + decode);
  }
}
