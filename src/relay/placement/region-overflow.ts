/**
 * Decides where there are several regions whether a request is placed in its own region or in the one that takes
 * overflow. The waits of whole regions are compared, since all gateways of a region see about the same sums: two
 * regions cannot both find the other one less busy by the margin, so they do not exchange their overflow. Only a share
 * of the requests goes, growing with the difference of the waits: all gateways decide by sums that are older than a
 * request takes, and would otherwise move a whole region's load back and forth.
 */
import type { ZoneDistances } from '../../topology/zone-distances.js';
import type { RunnerView } from '../runners/runner-view.js';

/** Round trips by which the wait of another region must be shorter; covers the age of what is known of its load. */
const MARGIN_ROUND_TRIPS = 2;
/** Shape of the wait below full occupancy, as for a single runner: the last slots to be taken cost most. */
const CROWDING_EXPONENT = 3;
/** Difference of the waits, in mean request times, at which all requests would go if the share had no limit. */
const WAIT_OF_FULL_SHARE = 4;
/** Limit of the share; higher ones overshoot before the sums show it. */
const MAXIMUM_SHARE = 0.3;
/** Requests per slot of the own region beyond which the limit rises. */
const OVERLOADED_OCCUPANCY = 2;

/** Load of the runners of a region. */
interface RegionLoad {
  /** Requests per slot. */
  readonly occupancy: number;
  /** Mean request time, in milliseconds. */
  readonly meanMilliseconds: number;
  /** Expected wait of a request, in milliseconds. */
  readonly waitMilliseconds: number;
}

/** Runners in reach of a request. */
export interface RunnersInReach<View extends RunnerView> {
  /** Runners of the own region, or of all regions if the own one has none. */
  readonly near: readonly View[];
  /** Runners of the region that takes overflow; empty if none does. */
  readonly overflow: readonly View[];
  /** Share of the requests to be placed there. */
  readonly overflowShare: number;
}

function loadOf(views: readonly RunnerView[]): RegionLoad {
  let inFlight = 0;
  let slots = 0;
  let sumOfMeans = 0;
  for (const view of views) {
    inFlight += view.inFlight;
    slots += view.slots;
    sumOfMeans += view.meanMilliseconds;
  }
  const occupancy = inFlight / Math.max(1, slots);
  const meanMilliseconds = sumOfMeans / views.length;
  const waits = Math.max(0, occupancy - 1) + Math.min(1, occupancy) ** CROWDING_EXPONENT;
  return { occupancy, meanMilliseconds, waitMilliseconds: waits * meanMilliseconds };
}

function groupByRegion<View extends RunnerView>(
  views: readonly View[],
  distances: ZoneDistances,
): Map<string, View[]> {
  const groups = new Map<string, View[]>();
  for (const view of views) {
    const region = distances.regionOf(view.zone);
    const group = groups.get(region);
    if (group === undefined) {
      groups.set(region, [view]);
    } else {
      group.push(view);
    }
  }
  return groups;
}

/** Share of the requests that overflow when the wait elsewhere is shorter by some milliseconds. */
function shareFor(
  shorterMilliseconds: number,
  { occupancy, meanMilliseconds }: RegionLoad,
): number {
  const limit = Math.max(MAXIMUM_SHARE, 1 - OVERLOADED_OCCUPANCY / occupancy);
  return Math.min(limit, shorterMilliseconds / (WAIT_OF_FULL_SHARE * meanMilliseconds));
}

/** Returns the runners in reach; in deployments of one region all are near. */
export function runnersInReach<View extends RunnerView>(
  views: readonly View[],
  distances: ZoneDistances | undefined,
): RunnersInReach<View> {
  const allNear = { near: views, overflow: [], overflowShare: 0 };
  if (distances?.hasSeveralRegions !== true) {
    return allNear;
  }
  const groups = groupByRegion(views, distances);
  const near = groups.get(distances.ownRegion);
  if (near === undefined) {
    return allNear;
  }
  groups.delete(distances.ownRegion);
  const own = loadOf(near);
  let overflow: readonly View[] = [];
  let shorterMilliseconds = 0;
  for (const [region, others] of groups) {
    // Without sums, the runners of a region that is cut off would seem idle.
    if (!distances.isLoadKnown(region)) {
      continue;
    }
    const margin = MARGIN_ROUND_TRIPS * distances.allowanceMilliseconds(others[0]!.zone);
    const shorter = own.waitMilliseconds - loadOf(others).waitMilliseconds - margin;
    if (shorter > shorterMilliseconds) {
      overflow = others;
      shorterMilliseconds = shorter;
    }
  }
  const overflowShare = overflow.length === 0 ? 0 : shareFor(shorterMilliseconds, own);
  return { near, overflow, overflowShare };
}
