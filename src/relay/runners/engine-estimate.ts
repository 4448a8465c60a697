/**
 * Learns the costs of a service's model engines from the streams they answer: the prefill time of a prompt token,
 * and by how much each concurrent request slows the events of the others. The initial values have a wide variance,
 * so that a few dozen streams replace them.
 */
import { RecursiveLeastSquares } from '../../scheduling/recursive-least-squares.js';

/** Estimated costs of a service's model engines. */
export interface EngineCosts {
  /** Prefill time of one prompt token, in milliseconds. */
  readonly millisecondsPerToken: number;
  /** Time that each concurrent request adds to the pause between two events of a stream, in milliseconds. */
  readonly eventMillisecondsPerRequest: number;
  /** Mean number of events of a stream. */
  readonly meanEvents: number;
}

/** Timing of one complete stream. */
export interface EngineSample {
  /** Prompt tokens that were not cached; undefined if not known for certain. */
  readonly uncachedTokens: number | undefined;
  /** Requests on the engine when this one was sent, including this one. */
  readonly running: number;
  /** Time from sending the request to the first event, in milliseconds. */
  readonly firstEventMilliseconds: number;
  /** Mean pause between events, in milliseconds; undefined if there were too few events. */
  readonly pauseMilliseconds: number | undefined;
  readonly eventCount: number;
}

/** Initial values of the estimates; the initial slowdown by concurrent requests is 0. */
const INITIAL_MILLISECONDS_PER_TOKEN = 1 / 30;
const INITIAL_BASE_MILLISECONDS = 50;
const INITIAL_PAUSE_MILLISECONDS = 20;
const INITIAL_EVENT_COUNT = 10;
/** Bounds of the learned prefill time per token. */
const MINIMUM_MILLISECONDS_PER_TOKEN = 1 / 5_000;
const MAXIMUM_MILLISECONDS_PER_TOKEN = 5;
/** Forgetting factor of the fits, a memory of about 200 streams. */
const FORGETTING_FACTOR = 0.995;
/** Weight of the newest stream in the mean event count, once there are enough streams. */
const EVENT_COUNT_WEIGHT = 0.02;
/** Scale of the fits' features, which brings them close to 1. */
const TOKENS_PER_FEATURE_UNIT = 1_000;
const REQUESTS_PER_FEATURE_UNIT = 10;
/** Observations are clamped to this multiple of the expected value plus the excess. */
const MAXIMUM_OUTLIER_RATIO = 4;
const MAXIMUM_OUTLIER_EXCESS_MILLISECONDS = 50;

/** Variances of the initial coefficients, as wide as the noise of one stream. */
const INITIAL_VARIANCES = [1, 1, 1] as const;

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * right[index]!, 0);
}

/** Adds an observation to a fit, clamped to limit the effect of a stalled stream. */
function observeClamped(
  fit: RecursiveLeastSquares,
  features: readonly number[],
  milliseconds: number,
): void {
  const expected = Math.max(0, dot(fit.coefficients, features));
  const maximum = expected * MAXIMUM_OUTLIER_RATIO + MAXIMUM_OUTLIER_EXCESS_MILLISECONDS;
  fit.observe(features, Math.min(milliseconds, maximum));
}

/** Running estimate of the engine costs of one service. */
export class EngineEstimate implements EngineCosts {
  /** Fit of the time to the first event; features: 1, uncached tokens, running requests. */
  private readonly firstEventFit = new RecursiveLeastSquares(
    [INITIAL_BASE_MILLISECONDS, INITIAL_MILLISECONDS_PER_TOKEN * TOKENS_PER_FEATURE_UNIT, 0],
    INITIAL_VARIANCES,
    FORGETTING_FACTOR,
  );
  /** Fit of the pause between events; features: 1, running requests. */
  private readonly pauseFit = new RecursiveLeastSquares(
    [INITIAL_PAUSE_MILLISECONDS, 0],
    INITIAL_VARIANCES.slice(1),
    FORGETTING_FACTOR,
  );
  private meanEventCount = INITIAL_EVENT_COUNT;
  private streamCount = 0;

  /** Updates the estimate from one stream. */
  observe(sample: EngineSample): void {
    const { uncachedTokens, running, firstEventMilliseconds, pauseMilliseconds } = sample;
    const scaledRequests = running / REQUESTS_PER_FEATURE_UNIT;
    this.streamCount += 1;
    const weight = Math.max(EVENT_COUNT_WEIGHT, 1 / this.streamCount);
    this.meanEventCount += (sample.eventCount - this.meanEventCount) * weight;
    if (uncachedTokens !== undefined) {
      const features = [1, uncachedTokens / TOKENS_PER_FEATURE_UNIT, scaledRequests];
      observeClamped(this.firstEventFit, features, firstEventMilliseconds);
    }
    if (pauseMilliseconds !== undefined) {
      observeClamped(this.pauseFit, [1, scaledRequests], pauseMilliseconds);
    }
  }

  get millisecondsPerToken(): number {
    const learned = this.firstEventFit.coefficients[1]! / TOKENS_PER_FEATURE_UNIT;
    return Math.min(
      MAXIMUM_MILLISECONDS_PER_TOKEN,
      Math.max(MINIMUM_MILLISECONDS_PER_TOKEN, learned),
    );
  }

  get eventMillisecondsPerRequest(): number {
    return Math.max(0, this.pauseFit.coefficients[1]! / REQUESTS_PER_FEATURE_UNIT);
  }

  get meanEvents(): number {
    return this.meanEventCount;
  }

  /** Returns the time to the first event of a stream on an idle engine, in milliseconds. */
  firstEventMilliseconds(uncachedTokens: number): number {
    return (
      uncachedTokens * this.millisecondsPerToken + this.streamMilliseconds(1) / this.meanEvents
    );
  }

  /**
   * Returns the generation time of a stream of mean length, without its prefill, in milliseconds.
   * @param concurrentRequests requests on the engine
   */
  streamMilliseconds(concurrentRequests: number): number {
    const pause = dot(this.pauseFit.coefficients, [
      1,
      concurrentRequests / REQUESTS_PER_FEATURE_UNIT,
    ]);
    return this.meanEventCount * Math.max(0, pause);
  }
}
