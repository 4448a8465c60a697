/**
 * Which runners are weighed for a request. What a gateway knows of the load that others have sent is some
 * hundred milliseconds old. Were all gateways to weigh all runners, all would send to the one that seemed
 * the least busy, and by then it would be the busiest. So where others send more than a request or so to
 * each runner before it is known, two runners are drawn anew for each request, as is known to be enough,
 * and weighed beside one of those that keep the most of the prompt.
 */
import type { RandomSource } from '../../runtime/random.js';
import type { LoadView, RunnerView } from '../runners/runner-view.js';

/** Runners that are drawn. */
const SAMPLED_RUNNERS = 2;
/** Requests of others to one runner that aren't known yet, up to which all runners are weighed. */
const MAXIMUM_UNSEEN_REQUESTS = 1;

/** Requests that others are likely to have sent to one runner since their loads were told. */
export function unseenRequests(views: readonly LoadView[], ageMilliseconds: number): number {
  let sum = 0;
  for (const { inFlightOfOthers, meanMilliseconds } of views) {
    sum += (inFlightOfOthers * ageMilliseconds) / Math.max(1, meanMilliseconds);
  }
  return views.length === 0 ? 0 : sum / views.length;
}

/** The one that keeps the most from a place of the list on; none that keeps nothing. */
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
 * The runners to be weighed.
 * @param ageMilliseconds age of what others tell of their requests
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
  // From a drawn place on, so that gateways don't agree on the first of many that keep as much.
  const mostCachedView = mostCached(views, random.integer(0, views.length - 1));
  return mostCachedView === undefined ? [...sampled] : [...sampled.add(mostCachedView)];
}
