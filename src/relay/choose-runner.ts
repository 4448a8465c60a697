/** Decides which runner gets a request: the one with the least expected cost in milliseconds. */
import { hashToNumber } from '../runtime/hashing.js';
import type { PromptPart } from './relay-request.js';

/** What is known of one runner that may get the request. */
export interface RunnerView {
  readonly id: string;
  readonly zone: string;
  readonly slots: number;
  /** Requests that are believed to be there, ours and those of other nodes. */
  readonly inFlight: number;
  /** Mean time from sending to the end of a request there, in milliseconds. */
  readonly meanMilliseconds: number;
  /** Tokens of the prompt's leading parts believed to be in its memory. */
  readonly cachedTokens: number;
}

/** What the request needs. */
export interface PlacementNeed {
  readonly zone: string;
  readonly promptTokens: number;
  /** Bytes that travel to the runner. */
  readonly bodyBytes: number;
  /** Requests with the same key prefer the same runner when nothing else tells them apart. */
  readonly affinityKey: string;
}

/** Weights of the cost; all in milliseconds unless told otherwise. */
export interface PlacementWeights {
  /** Prompt tokens that a runner reads in a millisecond. */
  readonly promptTokensPerMillisecond: number;
  /** Part of the reading time by which each request that runs there is held up. */
  readonly readingShare: number;
  /** Charge for leaving the zone, whatever the request. */
  readonly zoneMilliseconds: number;
  /** Added to it for each thousand bytes that leave the zone. */
  readonly zoneMillisecondsPerKilobyte: number;
  /** Largest charge for leaving the zone. */
  readonly largestZoneMilliseconds: number;
  /** Charge for a runner with all places taken, as a share of the mean time. */
  readonly loadShare: number;
  /** Largest advantage of the runner that the key prefers. */
  readonly affinityMilliseconds: number;
}

/** Weights in use unless an experiment says otherwise. */
export const DEFAULT_PLACEMENT_WEIGHTS: PlacementWeights = {
  promptTokensPerMillisecond: 270,
  readingShare: 0.5,
  zoneMilliseconds: 3,
  zoneMillisecondsPerKilobyte: 1,
  largestZoneMilliseconds: 60,
  loadShare: 1,
  affinityMilliseconds: 8,
};

const HASH_RANGE = 2 ** 32;
const BYTES_IN_KILOBYTE = 1_000;

/**
 * Charge for the requests that are there. Programs have some time to spare, so the first requests of
 * a batch hardly delay one another and the last ones do.
 */
function loadCost(view: RunnerView, slots: number, weights: PlacementWeights): number {
  const taken = Math.min(view.inFlight, slots) / slots;
  const waiting = Math.max(0, view.inFlight + 1 - slots);
  const queue = (waiting * view.meanMilliseconds) / slots;
  return queue + view.meanMilliseconds * weights.loadShare * taken ** 3;
}

/** Charge for reading what is not in memory there: it holds up all that run at the same time. */
function readingCost(
  view: RunnerView,
  slots: number,
  need: PlacementNeed,
  weights: PlacementWeights,
): number {
  const unread = Math.max(0, need.promptTokens - view.cachedTokens);
  const heldUp = Math.min(view.inFlight, slots) * weights.readingShare;
  return (unread / weights.promptTokensPerMillisecond) * (1 + heldUp);
}

function zoneCost(view: RunnerView, need: PlacementNeed, weights: PlacementWeights): number {
  if (view.zone === need.zone) {
    return 0;
  }
  const bytes = (need.bodyBytes / BYTES_IN_KILOBYTE) * weights.zoneMillisecondsPerKilobyte;
  return Math.min(weights.largestZoneMilliseconds, weights.zoneMilliseconds + bytes);
}

/** Expected cost of a request at a runner, in milliseconds, to itself and to those beside it. */
export function placementCost(
  view: RunnerView,
  need: PlacementNeed,
  weights: PlacementWeights,
): number {
  const slots = Math.max(1, view.slots);
  const preference = hashToNumber(`${need.affinityKey} ${view.id}`) / HASH_RANGE;
  return (
    view.meanMilliseconds +
    loadCost(view, slots, weights) +
    readingCost(view, slots, need, weights) +
    zoneCost(view, need, weights) +
    preference * weights.affinityMilliseconds
  );
}

/** The runner of least cost; undefined when there is none. */
export function chooseRunner<View extends RunnerView>(
  views: readonly View[],
  need: PlacementNeed,
  weights: PlacementWeights = DEFAULT_PLACEMENT_WEIGHTS,
): View | undefined {
  let best: View | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const cost = placementCost(view, need, weights);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}

/** Tokens of the leading parts that are all kept; a part counts only if every one before it does. */
export function leadingCachedTokens(
  parts: readonly PromptPart[],
  isKept: (partId: string) => boolean,
): number {
  let tokens = 0;
  for (const part of parts) {
    if (!isKept(part.id)) {
      return tokens;
    }
    tokens += part.tokens;
  }
  return tokens;
}
