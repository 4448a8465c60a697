/**
 * Processing of one relayed request: first the stages, then attempts on runners until one of them answers, no
 * further attempt is allowed, or the request's deadline has passed.
 */
import type { CancelTimer, LogFields, Runtime } from '../../runtime/runtime.js';
import { FIRST_REDIRECT } from '../answers/answer-reader.js';
import type {
  AnsweredCall,
  AnswerHead,
  AnswerReader,
  AttemptFailure,
} from '../answers/answer-reader.js';
import type { ClientAnswer } from '../answers/client-answer.js';
import type { ConnectionCloser } from '../../http-server/request-completion.js';
import {
  answerLost,
  answerTimedOut,
  interruptedByException,
  lossesUnresolved,
  noRunnerAvailable,
  quarantined,
  stopped,
} from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import { waitAtRunner } from '../admission/predicted-wait.js';
import { PlainAnswer } from '../answers/plain-answer.js';
import { StreamAnswer } from '../answers/stream-answer.js';
import { placeRequest } from '../placement/place-request.js';
import type { RelayContext } from '../relay-context.js';
import { headersToRunner } from '../request/forwarded-headers.js';
import { mayRepeat } from '../request/relay-request.js';
import type { RequestBoundary } from '../request/request-boundary.js';
import { runnerLossLimitOf } from '../request/routing-table.js';
import { streamContentOf } from '../request/fingerprint.js';
import { tenantScopedId } from '../request/tenant.js';
import type { RelayRequest } from '../request/relay-request.js';
import { rankOf } from '../request/request-rank.js';
import { MAXIMUM_OUTPUT_ID_LENGTH } from '../../turns/stream-outputs.js';
import type { OutputPart } from '../../turns/stream-outputs.js';
import type { EngineSample } from '../runners/engine-estimate.js';
import type { Exposure } from '../runners/runner-ends.js';
import { engineSampleOf } from '../runners/engine-sample.js';
import { incarnationOf, softwareVersionOf } from '../runners/runner.js';
import type { Runner, RunnerIncarnation } from '../runners/runner.js';
import type { RunnerCandidate, RunnerRecord } from '../runners/runner-registry.js';
import { refusalWithoutCapacity } from '../stages/capacity-stage.js';
import { CALL_STAGES } from '../stages/call-stages.js';
import { RequestState } from '../stages/request-state.js';
import { runStages } from '../stages/stage.js';
import type { StageRefusal } from '../stages/stage.js';
import { arrangeSend } from '../suspects/suspect-send.js';
import type { IsolatedPlacement, SendOutcome } from '../suspects/suspect-send.js';
import { maySendTo, mayRetry } from './attempt-rules.js';
import type { AttemptHistory } from './attempt-rules.js';
import { STATUS_MISDIRECTED_REQUEST } from './answer-head.js';
import { startAttempt } from './attempt.js';
import type { Attempt } from './attempt.js';
import { logCallEnd, logFailedAttempt, logResumedStream, recordDelivery } from './call-log.js';
import { FIRST_SERVER_ERROR_STATUS, classifyAnswer } from './classify-answer.js';
import { CallFlowControl } from './call-flow-control.js';
import { CONNECT_MILLISECONDS } from './runner-connections.js';
import { observeSend } from './runner-traffic.js';
import { InactivityMonitor } from './inactivity-monitor.js';

/** Time between a request's deadline and the timeout answer. */
const DEADLINE_GRACE_MILLISECONDS = 30;

/** Why a request is not sent to a runner that restarted, or changed its version, after it was placed there. */
const REPLACED_RUNNER = 'replaced-runner';
/** Why a request is not sent to a runner that has begun to leave after it was placed there. */
const LEAVING_RUNNER = 'leaving-runner';

/** Longest time for which a request is held until it is known what became of its earlier runners, in milliseconds. */
const MAXIMUM_SUSPECT_HOLD_MILLISECONDS = 1_000;
/** The same maximum as a share of the time that the request has left. */
const MAXIMUM_SUSPECT_HOLD_SHARE = 1 / 3;
/** The attempt in progress. */
interface CurrentAttempt {
  readonly attempt: Attempt;
  readonly record: RunnerRecord;
  /** The runner as its entry described it when the attempt started. */
  readonly runner: Runner;
  readonly startedAt: number;
  readonly inactivity: InactivityMonitor;
  /** State of the runner when it was chosen. */
  readonly chosen: RunnerCandidate;
  /** Set once the request is written. */
  exposure: Exposure | undefined;
}

