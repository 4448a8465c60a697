/**
 * Looks several times a second at what all gateways saw of the runners of one service, and says of each how
 * fast it is and how far it is trusted. Changes of belief are logged with what they rest on.
 */
import type { RandomSource } from '../../runtime/random.js';
import type { Runtime } from '../../runtime/runtime.js';
import { addEvidence, evidenceOf, OwnEvidence } from './runner-evidence.js';
import type { RunnerEvidence } from './runner-evidence.js';
import { speedsOf, USUAL_SPEED } from './runner-speed.js';
import type { RunnerSpeed } from './runner-speed.js';
import { hasFailedTrial, reviewStandings, WHOLE } from './runner-standing.js';
import type { Finding, RunnerStanding } from './runner-standing.js';

/** Beliefs about one incarnation of a runner; a restart begins anew. */
export class RunnerBelief {
  readonly evidence = new OwnEvidence();
  speed: RunnerSpeed = USUAL_SPEED;
  standing: RunnerStanding = WHOLE;
  /** Times that it was ejected. */
  ejections = 0;
  /** Local time of its ejection or of the last trial that is known since, in milliseconds. */
  triedAt = 0;
  /** Trials of all gateways at the last review. */
  trialsSeen = 0;
  /** Whether it was last logged as slow. */
  saidSlow = false;
}

/** What a review needs to know of a runner. */
export interface BelievedRunner {
  readonly hash: number;
  readonly runner: { readonly id: string; readonly service: string; readonly slots: number };
  readonly belief: RunnerBelief;
}

/** Rows that other gateways tell, added up, by the hash of the runner. */
export type RowsOfOthers = ReadonlyMap<number, readonly number[]>;

/** Time between two reviews, in milliseconds: evidence is told several times a second. */
const REVIEW_MILLISECONDS = 200;
/** Time for which all gateways may see what ejected a runner before it is forgotten, in milliseconds. */
const HOLD_MILLISECONDS = 2_000;
/** Time after which a service that has fewer places is taken to be smaller, in milliseconds. */
const USUAL_MILLISECONDS = 30_000;
/** Factors beyond which a runner is called slow, and below which it no longer is. */
const SLOW_FACTOR = 1.5;
const NO_LONGER_SLOW_FACTOR = 1.25;
/** Share of the requests of a usual runner that one that is out gets as trials. */
const TRIAL_SHARE = 0.1;
/** Growth of the sum of trials that is a new one: less is what the wire rounds. */
const NEW_TRIAL = 0.5;
/** Share of its requests that a halved runner gets. */
const HALVED_SHARE = 0.5;

