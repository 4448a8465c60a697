/** Steps for seeded histories of stored turns and token accounts. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { TURN_FAULTS, ZONE_FAULTS } from '../../src/histories/turn-faults.js';
import { runTurnHistory } from '../../src/histories/turn-history.js';
import { spreadOverZones } from '../../src/histories/zone-spread.js';
import type { InjectedFault, TurnHistoryResult } from '../../src/histories/turn-history.js';

interface World {
  histories?: TurnHistoryResult[];
}

const INJECTED_FAULTS: Readonly<Record<string, InjectedFault>> = {
  'an emptied replica copies nothing': 'noRepair',
  'replicas acknowledge before the disk': 'hastyAcknowledge',
  'accounts never reach the disks': 'lostAccounts',
};
const MAXIMUM_SEEDS = 60;

When(
  'turn histories run from seed {int} to {int}',
  function (this: World, first: number, last: number) {
    this.histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.histories.push(runTurnHistory(seed));
    }
  },
);

When(
  'turn histories run from seed {int} to {int} with {int} replicas, {int} of them members',
  function (this: World, first: number, last: number, replicaCount: number, wantedMembers: number) {
    this.histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.histories.push(runTurnHistory(seed, { replicaCount, wantedMembers }));
    }
  },
);

When(
  'turn histories run from seed {int} to {int} with {int} replicas, {int} of them members, and {int} lost at once',
  function (
    this: World,
    first: number,
    last: number,
    replicaCount: number,
    wantedMembers: number,
    lossesAtOnce: number,
  ) {
    this.histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.histories.push(runTurnHistory(seed, { replicaCount, wantedMembers, lossesAtOnce }));
    }
  },
);

When(
  /^turn histories run from seed (\d+) to (\d+) with (\d+) replicas in (\d+) zones, of which 1 zone or (\d+) machines may be lost(, after an older build)?$/,
  function (
    this: World,
    first: string,
    last: string,
    replicas: string,
    zones: string,
    losses: string,
    olderBuild?: string,
  ) {
    const lossesAtOnce = Number(losses);
    const options = {
      replicaCount: Number(replicas),
      lossesAtOnce,
      spread: spreadOverZones(Number(zones), lossesAtOnce),
      catchUpMilliseconds: 6_000,
      startsWithOlderBuild: typeof olderBuild === 'string',
    };
    this.histories = [];
    for (let seed = Number(first); seed <= Number(last); seed += 1) {
      this.histories.push(runTurnHistory(seed, options));
    }
  },
);

Then('zones were lost and cut off', function (this: World) {
  const struck = new Set(this.histories!.flatMap((history) => history.faults));
  assert.deepEqual(
    ZONE_FAULTS.filter((fault) => !struck.has(fault)),
    [],
  );
});

Then('no turn history violates a guarantee', function (this: World) {
  const failed = this.histories!.filter((history) => history.violations.length > 0);
  assert.deepEqual(failed, []);
});

Then('turns were stored, and reservations were granted and refused', function (this: World) {
  for (const figure of ['kept', 'granted', 'refused'] as const) {
    const sum = this.histories!.reduce((total, history) => total + history[figure], 0);
    assert.ok(sum > 0, `the sum of "${figure}" over all histories is 0`);
  }
});

Then('every kind of fault occurred', function (this: World) {
  const struck = new Set(this.histories!.flatMap((history) => history.faults));
  assert.deepEqual(struck, new Set(TURN_FAULTS));
});

When('turn histories run with the injected fault {string}', function (this: World, fault: string) {
  this.histories = [];
  for (let seed = 1; seed <= MAXIMUM_SEEDS; seed += 1) {
    const history = runTurnHistory(seed, { injectedFault: INJECTED_FAULTS[fault]! });
    this.histories.push(history);
    // Some injected faults also cost service, often earlier; only the violations that they are meant to cause count.
    if (history.violations.some((violation) => !violation.startsWith('service'))) {
      return;
    }
  }
});

Then('the guarantee about {string} is violated', function (this: World, promise: string) {
  const violations = this.histories!.flatMap((history) => history.violations);
  assert.ok(violations.some((violation) => violation.startsWith(promise)));
});
