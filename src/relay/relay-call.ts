/**
 * The life of one relayed request: its chain and account first, then tries at runners until one
 * answers, the request may not be tried again, or its time is over. Every end is given at once.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { LogFields } from '../runtime/runtime.js';
import type { CancelTimer } from '../runtime/runtime.js';
import { maySendTo, mayTryAgain } from './attempt-rules.js';
import type { TryHistory } from './attempt-rules.js';
import { startAttempt } from './attempt.js';
import type { AnswerHead, Attempt, AttemptFailure } from './attempt.js';
import type { ClientAnswer, OwnAnswer } from './client-answer.js';
import { logCallEnd, logFailedTry } from './call-log.js';
import { chooseRunner } from './choose-runner.js';
import { drawCandidates } from './draw-candidates.js';
import type { EngineSample } from './engine-estimate.js';
import { engineSampleOf } from './engine-sample.js';
import { headersToRunner } from './forwarded-headers.js';
import { FIRST_SERVER_ERROR, judgeAnswer } from './judge-answer.js';
import {
  answerLost,
  budgetSpent,
  noAnswerInTime,
  noSuchTurn,
  notTaken,
  outOfReach,
  overloaded,
} from './own-answers.js';
import { PlainAnswer } from './plain-answer.js';
import type { ServiceLoad } from './program-admission.js';
import type { RelayContext } from './relay-context.js';
import { mayRepeat } from './relay-request.js';
import type { RelayRequest } from './relay-request.js';
import type { RunnerCandidate, RunnerRecord } from './runner-book.js';
import { CONNECT_MILLISECONDS } from './runner-connections.js';
import { SilenceWatch } from './silence-watch.js';
import { StreamAnswer } from './stream-answer.js';
import { TurnPreparation } from './turn-preparation.js';
import type { Preparation } from './turn-preparation.js';
import { isLate, urgencyOf } from './urgency.js';

/** Time beyond the route's own at which the relay stops waiting, so that runners end first. */
const END_SLACK_MILLISECONDS = 30;
const FIRST_REDIRECT = 300;

/** What takes the answer of one try apart: whole bodies or streams. */
export interface AnswerReader {
  onHead(head: AnswerHead): void;
  onData(chunk: Buffer): void;
  /** The runner ended its answer in order. */
  onEnd(): void;
}

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
export class RelayCall {
  private readonly sentTo = new Set<string>();
  private readonly failedAt = new Set<string>();
  /** Runners that refused the request: asking them again at once helps nobody. */
  private readonly refusedBy = new Set<string>();
  private tries = 0;
  /** The service that was chosen for the request. */
  private service: string | undefined;
  private mayHaveRun = false;
  private current: CurrentTry | undefined;
  private cancelDeadline: CancelTimer = () => undefined;
  private over = false;
  private readonly preparation: TurnPreparation;
  private isPrepared = false;
  private isWithinQuota = false;
  private body: Buffer;
  private readonly endAt: number;
  private readonly stream: StreamAnswer | undefined;
  private firstByteAt: number | undefined;
  private dispatchedAt: number | undefined;
  private lastChosen: RunnerCandidate | undefined;

  constructor(
    readonly context: RelayContext,
    readonly request: RelayRequest,
    readonly answer: ClientAnswer,
  ) {
    this.body = request.body;
    this.preparation = new TurnPreparation(context, request, () => this.remainingMilliseconds);
    const routeEnd = request.arrivedAt + request.route.timeoutMilliseconds;
    this.endAt = Math.min(routeEnd, request.deadlineAt);
    this.stream = request.route.kind === 'stream' ? new StreamAnswer(this) : undefined;
  }

  /** Begins. */
  start(): void {
    const { runtime } = this.context;
    const left = this.endAt - runtime.now() + END_SLACK_MILLISECONDS;
    this.cancelDeadline = runtime.setTimer(Math.max(0, left), () => this.timeOut());
    this.answer.onLeft(() => this.leave());
    const isNewProgram = this.beginsProgram;
    if (!this.isAdmitted()) {
      this.refuse(overloaded());
      return;
    }
    this.checkQuota(isNewProgram);
    this.preparation.prepare((preparation) => this.takePreparation(preparation));
  }

