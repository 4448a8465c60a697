/**
 * The answers of the relay itself, sent when there is no runner's answer to forward. They tell the client whether the
 * request may have run and when to retry. The verdict `NotRun` is given only if no attempt can have reached a runner.
 */
import type { Verdict } from '../../model/verdict.js';
import type { StreamOrigin } from '../../turns/stream-origins.js';

/** An answer that the relay sends on its own. */
export interface LocalAnswer {
  readonly status: number;
  /** One human-readable sentence. */
  readonly detail: string;
  /** Whether the request may have run. */
  readonly verdict: Verdict;
  /** Delay after which a retry makes sense; undefined if unknown. */
  readonly retryAfterSeconds?: number;
}

/** Retry delay when no runner could take the request. */
const NO_RUNNER_RETRY_SECONDS = 0.1;
/** Retry delay while the gateway's memory is low; disconnecting slow readers takes a second or two. */
const MEMORY_RETRY_SECONDS = 0.5;
/** Retry delay while it is not known whether runners have ended under a request. */
const UNRESOLVED_RETRY_SECONDS = 0.5;
/** Retry delay while the origin of a stream is not known. */
const ORIGIN_RETRY_SECONDS = 0.1;
/** Retry delay when a dependency of the request is unavailable. */
const UNAVAILABLE_RETRY_SECONDS = 0.2;
/** Retry delay when another gateway may still reach the dependency. */
const OTHER_GATEWAY_RETRY_SECONDS = 0.02;

/** Retry delay while the configuration is not proven current; a proof follows soon after the store is back. */
export const RETRY_WITHOUT_PROOF_SECONDS = 0.5;
/** Shortest retry delay for tenants that exceeded their quota. */
const MINIMUM_QUOTA_RETRY_SECONDS = 0.05;
const MILLISECONDS_IN_SECOND = 1_000;

function toSeconds(milliseconds: number): number {
  return Number((milliseconds / MILLISECONDS_IN_SECOND).toFixed(3));
}

/**
 * Admission control refused a new program because its predicted wait exceeds the limit.
 * @param pauseMilliseconds expected time until there is capacity
 */
export function overloaded(pauseMilliseconds: number): LocalAnswer {
  const detail = 'all places are taken, and programs under way go first';
  return {
    status: 503,
    detail,
    verdict: 'NotRun',
    retryAfterSeconds: toSeconds(pauseMilliseconds),
  };
}

/**
 * A rule excludes every runner of the service.
 * @param pauseMilliseconds time after which a retry makes sense
 */
export function noCapacity(rule: string, pauseMilliseconds: number): LocalAnswer {
  const detail = `the rule ${rule} excludes every runner of the service`;
  return {
    status: 503,
    detail,
    verdict: 'NotRun',
    retryAfterSeconds: toSeconds(pauseMilliseconds),
  };
}

/** The gateway has reached its memory budget for buffered data. */
export function memoryLimitReached(): LocalAnswer {
  const detail = 'this gateway holds as much as it may for clients and runners that are slow';
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: MEMORY_RETRY_SECONDS };
}

/** An unexpected exception ended the processing of the request. */
export function interruptedByException(mayHaveRun: boolean): LocalAnswer {
  const detail = 'this gateway could not process the request';
  return mayHaveRun
    ? { status: 502, detail, verdict: 'MayHaveRun' }
    : { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: UNAVAILABLE_RETRY_SECONDS };
}

/** The gateway stops before the request is answered. */
export function stopped(mayHaveRun: boolean): LocalAnswer {
  const detail = 'this gateway stops';
  return mayHaveRun
    ? { status: 502, detail, verdict: 'MayHaveRun' }
    : { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: OTHER_GATEWAY_RETRY_SECONDS };
}

/** The deadline of the request has passed while earlier requests of its connection were served. */
export function waitedTooLong(): LocalAnswer {
  return { status: 503, detail: 'its time was over before its turn came', verdict: 'NotRun' };
}

/** A quorum of replicas does not know the previous turn. */
export function turnNotFound(): LocalAnswer {
  return { status: 404, detail: 'there is no such earlier turn', verdict: 'NotRun' };
}

/**
 * The tenant has exceeded its quota.
 * @param waitMilliseconds time until the quota allows another request
 * @param jitter random number from 0 to 1 that spreads the retries of clients
 */
