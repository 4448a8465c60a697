/** The port to model engines and tool services, implemented over HTTP and by an in-process simulation. */
import type { CallId, EngineId, ProgramId, ServiceName, ShardId } from '../model/identifiers.js';
import type { ChatMessage } from '../model/chat.js';
import type { Usage } from '../model/call.js';
import type { Verdict } from '../model/verdict.js';

/** Fencing token of a request: a back end refuses requests of a lower term of the same shard. */
export interface Fence {
  readonly shard: ShardId;
  readonly term: number;
}

/** A model call or tool call to be run by a back end. */
export interface BackEndRequest {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly service: ServiceName;
  readonly fence: Fence;
  /** The whole conversation, for a model; empty for a tool. */
  readonly messages: readonly ChatMessage[];
  /** Body of a tool call; empty for a model. */
  readonly payload: string;
  /** Text that the caller has already received; the answer continues after it. */
  readonly continueText: string;
  readonly maximumTokens: number;
  /** A lower value runs first. */
  readonly priority: number;
  /** True for the program's last call, whose prompt cache need not be kept after the answer. */
  readonly lastOfProgram: boolean;
}

/** Events of one request: any number of pieces, then exactly one `finished` or `failed`. */
export type BackEndEvent =
  | { readonly type: 'piece'; readonly offset: number; readonly text: string }
  | { readonly type: 'finished'; readonly text: string; readonly usage: Usage }
  | { readonly type: 'failed'; readonly verdict: Verdict; readonly detail: string };

/** Receives the events of one request. */
export type BackEndListener = (event: BackEndEvent) => void;

/** Cancels a request; its listener receives no further events. */
export type CancelRequest = () => void;

/** Load and cache state that a back end reports; lags by a second or more. */
export interface BackEndReport {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
  readonly cacheCapacityTokens: number;
  /** Programs whose prompt cache is pinned by `hold`, with their tokens. */
  readonly held: readonly HeldProgram[];
  /** Programs whose cached prompts were evicted since the last report; may be incomplete. */
  readonly evictedPrograms: readonly ProgramId[];
  /** True when the back end did not answer the request for its report. */
  readonly unreachable: boolean;
}

/** The report of a back end that did not answer. */
export const UNREACHABLE_REPORT: BackEndReport = {
  running: 0,
  waiting: 0,
  cachedTokens: 0,
  cacheCapacityTokens: 0,
  held: [],
  evictedPrograms: [],
  unreachable: true,
};

/** Prompt cache pinned for a program by `hold`. */
export interface HeldProgram {
  readonly program: ProgramId;
  readonly tokens: number;
}

/** Operations on back ends. */
export interface BackEndPort {
  /** Sends a request to a back end and streams its events to the listener. */
  start(engine: EngineId, request: BackEndRequest, listener: BackEndListener): CancelRequest;
  /**
   * Reads the stream of a request sent earlier, from its start, and raises the fence, so that the
   * back end refuses a request of an earlier term that is still in transit. Fails with
   * `MayHaveRun` when the back end does not know the request, since it may have forgotten it.
   */
  resume(engine: EngineId, call: CallId, fence: Fence, listener: BackEndListener): CancelRequest;
  /** Cancels a request, whichever node sent it. */
  cancel(engine: EngineId, call: CallId): void;
  /** Pins a program's prompt cache for at most the given time; 0 releases it at once. */
  hold(engine: EngineId, program: ProgramId, milliseconds: number, fence: Fence): void;
  /** Fetches a report; the listener gets `UNREACHABLE_REPORT` when the back end does not answer. */
  report(engine: EngineId, listener: (report: BackEndReport) => void): void;
}
