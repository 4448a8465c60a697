/** Steps for seeded histories of stored turns and token accounts. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { TURN_FAULTS } from '../../src/histories/turn-faults.js';
import { runTurnHistory } from '../../src/histories/turn-history.js';
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
  'histories of turns with seeds {int} to {int} are played',
  function (this: World, first: number, last: number) {
    this.histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.histories.push(runTurnHistory(seed));
    }
  },
);

When(
  'histories of turns with seeds {int} to {int} are played with {int} replicas of which {int} are to be members',
  function (this: World, first: number, last: number, replicaCount: number, wantedMembers: number) {
    this.histories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.histories.push(runTurnHistory(seed, { replicaCount, wantedMembers }));
    }
  },
);

When(
  'histories of turns with seeds {int} to {int} are played with {int} replicas of which {int} are to be members and {int} are lost at once',
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

Then('no promise about turns is broken', function (this: World) {
  const failed = this.histories!.filter((history) => history.violations.length > 0);
  assert.deepEqual(failed, []);
});

Then('turns were kept, tokens granted and budgets refused', function (this: World) {
  for (const figure of ['kept', 'granted', 'refused'] as const) {
    const sum = this.histories!.reduce((total, history) => total + history[figure], 0);
    assert.ok(sum > 0, `the sum of "${figure}" over all histories is 0`);
  }
});

Then('every kind of fault struck', function (this: World) {
  const struck = new Set(this.histories!.flatMap((history) => history.faults));
  assert.deepEqual(struck, new Set(TURN_FAULTS));
});

When(
  'histories of turns are played with the planted fault {string}',
  function (this: World, fault: string) {
    this.histories = [];
    for (let seed = 1; seed <= MAXIMUM_SEEDS; seed += 1) {
      const history = runTurnHistory(seed, { injectedFault: INJECTED_FAULTS[fault]! });
      this.histories.push(history);
      // Some injected faults also cost service, often earlier; only the violations that they are meant to cause count.
      if (history.violations.some((violation) => !violation.startsWith('service'))) {
        return;
      }
    }
  },
);

Then('a promise about {string} is broken', function (this: World, promise: string) {
  const violations = this.histories!.flatMap((history) => history.violations);
  assert.ok(violations.some((violation) => violation.startsWith(promise)));
});
