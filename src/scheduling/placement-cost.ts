/** Chooses the engine for a call by its expected completion time and the delay it causes others. */
import type { CallTicket } from '../wire/messages.js';
import type { EngineView, PoolView } from './pool-view.js';

/** Urgent calls that an engine may run beyond its concurrency limit. */
export const URGENT_EXTRA_SLOTS = 2;
/** Fraction of an engine's prompt cache that running calls and holds may fill. */
const USABLE_CACHE_FRACTION = 0.95;
/** Assumed probability that an evicted prompt would have been reused. */
const EVICTED_REUSE_PROBABILITY = 0.5;

/** The chosen engine for a call and the expected time until the call can start there. */
export interface EngineChoice {
  readonly engine: EngineView;
  /** 0 if the call can start now. */
  readonly waitMilliseconds: number;
}

/** Upper bound of the tokens that a call occupies in its engine's prompt cache. */
export function peakCacheTokens(ticket: CallTicket): number {
  return ticket.promptTokens + ticket.maximumTokens;
}

/** True if the engine is available and below its limit, which is higher for urgent calls. */
export function hasFreeSlot(engine: EngineView, urgent: boolean): boolean {
  const limit = engine.concurrency + (urgent ? URGENT_EXTRA_SLOTS : 0);
  return engine.available && engine.running < limit;
}

/**
 * True if the call fits in the engine's prompt cache. Only urgent calls may evict prompts held for
 * programs between turns, since recomputing these costs more than waiting. An idle engine accepts
 * any call.
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
  const ownCachedTokens = pool.directory.cachedTokens(engine.engine, ticket.prefixes);
  return withRunning + engine.heldTokens - ownCachedTokens <= usable;
}

/** True if the call can start on the engine now. */
export function canStart(pool: PoolView, engine: EngineView, ticket: CallTicket): boolean {
  return hasFreeSlot(engine, ticket.callClass === 'urgent') && fitsInCache(pool, engine, ticket);
}

/** Prompt tokens left to compute on the engine that has most of the prompt cached. */
export function minimumUncachedTokens(pool: PoolView, ticket: CallTicket): number {
  const holders = ticket.prefixes.flatMap((prefix) => pool.directory.holders(prefix.name));
  const cached = holders.map((engine) => pool.directory.cachedTokens(engine, ticket.prefixes));
  return ticket.promptTokens - Math.max(0, ...cached);
}

/** Expected time until a full engine has a free slot for a call behind `queued` others. */
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

/** Expected milliseconds to recompute held prompts evicted to free `needed` tokens. */
function evictionCost(pool: PoolView, engine: EngineView, needed: number): number {
  const free = engine.cacheTokens - engine.runningTokens - engine.heldTokens;
  const evicted = Math.max(0, Math.min(engine.heldTokens, needed - free));
  return evicted * EVICTED_REUSE_PROBABILITY * pool.costs.prefillMillisecondsPerToken;
}

/**
 * Cost of running a call on an engine, in milliseconds: its own expected duration, the delay it
 * causes to the other calls there, and the expected cost of recomputing the prompts it evicts.
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
 * Chooses the engine with the lowest sum of waiting time and placement cost among the available
 * engines whose prompt cache fits the call. Skips the engine of the call's latest failed attempt unless
 * the pool has no other. Returns undefined if no engine is left.
 *
 * @param affinityQueueLength number of calls already waiting for a given engine
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
