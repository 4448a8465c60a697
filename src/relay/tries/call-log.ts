/** Log entries and metrics of relayed requests. */
import type { LogFields } from '../../runtime/runtime.js';
import type { AnswerDelivery } from '../answers/answer-delivery.js';
import type { RelayContext } from '../relay-context.js';
import { fingerprintText } from '../../suspects/fingerprint.js';
import { fingerprintsOf } from '../request/fingerprint.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { StreamOrigin } from '../../turns/stream-origins.js';
import type { OriginSource } from '../runners/resumable-streams.js';
import { softwareVersionOf } from '../runners/runner.js';
import type { Runner } from '../runners/runner.js';
import type { RunnerCandidate, RunnerRecord } from '../runners/runner-registry.js';

/** Logged in place of a missing value, such as the dispatch time of a request that was never dispatched. */
const NOT_AVAILABLE = -1;

/** One failed attempt. */
export interface FailedAttempt {
  readonly request: RelayRequest;
  readonly record: RunnerRecord;
  /** Kind of failure. */
  readonly tag: string;
  readonly detail: string;
  /** Attempts of the request so far, including this one. */
  readonly attemptCount: number;
  /** Local time at which the attempt started, in milliseconds. */
  readonly startedAt: number;
  /** How its answer was delivered; undefined if no head arrived. */
  readonly delivery: AnswerDelivery | undefined;
}

/** A finished call. */
export interface CallEnd {
  readonly request: RelayRequest;
  readonly outcome: string;
  readonly attemptCount: number;
  /** Local times in milliseconds; undefined if the call did not get that far. */
  readonly dispatchedAt: number | undefined;
  readonly firstByteAt: number | undefined;
  readonly eventCount: number;
  /** Time for which reading from the runner was paused because the client did not read, in milliseconds. */
  readonly pausedMilliseconds: number;
  /** State of the last attempt's runner when it was chosen; undefined if there was no attempt. */
  readonly chosen: RunnerCandidate | undefined;
  /** Further log fields that depend on the outcome. */
  readonly fields: LogFields;
}

/** Counts an answer by its delivery and returns the log fields of the delivery; there are none without an answer. */
export function recordDelivery(
  { metrics }: RelayContext,
  delivery: AnswerDelivery | undefined,
  outcome: 'complete' | 'broken',
): LogFields {
  if (delivery === undefined) {
    return {};
  }
  const { framing, ending } = delivery;
  const labels = `framing="${framing}",ending="${ending}",outcome="${outcome}"`;
  metrics.count('ivyloom_relay_answers_total', labels);
  return { framing, ending };
}

/** Logs and counts a failed attempt. */
export function logFailedAttempt(context: RelayContext, failed: FailedAttempt): void {
  const { runtime, metrics } = context;
  const { request, record, tag, detail, attemptCount: tries, startedAt } = failed;
  metrics.count('ivyloom_relay_failed_tries_total', `tag="${tag}"`);
  runtime.log('info', 'attempt failed', {
    event: 'relay.try',
    request: request.id,
    content: fingerprintText(fingerprintsOf(request).own),
    runner: record.runner.id,
    runnerVersion: softwareVersionOf(record.runner),
    tag,
    detail,
    tries,
    inFlight: record.inFlight,
    age: Math.round(runtime.now() - startedAt),
    ...recordDelivery(context, failed.delivery, 'broken'),
  });
}

/** An attempt that continues a stream. */
export interface ResumedStream {
  readonly request: RelayRequest;
  readonly runner: Runner;
  /** Where the stream began; undefined if unknown. */
  readonly origin: StreamOrigin | undefined;
  /** What the origin was taken from; undefined if this request began the stream. */
  readonly source: OriginSource | undefined;
  /** Identifier of the event after which the stream continues. */
  readonly lastEventId: string;
  /** Whether the answer in progress continues, rather than one that the client received earlier. */
  readonly isWithinAnswer: boolean;
}

function compareVersions(runner: Runner, origin: StreamOrigin | undefined): string {
  if (origin === undefined) {
    return 'unknown';
  }
  return origin.version === softwareVersionOf(runner) ? 'same' : 'other';
}

/** Logs and counts an attempt that continues a stream. */
export function logResumedStream({ runtime, metrics }: RelayContext, resumed: ResumedStream): void {
  const { request, runner, origin, source, lastEventId, isWithinAnswer } = resumed;
  const within = isWithinAnswer ? 'answer' : 'tries';
  const version = compareVersions(runner, origin);
  metrics.count('ivyloom_relay_resumed_streams_total', `within="${within}",version="${version}"`);
  runtime.log('info', 'stream resumed', {
    event: 'relay.resume',
    request: request.id,
    resumes: request.resumes ?? '',
    within,
    lastEvent: lastEventId,
    runner: runner.id,
    runnerVersion: softwareVersionOf(runner),
    beganAt: origin?.version ?? '',
    source: source ?? '',
    version,
  });
}

/** The inputs on which placement decided, as logged. */
interface PlacementInputs {
  /** Time until the program's deadline when the request arrived, in milliseconds. */
  readonly deadline: number;
  /** Estimated prompt tokens not cached on the runner. */
  readonly unread: number;
  /** Expected prefill time of these tokens, in milliseconds. */
  readonly reading: number;
  /** Estimated requests in flight on the runner. */
  readonly running: number;
}

/** Returns the inputs of the last placement; `NOT_AVAILABLE` for those that are missing. */
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

/** Logs a finished call and records its metrics. */
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
