/**
 * What the relay itself answers when no runner's answer goes out: the status, whether the request may
 * have run, and when the client should come back. A refusal that says "not run" is given only where no
 * try can have reached a runner.
 */
import type { Verdict } from '../../model/verdict.js';

/** An answer that the relay gives itself. */
export interface LocalAnswer {
  readonly status: number;
  /** One sentence for people. */
  readonly detail: string;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** When a new try makes sense; undefined when the relay can't tell. */
  readonly retryAfterSeconds?: number;
}

/** Pause told to clients when no runner had room. */
const NO_RUNNER_RETRY_SECONDS = 0.1;
/** Pause told to clients while the gateway's memory is short: slow readers are cut within a second or two. */
const MEMORY_RETRY_SECONDS = 0.5;
/** Pause told to clients when what the request needs is out of reach. */
const UNAVAILABLE_RETRY_SECONDS = 0.2;
/** Pause told to clients when another gateway may reach what this one doesn't. */
const OTHER_GATEWAY_RETRY_SECONDS = 0.02;

/** A proof comes within half a second of the store's return, or another gateway has one already. */
export const RETRY_WITHOUT_PROOF_SECONDS = 0.5;
/** Least pause told to clients of a tenant whose requests are used up. */
const MINIMUM_QUOTA_RETRY_SECONDS = 0.05;
const MILLISECONDS_IN_SECOND = 1_000;

/**
 * The program is new and would wait longer than it can bear behind those under way.
 * @param pauseMilliseconds time until there is expected to be room
 */
export function overloaded(pauseMilliseconds: number): LocalAnswer {
  const detail = 'all places are taken, and programs under way go first';
  const retryAfterSeconds = Number((pauseMilliseconds / MILLISECONDS_IN_SECOND).toFixed(3));
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds };
}

/** The gateway holds as many bytes for others as it may. */
export function memoryLimitReached(): LocalAnswer {
  const detail = 'this gateway holds as much as it may for clients and runners that are slow';
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: MEMORY_RETRY_SECONDS };
}

/** Enough replicas deny that there is the turn to go on from. */
export function turnNotFound(): LocalAnswer {
  return { status: 404, detail: 'there is no such earlier turn', verdict: 'NotRun' };
}

/**
 * The tenant's requests are used up.
 * @param waitMilliseconds time until its rate has room again
 * @param jitter from 0 to 1: spreads clients, so that they don't come back together
 */
export function quotaExceeded(waitMilliseconds: number, jitter: number): LocalAnswer {
  const pause = (waitMilliseconds / MILLISECONDS_IN_SECOND) * (1 + jitter);
  const retryAfterSeconds = Number(Math.max(MINIMUM_QUOTA_RETRY_SECONDS, pause).toFixed(3));
  const detail = "the tenant's requests are used up";
  return { status: 429, detail, verdict: 'NotRun', retryAfterSeconds };
}

/** What is left of the program's budget does not hold this turn. */
export function budgetExhausted(): LocalAnswer {
  return { status: 402, detail: 'the token budget is spent', verdict: 'NotRun' };
}

/** What details say that are out of reach, by what is needed. */
const UNAVAILABLE_DETAILS = {
  turns: 'the earlier turns are out of reach',
  account: 'the token account is out of reach',
  quota: "the tenant's limit is out of reach",
} as const;

/**
 * Earlier turns or the token account are out of reach.
 * @param replicasReachable whether enough replicas answer here; if not, another gateway may reach them
 */
export function dependencyUnavailable(
  what: keyof typeof UNAVAILABLE_DETAILS,
  replicasReachable: boolean,
): LocalAnswer {
  const retryAfterSeconds = replicasReachable
    ? UNAVAILABLE_RETRY_SECONDS
    : OTHER_GATEWAY_RETRY_SECONDS;
  return { status: 503, detail: UNAVAILABLE_DETAILS[what], verdict: 'NotRun', retryAfterSeconds };
}

/** No runner can have begun it, and none may take it now. */
export function noRunnerAvailable(detail: string): LocalAnswer {
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: NO_RUNNER_RETRY_SECONDS };
}

/** A runner may have run it; its answer is lost. */
export function answerLost(reason: string, isPastDeadline: boolean): LocalAnswer {
  const detail = `the runner's answer is lost: ${reason}`;
  return { status: isPastDeadline ? 504 : 502, detail, verdict: 'MayHaveRun' };
}

/** Its time is over while a runner may be running it. */
export function answerTimedOut(): LocalAnswer {
  return { status: 504, detail: 'no answer in time', verdict: 'MayHaveRun' };
}
