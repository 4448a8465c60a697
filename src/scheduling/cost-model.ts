/**
 * What work costs on a service's back ends, learned from finished calls: milliseconds per prompt
 * token computed and per token generated, by recursive least squares with forgetting.
 */

/** Prior guesses, used until calls have finished: typical of an 8-billion-parameter engine. */
const PRIOR_PREFILL_MILLISECONDS = 0.08;
const PRIOR_DECODE_MILLISECONDS = 14;
/** Weight of the past after one more observation. */
const FORGETTING = 0.998;
/** Bounds that keep a wild estimate from steering the scheduler. */
const SMALLEST_PREFILL_MILLISECONDS = 0.001;
const SMALLEST_DECODE_MILLISECONDS = 0.1;

/** Learned costs of one service. */
export class CostModel {
  /** Milliseconds per uncached prompt token. */
  prefillMilliseconds = PRIOR_PREFILL_MILLISECONDS;
  /** Milliseconds per generated token at the usual batch size. */
  decodeMilliseconds = PRIOR_DECODE_MILLISECONDS;
  private meanOutputTokens = 128;
  // Inverse correlation matrix of (uncached tokens, generated tokens), scaled by the prior's trust.
  private p11 = 1e-4;
  private p12 = 0;
  private p22 = 1e-2;

  /** Learns from one finished call. */
  observe(uncachedTokens: number, generatedTokens: number, milliseconds: number): void {
    this.meanOutputTokens += 0.02 * (generatedTokens - this.meanOutputTokens);
    const x1 = uncachedTokens;
    const x2 = generatedTokens;
    const g1 = this.p11 * x1 + this.p12 * x2;
    const g2 = this.p12 * x1 + this.p22 * x2;
    const scale = FORGETTING + x1 * g1 + x2 * g2;
    const error = milliseconds - this.prefillMilliseconds * x1 - this.decodeMilliseconds * x2;
    this.prefillMilliseconds += (g1 / scale) * error;
    this.decodeMilliseconds += (g2 / scale) * error;
    this.p11 = Math.min(1, (this.p11 - (g1 * g1) / scale) / FORGETTING);
    this.p12 = (this.p12 - (g1 * g2) / scale) / FORGETTING;
    this.p22 = Math.min(1, (this.p22 - (g2 * g2) / scale) / FORGETTING);
    this.prefillMilliseconds = Math.max(SMALLEST_PREFILL_MILLISECONDS, this.prefillMilliseconds);
    this.decodeMilliseconds = Math.max(SMALLEST_DECODE_MILLISECONDS, this.decodeMilliseconds);
  }

  /** Tokens an answer is expected to have, given its upper bound. */
  expectedOutput(maximumTokens: number): number {
    return Math.min(maximumTokens, this.meanOutputTokens);
  }

  /** Expected milliseconds of a call, without waiting. */
  serviceMilliseconds(uncachedTokens: number, maximumTokens: number): number {
    const decode = this.expectedOutput(maximumTokens) * this.decodeMilliseconds;
    return uncachedTokens * this.prefillMilliseconds + decode;
  }
}
