/** Where a call is expected to finish first, counting what its coming costs the others. */
import type { CallTicket } from '../wire/messages.js';
import type { EngineView, PoolView } from './pool-view.js';

/** Calls an engine takes beyond its limit when they are urgent. */
export const URGENT_RESERVE = 2;
/** Part of an engine's memory that running calls may fill. */
const USABLE_MEMORY = 0.95;
/** Chance that memory pushed out by a new prompt would have been used again. */
const EVICTED_REUSE = 0.5;
/** How much a full batch slows each call's generation, as a part of its time. */
const BATCH_SLOWDOWN = 0.6;

/** The best engine for a call and the time until it can start there. */
export interface EngineChoice {
  readonly engine: EngineView;
  /** 0 when it can start now. */
  readonly waitMilliseconds: number;
}

/** Tokens a call may come to occupy on its engine. */
export function occupiedTokens(ticket: CallTicket): number {
  return ticket.promptTokens + ticket.maximumTokens;
}

/** True when the engine can take the call now; without a call, whether it could take any. */
export function isStartable(engine: EngineView, ticket: CallTicket | undefined): boolean {
  const urgent = ticket === undefined || ticket.callClass === 'urgent';
  const limit = engine.concurrency + (urgent ? URGENT_RESERVE : 0);
  if (!engine.available || engine.running >= limit) {
    return false;
  }
  if (ticket === undefined || engine.cacheTokens === 0 || engine.running === 0) {
    return true;
  }
  const usable = engine.cacheTokens * USABLE_MEMORY;
  return engine.runningTokens + occupiedTokens(ticket) <= usable;
}

/** Prompt tokens that must be computed on the engine that holds most of the prompt. */
export function uncachedTokens(pool: PoolView, ticket: CallTicket): number {
  const holders = ticket.prefixes.flatMap((prefix) => pool.directory.holders(prefix.name));
  const cached = holders.map((engine) => pool.directory.cachedTokens(engine, ticket.prefixes));
  return ticket.promptTokens - Math.max(0, ...cached);
}

/** Expected milliseconds until a full engine has a place, behind those who wait for it already. */
function waitFor(pool: PoolView, engine: EngineView, ticket: CallTicket, parked: number): number {
  const usual = pool.costs.serviceMilliseconds(0, ticket.maximumTokens);
  const places = Math.max(1, engine.running);
  return (usual * (parked + 1)) / places;
}

function evictionCost(pool: PoolView, engine: EngineView, needed: number): number {
  const free = engine.cacheTokens - engine.runningTokens - engine.heldTokens;
  const evicted = Math.max(0, Math.min(engine.heldTokens, needed - free));
  return evicted * EVICTED_REUSE * pool.costs.prefillMilliseconds;
}

/** Expected milliseconds from the start on an engine to the answer, and what it costs others. */
export function runCost(pool: PoolView, engine: EngineView, ticket: CallTicket): number {
  const cached = pool.directory.cachedTokens(engine.engine, ticket.prefixes);
  const uncached = ticket.promptTokens - cached;
  const prefill = (uncached + engine.pendingPrefillTokens) * pool.costs.prefillMilliseconds;
  const output = pool.costs.expectedOutput(ticket.maximumTokens);
  const fullness = engine.running / Math.max(1, engine.concurrency);
  const decode = output * pool.costs.decodeMilliseconds * (1 + BATCH_SLOWDOWN * fullness);
  return prefill + decode + evictionCost(pool, engine, uncached + output);
}

/** Picks the engine with the least expected time to the answer; undefined when none is available. */
export function chooseEngine(
  pool: PoolView,
  ticket: CallTicket,
  parkedOn: (engine: EngineView) => number,
): EngineChoice | undefined {
  let best: EngineChoice | undefined;
  let bestCost = Infinity;
  for (const engine of pool.engines) {
    if (!engine.available || engine.engine === ticket.avoidEngine) {
      continue;
    }
    const startable = isStartable(engine, ticket);
    const parked = parkedOn(engine);
    if (!startable && parked >= engine.concurrency) {
      continue;
    }
    const wait = startable ? 0 : Math.max(1, waitFor(pool, engine, ticket, parked));
    const cost = wait + runCost(pool, engine, ticket);
    if (cost < bestCost) {
      bestCost = cost;
      best = { engine, waitMilliseconds: wait };
    }
  }
  return best;
}
