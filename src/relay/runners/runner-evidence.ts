/**
 * What requests showed of one runner in the last seconds: how many failed, and how its times compare with
 * its service's law. Sums fade with time, so that what a gateway tells is always its present view, and rows
 * of all gateways can be added up.
 */

/** Requests of a runner and how many of them failed; both fade. */
export interface FailureCounts {
  readonly requests: number;
  readonly failures: number;
}

/** A weighted mean of logarithms as two sums. */
export interface LogSum {
  readonly weight: number;
  /** Sum of weight times logarithm of the ratio of a time to the one expected. */
  readonly sum: number;
}

/** See the head of this file. */
export interface RunnerEvidence {
  /** Requests while the runner takes its share. */
  readonly usual: FailureCounts;
  /** Time of whole plain answers, or pauses between the events of streams. */
  readonly generating: LogSum;
  /** Times to the first event of streams, as far as they are times of reading. */
  readonly reading: LogSum;
  /** Requests sent to a runner that is out, to see whether it is well again. */
  readonly trials: FailureCounts;
}

/** Time in which counts of requests fade to a third, in milliseconds: some tens of requests at a busy runner. */
const COUNT_MILLISECONDS = 6_000;
/** The same for speeds, which change more seldom than failures and are noisier. */
const SPEED_MILLISECONDS = 10_000;
/** Most requests that one gateway tells of one runner: a few gateways can't outweigh all others. */
const MOST_REQUESTS = 8;
/** Most failures that one gateway tells: fewer than eject a runner, so that none can alone. */
const MOST_FAILURES = 2.5;
/** Requests that a failure or a trial is worth where not all rows fit into a message: the largest are told. */
const TOLD_FIRST = 10;
/** Amounts below which a row tells nothing. */
const LEAST_AMOUNT = 0.05;

/** No evidence. */
export const NO_EVIDENCE: RunnerEvidence = {
  usual: { requests: 0, failures: 0 },
  generating: { weight: 0, sum: 0 },
  reading: { weight: 0, sum: 0 },
  trials: { requests: 0, failures: 0 },
};

function addCounts(left: FailureCounts, right: FailureCounts): FailureCounts {
  return {
    requests: left.requests + right.requests,
    failures: left.failures + right.failures,
  };
}

function addLogs(left: LogSum, right: LogSum): LogSum {
  return { weight: left.weight + right.weight, sum: left.sum + right.sum };
}

/** Evidence of two sources together. */
export function addEvidence(left: RunnerEvidence, right: RunnerEvidence): RunnerEvidence {
  return {
    usual: addCounts(left.usual, right.usual),
    generating: addLogs(left.generating, right.generating),
    reading: addLogs(left.reading, right.reading),
    trials: addCounts(left.trials, right.trials),
  };
}

function boundCounts({ requests, failures }: FailureCounts): FailureCounts {
  const scale = Math.min(1, MOST_REQUESTS / Math.max(requests, LEAST_AMOUNT));
  return { requests: requests * scale, failures: Math.min(MOST_FAILURES, failures * scale) };
}

function boundLogs({ weight, sum }: LogSum): LogSum {
  const scale = Math.min(1, MOST_REQUESTS / Math.max(weight, LEAST_AMOUNT));
  return { weight: weight * scale, sum: sum * scale };
}

/** A row of amounts for other gateways, within what one may say; undefined when there is nothing to say. */
export function evidenceAmounts(evidence: RunnerEvidence): readonly number[] | undefined {
  const usual = boundCounts(evidence.usual);
  const generating = boundLogs(evidence.generating);
  const reading = boundLogs(evidence.reading);
  const trials = boundCounts(evidence.trials);
  const urgent = usual.failures + trials.requests;
  const amounts = [
    usual.requests + urgent * TOLD_FIRST,
    usual.failures,
    generating.weight,
    generating.sum,
    reading.weight,
    reading.sum,
    trials.requests,
    trials.failures,
  ];
  const known = [usual.requests, generating.weight, reading.weight, trials.requests];
  if (known.every((amount) => amount < LEAST_AMOUNT)) {
    return undefined;
  }
  const last = amounts.findLastIndex((amount) => Math.abs(amount) >= LEAST_AMOUNT);
  return amounts.slice(0, last + 1);
}

/** Evidence of a row of amounts; sums that lost a message may come out below nothing. */
export function evidenceOf(amounts: readonly number[]): RunnerEvidence {
  const at = (place: number): number => Math.max(0, amounts[place] ?? 0);
  const logs = (place: number): LogSum => ({ weight: at(place), sum: amounts[place + 1] ?? 0 });
  const trials = { requests: at(6), failures: Math.min(at(6), at(7)) };
  const requests = Math.max(0, at(0) - (at(1) + trials.requests) * TOLD_FIRST);
  const usual = { requests, failures: Math.min(requests, at(1)) };
  return { usual, generating: logs(2), reading: logs(4), trials };
}

function fadeCounts({ requests, failures }: FailureCounts, share: number): FailureCounts {
  return { requests: requests * share, failures: failures * share };
}

/** Failures fade, what went well stays. */
function fadeFailures({ requests, failures }: FailureCounts, share: number): FailureCounts {
  const left = failures * share;
  return { requests: requests - failures + left, failures: left };
}

function fadeLogs({ weight, sum }: LogSum, share: number): LogSum {
  return { weight: weight * share, sum: sum * share };
}

/** What this gateway itself saw of one runner. */
export class OwnEvidence {
  private sums = NO_EVIDENCE;
  private keepsTrials = false;
  private fadedAt = 0;

  /** The evidence at a local time in milliseconds. */
  at(now: number): RunnerEvidence {
    const age = now - this.fadedAt;
    if (age > 0) {
      const counts = Math.exp(-age / COUNT_MILLISECONDS);
      const speeds = Math.exp(-age / SPEED_MILLISECONDS);
      this.fadedAt = now;
      this.sums = {
        usual: fadeCounts(this.sums.usual, counts),
        generating: fadeLogs(this.sums.generating, speeds),
        reading: fadeLogs(this.sums.reading, speeds),
        trials: this.keepsTrials
          ? fadeFailures(this.sums.trials, counts)
          : fadeCounts(this.sums.trials, counts),
      };
    }
    return this.sums;
  }

  /** Takes some more at a local time in milliseconds. */
  add(now: number, more: Partial<RunnerEvidence>): void {
    this.sums = addEvidence(this.at(now), { ...NO_EVIDENCE, ...more });
  }

  /** Forgets the counts of usual requests: they have led to what they could. */
  forgetUsual(): void {
    this.sums = { ...this.sums, usual: NO_EVIDENCE.usual };
  }

  /** Begins to count trials anew; good ones are kept until the runner is back, however seldom they come. */
  beginTrials(): void {
    this.keepsTrials = true;
    this.sums = { ...this.sums, trials: NO_EVIDENCE.trials };
  }

  /** The runner is back: its trials fade like other counts. */
  endTrials(): void {
    this.keepsTrials = false;
  }

  /** Forgets good trials, since another one failed. */
  forgetGoodTrials(): void {
    const { failures } = this.sums.trials;
    this.sums = { ...this.sums, trials: { requests: failures, failures } };
  }
}
