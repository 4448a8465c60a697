/** Decides which runner gets a request: the one with the least expected cost in milliseconds. */
import type { RunnerView } from '../runners/runner-view.js';
import type { PlacementCharge, PlacementNeed } from './placement-charges.js';

/** Expected cost of a request at a runner, in milliseconds, to itself and to those beside it. */
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

/** The runner of least cost; undefined when there is none. */
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
