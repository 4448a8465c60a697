/**
 * How far each runner of a service is trusted with work, out of what all gateways saw: it takes its whole
 * share, half of it, or none but trials. However many fail, a floor of the service's places stays in use.
 * A runner comes back by trials that went well, and never since a health check was good. Where none is made,
 * since nothing that is asked may be repeated, it gets half of its share after a pause that grows.
 */
import type { FailureCounts, RunnerEvidence } from './runner-evidence.js';
import { failureScore, usualFailureShare } from './failure-score.js';

/** What a runner may be given. */
export type RunnerStanding =
  /** Its whole share. */
  | { readonly tag: 'Whole' }
  /** Half of its share. */
  | { readonly tag: 'Halved' }
  /** Trials of repeatable work only. */
  | { readonly tag: 'Out'; readonly since: number };

/** One runner as a review sees it. */
export interface ReviewedRunner {
  readonly standing: RunnerStanding;
  /** Times that it was ejected so far. */
  readonly ejections: number;
  readonly slots: number;
  /** Time since it was ejected or since its last trial, in milliseconds; counts only while it is out. */
  readonly untriedMilliseconds: number;
  /** What all gateways saw. */
  readonly evidence: RunnerEvidence;
}

/** What a review found for one runner. */
export interface Finding {
  readonly standing: RunnerStanding;
  /** Logarithm of the likelihood ratio for a failing runner. */
  readonly score: number;
  /** Counts that decided. */
  readonly counts: FailureCounts;
}

/** The standing of a runner of which nothing is known. */
export const WHOLE: RunnerStanding = { tag: 'Whole' };
const HALVED: RunnerStanding = { tag: 'Halved' };

/** Score from which a runner gets half of its share: wrong in one of ten cases, and cheap then. */
const HALVING_SCORE = Math.log(10);
/** Score from which it is out: wrong in one of a thousand cases. More than one gateway's word can make. */
const EJECTING_SCORE = Math.log(1_000);
/** Score below which a halved runner gets its whole share again. */
const RESTORING_SCORE = 0;
/** Share of a service's usual places that stays in use, whatever the evidence. */
const ROOM_FLOOR = 0.5;
/** Good trials that bring a runner back after its first ejection; twice as many after each further one. */
const GOOD_TRIALS = 4;
const MOST_GOOD_TRIALS = 12;
/** Failures among trials up to which they went well: what is left of one that has faded. */
const FAILED_TRIALS = 0.4;
/**
 * Time without a trial after which a runner gets half of its share, in milliseconds: twice as long after each
 * further ejection. One that still fails then costs some requests a few times an hour.
 */
const FIRST_UNTRIED_MILLISECONDS = 30_000;
const MOST_UNTRIED_MILLISECONDS = 240_000;

/** Good trials that are needed after so many ejections. */
function neededTrials(ejections: number): number {
  return Math.min(MOST_GOOD_TRIALS, GOOD_TRIALS * 2 ** Math.max(0, ejections - 1));
}

/** Whether a failed trial is known that takes what earlier good ones showed. */
export function hasFailedTrial({ trials }: RunnerEvidence): boolean {
  return trials.failures > FAILED_TRIALS;
}

function hasProved({ ejections, evidence }: ReviewedRunner): boolean {
  return !hasFailedTrial(evidence) && evidence.trials.requests >= neededTrials(ejections);
}

function hasWaited({ ejections, untriedMilliseconds }: ReviewedRunner): boolean {
  const pause = FIRST_UNTRIED_MILLISECONDS * 2 ** Math.max(0, ejections - 1);
  return untriedMilliseconds >= Math.min(MOST_UNTRIED_MILLISECONDS, pause);
}

/** Trials that others make count as requests for a gateway that has not ejected the runner itself. */
function countsOf({ evidence }: ReviewedRunner): FailureCounts {
  const { usual, trials } = evidence;
  return {
    requests: usual.requests + trials.requests,
    failures: usual.failures + trials.failures,
  };
}

function wished(runner: ReviewedRunner, score: number, now: number): RunnerStanding {
  const { standing } = runner;
  if (standing.tag === 'Out') {
    return hasProved(runner) || hasWaited(runner) ? HALVED : standing;
  }
  if (score >= EJECTING_SCORE) {
    return { tag: 'Out', since: now };
  }
  if (score >= HALVING_SCORE) {
    return HALVED;
  }
  return score <= RESTORING_SCORE ? WHOLE : standing;
}

/**
 * Standings of the runners of one service, in their order.
 * @param usualSlots places that the service usually has
 * @param now local time in milliseconds
 */
export function reviewStandings(
  runners: readonly ReviewedRunner[],
  usualSlots: number,
  now: number,
): Finding[] {
  const usualShare = usualFailureShare(runners.map(({ evidence }) => evidence.usual));
  const findings = runners.map((runner) => {
    const counts = countsOf(runner);
    const score = failureScore(counts, usualShare);
    return { counts, score, standing: wished(runner, score, now) };
  });
  return keepFloor(runners, findings, usualSlots * ROOM_FLOOR);
}

/** Leaves the worst out as long as the rest has room enough; those that would be ejected beyond are halved. */
function keepFloor(
  runners: readonly ReviewedRunner[],
  findings: readonly Finding[],
  floorSlots: number,
): Finding[] {
  let room = runners.reduce((sum, { slots }) => sum + slots, 0);
  const kept = [...findings];
  const worstFirst = findings
    .map((finding, index) => ({ finding, index }))
    .filter(({ finding }) => finding.standing.tag === 'Out')
    .sort((left, right) => rankOf(runners, right) - rankOf(runners, left));
  for (const { finding, index } of worstFirst) {
    const { slots } = runners[index]!;
    if (room - slots >= floorSlots) {
      room -= slots;
    } else {
      kept[index] = { ...finding, standing: HALVED };
    }
  }
  return kept;
}

/** Those that are out already stay so before others: changing places would help nobody. */
function rankOf(
  runners: readonly ReviewedRunner[],
  { finding, index }: { finding: Finding; index: number },
): number {
  const isOut = runners[index]!.standing.tag === 'Out';
  return (isOut ? EJECTING_SCORE : 0) + finding.score;
}
