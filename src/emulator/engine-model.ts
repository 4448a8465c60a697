/**
 * An emulated model engine: continuous batching with chunked prefill, a prompt cache with holds,
 * priorities, resumable streams, fenced requests, and reports that lag and miss events.
 */
import type { CallId, ProgramId } from '../model/identifiers.js';
import {
  chainDigest,
  CHARACTERS_PER_TOKEN,
  countMessageTokens,
  countTextTokens,
  digestConversation,
  EMPTY_HISTORY_DIGEST,
} from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import type { Usage } from '../model/call.js';
import type {
  BackEndListener,
  BackEndRequest,
  BackEndReport,
  Fence,
} from '../platform/back-end-port.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { answerLength, answerText } from './answer-text.js';
import { FenceGuard } from './emulated-back-end.js';
import type { BackEndTotals, EmulatedBackEnd, Execution } from './emulated-back-end.js';
import { PrefixCache } from './prefix-cache.js';
import type { CacheLease, PrefixLink } from './prefix-cache.js';

/** Performance and limits of an emulated engine. */
export interface EngineModelOptions {
  readonly name: string;
  /** Prefill throughput. @default 12000 */
  readonly prefillTokensPerSecond?: number;
  /** Fixed duration of a decoding step. @default 8 */
  readonly stepMilliseconds?: number;
  /** Duration that each decoding sequence adds to a step. @default 0.35 */
  readonly sequenceMilliseconds?: number;
  /** Capacity of the cache for prompts and answers, in tokens. @default 120000 */
  readonly cacheTokens?: number;
  /** Maximum number of sequences in the batch. @default 32 */
  readonly maximumBatch?: number;
  /** Maximum number of prompt tokens computed in one step. @default 2048 */
  readonly chunkTokens?: number;
  /** Maximum number of decoding steps emulated as one event, while no prefill is due. @default 4 */
  readonly stepsPerEvent?: number;
  /** Interval between the snapshots that reports return. @default 1000 */
  readonly reportLagMilliseconds?: number;
  /** Fraction of the eviction events missing from reports. @default 0.1 */
  readonly eventLoss?: number;
}

interface Sequence {
  readonly request: BackEndRequest;
  readonly chain: readonly PrefixLink[];
  readonly digest: string;
  readonly answer: string;
  listener: BackEndListener | undefined;
  lease: CacheLease | undefined;
  /** Number of prompt tokens not yet computed. */
  prefillLeft: number;
  promptTokens: number;
  sentCharacters: number;
  readonly arrivedAt: number;
}

interface FinishedSequence {
  readonly text: string;
  readonly usage: Usage;
  readonly at: number;
}

/** Time for which a finished answer can be resumed after its stream broke. */
const FINISHED_RETENTION_MILLISECONDS = 60_000;

