/**
 * Runs the calls of a shard's programs on the node that leads the shard: admits calls, keeps those
 * of one program in sequence, sends them to engines and commits their results.
 */
import type { CallId, NodeId, ProgramId, ServiceName } from '../model/identifiers.js';
import type { CallEvent, CallRequest, Usage } from '../model/call.js';
import { NO_USAGE } from '../model/call.js';
import type { CallError, CallErrorTag } from '../model/verdict.js';
import { mayHaveRun, notRun } from '../model/verdict.js';
import type { BackEndEvent, BackEndPort, Fence } from '../platform/back-end-port.js';
import type { PoolClient, PoolCalls } from '../dispatch/pool-client.js';
import type { SliceClient } from '../budget/slice-client.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { ProposalResult } from '../replication/proposals.js';
import type { Runtime } from '../runtime/runtime.js';
import type { FinishOutcome, Message, PoolAssignment } from '../wire/messages.js';
import type { CommandOutcome } from './apply-command.js';
import { CallAdmission } from './call-admission.js';
import { createTicket } from './call-ticket.js';
import { resultEvent } from './call-result.js';
import { createEngineRequest } from './engine-request.js';
import { createLiveCall } from './live-call.js';
import type { LiveCall } from './live-call.js';
import type { OwnerLimits } from './program-limits.js';
import { ProgramExpiry } from './program-expiry.js';
import { firstUnfinishedCall, hasEnded } from './program-record.js';
import type { CallRecord, ProgramRecord } from './program-record.js';

/**
 * Time in milliseconds that a new owner waits for a gateway to attach before it reruns a call. The
 * gateway tells how much of the answer its client has already received.
 */
const ATTACH_WAIT_MILLISECONDS = 3_000;

/** Dependencies of a `ShardOwner`. */
export interface ShardOwnerOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly limits: OwnerLimits;
  readonly backEnds: BackEndPort;
  readonly pools: PoolClient;
  readonly slices: SliceClient;
  readonly send: (to: NodeId, message: Message) => void;
  /** Called when a program is found to have ended; may be called more than once per program. */
  readonly onProgramEnded: (program: ProgramId) => void;
}

/** Runs the calls of one shard while this node leads it. */
export class ShardOwner {
  private readonly liveCalls = new Map<CallId, LiveCall>();
  private readonly admission: CallAdmission;
  private readonly expiry: ProgramExpiry;

  constructor(private readonly options: ShardOwnerOptions) {
    this.admission = new CallAdmission({
      ...options,
      findLiveCall: (call) => this.liveCalls.get(call),
      attach: (call, from, receivedText) => this.attach(call, from, receivedText),
      addLiveCall: (request, gateways) => this.addLiveCall(request, gateways),
      startNext: (program) => this.startNext(program),
    });
    this.expiry = new ProgramExpiry(options);
  }

  /** Number of calls in progress. */
  get liveCallCount(): number {
    return this.liveCalls.size;
  }

  /** Lists the calls in progress. */
  listLiveCalls(): LiveCall[] {
    return [...this.liveCalls.values()];
  }

  /** True while a call is in progress, being accepted or buffered out of order. */
  isTracking(call: CallId): boolean {
    return this.liveCalls.has(call) || this.admission.isPending(call);
  }

  /** Accepts a call, or attaches the gateway to it if it is already pending or in progress. */
  submit(from: NodeId, request: CallRequest): void {
    this.admission.submit(from, request);
  }

  /** Handles the pool scheduler's assignment of a call to an engine. */
  assign(message: PoolAssignment): void {
    const call = this.liveCalls.get(message.call);
    if (call === undefined || call.phase !== 'waiting') {
      if (call === undefined || call.engine !== message.engine) {
        this.refuseAssignment(message);
      }
      return;
    }
    if (!this.options.host.canServe()) {
      return;
    }
    this.commitIntent(call, message.engine);
  }

  /** Handles the pool scheduler's final refusal of a call. */
  refuse(call: CallId, detail: string, retryAfterSeconds: number): void {
    const live = this.liveCalls.get(call);
    if (live?.phase === 'waiting') {
      this.failUnanswered(live, 'Overloaded', detail, retryAfterSeconds);
    }
  }

  /** Ends a program, its descendants and their calls. */
  endProgram(program: ProgramId, reason: 'finished' | 'stopped', done: () => void): void {
    const { host, runtime } = this.options;
    const at = runtime.wallTime();
    host.propose({ type: 'endProgram', at, program, reason }, (result) => {
      if (result.type === 'committed') {
        this.removeEndedCalls();
        this.options.onProgramEnded(program);
      }
      done();
    });
  }

