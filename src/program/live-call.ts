/** In-memory state of a call in progress at its owner; rebuilt from the log after failover. */
import type { EngineId, NodeId } from '../model/identifiers.js';
import type { CallRequest } from '../model/call.js';
import type { CancelRequest } from '../platform/back-end-port.js';
import type { CancelTimer } from '../runtime/runtime.js';

/** Phases of a live call. */
export type LiveCallPhase =
  /** Accepted, but not yet queued: an earlier call of the program is in progress. */
  | 'behind'
  /** In the pool scheduler's queue. */
  | 'waiting'
  /** Assigned to an engine; the intent is being committed. */
  | 'intending'
  /** Sent to an engine. */
  | 'running'
  /** Taken over by a new owner with a committed intent; the engine is asked for its result. */
  | 'recovering'
  /** The result, or the withdrawal of the intent, is being committed. */
  | 'ending';

/** A call in progress. */
export interface LiveCall {
  readonly request: CallRequest;
  readonly sequence: number;
  phase: LiveCallPhase;
  /** Monotonic time in milliseconds at which this owner started tracking the call. */
  readonly addedAt: number;
  /** Gateways that receive the call's events. */
  readonly gateways: Set<NodeId>;
  /** Engine of the current or latest attempt; empty while the call waits for one. */
  engine: EngineId;
  /** Engine of the latest failed attempt, or empty. */
  avoidEngine: EngineId;
  attempts: number;
  /** True if some attempt, by this owner or an earlier one, may have run. */
  mayHaveRun: boolean;
  /** Text generated so far, including text sent by an earlier owner. */
  text: string;
  /** Monotonic time in milliseconds at which the current attempt started. */
  startedAt: number;
  cancelRequest: CancelRequest | undefined;
  cancelDeadline: CancelTimer;
  /** Ends the wait for a gateway to attach and reruns the call, if such a wait is in progress. */
  endAttachWait: CancelTimer;
}

/** Creates a live call in phase `behind`. */
export function createLiveCall(request: CallRequest, now: number): LiveCall {
  return {
    request,
    sequence: request.sequence,
    phase: 'behind',
    addedAt: now,
    gateways: new Set(),
    engine: '',
    avoidEngine: '',
    attempts: 0,
    mayHaveRun: false,
    text: '',
    startedAt: 0,
    cancelRequest: undefined,
    cancelDeadline: () => undefined,
    endAttachWait: () => undefined,
  };
}
