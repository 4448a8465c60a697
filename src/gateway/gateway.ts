/**
 * The gateway of one node: finds the owner of a call's program, relays the call's events to its
 * caller, and asks again wherever the owner has moved. Keeps nothing that must last.
 */
import type { CallId, NodeId, ProgramId, ShardId } from '../model/identifiers.js';
import type { CallEvent, CallListener, CallRequest } from '../model/call.js';
import type { CallError } from '../model/verdict.js';
import { mayHaveRun, notRun } from '../model/verdict.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
import { shardOfProgram } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type {
  CallEventMessage,
  CallProbeReply,
  Message,
  NotLeader,
  ProgramAction,
  ProgramReply,
} from '../wire/messages.js';

/** Time between probes of owners, in milliseconds. */
export const PROBE_INTERVAL_MILLISECONDS = 1_000;
/** Silence after which an owner is believed lost, in milliseconds. */
const OWNER_TIMEOUT_MILLISECONDS = 2_700;
/** Pause before a shard without a known leader is asked again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;
/** Time added to a caller's patience for the owner's own final answer to arrive, in milliseconds. */
const DEADLINE_GRACE_MILLISECONDS = 1_500;
/** Time a program request may take, in milliseconds. */
const PROGRAM_REQUEST_TIMEOUT_MILLISECONDS = 8_000;
/** Time after which a program request is sent again, in milliseconds. */
const PROGRAM_RESEND_INTERVAL_MILLISECONDS = 700;

/** What a gateway is made with. */
export interface GatewayOptions {
  readonly runtime: Runtime;
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly send: (to: NodeId, message: Message) => void;
}

interface PendingCall {
  readonly request: CallRequest;
  readonly listener: CallListener;
  readonly streaming: boolean;
  /** Text the caller has been sent. */
  deliveredText: string;
  owner: NodeId;
  /** Times it was sent to an owner and not turned away for want of leadership. */
  outstandingSends: number;
  /** When the owner last proved to know the call. */
  lastContactAt: number;
  cancelDeadline: CancelTimer;
}

/** Result of a program request. */
export interface ProgramResult {
  readonly status: number;
  readonly body: string;
}

interface PendingProgramRequest {
  readonly listener: (result: ProgramResult) => void;
  readonly send: () => void;
  readonly cancel: () => void;
}

/** See the head of this file. */
export class Gateway {
  private readonly calls = new Map<CallId, PendingCall>();
  private readonly programRequests = new Map<CallId, PendingProgramRequest>();

  constructor(private readonly options: GatewayOptions) {}

  /** Calls whose callers wait here. */
  get pendingCount(): number {
    return this.calls.size + this.programRequests.size;
  }

  /** Sends a call to its owner; the listener hears pieces (when streaming) and one end. */
  submit(request: CallRequest, streaming: boolean, listener: CallListener): void {
    const { runtime } = this.options;
    const pending: PendingCall = {
      request,
      listener,
      streaming,
      deliveredText: '',
      owner: '',
      outstandingSends: 0,
      lastContactAt: runtime.now(),
      cancelDeadline: () => undefined,
    };
    this.calls.set(request.call, pending);
    const timeoutMilliseconds = request.timeoutMilliseconds + DEADLINE_GRACE_MILLISECONDS;
    pending.cancelDeadline = runtime.setTimer(timeoutMilliseconds, () =>
      this.failOnDeadline(pending),
    );
    this.sendToOwner(pending);
  }

  /** Forgets a call whose caller has gone; the call itself goes on. */
  abandon(call: CallId): void {
    const pending = this.calls.get(call);
    if (pending !== undefined) {
      this.calls.delete(call);
      pending.cancelDeadline();
    }
  }

  /** Acts on, or reads, a program at its owner. `group` is empty for an operator. */
  requestProgram(
    id: CallId,
    action: ProgramAction,
    program: ProgramId,
    group: string,
    listener: (result: ProgramResult) => void,
  ): void {
    const shard = shardOfProgram(this.options.map, program);
    this.requestShard(shard, id, action, program, group, listener);
  }

  /** Sends a request to the leader of a shard; `subject` is what the action is about. */
  requestShard(
    shard: ShardId,
    id: CallId,
    action: ProgramAction,
    subject: ProgramId | CallId,
    group: string,
    listener: (result: ProgramResult) => void,
  ): void {
    const { runtime, leaders } = this.options;
    const program = subject;
    const started = runtime.now();
    let cancelTimer: CancelTimer = () => undefined;
    const send = (): void => {
      const target = leaders.targetOf(shard);
      const message = { type: 'programRequest', shard, call: id, action, program, group } as const;
      this.options.send(target, message);
      cancelTimer();
      cancelTimer = runtime.setTimer(PROGRAM_RESEND_INTERVAL_MILLISECONDS, () => {
        leaders.suspect(shard, target);
        if (runtime.now() - started < PROGRAM_REQUEST_TIMEOUT_MILLISECONDS) {
          send();
        } else {
          this.finishProgramRequest(id, unavailableResult(action));
        }
      });
    };
    this.programRequests.set(id, { listener, send, cancel: () => cancelTimer() });
    send();
  }

  /** Takes an event of a call. */
  receiveEvent(from: NodeId, message: CallEventMessage): void {
    const pending = this.calls.get(message.call);
    if (pending === undefined) {
      return;
    }
    pending.owner = from;
    pending.lastContactAt = this.options.runtime.now();
    this.options.leaders.confirm(this.shardOf(pending), from);
    switch (message.event.type) {
      case 'piece':
        return this.receivePiece(pending, message.event);
      case 'answered':
        return this.receiveAnswer(pending, message.event);
      case 'failed':
        return this.finish(pending, adjustVerdict(pending, message.event));
    }
  }

