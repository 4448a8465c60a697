/**
 * Selects the runners that placement compares for a request. A gateway learns of the load that other gateways
 * send with a delay of some hundred milliseconds. If all gateways compared all runners, they would all choose the
 * runner that seemed least busy and overload it before any of them noticed. When other gateways are likely to have
 * sent more than about one unreported request to each runner, only two randomly sampled runners are compared
 * (the power of two choices), together with one of the runners that have the most of the prompt cached.
 */
import type { RandomSource } from '../../runtime/random.js';
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
