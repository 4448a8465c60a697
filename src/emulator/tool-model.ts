/** An emulated runner of a tool service, with slow, hanging and failing calls. */
import type { CallId } from '../model/identifiers.js';
import { countTextTokens } from '../model/chat.js';
import type { Usage } from '../model/call.js';
import type {
  BackEndListener,
  BackEndRequest,
  BackEndReport,
  Fence,
} from '../platform/back-end-port.js';
import type { Runtime } from '../runtime/runtime.js';
import { expectedToolResult } from './answer-text.js';
import { FenceGuard } from './emulated-back-end.js';
import type { BackEndTotals, EmulatedBackEnd, Execution } from './emulated-back-end.js';

/** Durations and failure rates of an emulated tool. */
export interface ToolModelOptions {
  readonly name: string;
  /** Median duration of a call. @default 60 */
  readonly medianMilliseconds?: number;
  /** Fraction of the calls that are never answered. @default 0 */
  readonly hangRate?: number;
  /** Fraction of the calls that fail after they ran. @default 0 */
  readonly failureRate?: number;
}

interface ToolRun {
  listener: BackEndListener;
}

interface ToolResult {
  readonly text: string;
  readonly usage: Usage;
}

const DURATION_SIGMA = 0.5;

/** A tool runner that records every execution, so that checkers can find repeated effects. */
export class ToolModel implements EmulatedBackEnd {
  readonly name: string;
  readonly executions: Execution[] = [];
  /** While true, new calls are never answered. */
  hanging = false;
  private fences = new FenceGuard();
  private readonly running = new Map<CallId, ToolRun>();
  private readonly results = new Map<CallId, ToolResult>();
  private up = true;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: ToolModelOptions,
  ) {
    this.name = options.name;
  }

  get isUp(): boolean {
    return this.up;
  }

  start(request: BackEndRequest, listener: BackEndListener): void {
    if (!this.up || !this.fences.admit(request.fence)) {
      const detail = this.up ? 'stale order: a newer term is known' : 'connection refused';
      listener({ type: 'failed', verdict: 'NotRun', detail });
      return;
    }
    if (this.running.has(request.call) || this.results.has(request.call)) {
      this.resume(request.call, request.fence, listener);
      return;
    }
    const { call, program, service, payload } = request;
    this.executions.push({ call, program, service, engine: this.name, at: this.runtime.now() });
    const run: ToolRun = { listener };
    this.running.set(call, run);
    const { random } = this.runtime;
    if (this.hanging || random.uniform() < (this.options.hangRate ?? 0)) {
      return;
    }
    const median = this.options.medianMilliseconds ?? 60;
    this.runtime.setTimer(random.logNormal(median, DURATION_SIGMA), () =>
      this.finish(call, run, payload),
    );
  }

  resume(call: CallId, fence: Fence, listener: BackEndListener): void {
    if (!this.up || !this.fences.admit(fence)) {
      listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'not reachable' });
      return;
    }
    const result = this.results.get(call);
    const run = this.running.get(call);
    if (result !== undefined) {
      listener({ type: 'finished', ...result });
    } else if (run !== undefined) {
      run.listener = listener;
    } else {
      listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'the order is not known here' });
    }
  }

  cancel(call: CallId): void {
    this.running.delete(call);
  }

  hold(): void {
    // A tool has no prompt cache.
  }

  report(): BackEndReport {
    return {
      running: this.running.size,
      waiting: 0,
      cachedTokens: 0,
      cacheCapacityTokens: 0,
      held: [],
      evictedPrograms: [],
      unreachable: !this.up,
    };
  }

  crash(): void {
    this.up = false;
    const lost = [...this.running.values()];
    this.running.clear();
    this.results.clear();
    this.fences = new FenceGuard();
    for (const run of lost) {
      run.listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'connection lost' });
    }
  }

  restart(): void {
    this.up = true;
  }

  stop(): void {
    this.up = false;
  }

  totals(): BackEndTotals {
    const idleMemory = { idle: 0, neverReused: 0, unusedStretches: 0 };
    return {
      prefillTokens: 0,
      cachedTokens: 0,
      generatedTokens: 0,
      busyMilliseconds: 0,
      idleMemory,
    };
  }

  private finish(call: CallId, run: ToolRun, payload: string): void {
    if (this.running.get(call) !== run) {
      return;
    }
    this.running.delete(call);
    if (this.runtime.random.uniform() < (this.options.failureRate ?? 0)) {
      run.listener({ type: 'failed', verdict: 'Ran', detail: 'the tool failed after it ran' });
      return;
    }
    const text = expectedToolResult(payload);
    const usage = {
      promptTokens: countTextTokens(payload),
      cachedTokens: 0,
      completionTokens: countTextTokens(text),
    };
    this.results.set(call, { text, usage });
    run.listener({ type: 'finished', text, usage });
  }
}
