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
  /** Requests with the same key prefer the same runner when nothing else tells them apart. */
  readonly affinityKey: string;
}

/** Weights of the cost; all in milliseconds unless told otherwise. */
export interface PlacementWeights {
  /** Prompt tokens that a runner reads in a millisecond. */
  readonly promptTokensPerMillisecond: number;
  /** Charge for leaving the zone. */
  readonly zoneMilliseconds: number;
  /** Charge for each request already there, as a share of the mean time divided by the slots. */
  readonly loadShare: number;
  /** Largest advantage of the runner that the key prefers. */
  readonly affinityMilliseconds: number;
}

/** Weights in use unless an experiment says otherwise. */
export const DEFAULT_PLACEMENT_WEIGHTS: PlacementWeights = {
  promptTokensPerMillisecond: 200,
  zoneMilliseconds: 5,
  loadShare: 0.5,
  affinityMilliseconds: 4,
};

const HASH_RANGE = 2 ** 32;

/** Expected cost of a request at a runner, in milliseconds. */
export function placementCost(
  view: RunnerView,
  need: PlacementNeed,
  weights: PlacementWeights,
): number {
  const slots = Math.max(1, view.slots);
  const waiting = Math.max(0, view.inFlight + 1 - slots);
  const queue = (waiting * view.meanMilliseconds) / slots;
  const load = (view.inFlight * view.meanMilliseconds * weights.loadShare) / slots;
  const reading =
    Math.max(0, need.promptTokens - view.cachedTokens) / weights.promptTokensPerMillisecond;
  const zone = view.zone === need.zone ? 0 : weights.zoneMilliseconds;
  const preference = hashToNumber(`${need.affinityKey} ${view.id}`) / HASH_RANGE;
  return (
    queue +
    load +
    reading +
    view.meanMilliseconds +
    zone +
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
