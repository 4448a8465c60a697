/** The interface between pool schedulers and scheduling policies. */
import type { EngineId, GroupName, ProgramId, ZoneName } from '../model/identifiers.js';
import type { Usage } from '../model/call.js';
import type { CallTicket, PromptPrefix } from '../wire/messages.js';
import type { CacheDirectory } from './cache-directory.js';
import type { CostModel } from './cost-model.js';

/** The scheduler's current view of one engine. */
export interface EngineView {
  readonly engine: EngineId;
  readonly zone: ZoneName;
  /** Maximum number of calls that run at the same time. */
  readonly concurrency: number;
  /** Capacity of the prompt cache, in tokens; 0 for a tool service. */
  readonly cacheTokens: number;
  /** Number of calls assigned and not finished. */
  running: number;
  /** Upper bound of the tokens that these calls occupy in the prompt cache. */
  runningTokens: number;
  /** Uncached prompt tokens of assigned calls whose prefill is not expected to be complete. */
  pendingPrefillTokens: number;
  /** Tokens of prompts held for programs between turns. */
  heldTokens: number;
  /** False while the engine is draining or ejected after failures. */
  available: boolean;
}

/** A pool of interchangeable engines. */
export interface PoolView {
  readonly engines: readonly EngineView[];
  readonly engineByName: ReadonlyMap<EngineId, EngineView>;
  readonly directory: CacheDirectory;
  readonly costs: CostModel;
  /** Returns the fair-share weight of a group. */
  readonly shareOf: (group: GroupName) => number;
}

/** A decision to start a call on an engine now. */
export interface Placement {
  readonly ticket: CallTicket;
  readonly engine: EngineView;
}

/** A call that was answered by its engine. */
export interface FinishedTurn {
  readonly ticket: CallTicket;
  readonly engine: EngineView;
  readonly usage: Usage;
  readonly serviceMilliseconds: number;
}

/** What to do with the prompt of a finished turn in the engine's cache. */
export type HoldDecision =
  /** Leave it to the engine's own eviction. */
  | { readonly type: 'leave' }
  /** Hold it for at most this time; 0 releases it at once. */
  | { readonly type: 'hold'; readonly milliseconds: number };

/** Decides which call runs next and on which engine. Each pool has its own instance. */
export interface SchedulingPolicy {
  readonly name: string;
  /** Adds a waiting call. */
  enqueue(ticket: CallTicket, now: number): void;
  /** Removes a waiting call. */
  remove(ticket: CallTicket): void;
  /** Chooses a call that can start now and its engine, and removes the call from the queue. */
  choose(pool: PoolView, now: number): Placement | undefined;
  /** Called when a call is answered; decides how long its prompt is held. */
  finished(pool: PoolView, turn: FinishedTurn, now: number): HoldDecision;
  /** Called when a program has ended. */
  programEnded(program: ProgramId): void;
  /** True if the scheduler should release the cached prompts of ended programs. */
  readonly releasesMemory: boolean;
}

/** Returns the prefix that the program's next turn starts with: this turn's prompt and answer. */
export function programPrefix(ticket: CallTicket, usage: Usage): PromptPrefix {
  return { name: ticket.program, tokens: usage.promptTokens + usage.completionTokens };
}