/** See the head of this file. */
export class ServiceReview {
  private reviewedAt = -Infinity;
  private usualSlots = 0;
  private usualAt = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly rowsOfOthers: () => RowsOfOthers,
  ) {}

  /** Reviews the runners that take requests, unless that was done a moment ago. */
  look(runners: readonly BelievedRunner[]): void {
    const now = this.runtime.now();
    if (now - this.reviewedAt < REVIEW_MILLISECONDS) {
      return;
    }
    this.reviewedAt = now;
    this.noteSlots(runners, now);
    const rows = this.rowsOfOthers();
    const evidence = runners.map(({ hash, belief }) =>
      addEvidence(belief.evidence.at(now), evidenceOf(rows.get(hash) ?? [])),
    );
    speedsOf(evidence).forEach((speed, index) => {
      const runner = runners[index]!;
      runner.belief.speed = speed;
      this.saySpeed(runner, evidence[index]!);
    });
    this.judge(runners, evidence, now);
  }

  private judge(
    runners: readonly BelievedRunner[],
    evidence: readonly RunnerEvidence[],
    now: number,
  ): void {
    runners.forEach(({ belief }, index) => noteTrials(belief, evidence[index]!, now));
    const reviewed = runners.map(({ belief, runner }, index) => ({
      standing: belief.standing,
      ejections: belief.ejections,
      slots: runner.slots,
      untriedMilliseconds: now - belief.triedAt,
      evidence: evidence[index]!,
    }));
    reviewStandings(reviewed, this.usualSlots, now).forEach((finding, index) =>
      this.apply(runners[index]!, finding, now),
    );
  }

  /** The most places that the service had lately: what is being replaced counts as missing. */
  private noteSlots(runners: readonly BelievedRunner[], now: number): void {
    const slots = runners.reduce((sum, { runner }) => sum + runner.slots, 0);
    if (slots >= this.usualSlots || now - this.usualAt > USUAL_MILLISECONDS) {
      this.usualSlots = slots;
      this.usualAt = now;
    }
  }

  private apply(believed: BelievedRunner, finding: Finding, now: number): void {
    const { belief } = believed;
    const before = belief.standing;
    const { standing } = finding;
    belief.standing = standing;
    if (standing.tag === 'Out' && now - standing.since > HOLD_MILLISECONDS) {
      belief.evidence.forgetUsual();
    }
    if (standing.tag !== before.tag) {
      this.sayStanding(believed, finding, before, now);
    }
    if (standing.tag === 'Out' && before.tag !== 'Out') {
      belief.ejections += 1;
      belief.triedAt = now;
      belief.trialsSeen = 0;
      belief.evidence.beginTrials();
    }
    if (standing.tag !== 'Out' && before.tag === 'Out') {
      belief.evidence.endTrials();
    }
  }

  private sayStanding(
    { runner, belief }: BelievedRunner,
    { standing, score, counts }: Finding,
    before: RunnerStanding,
    now: number,
  ): void {
    const change = CHANGES[standing.tag][before.tag === 'Out' ? 'back' : 'other'];
    const { requests, failures } = counts;
    this.runtime.log('warn', 'standing of a runner changed', {
      ...change,
      runner: runner.id,
      service: runner.service,
      requests: rounded(requests),
      failures: rounded(failures),
      score: rounded(score),
      ejections: belief.ejections,
      age: before.tag === 'Out' ? Math.round(now - before.since) : 0,
    });
  }

  private saySpeed({ runner, belief }: BelievedRunner, evidence: RunnerEvidence): void {
    const { generating, reading } = belief.speed;
    const slowest = Math.max(generating, reading);
    const isSlow = slowest > (belief.saidSlow ? NO_LONGER_SLOW_FACTOR : SLOW_FACTOR);
    if (isSlow === belief.saidSlow) {
      return;
    }
    belief.saidSlow = isSlow;
    this.runtime.log('info', 'speed of a runner changed', {
      ...(isSlow ? { event: 'runner.slow' } : { event: 'runner.usual' }),
      runner: runner.id,
      service: runner.service,
      generating: rounded(generating),
      reading: rounded(reading),
      generated: rounded(evidence.generating.weight),
      read: rounded(evidence.reading.weight),
    });
  }
}

/** Names of the log lines by the new standing, and by whether the runner was out before. */
const CHANGES = {
  Whole: { back: { event: 'runner.readmitted' }, other: { event: 'runner.restored' } },
  Halved: { back: { event: 'runner.readmitted' }, other: { event: 'runner.halved' } },
  Out: { back: { event: 'runner.ejected' }, other: { event: 'runner.ejected' } },
} as const;

/** Takes down when a runner that is out was last tried; a failed trial of anybody's takes the good ones. */
function noteTrials(belief: RunnerBelief, evidence: RunnerEvidence, now: number): void {
  if (belief.standing.tag !== 'Out') {
    return;
  }
  const { requests } = evidence.trials;
  if (requests > belief.trialsSeen + NEW_TRIAL) {
    belief.triedAt = now;
  }
  belief.trialsSeen = requests;
  if (hasFailedTrial(evidence)) {
    belief.evidence.forgetGoodTrials();
  }
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}

/**
 * Runners that a request may be weighed for: those that are out only as a trial, which it then is for sure, and
 * those that are halved in one of two cases. All, where none would be left.
 */
export function openByStanding<Item extends BelievedRunner>(
  runners: readonly Item[],
  isRepeatable: boolean,
  random: RandomSource,
): readonly Item[] {
  if (runners.every(({ belief }) => belief.standing.tag === 'Whole')) {
    return runners;
  }
  const out = runners.filter(({ belief }) => belief.standing.tag === 'Out');
  const trialChance = (TRIAL_SHARE * out.length) / runners.length;
  if (isRepeatable && out.length > 0 && random.uniform() < trialChance) {
    return [random.pick(out)];
  }
  const inUse = runners.filter(({ belief }) => belief.standing.tag !== 'Out');
  const drawn = inUse.filter(
    ({ belief }) => belief.standing.tag === 'Whole' || random.uniform() < HALVED_SHARE,
  );
  return drawn.length > 0 ? drawn : inUse.length > 0 ? inUse : runners;
}
