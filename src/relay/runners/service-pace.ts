/**
 * Learns how long requests of one service take. Times of streams are scaled to a stream of mean length, so
 * that a long answer does not make its runner look slow; other answers are compared with those of their own
 * kind, since one service does short and long work.
 */

/** Weight of the newest sample in the means. */
const SERVICE_SHARE = 0.02;
const DEFAULT_MEAN_MILLISECONDS = 100;
/** Bounds of the scaling of one sample, so that a stream of one event does not count for many. */
const LARGEST_SCALE = 3;
/** Requests of a kind that make its mean known well enough to compare with. */
const KNOWN_REQUESTS = 8;
/** Kinds that are told apart; more count as one. */
const MOST_KINDS = 64;

/** One request that was answered whole. */
export interface PaceSample {
  /** From sending to the end, in milliseconds. */
  readonly totalMilliseconds: number;
  /** Events of a stream; 0 for other answers. */
  readonly eventCount: number;
  /** Name of its route: requests of one route are alike. */
  readonly kind: string;
  /** Requests that were there when it was sent, this one included. */
  readonly running: number;
  /** Requests that its runner works on at the same time. */
  readonly slots: number;
}

/** What is expected of a request. */
export interface ExpectedAnswer {
  readonly expectedMilliseconds: number;
  /** From 0 to 1: how far that is known by now. */
  readonly trust: number;
}

/** Mean of the logarithms of one kind's times. */
interface KindPace {
  log: number;
  count: number;
}

/** Factor by which the requests that stand before one make it wait. */
function waitingFactor({ running, slots }: PaceSample): number {
  return Math.max(1, running / Math.max(1, slots));
}

/** See the head of this file. */
export class ServicePace {
  private meanEvents = 0;
  private mean = DEFAULT_MEAN_MILLISECONDS;
  private sampleCount = 0;
  private readonly kinds = new Map<string, KindPace>();

  /** Mean time of a request at this service, in milliseconds. */
  get meanMilliseconds(): number {
    return this.mean;
  }

  /** What is expected of a request like this one, other than a stream, at the usual speed. */
  expected(sample: PaceSample): ExpectedAnswer {
    const kind = this.kindOf(sample.kind);
    return {
      expectedMilliseconds: Math.exp(kind.log) * waitingFactor(sample),
      trust: kind.count / (kind.count + KNOWN_REQUESTS),
    };
  }

  /**
   * Takes a sample.
   * @param speed factor of its runner's times on usual ones
   */
  take(sample: PaceSample, speed: number): void {
    const usual = sample.totalMilliseconds / speed;
    const scaled = usual * this.scaleOf(sample.eventCount);
    this.sampleCount += 1;
    const share = Math.max(SERVICE_SHARE, 1 / this.sampleCount);
    this.mean += (scaled - this.mean) * share;
    this.takeKind(sample, usual);
  }

  private takeKind(sample: PaceSample, usualMilliseconds: number): void {
    const kind = this.kindOf(sample.kind);
    kind.count += 1;
    const log = Math.log(Math.max(1, usualMilliseconds / waitingFactor(sample)));
    kind.log += (log - kind.log) * Math.max(SERVICE_SHARE, 1 / kind.count);
  }

  private kindOf(name: string): KindPace {
    const known = this.kinds.get(name);
    if (known !== undefined) {
      return known;
    }
    const kind = { log: 0, count: 0 };
    if (this.kinds.size < MOST_KINDS) {
      this.kinds.set(name, kind);
    }
    return kind;
  }

  private scaleOf(eventCount: number): number {
    if (eventCount === 0) {
      return 1;
    }
    if (this.meanEvents === 0) {
      this.meanEvents = eventCount;
    }
    this.meanEvents += (eventCount - this.meanEvents) * SERVICE_SHARE;
    return Math.min(LARGEST_SCALE, Math.max(1 / LARGEST_SCALE, this.meanEvents / eventCount));
  }
}
