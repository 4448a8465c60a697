/**
 * What work costs on a service's back ends, learned from finished calls: the time per prompt token
 * computed, per token generated alone, and what each neighbour in the batch adds to it.
 */
import { RecursiveLeastSquares } from './recursive-least-squares.js';

/** First guesses, used until calls have finished, in milliseconds. */
const INITIAL_COEFFICIENTS = [0.08, 9, 0.4];
/** How little the guesses are trusted, each at the scale of its feature. */
const INITIAL_VARIANCES = [1e-4, 1e-1, 1e-2];
/** Weight of the past after one more observation. */
const FORGETTING_FACTOR = 0.999;
/** Bounds that keep a wild estimate from steering the scheduler, in milliseconds. */
const MINIMUM_PREFILL_MILLISECONDS = 0.001;
const MINIMUM_DECODE_MILLISECONDS = 0.1;
/** Weight of one more answer in the mean length. */
const OUTPUT_LENGTH_SMOOTHING = 0.02;

/** Learned costs of one service. */
export class CostModel {
  private readonly regression = new RecursiveLeastSquares(
    [...INITIAL_COEFFICIENTS],
    INITIAL_VARIANCES,
    FORGETTING_FACTOR,
  );
  private meanOutputTokens = 128;

  /** Milliseconds per uncached prompt token. */
  get prefillMillisecondsPerToken(): number {
    return Math.max(MINIMUM_PREFILL_MILLISECONDS, this.regression.coefficients[0]!);
  }

  /** Milliseconds per generated token in an otherwise empty batch. */
  get decodeMillisecondsPerToken(): number {
    return Math.max(MINIMUM_DECODE_MILLISECONDS, this.regression.coefficients[1]!);
  }

  /** Milliseconds that each other call in the batch adds to a generated token. */
  get interferenceMillisecondsPerToken(): number {
    return Math.max(0, this.regression.coefficients[2]!);
  }

  /** Learns from one finished call that shared its engine with others. */
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

  /** Tokens an answer is expected to have, given its upper bound. */
  expectedOutputTokens(maximumTokens: number): number {
    return Math.min(maximumTokens, this.meanOutputTokens);
  }

  /** Expected milliseconds of a call beside others, without waiting. */
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

  /** Milliseconds by which a call delays all its neighbours together. */
  delayToConcurrentCalls(
    uncachedTokens: number,
    maximumTokens: number,
    concurrentCalls: number,
  ): number {
    const decode = this.expectedOutputTokens(maximumTokens) * this.interferenceMillisecondsPerToken;
    // While a prompt is computed, no neighbour generates.
    return concurrentCalls * (uncachedTokens * this.prefillMillisecondsPerToken + decode);
  }
}