  /** Takes word that the asked node does not lead the shard. */
  receiveNotLeader(from: NodeId, message: NotLeader): void {
    const { leaders, runtime } = this.options;
    leaders.learn(message.shard, message.hint, from);
    const pending = this.calls.get(message.call);
    const request = this.programRequests.get(message.call);
    const delayMilliseconds = message.hint === '' ? RETRY_DELAY_MILLISECONDS : 0;
    runtime.setTimer(delayMilliseconds, () => {
      if (pending !== undefined && this.calls.get(message.call) === pending) {
        pending.outstandingSends -= 1;
        this.sendToOwner(pending);
      }
      if (request !== undefined && this.programRequests.get(message.call) === request) {
        request.send();
      }
    });
  }

  /** Takes the answer to a program request. */
  receiveProgramReply(message: ProgramReply): void {
    this.finishProgramRequest(message.call, { status: message.status, body: message.body });
  }

  /** Takes an owner's answer to a probe. */
  receiveProbeReply(from: NodeId, message: CallProbeReply): void {
    const now = this.options.runtime.now();
    const unknown = new Set(message.unknown);
    for (const call of message.probed) {
      const pending = this.calls.get(call);
      if (pending?.owner !== from) {
        continue;
      }
      if (unknown.has(call)) {
        this.sendToOwner(pending);
      } else {
        pending.lastContactAt = now;
      }
    }
  }

  /** Probes the owners of all pending calls and leaves those that are silent; once a second. */
  probe(): void {
    const now = this.options.runtime.now();
    const byOwner = new Map<NodeId, CallId[]>();
    for (const pending of this.calls.values()) {
      if (now - pending.lastContactAt > OWNER_TIMEOUT_MILLISECONDS) {
        this.options.leaders.suspect(this.shardOf(pending), pending.owner);
        this.sendToOwner(pending);
        continue;
      }
      if (now - pending.lastContactAt < PROBE_INTERVAL_MILLISECONDS) {
        // Its stream shows that the owner knows it.
        continue;
      }
      const calls = byOwner.get(pending.owner) ?? [];
      calls.push(pending.request.call);
      byOwner.set(pending.owner, calls);
    }
    for (const [owner, calls] of byOwner) {
      this.options.send(owner, { type: 'callProbe', calls });
    }
  }

  private shardOf(pending: PendingCall): number {
    return shardOfProgram(this.options.map, pending.request.program);
  }

  private sendToOwner(pending: PendingCall): void {
    const shard = this.shardOf(pending);
    pending.owner = this.options.leaders.targetOf(shard);
    pending.lastContactAt = this.options.runtime.now();
    pending.outstandingSends += 1;
    const request = { ...pending.request, receivedText: pending.deliveredText };
    this.options.send(pending.owner, { type: 'submitCall', shard, request });
  }

  private receivePiece(pending: PendingCall, event: Extract<CallEvent, { type: 'piece' }>): void {
    if (!pending.streaming) {
      return;
    }
    const { deliveredText } = pending;
    if (event.offset > deliveredText.length) {
      // A piece before this one was lost: the owner is asked for the stream from here on.
      this.sendToOwner(pending);
      return;
    }
    const newText = event.text.slice(deliveredText.length - event.offset);
    if (newText === '') {
      return;
    }
    pending.deliveredText += newText;
    pending.listener({ type: 'piece', offset: deliveredText.length, text: newText });
  }

  private receiveAnswer(
    pending: PendingCall,
    event: Extract<CallEvent, { type: 'answered' }>,
  ): void {
    const { deliveredText } = pending;
    const { text, call } = event.answer;
    if (!text.startsWith(deliveredText)) {
      const detail = `The stream broke; the whole answer is at /v1/calls/${call}.`;
      this.finish(pending, {
        type: 'failed',
        error: { tag: 'BackEndFailed', verdict: 'Ran', detail, retryAfterSeconds: 0 },
      });
      return;
    }
    const remainingText = text.slice(deliveredText.length);
    if (pending.streaming && remainingText !== '') {
      pending.listener({ type: 'piece', offset: deliveredText.length, text: remainingText });
    }
    this.finish(pending, event);
  }

  private finish(pending: PendingCall, event: CallEvent): void {
    this.abandon(pending.request.call);
    pending.listener(event);
  }

  private failOnDeadline(pending: PendingCall): void {
    // The owner may have run it; only the owner could say that it did not.
    const detail = 'The call was not answered in time; ask again with the same sequence or key.';
    const error: CallError = { ...mayHaveRun('DeadlinePassed', detail), retryAfterSeconds: 1 };
    this.finish(pending, { type: 'failed', error });
  }

  private finishProgramRequest(id: CallId, result: ProgramResult): void {
    const pending = this.programRequests.get(id);
    if (pending === undefined) {
      return;
    }
    this.programRequests.delete(id);
    pending.cancel();
    pending.listener(result);
  }
}

/**
 * A refusal proves that a call did not run only when no other copy of it can still be on its way:
 * one that was sent twice may be taken by the owner that hears of it last.
 */
function adjustVerdict(
  pending: PendingCall,
  event: Extract<CallEvent, { type: 'failed' }>,
): CallEvent {
  if (event.error.verdict !== 'NotRun' || pending.outstandingSends <= 1) {
    return event;
  }
  return { type: 'failed', error: { ...event.error, verdict: 'MayHaveRun' } };
}

function unavailableResult(action: ProgramAction): ProgramResult {
  const detail = 'The program has no reachable owner at the moment.';
  const isReadOnly = action === 'describe' || action === 'history' || action === 'findCall';
  const error = isReadOnly ? notRun('Unavailable', detail, 2) : mayHaveRun('Unavailable', detail);
  return { status: 503, body: JSON.stringify({ error }) };
}
