/** Zones of a deployment and the regions that they belong to. */

/** Zones and regions of a deployment. */
export class Topology {
  /** @param regionByZone region of each zone; empty when the deployment lists none */
  constructor(private readonly regionByZone: ReadonlyMap<string, string>) {}

  /** Names of all zones. */
  get zones(): readonly string[] {
    return [...this.regionByZone.keys()];
  }

  /** Names of all regions. */
  get regions(): ReadonlySet<string> {
    return new Set(this.regionByZone.values());
  }

  /** Whether a zone belongs to the deployment; true for every zone when the deployment lists none. */
  hasZone(zone: string): boolean {
    return this.regionByZone.size === 0 || this.regionByZone.has(zone);
  }

  /** Returns the region of a zone; a zone that is not listed is a region of its own. */
  regionOf(zone: string): string {
    return this.regionByZone.get(zone) ?? zone;
  }

  /** Whether two zones belong to the same region. */
  isSameRegion(zone: string, otherZone: string): boolean {
    return zone === otherZone || this.regionOf(zone) === this.regionOf(otherZone);
  }
}

/** Topology of a deployment that lists no zones. */
export const UNKNOWN_TOPOLOGY = new Topology(new Map());
