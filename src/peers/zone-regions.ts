/** Regions of the zones that gateways refer to by the hashes of their names. */
import { hashToNumber } from '../runtime/hashing.js';
import type { Topology } from '../topology/topology.js';

/** Tells which zones belong to the own region. */
export class ZoneRegions {
  /** Whether the deployment has more than one region. */
  readonly hasSeveral: boolean;
  private readonly regionByHash: ReadonlyMap<number, string>;
  private readonly ownRegion: string;

  constructor(topology: Topology, zone: string) {
    this.hasSeveral = topology.regions.size > 1;
    this.regionByHash = new Map(
      topology.zones.map((each) => [hashToNumber(each), topology.regionOf(each)]),
    );
    this.ownRegion = topology.regionOf(zone);
  }

  /** Returns the region of a zone; undefined if the settings do not list the zone. */
  regionOf(zoneHash: number): string | undefined {
    return this.regionByHash.get(zoneHash);
  }

  /** Whether a zone belongs to the own region; true for every zone in deployments of one region. */
  isOwn(zoneHash: number): boolean {
    return !this.hasSeveral || this.regionOf(zoneHash) === this.ownRegion;
  }
}