  /** Milliseconds until the request's time is over. */
  get remainingMilliseconds(): number {
    return this.endAt - this.context.runtime.now();
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
      const pace = isWhole ? { totalMilliseconds, eventCount } : undefined;
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
      reason: answer.detail,
      retryAfter: answer.retryAfterSeconds ?? -1,
    });
  }

  /** Programs under way go before new ones when the runners are full. */
  private isAdmitted(): boolean {
    const { route, program } = this.request;
    if (route.kind !== 'stream' || program === undefined) {
      return true;
    }
    this.service = this.context.split.pick(route, program.program);
    const load = (): ServiceLoad => this.context.book.loadOf(this.service ?? '');
    const late = isLate(this.request, this.context.runtime.now());
    return this.context.admission.admit(program.program, late, load, route.priority);
  }

  /** Whether it is the first request of a program, as far as is known here. */
  private get beginsProgram(): boolean {
    const { route, program, previousTurn } = this.request;
    const isFirst = route.kind === 'stream' && previousTurn === undefined;
    return isFirst && !this.context.admission.knows(program?.program ?? '');
  }

  /** Asked beside the preparation: both are a way to the replicas and back. */
  private checkQuota(isNewProgram: boolean): void {
    const { request, context, remainingMilliseconds } = this;
    context.quotas.check(request, isNewProgram, remainingMilliseconds, (refusal) => {
      if (this.over) {
        return;
      }
      if (refusal !== undefined) {
        if (isNewProgram && request.program !== undefined) {
          context.admission.forget(request.program.program);
        }
        this.refuse(refusal);
        return;
      }
      this.isWithinQuota = true;
      this.tryIfReady();
    });
  }

  private tryIfReady(): void {
    if (this.isWithinQuota && this.isPrepared) {
      this.tryNext();
    }
  }

  private takePreparation(preparation: Preparation): void {
    if (this.over) {
      this.settle();
      return;
    }
    switch (preparation.tag) {
      case 'Ready':
        this.body = preparation.body;
        this.isPrepared = true;
        this.tryIfReady();
        return;
      case 'NoSuchTurn':
        this.refuse(noSuchTurn());
        return;
      case 'BudgetSpent':
        this.refuse(budgetSpent());
        return;
      case 'OutOfReach':
        this.refuse(outOfReach(preparation.what, this.context.turns.isReachable));
    }
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
    if (stream?.firstEventAt === undefined || tries > 1) {
      return undefined;
    }
    const { firstEventAt, lastEventAt, eventCount } = stream;
    return engineSampleOf(request, chosen, { sentAt, firstEventAt, lastEventAt, eventCount });
  }

  private chooseNext(): RunnerCandidate | undefined {
    const { request, context } = this;
    const key = request.program?.program ?? request.affinityKey ?? request.id;
    this.service ??= context.split.pick(request.route, key);
    if (this.service === undefined) {
      return undefined;
    }
    const all = context.book.candidates(this.service, request.promptParts, this.refusedBy);
    const allowed = all.filter((candidate) => maySendTo(this.history, candidate.id));
    const fresh = allowed.filter((candidate) => !this.failedAt.has(candidate.id));
    const isEngine = context.currentTable()?.services.get(this.service)?.cachesPrompts === true;
    const need = {
      zone: context.zone,
      promptTokens: request.promptTokens,
      bodyBytes: this.body.length,
      affinityHash: request.promptParts[0]?.key ?? hashToNumber(request.program?.session ?? key),
      engine: isEngine ? context.book.engineCosts(this.service) : undefined,
    };
    const usable = fresh.length > 0 ? fresh : allowed;
    const weighed = context.drawsCandidates
      ? drawCandidates(usable, context.book.loadAgeMilliseconds(), context.runtime.random)
      : usable;
    return chooseRunner(weighed, need, context.charges);
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
      urgency: urgencyOf(request, now),
      lastEventId: this.stream?.lastEventId ?? request.lastEventId,
      bodyBytes: this.body.length,
    });
    const reader: AnswerReader = this.stream ?? new PlainAnswer(this);
    const limit = context.currentTable()?.services.get(runner.service)?.maximumConnections;
    const agent = context.connections.agentFor(runner, limit);
    const { method, path, id: requestId } = request;
    const sent = { requestId, method, path, headers, body: this.body };
    const attempt = startAttempt(runner, agent, sent, context.names, CONNECT_MILLISECONDS, {
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
      this.sentTo.add(current.record.runner.id);
      this.refusedBy.add(current.record.runner.id);
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
    this.failedAt.add(runner.id);
    this.logTry(failure.tag, failure.detail, current);
    if (failure.tag === 'NeverSent') {
      book.distrust(current.record, failure.detail);
      connections.closeAll(runner);
      this.sentTo.delete(runner.id);
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
      this.sentTo.delete(record.runner.id);
    } else {
      this.sentTo.add(record.runner.id);
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

  private settle(): void {
    this.preparation.settle(this.stream?.handedTokens ?? 0);
  }

  private finish(outcome: string, fields: LogFields): void {
    if (this.over) {
      return;
    }
    this.over = true;
    this.cancelDeadline();
    this.settle();
    const { request, tries, dispatchedAt, firstByteAt } = this;
    const eventCount = this.stream?.eventCount ?? 0;
    const { lastChosen: chosen } = this;
    const times = { dispatchedAt, firstByteAt };
    logCallEnd(this.context, { request, outcome, tries, ...times, eventCount, chosen, fields });
  }

  private logTry(tag: string, detail: string, current: CurrentTry): void {
    const { record, startedAt } = current;
    const { request, tries } = this;
    logFailedTry(this.context, { request: request.id, record, tag, detail, tries, startedAt });
  }
}