/** Runs one request from the stages to the end of its answer, retrying failed attempts where allowed. */
export class RelayCall implements AnsweredCall {
  private readonly sentTo = new Set<RunnerIncarnation>();
  private readonly failedAt = new Set<RunnerIncarnation>();
  /** Runners that refused the request; they are not chosen again. */
  private readonly refusedBy = new Set<RunnerIncarnation>();
  private attemptCount = 0;
  /** Number of runners that ended under this call. */
  private endedCount = 0;
  private mayHaveRun = false;
  private current: CurrentAttempt | undefined;
  private cancelDeadline: CancelTimer = () => undefined;
  /** Cancels the arrangement of the next send. */
  private cancelArrangement: () => void = () => undefined;
  private finished = false;
  private readonly requestState: RequestState;
  /** Name of the stage that refused the request; empty if none did. */
  private refusingStage = '';
  private readonly stream: StreamAnswer | undefined;
  private plain: PlainAnswer | undefined;
  private readonly flowControl: CallFlowControl;
  private firstByteAt: number | undefined;
  private dispatchedAt: number | undefined;
  private lastChosen: RunnerCandidate | undefined;

  constructor(
    readonly context: RelayContext,
    readonly request: RelayRequest,
    readonly answer: ClientAnswer,
    private readonly boundary: RequestBoundary,
  ) {
    boundary.setCleanup(
      () => this.cancelCurrent(),
      () => this.sendFailure(),
      () => this.finish('failed', { reason: 'unexpected exception' }),
    );
    this.requestState = new RequestState(context, request);
    this.stream = request.route.kind === 'stream' ? new StreamAnswer(this) : undefined;
    this.flowControl = new CallFlowControl(context.runtime, {
      ignoresBackpressure: request.route.retained,
      current: () => this.current,
      end: boundary.guard((reason) => this.abort(reason)),
    });
  }

  /** Starts the deadline timer and the stages. */
  start(): void {
    const { runtime } = this.context;
    const remaining = this.remainingMilliseconds + DEADLINE_GRACE_MILLISECONDS;
    const handleDeadline = this.boundary.guard(() => this.handleDeadline());
    this.cancelDeadline = runtime.setTimer(Math.max(0, remaining), handleDeadline);
    this.answer.onDisconnect((closer) => this.handleDisconnect(closer));
    this.answer.setSource(this.flowControl);
    runStages(
      CALL_STAGES,
      this.requestState,
      (refusal) => this.handleStagesDone(refusal),
      (work) => this.boundary.run(work),
    );
  }

  /** Answers that an unexpected exception ended the call, unless an answer has started. */
  private sendFailure(): void {
    if (!this.finished) {
      this.answer.sendLocalOrAbort(interruptedByException(this.mayHaveRun), this.request.id);
    }
  }

  /** The runtime with timers whose exceptions end this call only. */
  private get guardedRuntime(): Runtime {
    const { runtime } = this.context;
    return {
      ...runtime,
      setTimer: (delay, callback) => runtime.setTimer(delay, this.boundary.guard(callback)),
    };
  }

  get prompt(): Buffer {
    return this.requestState.body;
  }

  /** Time until the request's deadline, in milliseconds. */
  get remainingMilliseconds(): number {
    return this.requestState.remainingMilliseconds;
  }

  /** Records when the first byte of the answer is forwarded. */
  noteFirstByte(): void {
    this.firstByteAt ??= this.context.runtime.now();
  }

  /** Records what the first event of the stream shows. */
  noteFirstEvent(): void {
    this.recordOrigin();
    this.observeWait();
  }

