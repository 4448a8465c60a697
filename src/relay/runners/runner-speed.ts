/**
 * How fast each runner of a service is, as factors on the times that the service's law expects: shrunk
 * towards the usual speed where little is known, and compared with the runners' mean, so that what slows
 * all of them makes none of them slow.
 */
import type { LogSum, RunnerEvidence } from './runner-evidence.js';

/** Factors on expected times: 1 is the usual speed of the service, 2 takes twice as long. */
export interface RunnerSpeed {
  /** On pauses between events, or on the time of a whole plain answer. */
  readonly generating: number;
  /** On the time for reading a prompt. */
  readonly reading: number;
}

/** A runner of which nothing is known. */
export const USUAL_SPEED: RunnerSpeed = { generating: 1, reading: 1 };

/** Requests whose evidence weighs as much as the belief that a runner is like its peers. */
const PRIOR_REQUESTS = 6;
/** Bounds of a factor: beyond, a runner is as good as out, and evidence that far off is noise. */
const LARGEST_FACTOR = 8;
/** A logarithm of one request beyond this one counts as this one. */
const LARGEST_LOG = Math.log(LARGEST_FACTOR);

/** Logarithm of the ratio of a time to the expected one, bounded. */
export function boundedLog(milliseconds: number, expectedMilliseconds: number): number {
  const ratio = Math.max(milliseconds, Number.EPSILON) / Math.max(expectedMilliseconds, 1);
  return Math.min(LARGEST_LOG, Math.max(-LARGEST_LOG, Math.log(ratio)));
}

function shrunkLog({ weight, sum }: LogSum): number {
  return sum / (weight + PRIOR_REQUESTS);
}

/** Mean of the runners' logarithms; a runner counts by what is known of it, but not by its number of requests. */
function centreOf(logs: readonly LogSum[]): number {
  let weights = 0;
  let sum = 0;
  for (const log of logs) {
    weights += log.weight / (log.weight + PRIOR_REQUESTS);
    sum += shrunkLog(log);
  }
  return weights === 0 ? 0 : sum / weights;
}

function factorsOf(logs: readonly LogSum[]): number[] {
  const centre = centreOf(logs);
  return logs.map(({ weight, sum }) => {
    const log = shrunkLog({ weight, sum: sum - centre * weight });
    return Math.exp(Math.min(LARGEST_LOG, Math.max(-LARGEST_LOG, log)));
  });
}

/** Speeds of the runners of one service, in the order of their evidence. */
export function speedsOf(evidence: readonly RunnerEvidence[]): RunnerSpeed[] {
  const generating = factorsOf(evidence.map((one) => one.generating));
  const reading = factorsOf(evidence.map((one) => one.reading));
  return generating.map((factor, index) => ({ generating: factor, reading: reading[index]! }));
}
