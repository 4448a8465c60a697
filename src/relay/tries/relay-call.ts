/**
 * The life of one relayed request: the stages before its first try, then tries at runners until one
 * answers, the request may not be tried again, or its time is over. Every end is given at once.
 */
import type { CancelTimer, LogFields } from '../../runtime/runtime.js';
import { FIRST_REDIRECT } from '../answers/answer-reader.js';
import type {
  AnsweredCall,
  AnswerHead,
  AnswerReader,
  AttemptFailure,
} from '../answers/answer-reader.js';
import type { ClientAnswer } from '../answers/client-answer.js';
import { answerLost, noAnswerInTime, notTaken } from '../answers/own-answers.js';
import type { OwnAnswer } from '../answers/own-answers.js';
import { PlainAnswer } from '../answers/plain-answer.js';
import { StreamAnswer } from '../answers/stream-answer.js';
import { placeRequest } from '../placement/place-request.js';
import type { RelayContext } from '../relay-context.js';
import { headersToRunner } from '../request/forwarded-headers.js';
import { mayRepeat } from '../request/relay-request.js';
import type { RelayRequest } from '../request/relay-request.js';
import { rankOf } from '../request/request-rank.js';
import type { EngineSample } from '../runners/engine-estimate.js';
import { engineSampleOf } from '../runners/engine-sample.js';
import { lifeOf } from '../runners/runner.js';
import type { RunnerLife } from '../runners/runner.js';
import type { RunnerCandidate, RunnerRecord } from '../runners/runner-book.js';
import { CALL_STAGES } from '../stages/call-stages.js';
import { RequestState } from '../stages/request-state.js';
import { runStages } from '../stages/stage.js';
import type { StageRefusal } from '../stages/stage.js';
import { maySendTo, mayTryAgain } from './attempt-rules.js';
import type { TryHistory } from './attempt-rules.js';
import { startAttempt } from './attempt.js';
import type { Attempt } from './attempt.js';
import { logCallEnd, logFailedTry } from './call-log.js';
import { FIRST_SERVER_ERROR, judgeAnswer } from './judge-answer.js';
import { CallReading } from './call-reading.js';
import { CONNECT_MILLISECONDS } from './runner-connections.js';
import { SilenceWatch } from './silence-watch.js';

/** Kept between a request's time and the answer that it is over, in milliseconds. */
const END_SLACK_MILLISECONDS = 30;

/** One try under way. */
interface CurrentTry {
  readonly attempt: Attempt;
  readonly record: RunnerRecord;
  readonly startedAt: number;
  readonly silence: SilenceWatch;
  /** What its runner was believed to be like when it was chosen. */
  readonly chosen: RunnerCandidate;
}

/** See the head of this file. */
export class RelayCall implements AnsweredCall {
  private readonly sentTo = new Set<RunnerLife>();
  private readonly failedAt = new Set<RunnerLife>();
  /** Runners that refused the request: asking them again at once helps nobody. */
  private readonly refusedBy = new Set<RunnerLife>();
  private tries = 0;
  private mayHaveRun = false;
  private current: CurrentTry | undefined;
  private cancelDeadline: CancelTimer = () => undefined;
  private over = false;
  private readonly requestState: RequestState;
  /** Stage that refused it; none where it came to a try. */
  private refusedAt = '';
  private readonly stream: StreamAnswer | undefined;
  private plain: PlainAnswer | undefined;
  private readonly reading: CallReading;
  private firstByteAt: number | undefined;
  private dispatchedAt: number | undefined;
  private lastChosen: RunnerCandidate | undefined;

  constructor(
    readonly context: RelayContext,
    readonly request: RelayRequest,
    readonly answer: ClientAnswer,
  ) {
    this.requestState = new RequestState(context, request);
    this.stream = request.route.kind === 'stream' ? new StreamAnswer(this) : undefined;
    this.reading = new CallReading(context.runtime, {
      readsOn: request.route.retained,
      current: () => this.current,
      end: (reason) => this.breakOff(reason),
    });
  }

  /** Begins. */
  start(): void {
    const { runtime } = this.context;
    const left = this.remainingMilliseconds + END_SLACK_MILLISECONDS;
    this.cancelDeadline = runtime.setTimer(Math.max(0, left), () => this.timeOut());
    this.answer.onLeft(() => this.leave());
    this.answer.comesFrom(this.reading);
    runStages(CALL_STAGES, this.requestState, (refusal) => this.leaveStages(refusal));
  }

  /** Milliseconds until the request's time is over. */
  get remainingMilliseconds(): number {
    return this.requestState.remainingMilliseconds;
  }

  /** Notes the first byte of the answer that is passed on. */
  noteFirstByte(): void {
    this.firstByteAt ??= this.context.runtime.now();
  }

