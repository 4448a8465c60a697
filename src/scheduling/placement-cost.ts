/** Where a call is expected to finish first, counting what its coming costs the others. */
import type { CallTicket } from '../wire/messages.js';
import type { EngineView, PoolView } from './pool-view.js';

/** Calls an engine takes beyond its limit when they are urgent. */
export const URGENT_EXTRA_SLOTS = 2;
/** Part of an engine's memory that running calls may fill. */
const USABLE_CACHE_FRACTION = 0.95;
/** Chance that memory pushed out by a new prompt would have been used again. */
const EVICTED_REUSE_PROBABILITY = 0.5;

/** The best engine for a call and the time until it can start there. */
export interface EngineChoice {
  readonly engine: EngineView;
  /** 0 when it can start now. */
  readonly waitMilliseconds: number;
}

/** Tokens a call may come to occupy on its engine. */
export function peakCacheTokens(ticket: CallTicket): number {
  return ticket.promptTokens + ticket.maximumTokens;
}

/** True when the engine has a place for one more call, an urgent one if need be. */
export function hasFreeSlot(engine: EngineView, urgent: boolean): boolean {
  const limit = engine.concurrency + (urgent ? URGENT_EXTRA_SLOTS : 0);
  return engine.available && engine.running < limit;
}

/**
 * True when the engine's memory takes the call. One that would push out memory held for programs in
 * a pause waits: computing their prompts again costs more than the wait. An idle engine takes any.
 */
export function fitsInCache(pool: PoolView, engine: EngineView, ticket: CallTicket): boolean {
  if (engine.cacheTokens === 0 || engine.running === 0) {
    return true;
  }
  const usable = engine.cacheTokens * USABLE_CACHE_FRACTION;
  const withRunning = engine.runningTokens + peakCacheTokens(ticket);
  if (ticket.callClass === 'urgent') {
    return withRunning <= usable;
  }
  const ownHold = pool.directory.cachedTokens(engine.engine, ticket.prefixes);
  return withRunning + engine.heldTokens - ownHold <= usable;
}

/** True when the engine can take the call now. */
export function canStart(pool: PoolView, engine: EngineView, ticket: CallTicket): boolean {
  return hasFreeSlot(engine, ticket.callClass === 'urgent') && fitsInCache(pool, engine, ticket);
}

/** Prompt tokens that must be computed on the engine that holds most of the prompt. */
export function minimumUncachedTokens(pool: PoolView, ticket: CallTicket): number {
  const holders = ticket.prefixes.flatMap((prefix) => pool.directory.holders(prefix.name));
  const cached = holders.map((engine) => pool.directory.cachedTokens(engine, ticket.prefixes));
  return ticket.promptTokens - Math.max(0, ...cached);
}

/** Expected milliseconds until a full engine has a place, behind those who wait for it already. */
function expectedWaitMilliseconds(
  pool: PoolView,
  engine: EngineView,
  ticket: CallTicket,
  queued: number,
): number {
  const serviceTime = pool.costs.serviceMilliseconds(0, ticket.maximumTokens, engine.running);
  const slots = Math.max(1, engine.running);
  return (serviceTime * (queued + 1)) / slots;
}

function evictionCost(pool: PoolView, engine: EngineView, needed: number): number {
  const free = engine.cacheTokens - engine.runningTokens - engine.heldTokens;
  const evicted = Math.max(0, Math.min(engine.heldTokens, needed - free));
  return evicted * EVICTED_REUSE_PROBABILITY * pool.costs.prefillMillisecondsPerToken;
}

/**
 * Expected milliseconds from the start on an engine to the answer, and those by which the call
 * delays the others there: the sum over all programs is what counts.
 */
export function placementCost(pool: PoolView, engine: EngineView, ticket: CallTicket): number {
  const { costs, directory } = pool;
  const cached = directory.cachedTokens(engine.engine, ticket.prefixes);
  const uncached = ticket.promptTokens - cached;
  const { maximumTokens } = ticket;
  const serviceTime = costs.serviceMilliseconds(uncached, maximumTokens, engine.running);
  const prefillBacklog = engine.pendingPrefillTokens * costs.prefillMillisecondsPerToken;
  const batchDelay = costs.delayToConcurrentCalls(uncached, maximumTokens, engine.running);
  const output = costs.expectedOutputTokens(maximumTokens);
  return serviceTime + prefillBacklog + batchDelay + evictionCost(pool, engine, uncached + output);
}

/**
 * Picks the engine with the least expected time to the answer among those whose memory takes the
 * call; undefined when there is none.
 */
export function chooseEngine(
  pool: PoolView,
  ticket: CallTicket,
  affinityQueueLength: (engine: EngineView) => number,
): EngineChoice | undefined {
  let best: EngineChoice | undefined;
  let bestCost = Infinity;
  const avoid = pool.engines.length > 1 ? ticket.avoidEngine : '';
  for (const engine of pool.engines) {
    if (!engine.available || engine.engine === avoid || !fitsInCache(pool, engine, ticket)) {
      continue;
    }
    const slotFree = hasFreeSlot(engine, ticket.callClass === 'urgent');
    const queued = affinityQueueLength(engine);
    if (!slotFree && queued >= engine.concurrency) {
      continue;
    }
    const wait = slotFree ? 0 : Math.max(1, expectedWaitMilliseconds(pool, engine, ticket, queued));
    const cost = wait + placementCost(pool, engine, ticket);
    if (cost < bestCost) {
      bestCost = cost;
      best = { engine, waitMilliseconds: wait };
    }
  }
  return best;
}