  /** Records the runner of the first event as the origin of the stream. */
  private recordOrigin(): void {
    const { current, requestState } = this;
    if (current === undefined) {
      return;
    }
    const { service } = current.runner;
    requestState.origin ??= { service, version: softwareVersionOf(current.runner) };
    const { route } = this.request;
    if (route.resumable) {
      const content = streamContentOf(this.request);
      this.context.streams.begin(this.streamIds, content, requestState.origin, route);
    }
  }

  recordOutput(part: Omit<OutputPart, 'stream'>): void {
    const stream = this.streamIds.at(-1);
    if (stream !== undefined && stream.length <= MAXIMUM_OUTPUT_ID_LENGTH) {
      this.context.turns.outputs.record({ ...part, stream });
    }
  }

  /** Ids under which a client may resume the stream: that of the request, and of the one that it resumes. */
  private get streamIds(): string[] {
    const { id, resumes, tenant } = this.request;
    const ids = [id, resumes].flatMap((each) =>
      each === undefined ? [] : [tenantScopedId(tenant, each)],
    );
    const { unnamedStream } = this.requestState;
    return unnamedStream === undefined ? ids : [...ids, unnamedStream];
  }

  /**
   * Compares the time to the first event with the wait that admission predicted; after a retry, or
   * at a cold runner, it shows nothing of the load.
   */
  private observeWait(): void {
    const { current, requestState, attemptCount } = this;
    const predicted = requestState.predictedWait;
    if (predicted === undefined || current === undefined || attemptCount > 1) {
      return;
    }
    const { chosen, startedAt } = current;
    if ((chosen.coldness ?? 0) > 0) {
      return;
    }
    const { runtime, registry, metrics, loadCorrection } = this.context;
    const { service, slots } = chosen.record.runner;
    const unreadTokens = Math.max(0, this.request.promptTokens - chosen.cachedTokens);
    const idleMilliseconds = registry.engineCosts(service).firstEventMilliseconds(unreadTokens);
    const observedMilliseconds = Math.max(0, runtime.now() - startedAt - idleMilliseconds);
    metrics.observe('ivyloom_relay_observed_wait_milliseconds', observedMilliseconds);
    loadCorrection.observe(service, {
      predictedMilliseconds: predicted.waitMilliseconds,
      explainedMilliseconds: waitAtRunner(chosen.inFlight, slots, predicted.turnMilliseconds),
      observedMilliseconds,
      turnMilliseconds: predicted.turnMilliseconds,
      aheadShare: predicted.aheadShare,
      loadAgeMilliseconds: registry.loadAgeMilliseconds(),
    });
  }

  /** Finishes the call after a complete answer was forwarded, and updates the runner's estimates. */
  finishAnswered(status: number): void {
    const current = this.clearCurrent();
    if (current !== undefined) {
      const { runtime, registry } = this.context;
      this.context.suspects.noteAnswered(this.request);
      current.inactivity.noteAnswerComplete();
      const totalMilliseconds = runtime.now() - current.startedAt;
      const eventCount = this.stream?.eventCount ?? 0;
      const isSuccess = status < FIRST_REDIRECT;
      const latencySample =
        isSuccess && !this.flowControl.wasPaused ? { totalMilliseconds, eventCount } : undefined;
      registry.noteRequestEnded(
        current.record,
        latencySample,
        isSuccess ? this.engineSampleOf(current) : undefined,
      );
    }
    if (this.request.route.resumable) {
      this.context.streams.end(this.streamIds);
    }
    this.finish('answered', {
      status,
      runner: current?.record.runner.id ?? '',
      ...recordDelivery(this.context, current?.attempt.delivery(), 'complete'),
    });
  }

  /** Fails the attempt in progress although its connection is intact, and retries if allowed. */
  failAttempt(failure: AttemptFailure): void {
    this.current?.attempt.cancel();
    this.handleFailure(failure);
  }

  /** Aborts an answer that has started and can't be completed. */
  abort(reason: string): void {
    this.cancelCurrent();
    this.answer.abort();
    this.finish('broken', { reason });
  }

