/** A fleet of gateways in several regions under a steady load, for measuring what they send between regions. */
import { promptKeyOf } from '../../src/relay/request/relay-request.js';
import { AGGREGATE_TOPICS } from '../../src/peers/aggregates.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { startFleet, wait, zoneOfHost } from './gateway-fleet.js';
import type { FleetWorld } from './gateway-fleet.js';

const REGION_LINK_MILLISECONDS = 12;
const RUNNERS_IN_USE = 3;
const PLACE_PERIOD_MILLISECONDS = 100;
/** Time for which a gateway reports a place, in milliseconds. */
const PLACE_MILLISECONDS = 300;
const SERVICES = 2;
const RANKS = 2;

/** Size of a fleet. */
export interface RegionFleetSize {
  readonly gateways: number;
  readonly regions: number;
  readonly zonesPerRegion: number;
  readonly runners: number;
  /** Prompt parts that a gateway newly places at runners, per second. */
  readonly placesPerSecond: number;
}

/** Zones of some regions by name. */
export function regionZones(regions: number, zonesPerRegion: number): Map<string, string> {
  const zones = new Map<string, string>();
  for (let zone = 0; zone < zonesPerRegion; zone += 1) {
    for (let region = 0; region < regions; region += 1) {
      zones.set(`r${region}z${zone}`, `r${region}`);
    }
  }
  return zones;
}

/** Gives each gateway requests at a few runners, and new places all the time. */
function keepBusy(world: FleetWorld, { runners, placesPerSecond }: RegionFleetSize): void {
  const { random, clock } = world;
  let parts = 0;
  for (const gateway of world.gateways) {
    for (let count = 0; count < RUNNERS_IN_USE; count += 1) {
      gateway.loads.set(`runner ${random.integer(0, runners - 1)}`, 1);
    }
    const rows = Array.from({ length: SERVICES }, (_, key) => ({
      key,
      amounts: new Array<number>(RANKS).fill(1),
    }));
    const region = hashToNumber(world.regions!.regionByZone.get(zoneOfHost(world, gateway.host))!);
    gateway.aggregates = [
      { topic: AGGREGATE_TOPICS.serviceDemand, rows },
      { topic: AGGREGATE_TOPICS.regionGateways, rows: [{ key: region, amounts: [1] }] },
    ];
    const place = (): void => {
      const kept = Math.round((placesPerSecond * PLACE_MILLISECONDS) / 1_000);
      const isNew = random.uniform() < (placesPerSecond * PLACE_PERIOD_MILLISECONDS) / 1_000;
      parts += 1;
      const runnerHash = random.integer(0, runners - 1);
      const added = { runnerHash, part: promptKeyOf(`part ${parts}`), tokens: 500 };
      gateway.places = isNew ? [...gateway.places, added].slice(-kept) : gateway.places;
      clock.schedule(PLACE_PERIOD_MILLISECONDS, place);
    };
    place();
  }
}

/** Starts a busy fleet and lets the gateways find each other. */
export function startRegionFleet(
  world: FleetWorld,
  size: RegionFleetSize,
  areKnown: boolean,
): void {
  const regionByZone = regionZones(size.regions, size.zonesPerRegion);
  const linkMilliseconds = REGION_LINK_MILLISECONDS;
  startFleet(world, size.gateways, { regionByZone, areKnown, linkMilliseconds });
  keepBusy(world, size);
  wait(world, 12_000);
}

/** Bytes per second sent between regions. */
export function bytesBetweenRegions(world: FleetWorld, seconds: number): number {
  const { bytes } = world.betweenRegions;
  wait(world, seconds * 1_000);
  return (world.betweenRegions.bytes - bytes) / seconds;
}
