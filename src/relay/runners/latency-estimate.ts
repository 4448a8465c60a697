/**
 * Learns how long requests of one service take and how each runner compares with the others. Times
 * of streams are scaled to a stream of mean length first, so that a long answer does not make its
 * runner look slow; differences within the noise of the samples count as none.
 */

/** Weight of the newest sample in the running means. */
const RUNNER_MEAN_WEIGHT = 0.1;
/** Weight of the newest sample in the mean of a whole service. */
const SERVICE_MEAN_WEIGHT = 0.02;
const DEFAULT_MEAN_MILLISECONDS = 100;
/** Largest ratio of a runner's mean to its service's that is taken for noise. */
const NOISE_RATIO = 1.4;
/** Bounds of the scaling of one sample, so that a stream of one event does not count for many. */
const MAXIMUM_SCALE = 3;

/** One request that was answered whole. */
export interface LatencySample {
  /** From sending to the end, in milliseconds. */
  readonly totalMilliseconds: number;
  /** Events of a stream; 0 for other answers. */
  readonly eventCount: number;
}

/** Means of one service. */
export class ServiceLatency {
  private meanEvents = 0;
  private mean = DEFAULT_MEAN_MILLISECONDS;
  private sampleCount = 0;

  /** Mean time of a request at this service, in milliseconds. */
  get meanMilliseconds(): number {
    return this.mean;
  }

  /** Takes a sample; returns its time scaled to a request of mean length. */
  observe(sample: LatencySample): number {
    const scaled = sample.totalMilliseconds * this.scaleOf(sample.eventCount);
    this.sampleCount += 1;
    const weight = Math.max(SERVICE_MEAN_WEIGHT, 1 / this.sampleCount);
    this.mean += (scaled - this.mean) * weight;
    return scaled;
  }

  private scaleOf(eventCount: number): number {
    if (eventCount === 0) {
      return 1;
    }
    if (this.meanEvents === 0) {
      this.meanEvents = eventCount;
    }
    this.meanEvents += (eventCount - this.meanEvents) * SERVICE_MEAN_WEIGHT;
    return Math.min(MAXIMUM_SCALE, Math.max(1 / MAXIMUM_SCALE, this.meanEvents / eventCount));
  }
}

/** Mean of one runner, which begins as its service's. */
export class RunnerLatency {
  private mean: number | undefined;

  constructor(private readonly service: ServiceLatency) {}

  /** Takes a sample of this runner. */
  observe(sample: LatencySample): void {
    const scaled = this.service.observe(sample);
    const before = this.mean ?? this.service.meanMilliseconds;
    this.mean = before + (scaled - before) * RUNNER_MEAN_WEIGHT;
  }

  /** Expected time of a request here, in milliseconds: the service's unless this one differs clearly. */
  get expectedMilliseconds(): number {
    const serviceMean = this.service.meanMilliseconds;
    const own = this.mean ?? serviceMean;
    const isWithinNoise = own < serviceMean * NOISE_RATIO && own * NOISE_RATIO > serviceMean;
    return isWithinNoise ? serviceMean : own;
  }
}
