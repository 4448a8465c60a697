/** What every emulated back end offers, in process; HTTP and the simulation are put around it. */
import type { CallId, ProgramId, ServiceName } from '../model/identifiers.js';
import type {
  BackEndListener,
  BackEndRequest,
  BackEndReport,
  Fence,
} from '../platform/back-end-port.js';
import type { IdleMemory } from './prefix-cache.js';

/** One order that began to run, as checkers see it. */
export interface Execution {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly service: ServiceName;
  readonly engine: string;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/** Totals of one back end, for reports. */
export interface BackEndTotals {
  readonly prefillTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly busyMilliseconds: number;
  readonly idleMemory: IdleMemory;
}

/** An emulated back end. */
export interface EmulatedBackEnd {
  readonly name: string;
  start(request: BackEndRequest, listener: BackEndListener): void;
  resume(call: CallId, fence: Fence, listener: BackEndListener): void;
  cancel(call: CallId): void;
  hold(program: ProgramId, milliseconds: number, fence: Fence): void;
  report(): BackEndReport;
  /** Loses all work and memory; streams break. */
  crash(): void;
  /** Comes back empty. */
  restart(): void;
  /** Ends it for good, with its timers. */
  stop(): void;
  readonly isUp: boolean;
  readonly executions: readonly Execution[];
  totals(): BackEndTotals;
}

/** Terms seen of each shard; an order of a lower term is stale. */
export class FenceGuard {
  private readonly terms = new Map<number, number>();

  /** Raises the fence; false when the order is stale. */
  admit(fence: Fence): boolean {
    const highestTerm = this.terms.get(fence.shard) ?? 0;
    if (fence.term < highestTerm) {
      return false;
    }
    this.terms.set(fence.shard, fence.term);
    return true;
  }
}