/** An emulated model engine that runs on a `Runtime`, in real or virtual time. */
export class EngineModel implements EmulatedBackEnd {
  readonly name: string;
  readonly executions: Execution[] = [];
  private readonly cache: PrefixCache;
  private fences = new FenceGuard();
  private waiting: Sequence[] = [];
  private batch: Sequence[] = [];
  private readonly sequencesByCall = new Map<CallId, Sequence>();
  private readonly finished = new Map<CallId, FinishedSequence>();
  private stepping = false;
  private up = true;
  private generation = 0;
  private snapshot: BackEndReport;
  private readonly cancelReports: CancelTimer;
  private prefillTokens = 0;
  private cachedTokens = 0;
  private generatedTokens = 0;
  private busyMilliseconds = 0;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: EngineModelOptions,
  ) {
    this.name = options.name;
    this.cache = new PrefixCache(this.capacity, () => runtime.now());
    this.snapshot = this.takeSnapshot();
    const lag = options.reportLagMilliseconds ?? 1_000;
    this.cancelReports = setRepeatingTimer(runtime, lag, () => {
      this.cache.expireHolds();
      this.snapshot = this.takeSnapshot();
    });
  }

  get isUp(): boolean {
    return this.up;
  }

  private get capacity(): number {
    return this.options.cacheTokens ?? 120_000;
  }

  start(request: BackEndRequest, listener: BackEndListener): void {
    if (!this.up) {
      listener({ type: 'failed', verdict: 'NotRun', detail: 'connection refused' });
      return;
    }
    if (!this.fences.admit(request.fence)) {
      listener({ type: 'failed', verdict: 'NotRun', detail: 'stale order: a newer term is known' });
      return;
    }
    if (this.sequencesByCall.has(request.call) || this.finished.has(request.call)) {
      this.resume(request.call, request.fence, listener);
      return;
    }
    const sequence = this.createSequence(request, listener);
    if (sequence.promptTokens + request.maximumTokens > this.capacity) {
      listener({ type: 'failed', verdict: 'NotRun', detail: 'the prompt exceeds the memory' });
      return;
    }
    const { call, program, service } = request;
    this.executions.push({ call, program, service, engine: this.name, at: this.runtime.now() });
    this.sequencesByCall.set(call, sequence);
    this.waiting.push(sequence);
    this.waiting.sort(
      (left, right) =>
        left.request.priority - right.request.priority || left.arrivedAt - right.arrivedAt,
    );
    this.step();
  }

  resume(call: CallId, fence: Fence, listener: BackEndListener): void {
    if (!this.up) {
      listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'connection refused' });
      return;
    }
    if (!this.fences.admit(fence)) {
      listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'stale order' });
      return;
    }
    const finishedSequence = this.finished.get(call);
    if (finishedSequence !== undefined) {
      listener({ type: 'piece', offset: 0, text: finishedSequence.text });
      listener({ type: 'finished', text: finishedSequence.text, usage: finishedSequence.usage });
      return;
    }
    const sequence = this.sequencesByCall.get(call);
    if (sequence === undefined) {
      listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'the order is not known here' });
      return;
    }
    sequence.listener = listener;
    const text = sequence.answer.slice(0, sequence.sentCharacters);
    if (text !== '') {
      listener({ type: 'piece', offset: 0, text });
    }
  }

  cancel(call: CallId): void {
    const sequence = this.sequencesByCall.get(call);
    if (sequence === undefined) {
      return;
    }
    this.sequencesByCall.delete(call);
    this.waiting = this.waiting.filter((other) => other !== sequence);
    this.batch = this.batch.filter((other) => other !== sequence);
    this.endLease(sequence);
  }

  hold(program: ProgramId, milliseconds: number, fence: Fence): void {
    if (this.up && this.fences.admit(fence)) {
      this.cache.hold(program, milliseconds);
    }
  }

  report(): BackEndReport {
    const report = this.snapshot;
    this.snapshot = { ...report, evictedPrograms: [] };
    return report;
  }

  crash(): void {
    this.up = false;
    this.generation += 1;
    this.stepping = false;
    const lostSequences = [...this.sequencesByCall.values()];
    this.sequencesByCall.clear();
    this.finished.clear();
    this.waiting = [];
    this.batch = [];
    this.cache.clear();
    this.fences = new FenceGuard();
    for (const sequence of lostSequences) {
      sequence.listener?.({ type: 'failed', verdict: 'MayHaveRun', detail: 'connection lost' });
    }
  }

  restart(): void {
    this.up = true;
    this.snapshot = this.takeSnapshot();
  }

  stop(): void {
    this.cancelReports();
    this.generation += 1;
    this.up = false;
  }

  totals(): BackEndTotals {
    return {
      prefillTokens: this.prefillTokens,
      cachedTokens: this.cachedTokens,
      generatedTokens: this.generatedTokens,
      busyMilliseconds: this.busyMilliseconds,
      idleMemory: this.cache.measureIdleMemory(),
    };
  }

  private createSequence(request: BackEndRequest, listener: BackEndListener): Sequence {
    const chain = chainOf(request.messages);
    const promptTokens = chain.reduce((sum, link) => sum + link.tokens, 0);
    const digest = digestConversation(request.messages);
    const length = answerLength(request.messages, request.maximumTokens);
    return {
      request,
      chain,
      digest,
      answer: answerText(digest, length),
      listener,
      lease: undefined,
      prefillLeft: 0,
      promptTokens,
      sentCharacters: request.continueText.length,
      arrivedAt: this.runtime.now(),
    };
  }

  private takeSnapshot(): BackEndReport {
    const loss = this.options.eventLoss ?? 0.1;
    const evicted = this.cache.drainEvicted().filter(() => this.runtime.random.uniform() >= loss);
    return {
      running: this.batch.length,
      waiting: this.waiting.length,
      cachedTokens: this.cache.tokens,
      cacheCapacityTokens: this.capacity,
      held: this.cache.listHeld(),
      evictedPrograms: [...new Set(evicted)],
      unreachable: false,
    };
  }

  private admit(): void {
    const maximumBatch = this.options.maximumBatch ?? 32;
    while (this.waiting.length > 0 && this.batch.length < maximumBatch) {
      const sequence = this.waiting[0]!;
      const lease = this.cache.acquire(sequence.request.program, sequence.chain);
      if (lease === undefined) {
        return;
      }
      sequence.lease = lease;
      const continuedTokens = countTextTokens(sequence.request.continueText);
      sequence.prefillLeft = sequence.promptTokens - lease.cachedTokens + continuedTokens;
      this.prefillTokens += sequence.prefillLeft;
      this.cachedTokens += lease.cachedTokens;
      this.waiting.shift();
      this.batch.push(sequence);
    }
  }

  private step(): void {
    if (this.stepping || !this.up) {
      return;
    }
    this.admit();
    if (this.batch.length === 0) {
      return;
    }
    this.stepping = true;
    const prefilled = this.planPrefill();
    const decoding = this.batch.filter((sequence) => sequence.prefillLeft <= 0);
    const steps = prefilled > 0 ? 1 : this.plannedSteps(decoding);
    const duration = this.stepDuration(prefilled, decoding.length, steps);
    const { generation } = this;
    this.busyMilliseconds += duration;
    this.runtime.setTimer(duration, () => {
      if (generation !== this.generation) {
        return;
      }
      this.stepping = false;
      decoding.forEach((sequence) => this.generate(sequence, steps));
      this.step();
    });
  }

  /** Distributes the step's prefill budget by priority; returns the number of tokens computed. */
  private planPrefill(): number {
    let budget = this.options.chunkTokens ?? 2_048;
    const fullBudget = budget;
    const pending = this.batch.filter((sequence) => sequence.prefillLeft > 0);
    pending.sort((left, right) => left.request.priority - right.request.priority);
    for (const sequence of pending) {
      const tokens = Math.min(budget, sequence.prefillLeft);
      sequence.prefillLeft -= tokens;
      budget -= tokens;
      if (budget <= 0) {
        break;
      }
    }
    return fullBudget - budget;
  }

  private plannedSteps(decoding: readonly Sequence[]): number {
    const maximumSteps = this.options.stepsPerEvent ?? 4;
    const remainingTokens = decoding.map((sequence) =>
      Math.ceil((sequence.answer.length - sequence.sentCharacters) / CHARACTERS_PER_TOKEN),
    );
    return Math.max(1, Math.min(maximumSteps, ...remainingTokens));
  }

  private stepDuration(prefilled: number, decoding: number, steps: number): number {
    const base = this.options.stepMilliseconds ?? 8;
    const perSequence = this.options.sequenceMilliseconds ?? 0.35;
    const rate = this.options.prefillTokensPerSecond ?? 12_000;
    return (prefilled / rate) * 1_000 + steps * (base + perSequence * decoding);
  }

  private generate(sequence: Sequence, tokens: number): void {
    if (this.sequencesByCall.get(sequence.request.call) !== sequence) {
      return;
    }
    const offset = sequence.sentCharacters;
    const text = sequence.answer.slice(offset, offset + tokens * CHARACTERS_PER_TOKEN);
    sequence.sentCharacters += text.length;
    this.generatedTokens += countTextTokens(text);
    if (text !== '') {
      sequence.listener?.({ type: 'piece', offset, text });
    }
    if (sequence.sentCharacters >= sequence.answer.length) {
      this.finish(sequence);
    }
  }

  private finish(sequence: Sequence): void {
    const { request, answer, lease } = sequence;
    this.sequencesByCall.delete(request.call);
    this.batch = this.batch.filter((other) => other !== sequence);
    const message: ChatMessage = { role: 'assistant', content: answer };
    const usage: Usage = {
      promptTokens: sequence.promptTokens,
      cachedTokens: lease?.cachedTokens ?? 0,
      completionTokens: countTextTokens(answer),
    };
    if (lease !== undefined) {
      const digest = chainDigest(sequence.digest, message);
      this.cache.extend(lease, { digest, tokens: countMessageTokens(message) });
    }
    this.endLease(sequence);
    const at = this.runtime.now();
    this.finished.set(request.call, { text: answer, usage, at });
    this.expireFinished(at);
    sequence.listener?.({ type: 'finished', text: answer, usage });
  }

  private endLease(sequence: Sequence): void {
    if (sequence.lease !== undefined) {
      this.cache.release(sequence.lease);
      sequence.lease = undefined;
    }
  }

  private expireFinished(now: number): void {
    for (const [call, answer] of this.finished) {
      if (now - answer.at < FINISHED_RETENTION_MILLISECONDS) {
        return;
      }
      this.finished.delete(call);
    }
  }
}

function chainOf(messages: readonly ChatMessage[]): PrefixLink[] {
  let digest = EMPTY_HISTORY_DIGEST;
  return messages.map((message) => {
    digest = chainDigest(digest, message);
    return { digest, tokens: countMessageTokens(message) };
  });
}