  /** Recovers all calls in progress; called when this node becomes the leader. */
  startLeading(): void {
    for (const program of this.options.host.state.programs.values()) {
      for (const record of program.calls.values()) {
        if (!hasEnded(record) && record.request !== undefined) {
          this.recover(record.request, record);
        }
      }
      this.startNext(program.program);
    }
  }

  /** Drops all in-memory state; called when this node stops leading. */
  stopLeading(): void {
    for (const call of this.liveCalls.values()) {
      this.cancelTimers(call);
    }
    this.liveCalls.clear();
    this.admission.reset();
    this.expiry.reset();
  }

  /** Adds this owner's calls of a service to a pool report. */
  addToReport(service: ServiceName, poolCalls: PoolCalls): void {
    const { host, runtime } = this.options;
    for (const call of this.liveCalls.values()) {
      const program = host.state.programs.get(call.request.program);
      if (call.request.service !== service || program === undefined) {
        continue;
      }
      if (call.phase === 'waiting') {
        const now = runtime.now();
        poolCalls.waiting.push(createTicket(host.state, program, call, now, runtime.wallTime()));
      } else if (call.phase !== 'behind') {
        poolCalls.running.push({
          call: call.request.call,
          engine: call.engine,
          program: program.program,
          group: program.group,
        });
      }
    }
  }

  /** Expires out-of-order calls and programs; called once a second. */
  sweep(): void {
    this.admission.sweep();
    this.expiry.sweep();
  }

  private attach(call: LiveCall, from: NodeId, receivedText: string): void {
    call.gateways.add(from);
    if (receivedText.length > call.text.length && call.text === '') {
      call.text = receivedText;
    }
    const missing = call.text.slice(receivedText.length);
    if (missing !== '') {
      const offset = receivedText.length;
      this.sendEvent(from, call.request.call, { type: 'piece', offset, text: missing });
    }
    call.endAttachWait();
    if (call.phase === 'behind') {
      this.startNext(call.request.program);
    }
  }

  private addLiveCall(request: CallRequest, gateways: Iterable<NodeId>): LiveCall {
    const { runtime } = this.options;
    const call = createLiveCall(request, runtime.now());
    for (const gateway of gateways) {
      call.gateways.add(gateway);
    }
    this.liveCalls.set(request.call, call);
    call.cancelDeadline = runtime.setTimer(request.timeoutMilliseconds, () =>
      this.handleDeadline(call),
    );
    return call;
  }

  private startNext(programName: ProgramId): void {
    const { host } = this.options;
    const program = host.state.programs.get(programName);
    const record = program === undefined ? undefined : firstUnfinishedCall(program);
    const call = record === undefined ? undefined : this.liveCalls.get(record.call);
    if (program !== undefined && call !== undefined && call.phase === 'behind') {
      this.enqueue(program, call);
    }
  }

  private enqueue(program: ProgramRecord, call: LiveCall): void {
    const { host, runtime, pools } = this.options;
    call.phase = 'waiting';
    call.engine = '';
    const ticket = createTicket(host.state, program, call, runtime.now(), runtime.wallTime());
    pools.enqueue(call.request.service, host.shard, ticket);
  }

  private commitIntent(call: LiveCall, engine: string): void {
    const { host } = this.options;
    const { program, call: name, repeatable } = call.request;
    call.phase = 'intending';
    call.engine = engine;
    call.attempts += 1;
    const { sequence } = call;
    host.propose({ type: 'intendCall', program, sequence, call: name, engine }, (result) => {
      const intended = result.type === 'committed' && result.outcome.type === 'done';
      // A non-repeatable call is sent only once its intent is committed and leadership confirmed.
      if (intended && !repeatable && this.isCurrent(call, 'intending') && host.canServe()) {
        this.sendToEngine(call);
      }
    });
    if (repeatable) {
      this.sendToEngine(call);
    }
  }

  private isCurrent(call: LiveCall, phase: LiveCall['phase']): boolean {
    return this.liveCalls.get(call.request.call) === call && call.phase === phase;
  }

  private fence(): Fence {
    return { shard: this.options.host.shard, term: this.options.host.term };
  }