  /** A whole answer was passed on. */
  finishAnswered(status: number): void {
    const current = this.takeCurrent();
    if (current !== undefined) {
      const { runtime, book } = this.context;
      current.silence.noteWhole();
      const totalMilliseconds = runtime.now() - current.startedAt;
      const eventCount = this.stream?.eventCount ?? 0;
      const isWhole = status < FIRST_REDIRECT;
      const pace =
        isWhole && !this.reading.wasStopped ? { totalMilliseconds, eventCount } : undefined;
      book.finish(current.record, pace, isWhole ? this.engineSampleOf(current) : undefined);
    }
    this.finish('answered', { status, runner: current?.record.runner.id ?? '' });
  }

  /** The try under way failed although its connection stands. */
  failCurrent(failure: AttemptFailure): void {
    this.current?.attempt.cancel();
    this.takeFailure(failure);
  }

  /** Breaks off an answer that has begun and can't be finished. */
  breakOff(reason: string): void {
    this.dropCurrent();
    this.answer.abort();
    this.finish('broken', { reason });
  }

  /** Ends the call with an answer of the relay. */
  refuse(answer: OwnAnswer): void {
    if (this.over) {
      return;
    }
    this.dropCurrent();
    if (this.answer.started) {
      this.breakOff(answer.detail);
      return;
    }
    this.answer.sendOwn(answer, this.request.id);
    this.finish('refused', {
      status: answer.status,
      verdict: answer.verdict,
      stage: this.refusedAt,
      reason: answer.detail,
      retryAfter: answer.retryAfterSeconds ?? -1,
    });
  }

  private leaveStages(refusal: StageRefusal | undefined): void {
    if (refusal === undefined) {
      this.tryNext();
      return;
    }
    const { stage, answer } = refusal;
    this.refusedAt = stage;
    this.context.metrics.count('ivyloom_relay_stage_refusals_total', `stage="${stage}"`);
    this.refuse(answer);
  }

  private get history(): TryHistory {
    return {
      mayRepeat: mayRepeat(this.request.route),
      maximumAttempts: this.request.route.maximumAttempts,
      sentTo: this.sentTo,
      tries: this.tries,
      mayHaveRun: this.mayHaveRun,
    };
  }

  /** What an answered stream showed of its engine; undefined where it shows nothing. */
  private engineSampleOf({ chosen, startedAt: sentAt }: CurrentTry): EngineSample | undefined {
    const { stream, request, tries } = this;
    if (stream?.firstEventAt === undefined || tries > 1 || this.reading.wasStopped) {
      return undefined;
    }
    const { firstEventAt, lastEventAt, eventCount } = stream;
    return engineSampleOf(request, chosen, { sentAt, firstEventAt, lastEventAt, eventCount });
  }

  private chooseNext(): RunnerCandidate | undefined {
    const { context, requestState: requestState, history, refusedBy, failedAt } = this;
    const mayGoTo = (runner: RunnerLife): boolean => maySendTo(history, runner);
    return placeRequest(context, requestState, { mayGoTo, refusedBy, failedAt });
  }

  private tryNext(): void {
    if (this.over) {
      return;
    }
    const chosen = mayTryAgain(this.history) ? this.chooseNext() : undefined;
    if (chosen === undefined || this.remainingMilliseconds <= 0) {
      this.giveUp(chosen === undefined ? 'no runner may take it' : 'its time is over');
      return;
    }
    this.tries += 1;
    this.send(chosen);
  }

  private send(chosen: RunnerCandidate): void {
    const { context, request } = this;
    const { record } = chosen;
    const { runner } = record;
    const now = context.runtime.now();
    this.dispatchedAt ??= now;
    this.lastChosen = chosen;
    context.book.begin(record, request.promptParts);
    const headers = headersToRunner(request, context.names, {
      runnerId: runner.id,
      remainingMilliseconds: this.remainingMilliseconds,
      rank: rankOf(request, now),
      lastEventId: this.stream?.lastEventId ?? request.lastEventId,
      bodyBytes: this.requestState.body.length,
    });
    const reader = this.nextReader();
    this.answer.noteNewTry();
    const limit = context.currentTable()?.services.get(runner.service)?.maximumConnections;
    const agent = context.connections.agentFor(runner, limit);
    const { method, path, id: requestId } = request;
    const sent = { requestId, method, path, headers, body: this.requestState.body };
    const attempt = startAttempt(runner, agent, sent, context.names, CONNECT_MILLISECONDS, {
      ...context.backpressure.prepareSend(lifeOf(runner), this.requestState.body.length),
      onHead: (head) => this.takeHead(head, reader),
      onData: (chunk) => {
        this.noteHeard();
        reader.onData(chunk);
      },
      onEnd: () => {
        this.current?.silence.stop();
        reader.onEnd();
      },
      onFailure: (failure) => this.takeFailure(failure),
    });
    const silence = new SilenceWatch(context, record, () =>
      this.failCurrent({ tag: 'Lost', detail: 'runner out of reach' }),
    );
    this.current = { attempt, record, startedAt: now, silence, chosen };
  }

