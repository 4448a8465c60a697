/**
 * Learns how long the requests of a service take and how each runner compares with the service's mean. Stream
 * times are first scaled to a stream of mean length, so that a long answer does not make its runner look slow.
 * Differences between runners within the noise of the samples are ignored.
 */

/** Weight of the newest sample in the mean of a runner. */
const RUNNER_MEAN_WEIGHT = 0.1;
/** Weight of the newest sample in the means of a service, once there are enough samples. */
const SERVICE_MEAN_WEIGHT = 0.02;
const DEFAULT_MEAN_MILLISECONDS = 100;
/** Ratio between a runner's mean and its service's mean, either way, up to which it counts as noise. */
const NOISE_RATIO = 1.4;
/** Largest factor, up or down, by which one sample is scaled; limits the weight of very short streams. */
const MAXIMUM_SCALE = 3;

/** Timing of one request with a complete answer. */
export interface LatencySample {
  /** Time from sending the request to the end of its answer, in milliseconds. */
  readonly totalMilliseconds: number;
  /** Number of events of a stream; 0 for plain answers. */
  readonly eventCount: number;
}

/** Mean latency of one service over all its runners. */
export class ServiceLatency {
  private meanEvents = 0;
  private mean = DEFAULT_MEAN_MILLISECONDS;
  private sampleCount = 0;

  /** Mean request time, in milliseconds. */
  get meanMilliseconds(): number {
    return this.mean;
  }

  /** Adds a sample; returns its time scaled to a request of mean length. */
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

/** Mean latency of one runner, starting from the mean of its service. */
export class RunnerLatency {
  private mean: number | undefined;

  constructor(private readonly service: ServiceLatency) {}

  /** Adds a sample of this runner, also to its service. */
  observe(sample: LatencySample): void {
    const scaled = this.service.observe(sample);
    const before = this.mean ?? this.service.meanMilliseconds;
    this.mean = before + (scaled - before) * RUNNER_MEAN_WEIGHT;
  }

  /** Expected request time in milliseconds: the service's mean unless this runner clearly differs. */
  get expectedMilliseconds(): number {
    const serviceMean = this.service.meanMilliseconds;
    const own = this.mean ?? serviceMean;
    const isWithinNoise = own < serviceMean * NOISE_RATIO && own * NOISE_RATIO > serviceMean;
    return isWithinNoise ? serviceMean : own;
  }
}
