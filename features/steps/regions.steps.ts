/** Steps about deployments with several regions. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { ZoneDistances } from '../../src/topology/zone-distances.js';

interface World {
  clock: VirtualClock;
  topology: Topology;
  zone: string;
  distances: ZoneDistances;
}

Given(
  'zones {string} in regions {string}, seen from {string}',
  function (this: World, zones: string, regions: string, zone: string) {
    const regionNames = regions.split(' ');
    this.topology = new Topology(
      new Map(zones.split(' ').map((name, index) => [name, regionNames[index]!])),
    );
    const clock = new VirtualClock();
    this.clock = clock;
    this.zone = zone;
    const runtime = { now: () => clock.now };
    this.distances = new ZoneDistances({ runtime, topology: this.topology, zone });
  },
);

When(
  'round trips to {string} of {string} ms are measured',
  function (this: World, zone: string, milliseconds: string) {
    milliseconds.split(' ').forEach((each) => this.distances.recordRoundTrip(zone, Number(each)));
  },
);

When('{int} seconds pass between regions', function (this: World, seconds: number) {
  this.clock.runUntil(this.clock.now + seconds * 1_000);
});

Then(
  'the round trips to {string} are {string} ms',
  function (this: World, zones: string, milliseconds: string) {
    const found = zones
      .split(' ')
      .map((zone) => this.distances.roundTripMilliseconds(this.zone, zone));
    assert.equal(found.join(' '), milliseconds);
  },
);

Then(
  'the zones {string} are ordered {string} by distance',
  function (this: World, zones: string, ordered: string) {
    const items = zones.split(' ').map((zone) => ({ zone }));
    const found = this.distances.nearestFirst(items).map(({ zone }) => zone);
    assert.equal(found.join(' '), ordered);
  },
);

Then('no delay is added for any zone', function (this: World) {
  for (const zone of this.topology.zones) {
    assert.equal(this.distances.allowanceMilliseconds(zone), 0);
  }
});