  /** A stream goes on where the try before ended; a plain answer begins anew. */
  private nextReader(): AnswerReader {
    if (this.stream !== undefined) {
      return this.stream;
    }
    this.plain?.release();
    this.plain = new PlainAnswer(this);
    return this.plain;
  }

  private takeHead(head: AnswerHead, reader: AnswerReader): void {
    this.noteHeard();
    const current = this.current;
    if (current === undefined) {
      return;
    }
    const judgement = judgeAnswer(head, this.context.names);
    if (judgement === 'NotExecuted') {
      current.attempt.ignoreRest();
      this.takeNotExecuted(head.status);
      return;
    }
    if (judgement === 'Unsigned' || judgement === 'FalsePromise') {
      this.failCurrent({ tag: 'BadAnswer', detail: `${judgement} answer, status ${head.status}` });
      return;
    }
    const retried = head.status >= FIRST_SERVER_ERROR && mayRepeat(this.request.route);
    const others = this.request.route.maximumAttempts > this.sentTo.size + 1;
    if (
      (retried && others && !this.answer.started) ||
      (this.answer.started && head.status >= FIRST_REDIRECT)
    ) {
      this.failCurrent({ tag: 'BadAnswer', detail: `status ${head.status}` });
      return;
    }
    reader.onHead(head);
  }

  /** The runner has provably not run the request. */
  private takeNotExecuted(status: number): void {
    const current = this.takeCurrent();
    if (current !== undefined) {
      this.context.book.finish(current.record, undefined);
      const life = lifeOf(current.record.runner);
      this.sentTo.add(life);
      this.refusedBy.add(life);
      this.logTry('NotExecuted', `status ${status}`, current);
    }
    this.tryNext();
  }

  private takeFailure(failure: AttemptFailure): void {
    const current = this.takeCurrent();
    if (current === undefined || this.over) {
      return;
    }
    const { book, connections } = this.context;
    const { runner } = current.record;
    book.finish(current.record, undefined);
    this.failedAt.add(lifeOf(runner));
    this.logTry(failure.tag, failure.detail, current);
    if (failure.tag === 'NeverSent') {
      book.distrust(current.record, failure.detail);
      connections.closeAll(runner);
      this.sentTo.delete(lifeOf(runner));
    } else {
      this.mayHaveRun = true;
      this.noteSentTo(current.record);
    }
    if (this.stream !== undefined && !this.stream.prepareResume()) {
      this.breakOff('the stream can not be taken up again');
      return;
    }
    this.tryNext();
  }

  /** Runners that ended or are cut off take none of the number of runners that a route allows. */
  private noteSentTo(record: RunnerRecord): void {
    if (record.outOfReach) {
      this.sentTo.delete(lifeOf(record.runner));
    } else {
      this.sentTo.add(lifeOf(record.runner));
    }
  }

  private giveUp(reason: string): void {
    const timeIsOver = this.remainingMilliseconds <= 0;
    this.refuse(this.mayHaveRun ? answerLost(reason, timeIsOver) : notTaken(reason));
  }

  private timeOut(): void {
    if (this.over) {
      return;
    }
    if (this.current?.attempt.wasSent() === true || this.mayHaveRun) {
      this.refuse(noAnswerInTime());
      return;
    }
    this.giveUp('its time is over');
  }

  /** The client closed its connection. */
  private leave(): void {
    if (!this.over) {
      this.dropCurrent();
      this.finish('left', { started: this.answer.started });
    }
  }

  private noteHeard(): void {
    this.current?.silence.noteHeard();
  }

  private takeCurrent(): CurrentTry | undefined {
    const current = this.current;
    this.current = undefined;
    current?.silence.stop();
    return current;
  }

  private dropCurrent(): void {
    const current = this.takeCurrent();
    if (current !== undefined) {
      this.mayHaveRun ||= current.attempt.wasSent();
      current.attempt.cancel();
      this.context.book.finish(current.record, undefined);
    }
  }

  private finish(outcome: string, fields: LogFields): void {
    if (this.over) {
      return;
    }
    this.over = true;
    this.cancelDeadline();
    (this.stream ?? this.plain)?.release();
    this.requestState.finish(this.stream?.handedTokens ?? 0);
    const { request, tries, dispatchedAt, firstByteAt } = this;
    const eventCount = this.stream?.eventCount ?? 0;
    const { lastChosen: chosen } = this;
    const { pausedMilliseconds } = this.reading;
    const times = { dispatchedAt, firstByteAt, pausedMilliseconds };
    logCallEnd(this.context, { request, outcome, tries, ...times, eventCount, chosen, fields });
  }

  private logTry(tag: string, detail: string, current: CurrentTry): void {
    const { record, startedAt } = current;
    const { request, tries } = this;
    logFailedTry(this.context, { request: request.id, record, tag, detail, tries, startedAt });
  }
}
