/** The in-process interface of emulated back ends, used by the HTTP server and the simulation. */
import type { CallId, ProgramId, ServiceName } from '../model/identifiers.js';
import type {
  BackEndListener,
  BackEndRequest,
  BackEndReport,
  Fence,
} from '../platform/back-end-port.js';
import type { IdleMemory } from './prefix-cache.js';

/** A request that started to run, recorded for checkers. */
export interface Execution {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly service: ServiceName;
  readonly engine: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Cumulative totals of one back end. */
export interface BackEndTotals {
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly busyMilliseconds: number;
  readonly idleMemory: IdleMemory;
}

/** An emulated back end, with the operations of `BackEndPort` for one engine. */
export interface EmulatedBackEnd {
  readonly name: string;
  start(request: BackEndRequest, listener: BackEndListener): void;
  resume(call: CallId, fence: Fence, listener: BackEndListener): void;
  cancel(call: CallId): void;
  hold(program: ProgramId, milliseconds: number, fence: Fence): void;
  report(): BackEndReport;
  /** Drops all requests and cached prompts and fails open streams. */
  crash(): void;
  /** Accepts requests again after a crash, without any earlier state. */
  restart(): void;
  /** Shuts the back end down for good and cancels its timers. */
  stop(): void;
  readonly isUp: boolean;
  readonly executions: readonly Execution[];
  totals(): BackEndTotals;
}

/** The highest term seen of each shard; requests of a lower term are stale. */
export class FenceGuard {
  private readonly terms = new Map<number, number>();

  /** Records the fence's term; returns false when the request is stale. */
  admit(fence: Fence): boolean {
    const highestTerm = this.terms.get(fence.shard) ?? 0;
    if (fence.term < highestTerm) {
      return false;
    }
    this.terms.set(fence.shard, fence.term);
    return true;
  }
}
