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
  readonly unreadTokens: number | undefined;
  /** Requests that were there when it was sent, this one included. */
  readonly running: number;
  /** From sending to the first event, in milliseconds. */
  readonly firstEventMilliseconds: number;
  /** Mean pause between events, in milliseconds; undefined for streams of few events. */
  readonly pauseMilliseconds: number | undefined;
  readonly eventCount: number;
}

/** What the law of a service expects of one stream. */
export interface ExpectedStream {
  /** From sending to the first event, in milliseconds; undefined where unread tokens aren't known. */
  readonly firstEventMilliseconds: number | undefined;
  /** Share of that time that goes by reading. */
  readonly readingShare: number;
  /** Pause between events, in milliseconds. */
  readonly pauseMilliseconds: number;
  /** From 0 to 1: how far the law is known by now. */
  readonly trust: number;
}

/** First guesses: a token is read in 1/30 ms; nothing is known of how requests slow one another. */
const FIRST_MILLISECONDS_PER_TOKEN = 1 / 30;
const FIRST_BASE_MILLISECONDS = 50;
const FIRST_PAUSE_MILLISECONDS = 20;
const FIRST_EVENTS = 10;
/** Bounds that any engine lies within. */
const LEAST_MILLISECONDS_PER_TOKEN = 1 / 5_000;
const MOST_MILLISECONDS_PER_TOKEN = 5;
/** Weight of the past after one more stream: some two hundred streams count. */
const FORGETTING = 0.995;
/** Weight of the newest stream in the mean number of events. */
const EVENTS_SHARE = 0.02;
/** Streams that make up for the first guesses. */
const KNOWN_STREAMS = 12;
/** Features of the fits are scaled to be about one. */
const TOKENS_IN_UNIT = 1_000;
const REQUESTS_IN_UNIT = 10;
/** An observation beyond so many times the expected one, and some milliseconds, counts as that. */
const LARGEST_RATIO = 4;
const LARGEST_EXCESS_MILLISECONDS = 50;

/** Spreads of the first guesses, as wide as the noise of one stream. */
const WIDE = [1, 1, 1] as const;

function dot(left: readonly number[], right: readonly number[]): number {
  return left.reduce((sum, value, index) => sum + value * right[index]!, 0);
}

/** Observes a time, held below what one stalled stream could make of it. */
function observeBounded(
  fit: RecursiveLeastSquares,
  features: readonly number[],
  milliseconds: number,
): void {
  const expected = Math.max(0, dot(fit.coefficients, features));
  const most = expected * LARGEST_RATIO + LARGEST_EXCESS_MILLISECONDS;
  fit.observe(features, Math.min(milliseconds, most));
}

/** See the head of this file. */
export class EngineEstimate implements EngineCosts {
  /** Time to the first event by 1, tokens to be read, and requests beside it. */
  private readonly firstEvent = new RecursiveLeastSquares(
    [FIRST_BASE_MILLISECONDS, FIRST_MILLISECONDS_PER_TOKEN * TOKENS_IN_UNIT, 0],
    WIDE,
    FORGETTING,
  );
  /** Pause between events by 1 and requests beside it. */
  private readonly pause = new RecursiveLeastSquares(
    [FIRST_PAUSE_MILLISECONDS, 0],
    WIDE.slice(1),
    FORGETTING,
  );
  private events = FIRST_EVENTS;
  private streamCount = 0;

  /** Takes what one stream showed. */
  take(sample: EngineSample): void {
    const { unreadTokens, running, firstEventMilliseconds, pauseMilliseconds } = sample;
    const beside = running / REQUESTS_IN_UNIT;
    this.streamCount += 1;
    const share = Math.max(EVENTS_SHARE, 1 / this.streamCount);
    this.events += (sample.eventCount - this.events) * share;
    if (unreadTokens !== undefined) {
      const features = [1, unreadTokens / TOKENS_IN_UNIT, beside];
      observeBounded(this.firstEvent, features, firstEventMilliseconds);
    }
    if (pauseMilliseconds !== undefined) {
      observeBounded(this.pause, [1, beside], pauseMilliseconds);
    }
  }

  /** What is expected of a stream of the usual speed, sent as this one was. */
  expected({ unreadTokens, running }: EngineSample): ExpectedStream {
    const beside = running / REQUESTS_IN_UNIT;
    const pauseMilliseconds = Math.max(0, dot(this.pause.coefficients, [1, beside]));
    const trust = this.streamCount / (this.streamCount + KNOWN_STREAMS);
    if (unreadTokens === undefined) {
      return { firstEventMilliseconds: undefined, readingShare: 0, pauseMilliseconds, trust };
    }
    const features = [1, unreadTokens / TOKENS_IN_UNIT, beside];
    const firstEventMilliseconds = Math.max(0, dot(this.firstEvent.coefficients, features));
    const reading = unreadTokens * this.millisecondsPerToken;
    const readingShare = Math.min(1, reading / Math.max(1, firstEventMilliseconds));
    return { firstEventMilliseconds, readingShare, pauseMilliseconds, trust };
  }

  get millisecondsPerToken(): number {
    const learned = this.firstEvent.coefficients[1]! / TOKENS_IN_UNIT;
    return Math.min(MOST_MILLISECONDS_PER_TOKEN, Math.max(LEAST_MILLISECONDS_PER_TOKEN, learned));
  }

  get eventMillisecondsPerRequest(): number {
    return Math.max(0, this.pause.coefficients[1]! / REQUESTS_IN_UNIT);
  }

  get meanEvents(): number {
    return this.events;
  }

  /** Time that a stream of mean length takes beside so many others, its reading left out, in milliseconds. */
  streamMilliseconds(beside: number): number {
    const pause = dot(this.pause.coefficients, [1, beside / REQUESTS_IN_UNIT]);
    return this.events * Math.max(0, pause);
  }
}
