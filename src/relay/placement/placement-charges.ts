/**
 * The terms of the placement cost function. Each charge stands for one cause of delay and returns the delay it
 * adds to the request and to the requests running on the same runner, in milliseconds. Placement sums all charges;
 * each can be switched off by name.
 */
import { mixHashes } from '../../runtime/hashing.js';
import type { ZoneDistances } from '../../topology/zone-distances.js';
import type { EngineCosts } from '../runners/engine-estimate.js';
import type { RunnerView } from '../runners/runner-view.js';

/** The properties of a request that placement depends on. */
export interface PlacementNeed {
  /** Zone of the gateway that sends the request. */
  readonly zone: string;
  /** Distances to the zones of runners; undefined if regions are not known. */
  readonly distances?: ZoneDistances | undefined;
  readonly promptTokens: number;
  /** Size of the request body that is sent to the runner. */
  readonly bodyBytes: number;
  /** Requests with the same hash prefer the same runner if the runners are otherwise equal. */
  readonly affinityHash: number;
  /** Estimated costs of the service's engines; undefined if its runners are not model engines. */
  readonly engine: EngineCosts | undefined;
}

/** Computes the delay from one cause, in milliseconds. */
export type PlacementCharge = (view: RunnerView, need: PlacementNeed) => number;

/** Share of a request's prefill and generation time that it adds to each concurrent request. */
const INTERFERENCE_FACTOR = 0.5;
/** Crowding charge of a runner whose slots are all taken, relative to its mean request time. */
const CROWDING_WEIGHT = 1;
/** Shape of the crowding charge: the first taken slots cost little, the last ones most. */
const CROWDING_EXPONENT = 3;
/** Fixed charge for sending a request to another zone, and the charge per kilobyte of its body. */
const ZONE_MILLISECONDS = 3;
const ZONE_MILLISECONDS_PER_KILOBYTE = 1;
const MAXIMUM_ZONE_MILLISECONDS = 60;
/** Bytes between regions weigh this many times those between zones. */
const REGION_BYTES_FACTOR = 4;
const MAXIMUM_REGION_MILLISECONDS = REGION_BYTES_FACTOR * MAXIMUM_ZONE_MILLISECONDS;
const BYTES_IN_KILOBYTE = 1_000;
/** Charge for opening a new connection, which may also occupy a slot for a moment. */
const CONNECTION_MILLISECONDS = 15;
/** Largest charge for a runner that the affinity hash does not prefer. */
const MAXIMUM_AFFINITY_MILLISECONDS = 8;
/** Charge for a runner at which a suspected request is, relative to its mean request time. */
const RISK_WEIGHT = 1;
/** Additional time that a cold runner takes for a request, relative to that of a warm one. */
const COLD_SLOWDOWN = 1;
const HASH_RANGE = 2 ** 32;

function slotsOf(view: RunnerView): number {
  return Math.max(1, view.slots);
}

function runningRequests(view: RunnerView): number {
  return Math.min(view.inFlight, slotsOf(view));
}

/** All charges by the name under which a setting can switch them off. */
export const PLACEMENT_CHARGES = {
  /** Mean request time of this runner. */
  pace: (view) => view.meanMilliseconds,

  /** Time in the queue until a slot is free. */
  queue: (view) => {
    const waiting = Math.max(0, view.inFlight + 1 - slotsOf(view));
    return (waiting * view.meanMilliseconds) / slotsOf(view);
  },

  /** Risk that the remaining slots are taken by other gateways before the request arrives. */
  crowding: (view) => {
    const taken = runningRequests(view) / slotsOf(view);
    return view.meanMilliseconds * CROWDING_WEIGHT * taken ** CROWDING_EXPONENT;
  },

  /** Prefill of the uncached prompt tokens, which also delays all concurrent requests. */
  reading: (view, need) => {
    const uncachedTokens = Math.max(0, need.promptTokens - view.cachedTokens);
    const delayedRequests = runningRequests(view) * INTERFERENCE_FACTOR;
    return uncachedTokens * (need.engine?.millisecondsPerToken ?? 0) * (1 + delayedRequests);
  },

  /** Slower generation, since concurrent requests delay each other's events. */
  generating: (view, need) => {
    if (need.engine === undefined) {
      return 0;
    }
    const { eventMillisecondsPerRequest, meanEvents } = need.engine;
    const slowed = runningRequests(view) * (1 + INTERFERENCE_FACTOR);
    return eventMillisecondsPerRequest * meanEvents * slowed;
  },

  /** Slower execution on a cold runner; its empty cache is charged as `reading`, but takes longer as well. */
  cold: (view, need) => {
    const { coldness = 0, meanMilliseconds, cachedTokens } = view;
    const uncachedTokens = Math.max(0, need.promptTokens - cachedTokens);
    const readMilliseconds = uncachedTokens * (need.engine?.millisecondsPerToken ?? 0);
    return coldness * COLD_SLOWDOWN * (meanMilliseconds + readMilliseconds);
  },

  /** Risk that the runner ends under another request, so that this one has to run again. */
  risk: (view) => (view.hasSuspect === true ? view.meanMilliseconds * RISK_WEIGHT : 0),

  /** Network cost of sending the request to another zone or region. */
  zone: (view, need) => {
    if (view.zone === need.zone) {
      return 0;
    }
    const bytes = (need.bodyBytes / BYTES_IN_KILOBYTE) * ZONE_MILLISECONDS_PER_KILOBYTE;
    if (need.distances?.isOtherRegion(view.zone) === true) {
      const roundTrip = need.distances.allowanceMilliseconds(view.zone);
      return roundTrip + Math.min(MAXIMUM_REGION_MILLISECONDS, REGION_BYTES_FACTOR * bytes);
    }
    return Math.min(MAXIMUM_ZONE_MILLISECONDS, ZONE_MILLISECONDS + bytes);
  },

  /** New connection to a service other than an engine; for engines the prompt cache matters far more. */
  connection: (view, need) =>
    need.engine === undefined && !view.hasIdleConnection ? CONNECTION_MILLISECONDS : 0,

  /** Tie-breaker that keeps requests with the same affinity hash on the same runner. */
  affinity: (view, need) =>
    (mixHashes(need.affinityHash, view.hash) / HASH_RANGE) * MAXIMUM_AFFINITY_MILLISECONDS,
} as const satisfies Readonly<Record<string, PlacementCharge>>;

export type PlacementChargeName = keyof typeof PLACEMENT_CHARGES;

/** Returns all charges except those whose names are in `off`. */
export function chargesWithout(off: ReadonlySet<string>): readonly PlacementCharge[] {
  return Object.entries(PLACEMENT_CHARGES)
    .filter(([name]) => !off.has(name))
    .map(([, charge]) => charge);
}
