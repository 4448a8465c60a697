/** The port to model engines and tool services. One adapter speaks HTTP; a stand-in is in-process. */
import type { CallId, EngineId, ProgramId, ServiceName, ShardId } from '../model/identifiers.js';
import type { ChatMessage } from '../model/chat.js';
import type { Usage } from '../model/call.js';
import type { Verdict } from '../model/verdict.js';

/** Who gives an order; a back end refuses orders of a lower term of the same shard. */
export interface Fence {
  readonly shard: ShardId;
  readonly term: number;
}

/** Work for a back end. */
export interface BackEndRequest {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly service: ServiceName;
  readonly fence: Fence;
  /** The whole conversation, for a model; empty for a tool. */
  readonly messages: readonly ChatMessage[];
  /** Body of a tool call; empty for a model. */
  readonly payload: string;
  /** Text already sent to the caller, which the answer must continue. */
  readonly continueText: string;
  readonly maximumTokens: number;
  /** Lower runs first. */
  readonly priority: number;
  /** True when the prompt's memory is not worth keeping after the answer. */
  readonly lastOfProgram: boolean;
}

/** What a back end tells about an order, in order: pieces, then one end. */
export type BackEndEvent =
  | { readonly type: 'piece'; readonly offset: number; readonly text: string }
  | { readonly type: 'finished'; readonly text: string; readonly usage: Usage }
  | { readonly type: 'failed'; readonly verdict: Verdict; readonly detail: string };

/** Receives the events of one order. */
export type BackEndListener = (event: BackEndEvent) => void;

/** Stops an order; its listener hears nothing more. */
export type CancelRequest = () => void;

/** What a back end reports of itself; lags behind by a second or more. */
export interface BackEndReport {
  readonly running: number;
  readonly waiting: number;
  readonly cachedTokens: number;
  readonly cacheCapacityTokens: number;
  /** Programs whose prompt memory is held on request, with their tokens. */
  readonly held: readonly HeldProgram[];
  /** Prefixes dropped since the last report; with gaps. */
  readonly evictedPrograms: readonly ProgramId[];
  /** True when nothing answered at the back end's address. */
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

/** Prompt memory kept for a program on request. */
export interface HeldProgram {
  readonly program: ProgramId;
  readonly tokens: number;
}

/** Everything the system asks of back ends. */
export interface BackEndPort {
  /** Runs an order. */
  start(engine: EngineId, request: BackEndRequest, listener: BackEndListener): CancelRequest;
  /**
   * Takes up the stream of an order given earlier, from its start, and raises the fence, so that
   * an order of an earlier term that is still on its way will be refused. Fails with `MayHaveRun`
   * when the back end does not know the order: it may have forgotten it.
   */
  resume(engine: EngineId, call: CallId, fence: Fence, listener: BackEndListener): CancelRequest;
  /** Stops an order given earlier by anyone. */
  cancel(engine: EngineId, call: CallId): void;
  /** Keeps a program's prompt memory for at most the given time; 0 gives it back at once. */
  hold(engine: EngineId, program: ProgramId, milliseconds: number, fence: Fence): void;
  /** Asks for a report. */
  report(engine: EngineId, listener: (report: BackEndReport) => void): void;
}
