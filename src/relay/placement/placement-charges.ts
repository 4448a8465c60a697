/**
 * What makes a runner a worse choice for a request, one charge a cause, all in milliseconds of delay
 * to the request and to those beside it. The table is what placement adds up; a charge can be
 * switched off by its name to measure what it is worth.
 */
import { mixHashes } from '../../runtime/hashing.js';
import type { EngineCosts } from '../runners/engine-estimate.js';
import type { RunnerView } from '../runners/runner-view.js';

/** What the request needs. */
export interface PlacementNeed {
  readonly zone: string;
  readonly promptTokens: number;
  /** Bytes that travel to the runner. */
  readonly bodyBytes: number;
  /** Requests with the same hash prefer the same runner when nothing else tells them apart. */
  readonly affinityHash: number;
  /** What the service's engines cost; undefined where the service is no model engine. */
  readonly engine: EngineCosts | undefined;
}

/** One cause of delay, in milliseconds. */
export type PlacementCharge = (view: RunnerView, need: PlacementNeed) => number;

/** Part of its reading and generating time by which a request holds up each one beside it. */
const INTERFERENCE_FACTOR = 0.5;
/** Charge for a runner with all places taken, as a share of the mean time there. */
const CROWDING_WEIGHT = 1;
/** How late the charge for taken places sets in: the first ones hardly delay one another. */
const CROWDING_EXPONENT = 3;
/** Charge for leaving the zone, whatever the request, and for each thousand bytes that leave it. */
const ZONE_MILLISECONDS = 3;
const ZONE_MILLISECONDS_PER_KILOBYTE = 1;
const MAXIMUM_ZONE_MILLISECONDS = 60;
const BYTES_IN_KILOBYTE = 1_000;
/** Charge for a connection that has to be made first: a new one may also take a place for a moment. */
const CONNECTION_MILLISECONDS = 15;
/** Largest advantage of the runner that the affinity prefers. */
const MAXIMUM_AFFINITY_MILLISECONDS = 8;
const HASH_RANGE = 2 ** 32;

function slotsOf(view: RunnerView): number {
  return Math.max(1, view.slots);
}

function runningRequests(view: RunnerView): number {
  return Math.min(view.inFlight, slotsOf(view));
}

/** All charges by name. */
export const PLACEMENT_CHARGES = {
  /** How long requests take at this runner. */
  pace: (view) => view.meanMilliseconds,

  /** Waiting for a place. */
  queue: (view) => {
    const waiting = Math.max(0, view.inFlight + 1 - slotsOf(view));
    return (waiting * view.meanMilliseconds) / slotsOf(view);
  },

  /** Places that are taken: others may fill the rest before the request is there. */
  crowding: (view) => {
    const taken = runningRequests(view) / slotsOf(view);
    return view.meanMilliseconds * CROWDING_WEIGHT * taken ** CROWDING_EXPONENT;
  },

  /** Reading what is not kept there, which also holds up all that run at the same time. */
  reading: (view, need) => {
    const uncachedTokens = Math.max(0, need.promptTokens - view.cachedTokens);
    const delayedRequests = runningRequests(view) * INTERFERENCE_FACTOR;
    return uncachedTokens * (need.engine?.millisecondsPerToken ?? 0) * (1 + delayedRequests);
  },

  /** Generating beside others: each slows the others' events and its own. */
  generating: (view, need) => {
    if (need.engine === undefined) {
      return 0;
    }
    const { eventMillisecondsPerRequest, meanEvents } = need.engine;
    const slowed = runningRequests(view) * (1 + INTERFERENCE_FACTOR);
    return eventMillisecondsPerRequest * meanEvents * slowed;
  },

  /** Leaving the zone. */
  zone: (view, need) => {
    if (view.zone === need.zone) {
      return 0;
    }
    const bytes = (need.bodyBytes / BYTES_IN_KILOBYTE) * ZONE_MILLISECONDS_PER_KILOBYTE;
    return Math.min(MAXIMUM_ZONE_MILLISECONDS, ZONE_MILLISECONDS + bytes);
  },

  /** Opening a connection to a plain service; at an engine it costs little beside what is kept there. */
  connection: (view, need) =>
    need.engine === undefined && !view.hasIdleConnection ? CONNECTION_MILLISECONDS : 0,

  /** Requests about the same thing prefer the same runner. */
  affinity: (view, need) =>
    (mixHashes(need.affinityHash, view.hash) / HASH_RANGE) * MAXIMUM_AFFINITY_MILLISECONDS,
} as const satisfies Readonly<Record<string, PlacementCharge>>;

/** Name of a charge. */
export type PlacementChargeName = keyof typeof PLACEMENT_CHARGES;

/** All charges but those that are switched off by name. */
export function chargesWithout(off: ReadonlySet<string>): readonly PlacementCharge[] {
  return Object.entries(PLACEMENT_CHARGES)
    .filter(([name]) => !off.has(name))
    .map(([, charge]) => charge);
}
