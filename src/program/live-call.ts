/** A call under way, as its owner holds it in memory; rebuilt from the log by the next owner. */
import type { EngineId, NodeId } from '../model/identifiers.js';
import type { CallRequest } from '../model/call.js';
import type { CancelRequest } from '../platform/back-end-port.js';
import type { CancelTimer } from '../runtime/runtime.js';

/** Where a live call stands. */
export type LiveCallPhase =
  /** Accepted; an earlier call of the program is under way. */
  | 'behind'
  /** In the pool scheduler's queue. */
  | 'waiting'
  /** Assigned; its intent is being committed. */
  | 'intending'
  /** Sent to an engine. */
  | 'running'
  /** Found intended by a new owner; its engine is being asked. */
  | 'recovering'
  /** Its result is being committed. */
  | 'ending';

/** One call under way. */
export interface LiveCall {
  readonly request: CallRequest;
  readonly sequence: number;
  phase: LiveCallPhase;
  /** Monotonic milliseconds at which this owner took it. */
  readonly addedAt: number;
  /** Gateways that want to hear of it. */
  readonly gateways: Set<NodeId>;
  engine: EngineId;
  avoidEngine: EngineId;
  attempts: number;
  /** True once some try of it, by this owner or an earlier one, may have run. */
  mayHaveRun: boolean;
  /** Text generated so far, including what an earlier owner sent. */
  text: string;
  startedAt: number;
  cancelRequest: CancelRequest | undefined;
  cancelDeadline: CancelTimer;
  /** Stops the wait for a gateway to attach, if one goes on. */
  endAttachWait: CancelTimer;
}

/** Makes a live call in its first phase. */
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
