/**
 * Expected round trips between zones. They start from values by kind of distance and are refined by the round trips of
 * messages that are sent anyway. With at most one region all additions are 0 and no order changes, so that timings and
 * preferences of such deployments do not depend on measurements.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { Topology } from './topology.js';

/** Initial round trip within a zone, in milliseconds. */
const SAME_ZONE_MILLISECONDS = 1;
/** Initial round trip between two zones of a region, in milliseconds. */
const SAME_REGION_MILLISECONDS = 3;
/** Initial round trip between two regions, in milliseconds. */
const OTHER_REGION_MILLISECONDS = 25;
/** Time for which a measured round trip counts, at least, in milliseconds; at most twice as long. */
const WINDOW_MILLISECONDS = 30_000;
/** Largest round trip that is believed, in milliseconds; longer ones show a delayed process rather than a distance. */
const MAXIMUM_ROUND_TRIP_MILLISECONDS = 250;

/** Lowest round trips of the current and the previous window, in milliseconds. */
interface MeasuredRoundTrip {
  windowStartedAt: number;
  lowest: number;
  lowestBefore: number;
}

/** Dependencies of {@link ZoneDistances}. */
export interface ZoneDistancesOptions {
  readonly runtime: Pick<Runtime, 'now'>;
  readonly topology: Topology;
  /** Zone of this process; only round trips from here are measured. */
  readonly zone: string;
}

/** Something in a zone: a member, a runner or a gateway. */
export interface InZone {
  readonly zone: string;
}

/** Distances as a process in one zone knows them. */
export class ZoneDistances {
  /** Whether the deployment has more than one region. */
  readonly hasSeveralRegions: boolean;
  /** Whether the load of a region is known; nothing is placed there by load while it is not. */
  isLoadKnown: (region: string) => boolean = () => true;
  private readonly measured = new Map<string, MeasuredRoundTrip>();

  constructor(private readonly options: ZoneDistancesOptions) {
    this.hasSeveralRegions = options.topology.regions.size > 1;
  }

  /** Expected round trip between two zones, in milliseconds. */
  roundTripMilliseconds(zone: string, otherZone: string): number {
    const { topology, zone: own } = this.options;
    const remote = zone === own ? otherZone : otherZone === own ? zone : undefined;
    const measured = remote === undefined ? undefined : this.measuredTo(remote);
    if (measured !== undefined) {
      return measured;
    }
    if (zone === otherZone) {
      return SAME_ZONE_MILLISECONDS;
    }
    return topology.isSameRegion(zone, otherZone)
      ? SAME_REGION_MILLISECONDS
      : OTHER_REGION_MILLISECONDS;
  }

  /** Region of this process. */
  get ownRegion(): string {
    return this.regionOf(this.options.zone);
  }

  /** Returns the region of a zone. */
  regionOf(zone: string): string {
    return this.options.topology.regionOf(zone);
  }

  /** Whether a zone belongs to another region than this process. */
  isOtherRegion(zone: string): boolean {
    const { topology, zone: own } = this.options;
    return this.hasSeveralRegions && !topology.isSameRegion(own, zone);
  }

  /** Time to add to a delay that assumes a near zone, in milliseconds; 0 in deployments of one region. */
  allowanceMilliseconds(zone: string): number {
    return this.hasSeveralRegions ? this.roundTripMilliseconds(this.options.zone, zone) : 0;
  }

  /** The largest addition for any zone of the deployment, in milliseconds; 0 in deployments of one region. */
  get largestAllowanceMilliseconds(): number {
    const { zones } = this.options.topology;
    return Math.max(0, ...zones.map((zone) => this.allowanceMilliseconds(zone)));
  }

  /**
   * Returns the items nearest first: own zone, own region, then the other regions by round trip. Equally near items
   * keep their order. In deployments of one region all do.
   */
  nearestFirst<Item extends InZone>(items: readonly Item[]): Item[] {
    if (!this.hasSeveralRegions) {
      return [...items];
    }
    const ranked = items.map((item) => ({ item, rank: this.rankOf(item.zone) }));
    return ranked.sort((left, right) => left.rank - right.rank).map(({ item }) => item);
  }

  /** Records the time from a message to its answer, without the work for it, in milliseconds. */
  recordRoundTrip(zone: string, milliseconds: number): void {
    if (!this.hasSeveralRegions || !(milliseconds >= 0)) {
      return;
    }
    if (milliseconds > MAXIMUM_ROUND_TRIP_MILLISECONDS) {
      return;
    }
    const now = this.options.runtime.now();
    const known = this.measured.get(zone);
    if (known === undefined || now - known.windowStartedAt >= 2 * WINDOW_MILLISECONDS) {
      this.measured.set(zone, {
        windowStartedAt: now,
        lowest: milliseconds,
        lowestBefore: Infinity,
      });
    } else if (now - known.windowStartedAt >= WINDOW_MILLISECONDS) {
      known.lowestBefore = known.lowest;
      known.lowest = milliseconds;
      known.windowStartedAt = now;
    } else {
      known.lowest = Math.min(known.lowest, milliseconds);
    }
  }

  /** The kinds of distance come before the measurements: a busy neighbor may answer late, but is not far away. */
  private rankOf(zone: string): number {
    const { topology, zone: own } = this.options;
    if (zone === own) {
      return -2;
    }
    return topology.isSameRegion(own, zone) ? -1 : this.roundTripMilliseconds(own, zone);
  }

  private measuredTo(zone: string): number | undefined {
    const known = this.measured.get(zone);
    if (known === undefined) {
      return undefined;
    }
    const age = this.options.runtime.now() - known.windowStartedAt;
    return age < 2 * WINDOW_MILLISECONDS ? Math.min(known.lowest, known.lowestBefore) : undefined;
  }
}