  /** Ends the call with a local answer; aborts it if the runner's answer has already started. */
  refuse(answer: LocalAnswer): void {
    if (this.finished) {
      return;
    }
    this.cancelCurrent();
    if (this.answer.started) {
      this.abort(answer.detail);
      return;
    }
    this.answer.sendLocal(answer, this.request.id);
    this.finish('refused', {
      status: answer.status,
      verdict: answer.verdict,
      stage: this.refusingStage,
      reason: answer.detail,
      retryAfter: answer.retryAfterSeconds ?? -1,
    });
  }

  /** Ends the call because the gateway stops, with an answer that tells whether the request may have run. */
  interrupt(): void {
    this.refuse(stopped(this.mayHaveRun || this.current?.attempt.wasSent() === true));
  }

  private handleStagesDone(refusal: StageRefusal | undefined): void {
    if (refusal === undefined) {
      const { receivedOutput } = this.requestState;
      if (receivedOutput !== undefined) {
        this.stream?.continueAfter(receivedOutput);
      }
      this.startNextAttempt();
      return;
    }
    const { stage, answer } = refusal;
    this.refusingStage = stage;
    this.context.metrics.count('ivyloom_relay_stage_refusals_total', `stage="${stage}"`);
    this.refuse(answer);
  }

  private get history(): AttemptHistory {
    return {
      mayRepeat: mayRepeat(this.request.route),
      maximumAttempts: this.request.route.maximumAttempts,
      sentTo: this.sentTo,
      attemptCount: this.attemptCount,
      mayHaveRun: this.mayHaveRun,
    };
  }

  /** Returns the engine sample of a complete stream; undefined after a retry, a pause or for other answers. */
  private engineSampleOf({ chosen, startedAt: sentAt }: CurrentAttempt): EngineSample | undefined {
    const { stream, request, attemptCount } = this;
    if (stream?.firstEventAt === undefined || attemptCount > 1 || this.flowControl.wasPaused) {
      return undefined;
    }
    const { firstEventAt, lastEventAt, eventCount } = stream;
    return engineSampleOf(request, chosen, { sentAt, firstEventAt, lastEventAt, eventCount });
  }

  private chooseRunner(isolated?: IsolatedPlacement): RunnerCandidate | undefined {
    const { context, requestState, history, refusedBy, failedAt } = this;
    const isAllowed = (runner: RunnerIncarnation): boolean => maySendTo(history, runner);
    return placeRequest(context, requestState, { isAllowed, refusedBy, failedAt, isolated });
  }

  private startNextAttempt(): void {
    if (this.finished) {
      return;
    }
    if (!mayRetry(this.history)) {
      this.giveUpWithoutRunner();
      return;
    }
    const { context, request } = this;
    const { registry, suspects } = context;
    this.cancelArrangement = arrangeSend({
      runtime: this.guardedRuntime,
      suspects,
      request,
      patienceMilliseconds: Math.min(
        MAXIMUM_SUSPECT_HOLD_MILLISECONDS,
        this.remainingMilliseconds * MAXIMUM_SUSPECT_HOLD_SHARE,
      ),
      choose: (placement) => this.chooseRunner(placement),
      reserve: ({ record }) => registry.reservePlace(record),
      isUsable: ({ record }) => registry.isUsable(record),
      done: (outcome) => this.handleSendOutcome(outcome),
    });
  }

  private handleSendOutcome(outcome: SendOutcome): void {
    switch (outcome.tag) {
      case 'Send':
        if (this.remainingMilliseconds <= 0) {
          this.context.suspects.noteOver(this.request, outcome.chosen.hash);
          this.giveUp('its time is over');
          return;
        }
        this.attemptCount += 1;
        this.startAttemptAt(outcome.chosen);
        return;
      case 'NoRunner':
        this.giveUpWithoutRunner();
        return;
      case 'Quarantined':
        this.giveUpForLosses(quarantined(this.context.suspects.quarantineSeconds(this.request)));
        return;
      case 'Unresolved':
        this.giveUpForLosses(lossesUnresolved());
    }
  }

