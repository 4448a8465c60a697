/** Steps for scenarios that end with a loss of all power. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { spreadOverZones } from '../../src/histories/zone-spread.js';
import { runPowerLossScenario } from '../../src/histories/power-loss-scenario.js';
import type { PowerLossScenarioResult } from '../../src/histories/power-loss-scenario.js';

/** Least number of turns that each scenario stores, so that its checks cover enough of them. */
const MINIMUM_TURNS = 200;

interface World {
  results?: PowerLossScenarioResult[];
}

When(
  'power loss scenarios with {int} replicas, {int} of them members, and {int} disks lost at once run from seed {int} to {int}',
  function (
    this: World,
    replicaCount: number,
    wantedMembers: number,
    lossesAtOnce: number,
    first: number,
    last: number,
  ) {
    this.results = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.results.push(runPowerLossScenario(seed, { replicaCount, wantedMembers, lossesAtOnce }));
    }
  },
);

When(
  'power loss scenarios with {int} replicas in {int} zones, of which 1 zone or {int} machines may be lost, run from seed {int} to {int}',
  function (
    this: World,
    replicaCount: number,
    zones: number,
    lossesAtOnce: number,
    first: number,
    last: number,
  ) {
    const spread = spreadOverZones(zones, lossesAtOnce);
    const { wantedMembers } = spread;
    const options = { replicaCount, wantedMembers, lossesAtOnce, spread };
    this.results = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.results.push(runPowerLossScenario(seed, { ...options, catchUpMilliseconds: 6_000 }));
    }
  },
);

Then('no power loss scenario violates an invariant', function (this: World) {
  const failed = this.results!.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(
    failed.map(({ seed, violations }) => `seed ${seed}: ${violations[0]}`),
    [],
  );
});

Then('turns were stored in each power loss scenario', function (this: World) {
  assert.ok(this.results!.length > 0 && this.results!.every(({ kept }) => kept >= MINIMUM_TURNS));
});
