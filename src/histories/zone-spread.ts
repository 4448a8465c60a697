/** Zones of a simulated fleet of replicas, of which one may be lost. */
import { Topology } from '../topology/topology.js';
import { wantedSpread } from '../turns/member-spread.js';
import type { SpreadPolicy } from '../turns/member-spread.js';

/** Returns how members are spread over zones `z1`, `z2` and so on, of which one, or some machines, may be lost. */
export function spreadOverZones(zoneCount: number, machineLosses: number): SpreadPolicy {
  const zones = Array.from({ length: zoneCount }, (_, place) => `z${place + 1}`);
  const topology = new Topology(new Map(zones.map((zone) => [zone, 'r1'])));
  const requirement = { topology, tolerance: { machines: machineLosses, zones: 1, regions: 0 } };
  return { ...requirement, wantedMembers: wantedSpread(requirement).size };
}

/** Returns the zone with the fewest machines, the first one of several. */
export function emptiestZone(
  { topology }: SpreadPolicy,
  zoneByMachine: ReadonlyMap<string, string>,
): string {
  const sizeOf = (zone: string): number =>
    [...zoneByMachine.values()].filter((each) => each === zone).length;
  return topology.zones.reduce((best, zone) => (sizeOf(zone) < sizeOf(best) ? zone : best));
}
