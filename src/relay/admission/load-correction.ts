/**
 * Corrects the load of a service that gateways report to each other by the waits that its runners
 * show. Gateways that are cut off from each other each know only a part of the load, and the
 * predicted waits are then too short; the time to the first event of this gateway's own streams
 * reveals it. The correction is a factor on the reported load: the reports tell how load changes,
 * the waits how much of it is missing. See docs/design/contention.md.
 */
import type { Runtime } from '../../runtime/runtime.js';

/** Wait of one stream at its runner, in milliseconds. */
export interface ObservedWait {
  /** Wait predicted from the corrected load when the stream was sent. */
  readonly predictedMilliseconds: number;
  /** Wait that the known load of the chosen runner explains by itself, whatever the ranks. */
  readonly explainedMilliseconds: number;
  /** Time to the first event beyond that on an idle runner. */
  readonly observedMilliseconds: number;
  /** Expected duration of a turn while all slots are taken. */
  readonly turnMilliseconds: number;
  /** Share of the requests in flight that went before the turn, 0 to 1. */
  readonly aheadShare: number;
  /** Age of the load that other gateways reported. */
  readonly loadAgeMilliseconds: number;
}

/**
 * Change of the factor's logarithm for a prediction that is wrong by the duration of a turn, while
 * loads are at most `USUAL_AGE_MILLISECONDS` old. Predictions from older loads are wrong also
 * because the load has changed since, so the factor changes in proportion less.
 */
const ADJUSTMENT_RATE = 0.08;
const USUAL_AGE_MILLISECONDS = 300;
/**
 * Limits of the error of one prediction, in turns. Too long a prediction refuses programs that
 * others replace soon; too short a one admits programs that are late for their whole duration, so
 * the factor rises faster than it falls.
 */
const MAXIMUM_UNDERESTIMATE_TURNS = 3.5;
const MAXIMUM_OVERESTIMATE_TURNS = 0.25;
/**
 * Error, in turns, that is assumed if neither a wait was predicted nor one observed, for a turn that
 * went behind at least `INFORMATIVE_SHARE` of all requests. Single waits of others, caused by chance
 * or by one slow runner, then don't add up.
 */
const NO_WAIT_ERROR_TURNS = -0.15;
const INFORMATIVE_SHARE = 0.9;
/** Part of an observed wait, in turns, that is attributed to noise: placement, network, prefill. */
const TOLERANCE_TURNS = 0.15;
/**
 * Lowest value of the learned factor. Being below 1, which counts as 1, it takes a number of long
 * waits before the reported load is corrected at all.
 */
const MINIMUM_FACTOR = 0.75;
const MAXIMUM_FACTOR = 4;
/** Time in which half of the correction is forgotten without further waits, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 30_000;

/** Returns by how much a wait was predicted too short, in turns; negative if too long. */
function predictionErrorTurns(wait: ObservedWait): number {
  const { predictedMilliseconds, explainedMilliseconds, turnMilliseconds } = wait;
  const observed = Math.max(0, wait.observedMilliseconds - TOLERANCE_TURNS * turnMilliseconds);
  const longest = Math.max(predictedMilliseconds, explainedMilliseconds);
  if (observed > longest) {
    return Math.min(MAXIMUM_UNDERESTIMATE_TURNS, (observed - longest) / turnMilliseconds);
  }
  if (observed === 0 && predictedMilliseconds === 0) {
    return wait.aheadShare >= INFORMATIVE_SHARE ? NO_WAIT_ERROR_TURNS : 0;
  }
  const overestimate = Math.max(0, predictedMilliseconds - observed) / turnMilliseconds;
  return -Math.min(MAXIMUM_OVERESTIMATE_TURNS, overestimate);
}

interface LearnedFactor {
  value: number;
  /** Local time of the last change, in milliseconds. */
  changedAt: number;
}

/** Learns one factor for each service. */
export class LoadCorrection {
  private readonly factors = new Map<string, LearnedFactor>();

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {}

  /** Returns the factor by which the reported load of a service is raised, at least 1. */
  factorOf(service: string): number {
    const learned = this.factors.get(service);
    return learned === undefined ? 1 : Math.max(1, this.currentValue(learned));
  }

  /** Updates the factor of a service from the wait of one of this gateway's streams. */
  observe(service: string, wait: ObservedWait): void {
    const rate =
      ADJUSTMENT_RATE *
      (USUAL_AGE_MILLISECONDS / Math.max(USUAL_AGE_MILLISECONDS, wait.loadAgeMilliseconds));
    const learned = this.factors.get(service);
    const before = learned === undefined ? MINIMUM_FACTOR : this.currentValue(learned);
    const adjusted = before * Math.exp(rate * predictionErrorTurns(wait));
    if (Number.isNaN(adjusted)) {
      return;
    }
    const value = Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, adjusted));
    this.factors.set(service, { value, changedAt: this.runtime.now() });
  }

  /** Renders the factors as metrics in the Prometheus text format. */
  render(): string {
    const lines = [...this.factors.keys()].map(
      (service) => `ivyloom_relay_load_factor{service="${service}"} ${this.factorOf(service)}\n`,
    );
    return lines.join('');
  }

  private currentValue({ value, changedAt }: LearnedFactor): number {
    const halfLives = (this.runtime.now() - changedAt) / HALF_LIFE_MILLISECONDS;
    return MINIMUM_FACTOR + (value - MINIMUM_FACTOR) * 2 ** -halfLives;
  }
}
