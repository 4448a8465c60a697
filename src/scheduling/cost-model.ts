/**
 * What work costs on a service's back ends, learned from finished calls: the time per prompt token
 * computed, per token generated alone, and what each neighbour in the batch adds to it.
 */
import { RecursiveLeastSquares } from './recursive-least-squares.js';

/** First guesses, used until calls have finished, in milliseconds. */
const FIRST_GUESSES = [0.08, 9, 0.4];
/** How little the guesses are trusted, each at the scale of its feature. */
const TRUST = [1e-4, 1e-1, 1e-2];
/** Weight of the past after one more observation. */
const FORGETTING = 0.999;
/** Bounds that keep a wild estimate from steering the scheduler, in milliseconds. */
const SMALLEST_PREFILL = 0.001;
const SMALLEST_DECODE = 0.1;
/** Weight of one more answer in the mean length. */
const LENGTH_WEIGHT = 0.02;

/** Learned costs of one service. */
export class CostModel {
  private readonly fit = new RecursiveLeastSquares([...FIRST_GUESSES], TRUST, FORGETTING);
  private meanOutputTokens = 128;

  /** Milliseconds per uncached prompt token. */
  get prefillMilliseconds(): number {
    return Math.max(SMALLEST_PREFILL, this.fit.coefficients[0]!);
  }

  /** Milliseconds per generated token in an otherwise empty batch. */
  get decodeMilliseconds(): number {
    return Math.max(SMALLEST_DECODE, this.fit.coefficients[1]!);
  }

  /** Milliseconds that each other call in the batch adds to a generated token. */
  get neighbourMilliseconds(): number {
    return Math.max(0, this.fit.coefficients[2]!);
  }

  /** Learns from one finished call that shared its engine with others. */
  observe(
    uncachedTokens: number,
    generatedTokens: number,
    neighbours: number,
    milliseconds: number,
  ): void {
    this.meanOutputTokens += LENGTH_WEIGHT * (generatedTokens - this.meanOutputTokens);
    const features = [uncachedTokens, generatedTokens, generatedTokens * neighbours];
    this.fit.observe(features, milliseconds);
  }

  /** Tokens an answer is expected to have, given its upper bound. */
  expectedOutput(maximumTokens: number): number {
    return Math.min(maximumTokens, this.meanOutputTokens);
  }

  /** Expected milliseconds of a call beside others, without waiting. */
  serviceMilliseconds(uncachedTokens: number, maximumTokens: number, neighbours: number): number {
    const perToken = this.decodeMilliseconds + neighbours * this.neighbourMilliseconds;
    const decode = this.expectedOutput(maximumTokens) * perToken;
    return uncachedTokens * this.prefillMilliseconds + decode;
  }

  /** Milliseconds by which a call delays all its neighbours together. */
  delayOfNeighbours(uncachedTokens: number, maximumTokens: number, neighbours: number): number {
    const decode = this.expectedOutput(maximumTokens) * this.neighbourMilliseconds;
    // While a prompt is computed, no neighbour generates.
    return neighbours * (uncachedTokens * this.prefillMilliseconds + decode);
  }
}
