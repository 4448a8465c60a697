/**
 * What one service's runners are expected to take for a request, and what a request shows of its runner's
 * speed against that. What is learned is scaled to the usual speed first, so that slow runners don't make
 * the law slow.
 */
import { EngineEstimate } from './engine-estimate.js';
import type { EngineSample, ExpectedStream } from './engine-estimate.js';
import type { LogSum, RunnerEvidence } from './runner-evidence.js';
import { boundedLog } from './runner-speed.js';
import type { RunnerSpeed } from './runner-speed.js';
import { ServicePace } from './service-pace.js';
import type { PaceSample } from './service-pace.js';

/** Pauses of one stream that count as so many answers: a mean of several is less noisy than one time. */
const MOST_PAUSES = 4;
const NO_LOG: LogSum = { weight: 0, sum: 0 };

function logOf(weight: number, milliseconds: number, expected: number): LogSum {
  return { weight, sum: weight * boundedLog(milliseconds, expected) };
}

/** Pauses show how fast a runner generates. */
function generatingLog(sample: EngineSample, law: ExpectedStream): LogSum {
  const { pauseMilliseconds, eventCount } = sample;
  if (pauseMilliseconds === undefined) {
    return NO_LOG;
  }
  const weight = law.trust * Math.min(MOST_PAUSES, eventCount - 1);
  return logOf(weight, pauseMilliseconds, law.pauseMilliseconds);
}

/**
 * The first event shows how fast a runner reads, as far as it waits for reading: a factor f makes the whole
 * time longer by f to the power of the share, so the share squared is what the observation weighs.
 */
function readingLog(sample: EngineSample, law: ExpectedStream): LogSum {
  const { firstEventMilliseconds: expected, readingShare, trust } = law;
  if (expected === undefined) {
    return NO_LOG;
  }
  const log = boundedLog(sample.firstEventMilliseconds, expected);
  return { weight: trust * readingShare ** 2, sum: trust * readingShare * log };
}

/** The stream as a runner of the usual speed would have answered it. */
function atUsualSpeed(sample: EngineSample, speed: RunnerSpeed, law: ExpectedStream): EngineSample {
  const { firstEventMilliseconds, pauseMilliseconds } = sample;
  return {
    ...sample,
    firstEventMilliseconds: firstEventMilliseconds / speed.reading ** law.readingShare,
    pauseMilliseconds:
      pauseMilliseconds === undefined ? undefined : pauseMilliseconds / speed.generating,
  };
}

/** See the head of this file. */
export class ServiceLaw {
  readonly engine = new EngineEstimate();
  private readonly pace = new ServicePace();

  /** Mean time of a request at a runner of the usual speed, in milliseconds. */
  get meanMilliseconds(): number {
    return this.pace.meanMilliseconds;
  }

  /**
   * Takes a request that was answered whole.
   * @param stream what its stream showed; undefined for other answers
   * @param speed what its runner's speed was believed to be
   * @returns what it shows of that speed
   */
  take(
    whole: PaceSample,
    stream: EngineSample | undefined,
    speed: RunnerSpeed,
  ): Partial<RunnerEvidence> {
    const { expectedMilliseconds, trust } = this.pace.expected(whole);
    this.pace.take(whole, speed.generating);
    if (stream !== undefined) {
      return this.takeStream(stream, speed);
    }
    return whole.eventCount > 0
      ? {}
      : { generating: logOf(trust, whole.totalMilliseconds, expectedMilliseconds) };
  }

  private takeStream(stream: EngineSample, speed: RunnerSpeed): Partial<RunnerEvidence> {
    const expected = this.engine.expected(stream);
    this.engine.take(atUsualSpeed(stream, speed, expected));
    return {
      generating: generatingLog(stream, expected),
      reading: readingLog(stream, expected),
    };
  }
}
