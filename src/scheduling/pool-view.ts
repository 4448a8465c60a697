/** What a policy sees of a pool of back ends, and what it decides. */
import type { EngineId, GroupName, ProgramId, ZoneName } from '../model/identifiers.js';
import type { Usage } from '../model/call.js';
import type { CallTicket, PromptPrefix } from '../wire/messages.js';
import type { CacheDirectory } from './cache-directory.js';
import type { CostModel } from './cost-model.js';

/** One back end as the scheduler believes it to be now. */
export interface EngineView {
  readonly engine: EngineId;
  readonly zone: ZoneName;
  /** Most calls at a time. */
  readonly concurrency: number;
  /** Prompt memory, in tokens; 0 for a tool. */
  readonly cacheTokens: number;
  /** Calls given and not finished. */
  running: number;
  /** Tokens those calls may come to occupy. */
  runningTokens: number;
  /** Prompt tokens given and probably not yet computed. */
  pendingPrefillTokens: number;
  /** Tokens held for pausing programs by our own orders. */
  heldTokens: number;
  /** False while it drains, has failed too often, or is gone. */
  available: boolean;
}

/** A pool of interchangeable back ends. */
export interface PoolView {
  readonly engines: readonly EngineView[];
  readonly engineByName: ReadonlyMap<EngineId, EngineView>;
  readonly directory: CacheDirectory;
  readonly costs: CostModel;
  /** Weight of a group. */
  readonly shareOf: (group: GroupName) => number;
}

/** A decision to start one call now. */
export interface Placement {
  readonly ticket: CallTicket;
  readonly engine: EngineView;
}

/** A call that has left its engine. */
export interface FinishedTurn {
  readonly ticket: CallTicket;
  readonly engine: EngineView;
  readonly usage: Usage;
  readonly serviceMilliseconds: number;
}

/** What to do with the prompt memory of a finished turn. */
export type HoldDecision =
  /** The engine's own cache decides. */
  | { readonly type: 'leave' }
  /** Keep it, at most this long; 0 gives it back now. */
  | { readonly type: 'hold'; readonly milliseconds: number };

/** A way of deciding what runs next and where. One instance serves one pool. */
export interface SchedulingPolicy {
  readonly name: string;
  /** Takes in a waiting call. */
  enqueue(ticket: CallTicket, now: number): void;
  /** Drops a waiting call. */
  remove(ticket: CallTicket): void;
  /** Picks a call that can start now and its engine; the call is then no longer waiting. */
  choose(pool: PoolView, now: number): Placement | undefined;
  /** Learns that a call has left its engine. */
  finished(pool: PoolView, turn: FinishedTurn, now: number): HoldDecision;
  /** Learns that a program is over. */
  programEnded(program: ProgramId): void;
  /** True when the memory of ended programs is to be given back by order. */
  readonly releasesMemory: boolean;
}

/** The prefix that a program's next turn will start with. */
export function programPrefix(ticket: CallTicket, usage: Usage): PromptPrefix {
  return { name: ticket.program, tokens: usage.promptTokens + usage.completionTokens };
}