  private startAttemptAt(chosen: RunnerCandidate): void {
    const { context, request, boundary } = this;
    const { record } = chosen;
    const { runner } = record;
    const now = context.runtime.now();
    this.dispatchedAt ??= now;
    this.lastChosen = chosen;
    const lastEventId = this.stream?.lastEventId ?? this.requestedEventId;
    this.logResumption(runner, lastEventId);
    const headers = headersToRunner(request, context.names, {
      runnerId: runner.id,
      remainingMilliseconds: this.remainingMilliseconds,
      rank: rankOf(request, now),
      lastEventId,
      bodyBytes: this.requestState.body.length,
    });
    const wasLeaving = context.registry.isLeaving(record);
    const reader = this.nextReader();
    this.answer.noteNewAttempt();
    const limit = context.currentTable()?.services.get(runner.service)?.maximumConnections;
    const agent = context.connections.agentFor(runner, limit);
    const { method, path, id: requestId } = request;
    const sent = { requestId, method, path, headers, body: this.requestState.body };
    const pendingSend = observeSend(
      context,
      runner.zone,
      sent.body.length,
      context.backpressure.prepareSend(incarnationOf(runner), sent.body.length),
    );
    const attempt = startAttempt(runner, agent, sent, context.names, CONNECT_MILLISECONDS, {
      reasonAgainstSending: () => this.reasonAgainstSending(record, wasLeaving),
      onConnected: () => {
        context.exclusions.recordSend(record.runner);
        this.noteWritten(record);
        pendingSend.onConnected();
      },
      onSendEnd: () => pendingSend.onSendEnd(),
      onHead: (head) => this.handleHead(head, reader),
      onData: (chunk) => {
        this.noteActivity();
        context.onBuffered(chunk.length);
        context.traffic?.recordZone('runners', 'received', runner.zone, chunk.length);
        reader.onData(chunk);
      },
      onEnd: () => {
        this.current?.inactivity.stop();
        reader.onEnd();
      },
      onFailure: (failure) => this.handleFailure(failure),
      guard: (handler) => boundary.guard(handler),
    });
    context.registry.noteRequestSent(record, request.promptParts);
    const handleUnreachable = boundary.guard((isRefused: boolean) => {
      context.ends.noteEvidence(record, isRefused ? 'refused' : 'unreachable');
      this.failAttempt({ tag: 'Lost', detail: 'runner unreachable' });
    });
    const inactivity = new InactivityMonitor(context, record, handleUnreachable);
    const placed = { attempt, record, runner, startedAt: now, inactivity, chosen };
    this.current = { ...placed, exposure: undefined };
  }

  /** Id of the event after which the client wants the stream; a turn that can't be resumed is stored, and sent, from its start. */
  private get requestedEventId(): string | undefined {
    const { route, lastEventId } = this.request;
    return route.retained && !route.resumable ? undefined : lastEventId;
  }

  private noteWritten(record: RunnerRecord): void {
    if (this.current !== undefined) {
      const { ends, suspects } = this.context;
      this.current.exposure = ends.expose(record, this.request, {
        isSuspect: suspects.verdictOf(this.request) !== 'clear',
        lossCount: suspects.lossCountOf(this.request),
        isRepeated: this.endedCount > 0,
      });
    }
  }

  /** Records that the runner of a send that other gateways may know of has not ended under it. */
  private noteRunnerAlive({ record }: CurrentAttempt): void {
    this.context.suspects.noteOver(this.request, record.hash);
  }

  /** Checks again immediately before the request is written: it may have waited for a connection. */
  private reasonAgainstSending(record: RunnerRecord, wasLeaving: boolean): string | undefined {
    const { context, request, requestState } = this;
    const { registry, exclusions } = context;
    if (registry.isReplaced(record)) {
      return REPLACED_RUNNER;
    }
    // A runner that was already leaving was the last resort, as long as it is known.
    if (wasLeaving ? registry.isForgotten(record) : registry.isLeaving(record)) {
      return LEAVING_RUNNER;
    }
    return exclusions.reasonAgainst(record.runner, request, requestState.origin);
  }

  /** Returns the reader for the next attempt: a stream continues, a plain answer starts over. */
  private nextReader(): AnswerReader {
    if (this.stream !== undefined) {
      return this.stream;
    }
    this.plain?.release();
    this.plain = new PlainAnswer(this);
    return this.plain;
  }

