/** Steps about histories of configuration and runners, in virtual time. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runConfigurationHistory } from '../../src/histories/configuration-history.js';
import type { InjectedConfigurationFault } from '../../src/histories/configuration-history.js';
import {
  minimizeFaults,
  runConfigurationHistories,
} from '../../src/histories/run-configuration-histories.js';
import type { ConfigurationHistoriesResult } from '../../src/histories/run-configuration-histories.js';

interface World {
  histories: ConfigurationHistoriesResult;
  injectedFault: InjectedConfigurationFault;
  gatewayCount: number;
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
    this.injectedFault = fault as InjectedConfigurationFault;
    this.gatewayCount = gateways;
    this.failingSeed = undefined;
    for (let seed = 1; seed <= seeds && this.failingSeed === undefined; seed += 1) {
      const { violations } = runConfigurationHistory(seed, {
        gateways,
        injectedFault: this.injectedFault,
      });
      this.failingSeed = violations.length > 0 ? seed : undefined;
    }
  },
);

Then('one breaks a promise, also with the fewest of its troubles', function (this: World) {
  const { failingSeed: seed, gatewayCount: gateways, injectedFault } = this;
  assert.ok(seed !== undefined, 'no history noticed it');
  const plan = minimizeFaults(seed, gateways, injectedFault);
  const { violations } = runConfigurationHistory(seed, { gateways, injectedFault, plan });
  assert.ok(violations.length > 0);
});
