/**
 * Selects the runners that placement compares for a request. A gateway learns of the load that other gateways
 * send with a delay of some hundred milliseconds. If all gateways compared all runners, they would all choose the
 * runner that seemed least busy and overload it before any of them noticed. When other gateways are likely to have
 * sent more than about one unreported request to each runner, only two randomly sampled runners are compared
 * (the power of two choices), together with one of the runners that have the most of the prompt cached. Where there
 * are several regions, they are of the own region, or of the one that takes its overflow.
 */
import type { RandomSource } from '../../runtime/random.js';
import type { ZoneDistances } from '../../topology/zone-distances.js';
import { runnersInReach } from './region-overflow.js';
import type { LoadView, RunnerView } from '../runners/runner-view.js';

const SAMPLED_RUNNERS = 2;
/** Expected unreported requests per runner up to which all runners are compared. */
const MAXIMUM_UNSEEN_REQUESTS = 1;

/**
 * Estimates how many requests other gateways have sent to each runner, on average, since they last reported
 * their load.
 * @param ageMilliseconds age of the reported load
 */
export function unseenRequests(views: readonly LoadView[], ageMilliseconds: number): number {
  let sum = 0;
  for (const { inFlightOfOthers, meanMilliseconds } of views) {
    sum += (inFlightOfOthers * ageMilliseconds) / Math.max(1, meanMilliseconds);
  }
  return views.length === 0 ? 0 : sum / views.length;
}

/**
 * Returns the runner with the most cached prompt tokens, or undefined if no runner has any. Ties go to the first
 * runner at or after `start`, wrapping around.
 */
function mostCached<View extends RunnerView>(
  views: readonly View[],
  start: number,
): View | undefined {
  let best: View | undefined;
  for (let index = 0; index < views.length; index += 1) {
    const view = views[(start + index) % views.length]!;
    if (view.cachedTokens > (best?.cachedTokens ?? 0)) {
      best = view;
    }
  }
  return best;
}

/**
 * Returns the runners that placement compares where there may be several regions: those of the own region, or of the
 * region that takes its overflow, and those with the most of the prompt cached.
 * @param ageMilliseconds age of the reported load; undefined to compare all instead of a sample
 */
export function compareInRegions<View extends LoadView>(
  views: readonly View[],
  distances: ZoneDistances | undefined,
  ageMilliseconds: number | undefined,
  random: RandomSource,
): readonly View[] {
  const { near, overflow, overflowShare } = runnersInReach(views, distances);
  const sample = (from: readonly View[]): readonly View[] =>
    ageMilliseconds === undefined ? from : sampleCandidates(from, ageMilliseconds, random);
  if (near.length === views.length) {
    return sample(near);
  }
  const overflows = overflowShare > 0 && random.uniform() < overflowShare;
  const compared = new Set(sample(overflows ? overflow : near));
  const cachedNear = mostCached(near, random.integer(0, near.length - 1));
  if (overflows && cachedNear !== undefined) {
    compared.add(cachedNear);
  }
  // The same part may be cached in each region; only more of it makes another region worth the way.
  const cached = mostCached(views, random.integer(0, views.length - 1));
  return cached === undefined || cached.cachedTokens <= (cachedNear?.cachedTokens ?? 0)
    ? [...compared]
    : [...compared.add(cached)];
}

/**
 * Returns the runners that placement compares: all of them, or a random sample if the known load is too stale.
 * @param ageMilliseconds age of the load that other gateways reported
 */
export function sampleCandidates<View extends LoadView>(
  views: readonly View[],
  ageMilliseconds: number,
  random: RandomSource,
): readonly View[] {
  const maximumCandidates = SAMPLED_RUNNERS + 1;
  if (
    views.length <= maximumCandidates ||
    unseenRequests(views, ageMilliseconds) <= MAXIMUM_UNSEEN_REQUESTS
  ) {
    return views;
  }
  const sampled = new Set<View>();
  while (sampled.size < SAMPLED_RUNNERS) {
    sampled.add(random.pick(views));
  }
  // A random start spreads gateways over runners that have equally much of the prompt cached.
  const mostCachedView = mostCached(views, random.integer(0, views.length - 1));
  return mostCachedView === undefined ? [...sampled] : [...sampled.add(mostCachedView)];
}