  private handleHead(head: AnswerHead, reader: AnswerReader): void {
    const current = this.current;
    if (current === undefined) {
      return;
    }
    if (head.status !== STATUS_MISDIRECTED_REQUEST) {
      // Otherwise another runner has answered.
      this.noteActivity();
    }
    const answerClass = classifyAnswer(head, this.context.names);
    if (answerClass === 'NotExecuted') {
      current.attempt.ignoreRest(this.context.runtime);
      this.handleNotExecuted(head.status);
      return;
    }
    this.context.ends.noteAnswer(current.record);
    if (answerClass === 'Unsigned' || answerClass === 'FalsePromise') {
      this.failAttempt({
        tag: 'BadAnswer',
        detail: `${answerClass} answer, status ${head.status}`,
      });
      return;
    }
    const isRetryable = head.status >= FIRST_SERVER_ERROR_STATUS && mayRepeat(this.request.route);
    const mayUseOthers = this.request.route.maximumAttempts > this.sentTo.size + 1;
    if (
      (isRetryable && mayUseOthers && !this.answer.started) ||
      (this.answer.started && head.status >= FIRST_REDIRECT)
    ) {
      this.failAttempt({ tag: 'BadAnswer', detail: `status ${head.status}` });
      return;
    }
    reader.onHead(head);
  }

  /** Handles an answer by which the runner states that it has not run the request. */
  private handleNotExecuted(status: number): void {
    const current = this.clearCurrent();
    if (current !== undefined) {
      this.context.registry.noteRequestEnded(current.record, undefined);
      this.noteRunnerAlive(current);
      if (status === STATUS_MISDIRECTED_REQUEST) {
        this.context.ends.noteEvidence(current.record, 'misdirected');
      }
      this.noteSentTo(current.record);
      this.refusedBy.add(incarnationOf(current.record.runner));
      this.logFailure('NotExecuted', `status ${status}`, current);
    }
    this.startNextAttempt();
  }

  private handleFailure(failure: AttemptFailure): void {
    const current = this.clearCurrent();
    if (current === undefined || this.finished) {
      return;
    }
    const { registry, connections, ends } = this.context;
    const { runner } = current.record;
    registry.noteRequestEnded(current.record, undefined);
    this.logFailure(failure.tag, failure.detail, current);
    if (failure.tag === 'NeverSent' && failure.isRefused) {
      ends.noteEvidence(current.record, 'refused');
    }
    if (failure.tag === 'Excluded') {
      // Not the runner's fault: the attempt does not count, and placement leaves the runner out while the rule applies.
      this.attemptCount -= 1;
    } else {
      this.failedAt.add(incarnationOf(runner));
    }
    if (failure.tag === 'NeverSent') {
      registry.markUnhealthy(current.record, failure.detail);
      connections.closeAll(runner);
      this.sentTo.delete(incarnationOf(runner));
    } else if (failure.tag !== 'Excluded') {
      this.mayHaveRun = true;
      this.noteSentTo(current.record);
    }
    if (failure.tag === 'Lost' && current.exposure !== undefined) {
      // Whether to retry, and what the client finds at another gateway, depends on what became of the runner.
      const handleFate = this.boundary.guard(() => {
        const { end } = current.record;
        this.endedCount += end !== undefined && !end.wasAnnounced ? 1 : 0;
        this.noteSentTo(current.record);
        this.continueAfterFailure();
      });
      ends.lose(current.exposure, handleFate);
      return;
    }
    this.noteRunnerAlive(current);
    this.continueAfterFailure();
  }

  private continueAfterFailure(): void {
    if (this.finished) {
      return;
    }
    if (!this.mayRetryAfterEnds()) {
      this.giveUp('runners ended under it');
      return;
    }
    if (this.stream !== undefined && !this.stream.prepareResume()) {
      this.abort('the stream cannot be resumed');
      return;
    }
    this.startNextAttempt();
  }

  private mayRetryAfterEnds(): boolean {
    const { request, endedCount } = this;
    return (
      endedCount === 0 ||
      (endedCount < runnerLossLimitOf(request.route) &&
        this.context.suspects.mayRetryAfterEnd(request))
    );
  }

