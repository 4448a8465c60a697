/** Log lines and figures of relayed requests. */
import type { LogFields } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { RunnerCandidate, RunnerRecord } from '../runners/runner-registry.js';

/** Told in place of a time that never came, such as that of the first try of a request without one. */
const NOT_AVAILABLE = -1;

/** One try that failed. */
export interface FailedAttempt {
  readonly request: string;
  readonly record: RunnerRecord;
  /** How it failed. */
  readonly tag: string;
  readonly detail: string;
  /** Tries of the request so far, this one included. */
  readonly attemptCount: number;
  /** Local time at which the try was sent, in milliseconds. */
  readonly startedAt: number;
}

/** The end of one call. */
export interface CallEnd {
  readonly request: RelayRequest;
  readonly outcome: string;
  readonly attemptCount: number;
  /** Local times in milliseconds; undefined when it never came to that. */
  readonly dispatchedAt: number | undefined;
  readonly firstByteAt: number | undefined;
  readonly eventCount: number;
  /** Time that its runner was not read because its client did not read, in milliseconds. */
  readonly pausedMilliseconds: number;
  /** Runner of the last try as it was believed to be; undefined when nothing was tried. */
  readonly chosen: RunnerCandidate | undefined;
  /** What else decided the end. */
  readonly fields: LogFields;
}

/** Logs and counts a try that failed. */
export function logFailedAttempt(context: RelayContext, failed: FailedAttempt): void {
  const { runtime, metrics } = context;
  const { request, record, tag, detail, attemptCount: tries, startedAt } = failed;
  metrics.count('ivyloom_relay_failed_tries_total', `tag="${tag}"`);
  runtime.log('info', 'try failed', {
    event: 'relay.try',
    request,
    runner: record.runner.id,
    tag,
    detail,
    tries,
    inFlight: record.inFlight,
    age: Math.round(runtime.now() - startedAt),
  });
}

/** What placement went by. */
interface PlacementInputs {
  /** Milliseconds that the program had left when the request came. */
  readonly deadline: number;
  /** Prompt tokens believed not to be kept there. */
  readonly unread: number;
  /** Time expected for reading them, in milliseconds. */
  readonly reading: number;
  /** Requests believed to be there. */
  readonly running: number;
}

/** What placement went by, in whole tokens and milliseconds; `NEVER` where there is no such thing. */
function inputsOf(context: RelayContext, { request, chosen }: CallEnd): PlacementInputs {
  const { programDeadlineAt, arrivedAt, promptTokens } = request;
  const deadline =
    programDeadlineAt === undefined ? NOT_AVAILABLE : Math.round(programDeadlineAt - arrivedAt);
  if (chosen === undefined) {
    return { deadline, unread: NOT_AVAILABLE, reading: NOT_AVAILABLE, running: NOT_AVAILABLE };
  }
  const unread = Math.max(0, promptTokens - chosen.cachedTokens);
  const costs = context.registry.engineCosts(chosen.record.runner.service);
  const reading = Math.round(unread * costs.millisecondsPerToken);
  return { deadline, unread, reading, running: chosen.inFlight };
}

/** Logs and counts the end of a call. */
export function logCallEnd(context: RelayContext, end: CallEnd): void {
  const { runtime, metrics } = context;
  const {
    request,
    outcome,
    attemptCount: tries,
    dispatchedAt,
    firstByteAt,
    eventCount,
    fields,
  } = end;
  const { deadline, unread, reading, running } = inputsOf(context, end);
  const { id, route, program, tenant, arrivedAt, configurationVersion } = request;
  const sinceArrival = (at: number | undefined): number =>
    at === undefined ? NOT_AVAILABLE : Math.round(at - arrivedAt);
  const total = runtime.now() - arrivedAt;
  metrics.count('ivyloom_relay_requests_total', `kind="${route.kind}",outcome="${outcome}"`);
  metrics.observe('ivyloom_relay_request_milliseconds', total);
  if (dispatchedAt !== undefined) {
    metrics.observe('ivyloom_relay_before_dispatch_milliseconds', dispatchedAt - arrivedAt);
  }
  runtime.log('info', 'request ended', {
    event: 'relay.end',
    request: id,
    program: program?.program ?? '',
    tenant: tenant?.id ?? '',
    route: route.name,
    version: configurationVersion,
    outcome,
    tries,
    total: Math.round(total),
    beforeDispatch: sinceArrival(dispatchedAt),
    firstByte: sinceArrival(firstByteAt),
    events: eventCount,
    ...(end.pausedMilliseconds > 0 ? { paused: Math.round(end.pausedMilliseconds) } : {}),
    deadline,
    unread,
    reading,
    running,
    ...fields,
  });
}
