/**
 * Learns what the model engines of one service cost from the streams that they answer: how long a
 * prompt token takes to be read, and by how much one more request slows the events of those beside
 * it. No engine is known beforehand: the first guesses are wide, and some tens of streams replace them.
 */
import { RecursiveLeastSquares } from '../../scheduling/recursive-least-squares.js';

/** What a model engine costs, as far as it is known. */
export interface EngineCosts {
  /** Time for reading one token of a prompt, in milliseconds. */
  readonly millisecondsPerToken: number;
  /** Time that one more request adds to the pause between two events of a stream, in milliseconds. */
  readonly eventMillisecondsPerRequest: number;
  /** Events of a stream of mean length. */
  readonly meanEvents: number;
}

/** What one stream that was answered whole showed of its engine. */
export interface EngineSample {
  /** Prompt tokens that were not kept there; undefined when that was not known for sure. */
  readonly uncachedTokens: number | undefined;
  /** Requests that were there when it was sent, this one included. */
  readonly running: number;
  /** From sending to the first event, in milliseconds. */
  readonly firstEventMilliseconds: number;
  /** Mean pause between events, in milliseconds; undefined for streams of few events. */
  readonly pauseMilliseconds: number | undefined;
  readonly eventCount: number;
}

/** First guesses: a token is read in 1/30 ms; nothing is known of how requests slow one another. */
const INITIAL_MILLISECONDS_PER_TOKEN = 1 / 30;
const INITIAL_BASE_MILLISECONDS = 50;
const INITIAL_PAUSE_MILLISECONDS = 20;
const INITIAL_EVENT_COUNT = 10;
/** Bounds that any engine lies within. */
const MINIMUM_MILLISECONDS_PER_TOKEN = 1 / 5_000;
const MAXIMUM_MILLISECONDS_PER_TOKEN = 5;
/** Weight of the past after one more stream: some two hundred streams count. */
const FORGETTING_FACTOR = 0.995;
/** Weight of the newest stream in the mean number of events. */
const EVENT_COUNT_WEIGHT = 0.02;
/** Features of the fits are scaled to be about one. */
const TOKENS_PER_FEATURE_UNIT = 1_000;
const REQUESTS_PER_FEATURE_UNIT = 10;
/** An observation beyond so many times the expected one, and some milliseconds, counts as that. */
const MAXIMUM_OUTLIER_RATIO = 4;
const MAXIMUM_OUTLIER_EXCESS_MILLISECONDS = 50;

/** Spreads of the first guesses, as wide as the noise of one stream. */
const INITIAL_VARIANCES = [1, 1, 1] as const;

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * right[index]!, 0);
}

/** Observes a time, held below what one stalled stream could make of it. */
function observeClamped(
  fit: RecursiveLeastSquares,
  features: readonly number[],
  milliseconds: number,
): void {
  const expected = Math.max(0, dot(fit.coefficients, features));
  const maximum = expected * MAXIMUM_OUTLIER_RATIO + MAXIMUM_OUTLIER_EXCESS_MILLISECONDS;
  fit.observe(features, Math.min(milliseconds, maximum));
}

/** See the head of this file. */
export class EngineEstimate implements EngineCosts {
  /** Time to the first event by 1, tokens to be read, and requests beside it. */
  private readonly firstEventFit = new RecursiveLeastSquares(
    [INITIAL_BASE_MILLISECONDS, INITIAL_MILLISECONDS_PER_TOKEN * TOKENS_PER_FEATURE_UNIT, 0],
    INITIAL_VARIANCES,
    FORGETTING_FACTOR,
  );
  /** Pause between events by 1 and requests beside it. */
  private readonly pauseFit = new RecursiveLeastSquares(
    [INITIAL_PAUSE_MILLISECONDS, 0],
    INITIAL_VARIANCES.slice(1),
    FORGETTING_FACTOR,
  );
  private meanEventCount = INITIAL_EVENT_COUNT;
  private streamCount = 0;

  /** Takes what one stream showed. */
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

  /** Time that a stream of mean length takes beside so many others, its reading left out, in milliseconds. */
  streamMilliseconds(concurrentRequests: number): number {
    const pause = dot(this.pauseFit.coefficients, [
      1,
      concurrentRequests / REQUESTS_PER_FEATURE_UNIT,
    ]);
    return this.meanEventCount * Math.max(0, pause);
  }
}