  /** Counts a runner towards the route's limit of runners, unless it is unreachable or has ended. */
  private noteSentTo(record: RunnerRecord): void {
    if (record.unreachable || record.end !== undefined) {
      this.sentTo.delete(incarnationOf(record.runner));
    } else {
      this.sentTo.add(incarnationOf(record.runner));
    }
  }

  private giveUpWithoutRunner(): void {
    const { excludedBy } = this.requestState;
    const refusal = this.mayHaveRun ? undefined : refusalWithoutCapacity(this.requestState);
    if (refusal !== undefined) {
      this.refuse(refusal);
      return;
    }
    const rule = excludedBy === undefined ? '' : `; the rule ${excludedBy} excludes others`;
    this.giveUp(`no runner may take it${rule}`);
  }

  private giveUpForLosses(answer: LocalAnswer): void {
    if (this.mayHaveRun) {
      this.giveUp(answer.detail);
    } else {
      this.refuse(answer);
    }
  }

  private giveUp(reason: string): void {
    const isPastDeadline = this.remainingMilliseconds <= 0;
    this.refuse(this.mayHaveRun ? answerLost(reason, isPastDeadline) : noRunnerAvailable(reason));
  }

  private handleDeadline(): void {
    if (this.finished) {
      return;
    }
    if (this.current?.attempt.wasSent() === true || this.mayHaveRun) {
      this.refuse(answerTimedOut());
      return;
    }
    this.giveUp('its time is over');
  }

  /** Cancels the call after the client's connection has closed. */
  private handleDisconnect(closedBy: ConnectionCloser): void {
    if (!this.finished) {
      this.cancelCurrent();
      this.context.metrics.count('ivyloom_relay_cut_requests_total', `by="${closedBy}"`);
      this.finish('left', { started: this.answer.started, closedBy, mayHaveRun: this.mayHaveRun });
    }
  }

  private noteActivity(): void {
    this.current?.inactivity.noteActivity();
  }

  private clearCurrent(): CurrentAttempt | undefined {
    const current = this.current;
    this.current = undefined;
    current?.inactivity.stop();
    if (current?.exposure !== undefined) {
      this.context.ends.settle(current.exposure);
    }
    return current;
  }

  private cancelCurrent(): void {
    const current = this.clearCurrent();
    if (current !== undefined) {
      this.mayHaveRun ||= current.attempt.wasSent();
      current.attempt.cancel();
      const { exposure } = current;
      if (exposure === undefined || !this.context.ends.abandon(exposure)) {
        this.noteRunnerAlive(current);
      }
      this.context.registry.noteRequestEnded(current.record, undefined);
    }
  }

  private finish(outcome: string, fields: LogFields): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.cancelDeadline();
    this.cancelArrangement();
    (this.stream ?? this.plain)?.release();
    this.requestState.finish(this.stream?.deliveredTokens ?? 0);
    const { request, attemptCount, dispatchedAt, firstByteAt } = this;
    const eventCount = this.stream?.eventCount ?? 0;
    const { lastChosen: chosen } = this;
    const { pausedMilliseconds } = this.flowControl;
    const times = { dispatchedAt, firstByteAt, pausedMilliseconds };
    const { excludedBy } = this.requestState;
    logCallEnd(this.context, {
      request,
      outcome,
      attemptCount,
      ...times,
      eventCount,
      chosen,
      fields: excludedBy === undefined ? fields : { ...fields, excludedBy },
    });
  }

  private logResumption(runner: Runner, lastEventId: string | undefined): void {
    if (this.stream !== undefined && lastEventId !== undefined) {
      const { context, request, requestState } = this;
      const isWithinAnswer = this.stream.lastEventId !== undefined;
      const { origin, originSource: source } = requestState;
      logResumedStream(context, { request, runner, origin, source, lastEventId, isWithinAnswer });
    }
  }

  private logFailure(tag: string, detail: string, current: CurrentAttempt): void {
    const { record, startedAt, attempt } = current;
    const { request, attemptCount } = this;
    logFailedAttempt(this.context, {
      request,
      record,
      tag,
      detail,
      attemptCount,
      startedAt,
      delivery: attempt.delivery(),
    });
  }
}
