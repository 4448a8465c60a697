/**
 * Limits the requests that this gateway sends to each cold runner, so that all gateways together stay below the
 * runner's limit in any second without coordinating each request. The limit is divided into whole requests. Each
 * gateway gets the same number of them, and the rest go to the gateways that rank first for the runner; see
 * `GatewayPositions`. With more gateways than requests, only the first-ranked ones may send. The design note is
 * docs/design/cold-runners.md.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { Runtime } from '../../runtime/runtime.js';
import { AnswerTime } from './answer-time.js';
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
/** Smallest assumed difference between the delays of two requests on their way to a runner, in milliseconds. */
const DELAY_SPREAD_MILLISECONDS = 40;
/**
 * Time after the start in which nothing is sent to cold runners, in milliseconds: requests that the gateway sent
 * before it restarted still count, and the other gateways must learn of it first.
 */
const START_HOLD_MILLISECONDS = 2_000;
/** Time after which a request to which the runner sent nothing is no longer counted, in milliseconds. */
const MAXIMUM_UNANSWERED_MILLISECONDS = 3_000;
/** Number of runners above which those without recent sends are forgotten. */
const MAXIMUM_IDLE_RUNNERS = 1_000;

/** A request that was sent to a runner. */
interface Send {
  readonly sentAt: number;
  /** Time of the first byte received from the runner since; undefined if there was none. */
  answeredAt: number | undefined;
}

/** Requests to one runner. */
interface RunnerSends {
  /** Requests that count towards the limit, oldest first. */
  sends: Send[];
  readonly answerTime: AnswerTime;
}

/**
 * Returns the time until which a request counts towards the limit, as it is known now. It may have been held up on its
 * way for as long as the answer took longer than usual, and arrived only then.
 */
function countsUntil(
  { sentAt, answeredAt }: Send,
  answerMilliseconds: number,
  now: number,
): number {
  const sinceSent = (answeredAt ?? now) - sentAt;
  if (answeredAt === undefined && sinceSent > MAXIMUM_UNANSWERED_MILLISECONDS) {
    return -Infinity;
  }
  const delay = Math.max(DELAY_SPREAD_MILLISECONDS, sinceSent - answerMilliseconds);
  return sentAt + delay + WINDOW_MILLISECONDS;
}

/** Returns the whole number of requests that a gateway may send within a window. */
export function shareOf(limit: number, { rank, gateways }: GatewayRank): number {
  return Math.floor(limit / gateways) + (rank <= limit % gateways ? 1 : 0);
}

/** The exclusion rule for cold runners. */
export class ColdLimits implements RunnerExclusion {
  readonly name = 'cold';
  private readonly startedAt: number;
  /**
   * Requests that count towards the limits, by runner id: a runner that restarts keeps its limit. Requests to warm
   * runners are recorded too, since a runner may turn cold within the window.
   */
  private readonly byRunner = new Map<string, RunnerSends>();
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
    const isExcluded = this.sendsTo(runner).sends.length >= this.shareOfThis(runner, limit);
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
    this.sendsTo(runner).sends.push({ sentAt: this.options.runtime.now(), answeredAt: undefined });
    if (this.options.isCold(runner)) {
      this.coldSends.set(runner.service, this.coldSendCount(runner.service) + 1);
    }
    if (this.byRunner.size > MAXIMUM_IDLE_RUNNERS) {
      this.forgetIdleRunners();
    }
  }

  /** Records that data was received from a runner. */
  noteActivity({ id }: Runner): void {
    const known = this.byRunner.get(id);
    if (known === undefined || known.sends.at(-1)?.answeredAt !== undefined) {
      return;
    }
    const now = this.options.runtime.now();
    for (const send of known.sends) {
      if (send.answeredAt === undefined) {
        send.answeredAt = now;
        known.answerTime.observe(now - send.sentAt);
      }
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
        const { sends, answerTime } = this.sendsTo(runner);
        const delays = sends
          .map((send) => countsUntil(send, answerTime.leastMilliseconds, now) - now)
          .sort((left, right) => left - right);
        const free = new Array<number>(Math.max(0, share - delays.length)).fill(0);
        return share === 0 ? [] : [...free, ...delays.slice(-share)];
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
    const now = this.options.runtime.now();
    for (const [id, { sends, answerTime }] of this.byRunner) {
      if (!sends.some((send) => countsUntil(send, answerTime.leastMilliseconds, now) > now)) {
        this.byRunner.delete(id);
      }
    }
  }

  /** Returns the requests to a runner, without those that no longer count. */
  private sendsTo({ id }: Runner): RunnerSends {
    const now = this.options.runtime.now();
    const known = this.byRunner.get(id);
    if (known === undefined) {
      const created: RunnerSends = { sends: [], answerTime: new AnswerTime() };
      this.byRunner.set(id, created);
      return created;
    }
    const { leastMilliseconds } = known.answerTime;
    known.sends = known.sends.filter((send) => countsUntil(send, leastMilliseconds, now) > now);
    return known;
  }
}
