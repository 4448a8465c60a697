/** Steps about histories of configuration and runners, in virtual time. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runConfigurationHistory } from '../../src/histories/configuration-history.js';
import type { PlantedConfigurationFault } from '../../src/histories/configuration-history.js';
import {
  fewestTroubles,
  runConfigurationHistories,
} from '../../src/histories/run-configuration-histories.js';
import type { ConfigurationHistoriesResult } from '../../src/histories/run-configuration-histories.js';

interface World {
  histories: ConfigurationHistoriesResult;
  planted: PlantedConfigurationFault;
  plantedGateways: number;
  failingSeed: number | undefined;
}

When(
  'histories of seeds {int} to {int} are played with {int} gateway(s)',
  function (this: World, first: number, last: number, gateways: number) {
    this.histories = runConfigurationHistories(first, last, gateways);
  },
);

Then('no promise is broken at any look', function (this: World) {
  const { violations, looks, changes } = this.histories;
  assert.deepEqual(violations, []);
  assert.ok(looks > 0 && changes > 0, `${looks} looks at ${changes} changes`);
});

When(
  'a history with the planted fault {string} and {int} gateways is sought among {int} seeds',
  function (this: World, fault: string, gateways: number, seeds: number) {
    this.planted = fault as PlantedConfigurationFault;
    this.plantedGateways = gateways;
    this.failingSeed = undefined;
    for (let seed = 1; seed <= seeds && this.failingSeed === undefined; seed += 1) {
      const { violations } = runConfigurationHistory(seed, { gateways, planted: this.planted });
      this.failingSeed = violations.length > 0 ? seed : undefined;
    }
  },
);

Then('one breaks a promise, also with the fewest of its troubles', function (this: World) {
  const { failingSeed: seed, plantedGateways: gateways, planted } = this;
  assert.ok(seed !== undefined, 'no history noticed it');
  const plan = fewestTroubles(seed, gateways, planted);
  const { violations } = runConfigurationHistory(seed, { gateways, planted, plan });
  assert.ok(violations.length > 0);
});