  private sendToEngine(call: LiveCall): void {
    const { host, runtime, backEnds } = this.options;
    const program = host.state.programs.get(call.request.program);
    if (program === undefined) {
      return;
    }
    call.phase = 'running';
    call.startedAt = runtime.now();
    const { engine, attempts } = call;
    const request = createEngineRequest(program, call, this.fence());
    call.cancelRequest = backEnds.start(engine, request, (event) => {
      if (this.isCurrent(call, 'running') && call.attempts === attempts) {
        this.receiveFromEngine(call, event);
      }
    });
  }

  private receiveFromEngine(call: LiveCall, event: BackEndEvent): void {
    switch (event.type) {
      case 'piece':
        return this.relayPiece(call, event.offset, event.text);
      case 'finished':
        return this.commitAnswer(call, event.text, event.usage);
      case 'failed':
        return this.handleFailure(call, event.verdict === 'NotRun', event.detail);
    }
  }

  private relayPiece(call: LiveCall, offset: number, text: string): void {
    const end = offset + text.length;
    if (offset > call.text.length || end <= call.text.length) {
      return;
    }
    const fresh = text.slice(call.text.length - offset);
    const event: CallEvent = { type: 'piece', offset: call.text.length, text: fresh };
    call.text += fresh;
    for (const gateway of call.gateways) {
      this.sendEvent(gateway, call.request.call, event);
    }
  }

  private commitAnswer(call: LiveCall, text: string, usage: Usage): void {
    const { host, runtime } = this.options;
    call.phase = 'ending';
    this.reportFinishedToPool(call, 'answered', usage);
    const { program, call: name } = call.request;
    const { sequence } = call;
    const at = runtime.wallTime();
    host.propose({ type: 'answerCall', at, program, sequence, call: name, text, usage }, (result) =>
      this.publishResult(call, result),
    );
  }

  private fail(call: LiveCall, error: CallError, usage: Usage): void {
    const { host, runtime } = this.options;
    call.phase = 'ending';
    const { program, call: name } = call.request;
    const { sequence } = call;
    const at = runtime.wallTime();
    host.propose({ type: 'failCall', at, program, sequence, call: name, error, usage }, (result) =>
      this.publishResult(call, result),
    );
  }

  private publishResult(call: LiveCall, result: ProposalResult<CommandOutcome>): void {
    if (result.type !== 'committed' || this.liveCalls.get(call.request.call) !== call) {
      return;
    }
    const program = this.options.host.state.programs.get(call.request.program);
    const record = program?.calls.get(call.sequence);
    this.liveCalls.delete(call.request.call);
    this.cancelTimers(call);
    if (program === undefined || record === undefined) {
      return;
    }
    const event = resultEvent(record);
    call.gateways.forEach((gateway) => this.sendEvent(gateway, call.request.call, event));
    if (program.end === undefined) {
      this.startNext(program.program);
    } else {
      this.options.onProgramEnded(program.program);
    }
  }

  /** Fails a call without an answer; the verdict says whether an attempt may have run. */
  private failUnanswered(
    call: LiveCall,
    tag: CallErrorTag,
    detail: string,
    retryAfterSeconds = 0,
  ): void {
    if (call.mayHaveRun) {
      this.fail(call, { ...mayHaveRun(tag, detail), retryAfterSeconds }, this.worstCaseUsage(call));
    } else {
      this.fail(call, notRun(tag, detail, retryAfterSeconds), NO_USAGE);
    }
  }

  private handleFailure(call: LiveCall, provablyNotRun: boolean, detail: string): void {
    const { repeatable } = call.request;
    call.mayHaveRun ||= !provablyNotRun;
    this.reportFinishedToPool(call, 'failed', NO_USAGE);
    const mayTryAgain = call.attempts < this.options.limits.maximumAttempts;
    if (provablyNotRun && !repeatable && mayTryAgain) {
      this.withdrawAndRetry(call);
    } else if ((repeatable || provablyNotRun) && mayTryAgain) {
      this.retry(call);
    } else {
      this.failUnanswered(call, 'BackEndFailed', detail, 1);
    }
  }

  /** Usage charged for a call that may have run: its whole reservation. */
  private worstCaseUsage(call: LiveCall): Usage {
    const record = this.recordOf(call);
    return { ...NO_USAGE, promptTokens: record?.reserved ?? 0 };
  }

  private recordOf(call: LiveCall): CallRecord | undefined {
    const program = this.options.host.state.programs.get(call.request.program);
    return program?.calls.get(call.sequence);
  }

