/** Steps about placement in several regions. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PLACEMENT_CHARGES } from '../../src/relay/placement/placement-charges.js';
import { runnersInReach } from '../../src/relay/placement/region-overflow.js';
import type { RunnerView } from '../../src/relay/runners/runner-view.js';
import { ZoneDistances } from '../../src/topology/zone-distances.js';
import { RegionPlacement } from '../support/region-placement.js';
import type { RegionPolicy } from '../support/region-placement.js';
import { THREE_REGIONS } from '../support/region-state.js';

interface World {
  played: Map<RegionPolicy, RegionPlacement[]>;
  overflowShare: number;
}

const POLICIES: readonly RegionPolicy[] = [
  'by region',
  'previous',
  'own region only',
  'region-blind',
];
const PAIRS_AND_SECONDS = 3 * 80;
const DISTANCES = new ZoneDistances({
  runtime: { now: () => 0 },
  topology: THREE_REGIONS,
  zone: 'a1',
});

Given(
  '67 gateways before 24 engines in 3 regions, and the load of one region between 0.5 and 1.3 of its capacity',
  function (this: World) {
    this.played = new Map();
  },
);

When(
  '{int} seeds are played by region, with the previous placement, with the own region only and blind to regions',
  { timeout: 400_000 },
  function (this: World, seeds: number) {
    for (const policy of POLICIES) {
      const runs = Array.from({ length: seeds }, (_, index) =>
        new RegionPlacement(index + 1, policy).run(),
      );
      this.played.set(policy, runs);
    }
  },
);

function meanOf(runs: readonly RegionPlacement[]): number {
  return runs.reduce((sum, { meanMilliseconds }) => sum + meanMilliseconds, 0) / runs.length;
}

Then(
  'the mean program time by region is at least {float} below each of the others',
  function (this: World, share: number) {
    const means = POLICIES.map((policy) => meanOf(this.played.get(policy)!));
    const [byRegion, ...others] = means;
    assert.ok(byRegion! <= Math.min(...others) * (1 - share), means.join(' '));
  },
);

Then(
  'by region two regions exchange overflow in less than {float} of the seconds',
  function (this: World, share: number) {
    const runs = this.played.get('by region')!;
    const exchanges = runs.reduce((sum, run) => sum + run.exchanges, 0);
    assert.ok(exchanges < share * runs.length * PAIRS_AND_SECONDS, `${exchanges} exchanges`);
  },
);

Given('that the load of the other region is not known', function () {
  DISTANCES.isLoadKnown = () => false;
});

After(() => {
  DISTANCES.isLoadKnown = () => true;
});

function viewOf(zone: string, inFlight: number, meanMilliseconds: number): RunnerView {
  const id = zone;
  const known = { cachedTokens: 0, hasIdleConnection: true, hash: 1, slots: 6 };
  return { id, zone, inFlight, meanMilliseconds, ...known };
}

Given(
  'runners of the own region with {int} of 6 slots taken and of another with {int}, {int} ms a request',
  function (this: World, own: number, other: number, milliseconds: number) {
    const views = [
      viewOf('a1', own, milliseconds),
      viewOf('a2', own, milliseconds),
      viewOf('b1', other, milliseconds),
    ];
    this.overflowShare = runnersInReach(views, DISTANCES).overflowShare;
  },
);

Then(
  'the share that overflows is between {float} and {float}',
  function (this: World, least: number, most: number) {
    const { overflowShare } = this;
    assert.ok(overflowShare >= least && overflowShare <= most, `${overflowShare}`);
  },
);

Then(
  'a body of {int} kilobytes is charged {int} ms to another zone and {int} ms to another region',
  function (kilobytes: number, ofZone: number, ofRegion: number) {
    const need = { promptTokens: 0, bodyBytes: kilobytes * 1_000, affinityHash: 1 };
    const charged = ['a2', 'b1'].map((zone) =>
      PLACEMENT_CHARGES.zone(viewOf(zone, 0, 100), {
        ...need,
        zone: 'a1',
        distances: DISTANCES,
        engine: undefined,
      }),
    );
    assert.deepEqual(charged, [ofZone, ofRegion]);
  },
);
