/**
 * Admission of calls at the shard owner: attaches duplicates to calls in progress, buffers calls
 * that arrive out of order, acquires budget and commits the acceptance.
 */
import type { CallId, NodeId, ProgramId } from '../model/identifiers.js';
import type { SliceClient } from '../budget/slice-client.js';
import type { CallEvent, CallRequest } from '../model/call.js';
import type { CallError } from '../model/verdict.js';
import { mayHaveRun, notRun } from '../model/verdict.js';
import type { ProposalResult } from '../replication/proposals.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Message } from '../wire/messages.js';
import type { CommandOutcome } from './apply-command.js';
import { sliceOf } from './apply-command.js';
import { resultEvent } from './call-result.js';
import { worstCaseTokens } from './call-ticket.js';
import { OutOfOrderCalls } from './out-of-order-calls.js';
import type { LiveCall } from './live-call.js';
import type { OwnerLimits } from './program-limits.js';
import type { CallRecord, ProgramRecord } from './program-record.js';

/** Dependencies of a `CallAdmission`. The owner keeps the calls once they are accepted. */
export interface CallAdmissionOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly limits: OwnerLimits;
  readonly slices: SliceClient;
  readonly send: (to: NodeId, message: Message) => void;
  /** Returns a call in progress. */
  readonly findLiveCall: (call: CallId) => LiveCall | undefined;
  /** Adds a gateway to a call in progress and sends it the text after `receivedText`. */
  readonly attach: (call: LiveCall, from: NodeId, receivedText: string) => void;
  /** Starts tracking an accepted call. */
  readonly addLiveCall: (request: CallRequest, gateways: Iterable<NodeId>) => LiveCall;
  /** Enqueues the next call of a program if none is in progress. */
  readonly startNext: (program: ProgramId) => void;
}

/** Accepts, buffers or refuses the calls submitted to one shard. */
export class CallAdmission {
  /** Gateways of the calls whose acceptance is not yet committed. */
  private readonly accepting = new Map<CallId, Set<NodeId>>();
  private readonly outOfOrderCalls: OutOfOrderCalls;

  constructor(private readonly options: CallAdmissionOptions) {
    this.outOfOrderCalls = new OutOfOrderCalls(options.limits.maximumOutOfOrderCalls);
  }

  /** True while a call is being accepted or waits for an earlier sequence. */
  isPending(call: CallId): boolean {
    return this.accepting.has(call) || this.outOfOrderCalls.has(call);
  }

  /** Drops all pending calls; called when leadership ends. */
  reset(): void {
    this.accepting.clear();
    this.outOfOrderCalls.clear();
  }

  /** Accepts a call, or attaches the gateway to it if it is already pending or in progress. */
  submit(from: NodeId, request: CallRequest): void {
    if (this.attachToKnown(from, request)) {
      return;
    }
    const program = this.options.host.state.programs.get(request.program);
    if (this.bufferIfOutOfOrder(from, request, program)) {
      return;
    }
    this.accepting.set(request.call, new Set([from]));
    this.acceptWithBudget(request, program, true);
  }

  private attachToKnown(from: NodeId, request: CallRequest): boolean {
    const accepting = this.accepting.get(request.call);
    if (accepting !== undefined) {
      accepting.add(from);
      return true;
    }
    const live = this.options.findLiveCall(request.call);
    if (live !== undefined) {
      this.options.attach(live, from, request.receivedText);
      return true;
    }
    return false;
  }

  private bufferIfOutOfOrder(
    from: NodeId,
    request: CallRequest,
    program: ProgramRecord | undefined,
  ): boolean {
    const next = program?.nextSequence ?? 1;
    if (request.sequence <= next || program?.end !== undefined) {
      return false;
    }
    const deadline = this.options.runtime.now() + request.timeoutMilliseconds;
    if (!this.outOfOrderCalls.add({ from, request, expiresAt: deadline })) {
      const error = notRun('Conflict', `Sequence ${next} comes first; too many wait for it.`, 1);
      this.sendEvent(from, request.call, { type: 'failed', error });
    }
    return true;
  }

  private acceptWithBudget(
    request: CallRequest,
    program: ProgramRecord | undefined,
    mayAcquire: boolean,
  ): void {
    const { host, slices } = this.options;
    const reserve = worstCaseTokens(program, request);
    slices.recordUse(request.group);
    if (mayAcquire && sliceOf(host.state, request.group).available < reserve) {
      slices.acquire(request.group, reserve, (granted) => {
        if (this.accepting.has(request.call)) {
          this.acceptWithBudget(request, host.state.programs.get(request.program), granted);
        }
      });
      return;
    }
    this.proposeAccept(request, reserve);
  }

  private proposeAccept(request: CallRequest, reserve: number): void {
    const { host, runtime, limits } = this.options;
    host.propose(
      { type: 'acceptCall', at: runtime.wallTime(), request, reserve, limits: limits.program },
      (result) => this.finishAccept(request, result),
    );
  }

  private finishAccept(request: CallRequest, result: ProposalResult<CommandOutcome>): void {
    const gateways = this.accepting.get(request.call) ?? new Set();
    this.accepting.delete(request.call);
    if (result.type !== 'committed') {
      // The gateway retries with the new leader; the call id makes the retry idempotent.
      return;
    }
    const { outcome } = result;
    if (outcome.type === 'accepted') {
      const call = this.options.addLiveCall(outcome.record.request!, gateways);
      call.text = request.receivedText;
      this.options.startNext(request.program);
      this.submitReadyCall(request.program);
    } else if (outcome.type === 'repeated') {
      gateways.forEach((gateway) => this.replyToDuplicate(gateway, request, outcome.record));
    } else if (outcome.type === 'refused') {
      const event: CallEvent = { type: 'failed', error: outcome.error };
      gateways.forEach((gateway) => this.sendEvent(gateway, request.call, event));
    }
  }

  private replyToDuplicate(gateway: NodeId, request: CallRequest, record: CallRecord): void {
    const live = this.options.findLiveCall(record.call);
    if (live !== undefined && record.call === request.call) {
      this.options.attach(live, gateway, request.receivedText);
      return;
    }
    if (live !== undefined) {
      const detail = `Call ${record.call} with this sequence is under way; read it there.`;
      const error: CallError = { ...mayHaveRun('Conflict', detail), retryAfterSeconds: 1 };
      this.sendEvent(gateway, request.call, { type: 'failed', error });
      return;
    }
    this.sendEvent(gateway, request.call, resultEvent(record));
  }

  private submitReadyCall(program: ProgramId): void {
    const next = this.options.host.state.programs.get(program)?.nextSequence ?? 1;
    const ready = this.outOfOrderCalls.takeReady(program, next);
    if (ready !== undefined) {
      this.submit(ready.from, ready.request);
    }
  }

  /** Refuses out-of-order calls that waited too long; called once a second. */
  sweep(): void {
    for (const expired of this.outOfOrderCalls.takeExpired(this.options.runtime.now())) {
      const error = notRun('Conflict', 'An earlier sequence never came.', 1);
      this.sendEvent(expired.from, expired.request.call, { type: 'failed', error });
    }
  }

  private sendEvent(to: NodeId, call: CallId, event: CallEvent): void {
    this.options.send(to, { type: 'callEvent', call, event });
  }
}