export function quotaExceeded(waitMilliseconds: number, jitter: number): LocalAnswer {
  const pause = (waitMilliseconds / MILLISECONDS_IN_SECOND) * (1 + jitter);
  const retryAfterSeconds = Number(Math.max(MINIMUM_QUOTA_RETRY_SECONDS, pause).toFixed(3));
  const detail = "the tenant's requests are used up";
  return { status: 429, detail, verdict: 'NotRun', retryAfterSeconds };
}

/** The remaining token budget of the program is too small for this turn. */
export function budgetExhausted(): LocalAnswer {
  return { status: 402, detail: 'the token budget is spent', verdict: 'NotRun' };
}

/** Details of the answers for unavailable dependencies. */
const UNAVAILABLE_DETAILS = {
  turns: 'the earlier turns are out of reach',
  account: 'the token account is out of reach',
  quota: "the tenant's limit is out of reach",
} as const;

/**
 * A dependency of the request is unavailable.
 * @param replicasReachable whether this gateway reaches enough replicas; if not, another gateway may reach them
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

/**
 * The runners of the service are cold, and all requests that this gateway may send to them soon are promised to others.
 * @param pauseMilliseconds retry delay, different for each client
 */
export function coldRunnersBusy(pauseMilliseconds: number): LocalAnswer {
  const retryAfterSeconds = Number((pauseMilliseconds / MILLISECONDS_IN_SECOND).toFixed(3));
  const detail = 'all runners are cold and get as many requests as they can take';
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds };
}

/** The software version that began a stream is not known; a record of it may be on its way. */
export function originUnknown(): LocalAnswer {
  return {
    status: 503,
    detail: 'the software version that began the stream is not known',
    verdict: 'NotRun',
    retryAfterSeconds: ORIGIN_RETRY_SECONDS,
  };
}

/** Other gateways have just begun to list what began the stream, and the list of this one may be behind theirs. */
export function originNotListed({ service, version }: StreamOrigin): LocalAnswer {
  return {
    status: 503,
    detail: `service ${service} is not listed yet with the software version "${version}", which began the stream`,
    verdict: 'NotRun',
    retryAfterSeconds: ORIGIN_RETRY_SECONDS,
  };
}

/**
 * Several software versions may have begun a stream, and the request doesn't name it. To wait changes nothing, so there is
 * no time to return.
 */
export function originUnnamed(): LocalAnswer {
  const detail =
    'the request does not name the stream, and several software versions may have begun it';
  return { status: 503, detail, verdict: 'NotRun' };
}

/**
 * What the client has received of the turn that it resumes is not known, so that the whole turn can't be stored.
 * @param mayBecomeKnown whether replicas that know it may not have answered; otherwise the client has to start anew
 */
export function outputUnknown(mayBecomeKnown: boolean): LocalAnswer {
  const detail = 'what was received of the turn up to the last event is not known';
  const answer = { status: 503, detail, verdict: 'NotRun' as const };
  return mayBecomeKnown ? { ...answer, retryAfterSeconds: ORIGIN_RETRY_SECONDS } : answer;
}

/** No runner of the software version that began a stream is left. To wait changes nothing: the client has to start anew. */
export function originLost({ service, version }: StreamOrigin): LocalAnswer {
  const detail = `no runner of service ${service} is left of the software version "${version}", which began the stream`;
  return { status: 503, detail, verdict: 'NotRun' };
}

/**
 * As many runners have ended under the request as may, in this call or in others.
 * @param retryAfterSeconds time until the request may be sent again
 */
export function quarantined(retryAfterSeconds: number): LocalAnswer {
  const detail = 'too many runners have ended under this request; it goes to none any more';
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds };
}

/** Too many runners may have ended under the request, and of some it is not known yet. */
export function lossesUnresolved(): LocalAnswer {
  const detail = 'runners may have ended under this request, which is not known yet';
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: UNRESOLVED_RETRY_SECONDS };
}

/** No runner can have run the request, and none may be tried now. */
export function noRunnerAvailable(detail: string): LocalAnswer {
  return { status: 503, detail, verdict: 'NotRun', retryAfterSeconds: NO_RUNNER_RETRY_SECONDS };
}

/** A runner may have run the request, but its answer is lost. */
export function answerLost(reason: string, isPastDeadline: boolean): LocalAnswer {
  const detail = `the runner's answer is lost: ${reason}`;
  return { status: isPastDeadline ? 504 : 502, detail, verdict: 'MayHaveRun' };
}

/** The deadline has passed while a runner may be running the request. */
export function answerTimedOut(): LocalAnswer {
  return { status: 504, detail: 'no answer in time', verdict: 'MayHaveRun' };
}
