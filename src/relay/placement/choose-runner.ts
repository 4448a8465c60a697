/** Chooses the runner with the lowest expected cost for a request. */
import type { RunnerView } from '../runners/runner-view.js';
import type { PlacementCharge, PlacementNeed } from './placement-charges.js';

/**
 * Expected cost of placing a request on a runner, in milliseconds of delay to the request itself and to the
 * requests that run there at the same time.
 */
export function placementCost(
  view: RunnerView,
  need: PlacementNeed,
  charges: readonly PlacementCharge[],
): number {
  let cost = 0;
  for (const charge of charges) {
    cost += charge(view, need);
  }
  return cost;
}

/** Returns the runner with the lowest cost, or undefined if `views` is empty. */
export function chooseRunner<View extends RunnerView>(
  views: readonly View[],
  need: PlacementNeed,
  charges: readonly PlacementCharge[],
): View | undefined {
  let best: View | undefined;
  let bestCost = Infinity;
  for (const view of views) {
    const cost = placementCost(view, need, charges);
    if (cost < bestCost) {
      best = view;
      bestCost = cost;
    }
  }
  return best;
}