  private withdrawAndRetry(call: LiveCall): void {
    const { program, call: name } = call.request;
    const { sequence, engine } = call;
    call.phase = 'ending';
    this.options.host.propose(
      { type: 'withdrawIntent', program, sequence, call: name, engine },
      (result) => {
        if (result.type === 'committed' && this.isCurrent(call, 'ending')) {
          this.retry(call);
        }
      },
    );
  }

  private retry(call: LiveCall): void {
    call.avoidEngine = call.engine;
    call.phase = 'behind';
    call.cancelRequest = undefined;
    this.startNext(call.request.program);
  }

  private handleDeadline(call: LiveCall): void {
    if (this.liveCalls.get(call.request.call) !== call || call.phase === 'ending') {
      return;
    }
    const queued = call.phase === 'waiting' || call.phase === 'behind';
    if (!queued) {
      call.mayHaveRun = true;
      call.cancelRequest?.();
      this.reportFinishedToPool(call, 'cancelled', NO_USAGE);
    }
    this.failUnanswered(call, 'DeadlinePassed', 'The call was not answered in time.', 5);
  }

  private recover(request: CallRequest, record: CallRecord): void {
    const call = this.addLiveCall(request, []);
    if (record.status === 'intended' && record.engine !== undefined) {
      call.mayHaveRun = true;
      this.resumeOnEngine(call, record.engine);
    }
  }

  private resumeOnEngine(call: LiveCall, engine: string): void {
    const { backEnds, runtime } = this.options;
    call.phase = 'recovering';
    call.engine = engine;
    call.startedAt = runtime.now();
    call.cancelRequest = backEnds.resume(engine, call.request.call, this.fence(), (event) => {
      if (!this.isCurrent(call, 'recovering')) {
        return;
      }
      if (event.type === 'failed') {
        this.handleFailedRecovery(call, event.detail);
      } else {
        this.receiveFromEngine(call, event);
      }
    });
  }

  /**
   * Handles an engine that cannot resume a call. A repeatable call is rerun once a gateway has
   * attached or the wait for it has ended, since the gateway tells how much of the answer its
   * client already has. A non-repeatable call fails.
   */
  private handleFailedRecovery(call: LiveCall, detail: string): void {
    if (!call.request.repeatable) {
      this.fail(call, mayHaveRun('BackEndFailed', detail), this.worstCaseUsage(call));
      return;
    }
    const rerun = (): void => {
      if (this.isCurrent(call, 'recovering')) {
        this.retry(call);
      }
    };
    if (call.gateways.size > 0) {
      rerun();
      return;
    }
    const cancel = this.options.runtime.setTimer(ATTACH_WAIT_MILLISECONDS, rerun);
    call.endAttachWait = () => {
      cancel();
      rerun();
    };
  }

  private removeEndedCalls(): void {
    for (const call of [...this.liveCalls.values()]) {
      const record = this.recordOf(call);
      if (record === undefined || !hasEnded(record)) {
        continue;
      }
      if (call.phase === 'running' || call.phase === 'recovering' || call.phase === 'intending') {
        call.cancelRequest?.();
        this.reportFinishedToPool(call, 'cancelled', NO_USAGE);
      }
      this.liveCalls.delete(call.request.call);
      this.cancelTimers(call);
      const event = resultEvent(record);
      call.gateways.forEach((gateway) => this.sendEvent(gateway, call.request.call, event));
    }
  }

  private cancelTimers(call: LiveCall): void {
    call.cancelDeadline();
    // Keeps `endAttachWait` from rerunning the call.
    call.phase = 'ending';
    call.endAttachWait();
  }

  private reportFinishedToPool(call: LiveCall, outcome: FinishOutcome, usage: Usage): void {
    const { call: name, program, service } = call.request;
    this.options.pools.reportFinished({
      type: 'poolFinished',
      service,
      call: name,
      program,
      engine: call.engine,
      outcome,
      usage,
      serviceMilliseconds: this.options.runtime.now() - call.startedAt,
    });
  }

  /** Frees the slot of an assignment whose call no longer waits for it. */
  private refuseAssignment({ service, call, engine }: PoolAssignment): void {
    this.options.pools.reportFinished({
      type: 'poolFinished',
      service,
      call,
      program: '',
      engine,
      outcome: 'refused',
      usage: NO_USAGE,
      serviceMilliseconds: 0,
    });
  }

  private sendEvent(to: NodeId, call: CallId, event: CallEvent): void {
    this.options.send(to, { type: 'callEvent', call, event });
  }
}
