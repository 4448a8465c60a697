/** Steps about gossip between gateways of several regions, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { promptKeyOf } from '../../src/relay/request/relay-request.js';
import { AGGREGATE_TOPICS } from '../../src/peers/aggregates.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import {
  allKnow,
  areInDifferentRegions,
  changeKey,
  running,
  wait,
} from '../support/gateway-fleet.js';
import type { FleetGateway, FleetWorld } from '../support/gateway-fleet.js';
import { bytesBetweenRegions, startRegionFleet } from '../support/region-fleet.js';
import type { RegionFleetSize } from '../support/region-fleet.js';

interface World extends FleetWorld {
  size: RegionFleetSize;
}

const PLACES_PER_SECOND = 9;
const MEASURED_SECONDS = 4;
const TIMEOUT = { timeout: 60_000 };
const RUNNER = 'watched runner';
const RUNNER_HASH = hashToNumber(RUNNER);
const PART = promptKeyOf('watched part');

Given(
  '{int} gateways in {int} regions of {int} zones with {int} runners',
  TIMEOUT,
  function (this: World, gateways: number, regions: number, zones: number, runners: number) {
    const placesPerSecond = PLACES_PER_SECOND;
    this.size = { gateways, regions, zonesPerRegion: zones, runners, placesPerSecond };
    startRegionFleet(this, this.size, true);
  },
);

Then(
  'they send at most {int} bytes a second between regions, less than a twentieth of what they send without regions',
  TIMEOUT,
  function (this: World, most: number) {
    const bytes = bytesBetweenRegions(this, MEASURED_SECONDS);
    const blind = {} as FleetWorld;
    startRegionFleet(blind, this.size, false);
    const bytesBefore = bytesBetweenRegions(blind, MEASURED_SECONDS);
    assert.ok(bytes <= most && bytes < bytesBefore / 20, `${bytes} of ${bytesBefore} bytes`);
  },
);

/** Whether each running gateway knows the requests of all others at the watched runner. */
function allKnowLoads(world: FleetWorld): boolean {
  const alive = running(world);
  const ownOf = ({ loads }: FleetGateway): number => loads.get(RUNNER) ?? 0;
  const all = alive.reduce((sum, gateway) => sum + ownOf(gateway), 0);
  return alive.every(
    (gateway) => gateway.gossip.inFlightOfOthers(RUNNER_HASH) === all - ownOf(gateway),
  );
}

Then(
  'each knows the load of all others within {int} ms of a change',
  TIMEOUT,
  function (this: World, milliseconds: number) {
    this.gateways.forEach(({ loads }, index) => loads.set(RUNNER, 1 + (index % 3)));
    const { clock } = this;
    const known = clock.runUntil(clock.now + milliseconds, () => allKnowLoads(this));
    const counts = running(this).map(({ gossip }) => gossip.inFlightOfOthers(RUNNER_HASH));
    assert.ok(known, `known requests: ${counts.join(' ')}`);
  },
);

Then(
  'a place of a prompt is known in its region within {int} ms, and in no other',
  TIMEOUT,
  function (this: World, milliseconds: number) {
    const [reporter] = this.gateways;
    reporter!.places = [{ runnerHash: 5, part: PART, tokens: 900 }];
    const isFar = ({ host }: FleetGateway): boolean =>
      areInDifferentRegions(this, reporter!.host, host);
    const knowing = (): FleetGateway[] =>
      this.gateways.filter(({ receivedPlaces }) => receivedPlaces.has(PART));
    const near = this.gateways.filter((gateway) => gateway !== reporter && !isFar(gateway));
    const allNear = (): boolean => near.every(({ receivedPlaces }) => receivedPlaces.has(PART));
    wait(this, 200);
    reporter!.places = [];
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds - 200, allNear));
    wait(this, 2_000);
    assert.deepEqual(knowing().filter(isFar), []);
  },
);

Then(
  /^a change of the store is known to all within (\d+) ms(, fetched from gateways of the own region)?$/,
  TIMEOUT,
  function (this: World, milliseconds: string, fetchedNear: string | undefined) {
    this.fetchesBetweenRegions = 0;
    changeKey(this);
    const known = this.clock.runUntil(this.clock.now + Number(milliseconds), () => allKnow(this));
    assert.ok(known, 'some do not know the change');
    if (fetchedNear !== undefined) {
      assert.equal(this.fetchesBetweenRegions, 0);
    }
  },
);

When(
  'the regions are cut off from each other for {int} ms',
  TIMEOUT,
  function (this: World, milliseconds: number) {
    this.regionsAreCut = true;
    wait(this, milliseconds);
  },
);

Then(/^each gateway counts gateways of (\d+) regions?$/, function (this: World, count: string) {
  for (const { gossip } of running(this)) {
    const counted = gossip.aggregatesOfOthers(AGGREGATE_TOPICS.regionGateways);
    const present = [...counted.values()].filter(([gateways]) => gateways! > 0);
    assert.equal(present.length, Number(count));
  }
});

When('the regions reach each other again', function (this: World) {
  this.regionsAreCut = false;
});
