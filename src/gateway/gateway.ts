/**
 * The gateway of one node: sends each call to the owner of its program's shard, relays the call's events
 * to the caller, and sends the call again when the owner has changed. Has no durable state.
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

/** Time between probes of shard owners, in milliseconds. */
export const PROBE_INTERVAL_MILLISECONDS = 1_000;
/** Time without a message from a shard owner after which the owner is considered lost, in milliseconds. */
const OWNER_TIMEOUT_MILLISECONDS = 2_700;
/** Delay before retrying on a shard without a known leader, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100;
/** Time added to a call's timeout so that the owner's final event can arrive, in milliseconds. */
const DEADLINE_GRACE_MILLISECONDS = 1_500;
/** Timeout of a program request, in milliseconds. */
const PROGRAM_REQUEST_TIMEOUT_MILLISECONDS = 8_000;
/** Time after which an unanswered program request is sent again, in milliseconds. */
const PROGRAM_RESEND_INTERVAL_MILLISECONDS = 700;

/** Dependencies of a gateway. */
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
  /** Text already delivered to the caller. */
  deliveredText: string;
  owner: NodeId;
  /** Number of times that the call was sent and not answered by `notLeader`. */
  outstandingSends: number;
  /** Time at which the call was last sent, or at which its owner last showed that it tracks the call. */
  lastContactAt: number;
  cancelDeadline: CancelTimer;
}

/** Result of a program request: an HTTP status and a JSON body. */
export interface ProgramResult {
  readonly status: number;
  readonly body: string;
}

interface PendingProgramRequest {
  readonly listener: (result: ProgramResult) => void;
  readonly send: () => void;
  readonly cancel: () => void;
}

/** Relays calls and program requests between this node's callers and the shard owners. */
export class Gateway {
  private readonly calls = new Map<CallId, PendingCall>();
  private readonly programRequests = new Map<CallId, PendingProgramRequest>();

  constructor(private readonly options: GatewayOptions) {}

  /** Number of calls and program requests whose callers are waiting. */
  get pendingCount(): number {
    return this.calls.size + this.programRequests.size;
  }

  /** Sends a call to its owner; the listener gets pieces (when streaming) and one final event. */
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

  /** Stops relaying a call whose caller has disconnected; the call itself continues. */
  abandon(call: CallId): void {
    const pending = this.calls.get(call);
    if (pending !== undefined) {
      this.calls.delete(call);
      pending.cancelDeadline();
    }
  }

  /** Reads or changes a program through its shard's leader. `group` is empty for an operator. */
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

  /** Sends a request to a shard's leader; `subject` is the program or the call that it concerns. */
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

  /** Handles an event of a call. */
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

  /** Handles a `notLeader` reply: sends the request again, after a delay if no leader is known. */
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

  /** Handles the reply to a program request. */
  receiveProgramReply(message: ProgramReply): void {
    this.finishProgramRequest(message.call, { status: message.status, body: message.body });
  }

  /** Handles an owner's reply to a probe. */
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

  /** Probes the owners of pending calls and sends calls of lost owners again; run once a second. */
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
        // A recent event shows that the owner tracks the call.
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
      // An earlier piece was lost: the call is sent again to get the stream from the delivered text on.
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
    // Only the owner could rule out that the call has run.
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
 * Changes the verdict `NotRun` to `MayHaveRun` if the call was sent more than once: another copy may
 * still be in flight, and the owner that receives it may run the call.
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
