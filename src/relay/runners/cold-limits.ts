/**
 * Limits the requests that this gateway sends to each cold runner, so that all gateways together stay below the
 * runner's limit in any second without coordinating each request. The limit is divided into whole requests. Each
 * gateway gets the same number of them, and the rest go to the gateways that rank first for the runner; see
 * `GatewayPositions`. With more gateways than requests, only the first-ranked ones may send. The design note is
 * docs/design/cold-runners.md.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { GatewayRank } from './gateway-positions.js';
import type { Runner } from './runner.js';
import type { RunnerExclusion } from './runner-exclusions.js';

/** Allowance of cold runners: in one second, the rate of the service times `factor`, plus `slack`. */
export interface ColdAllowance {
  readonly factor: number;
  readonly slack: number;
}

/** Options of {@link ColdLimits}. */
export interface ColdLimitsOptions {
  readonly runtime: Runtime;
  readonly allowance: ColdAllowance;
  /** Returns the requests per second that a cold runner of a service can take; undefined if there is no limit. */
  readonly requestsPerSecond: (service: string) => number | undefined;
  readonly isCold: (runner: Runner) => boolean;
  /** Returns the rank of this gateway for a runner, by the hash of the runner's id. */
  readonly rankFor: (runnerHash: number) => GatewayRank;
  /** Whether the ranks can be relied on. */
  readonly isSettled: () => boolean;
  /** Called each time a request is withheld from a cold runner. */
  readonly onWithheld: (runner: Runner) => void;
}

/** Time in which a runner counts its arrivals, in milliseconds. */
const WINDOW_MILLISECONDS = 1_000;
/** Largest difference between the delays of two requests on their way to a runner, in milliseconds. */
const DELAY_SPREAD_MILLISECONDS = 40;
/** Time in which the sends of this gateway are counted: those sent in it may arrive within one window. */
const SEND_WINDOW_MILLISECONDS = WINDOW_MILLISECONDS + DELAY_SPREAD_MILLISECONDS;
/**
 * Time after the start in which nothing is sent to cold runners, in milliseconds: requests that the gateway sent
 * before it restarted still count, and the other gateways must learn of it first.
 */
const START_HOLD_MILLISECONDS = 2_000;
/** Number of runners above which those without recent sends are forgotten. */
const MAXIMUM_IDLE_RUNNERS = 1_000;

/** Returns the whole number of requests that a gateway may send within a window. */
export function shareOf(limit: number, { rank, gateways }: GatewayRank): number {
  return Math.floor(limit / gateways) + (rank <= limit % gateways ? 1 : 0);
}

/** The exclusion rule for cold runners. */
export class ColdLimits implements RunnerExclusion {
  readonly name = 'cold';
  private readonly startedAt: number;
  /**
   * Times of the sends within the last window, by runner id: a runner that restarts keeps its limit. Sends to warm
   * runners are recorded too, since a runner may turn cold within the window.
   */
  private readonly sentAt = new Map<string, number[]>();
  private readonly coldSends = new Map<string, number>();

  constructor(private readonly options: ColdLimitsOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Returns the number of requests sent to cold runners of a service so far. */
  coldSendCount(service: string): number {
    return this.coldSends.get(service) ?? 0;
  }

  /** Whether this gateway must not send a request to the runner now. */
  excludes(runner: Runner): boolean {
    const limit = this.limitOf(runner);
    if (limit === undefined || !this.options.isCold(runner)) {
      return false;
    }
    const isExcluded = this.recentSends(runner).length >= this.shareOfThis(runner, limit);
    if (isExcluded) {
      this.options.onWithheld(runner);
    }
    return isExcluded;
  }

  /** Whether requests to a runner are limited now. */
  isLimited(runner: Runner): boolean {
    return this.limitOf(runner) !== undefined && this.options.isCold(runner);
  }

  /** Counts a request that is about to be written to a runner. */
  recordSend(runner: Runner): void {
    if (this.limitOf(runner) === undefined) {
      return;
    }
    this.recentSends(runner).push(this.options.runtime.now());
    if (this.options.isCold(runner)) {
      this.coldSends.set(runner.service, this.coldSendCount(runner.service) + 1);
    }
    if (this.sentAt.size > MAXIMUM_IDLE_RUNNERS) {
      this.forgetIdleRunners();
    }
  }

  /**
   * Returns the times until this gateway may send a request to one of some cold runners, in milliseconds and ascending
   * order: one for each request, and 0 for each that may be sent now.
   */
  permitDelays(runners: readonly Runner[]): number[] {
    const now = this.options.runtime.now();
    return runners
      .flatMap((runner) => {
        const share = this.shareOfThis(runner, this.limitOf(runner) ?? 0);
        const sends = this.recentSends(runner).slice(-share);
        const free = new Array<number>(Math.max(0, share - sends.length)).fill(0);
        const later = sends.map((sentAt) => sentAt + SEND_WINDOW_MILLISECONDS - now);
        return share === 0 ? [] : [...free, ...later];
      })
      .sort((left, right) => left - right);
  }

  private limitOf({ service }: Runner): number | undefined {
    const { requestsPerSecond, allowance } = this.options;
    const rate = requestsPerSecond(service);
    return rate === undefined ? undefined : Math.floor(rate * allowance.factor + allowance.slack);
  }

  /** Returns the number of requests that this gateway may send to the runner within a window. */
  private shareOfThis({ id }: Runner, limit: number): number {
    const { runtime, rankFor, isSettled } = this.options;
    const isHeld = runtime.now() - this.startedAt < START_HOLD_MILLISECONDS;
    return isHeld || !isSettled() ? 0 : shareOf(limit, rankFor(hashToNumber(id)));
  }

  private forgetIdleRunners(): void {
    const since = this.options.runtime.now() - SEND_WINDOW_MILLISECONDS;
    for (const [id, sends] of this.sentAt) {
      if ((sends.at(-1) ?? -Infinity) <= since) {
        this.sentAt.delete(id);
      }
    }
  }

  /** Returns the sends to a runner within the last window. */
  private recentSends({ id }: Runner): number[] {
    const since = this.options.runtime.now() - SEND_WINDOW_MILLISECONDS;
    let sends = this.sentAt.get(id);
    if (sends === undefined) {
      sends = [];
      this.sentAt.set(id, sends);
    }
    const firstRecent = sends.findIndex((sentAt) => sentAt > since);
    sends.splice(0, firstRecent < 0 ? sends.length : firstRecent);
    return sends;
  }
}
