/** Steps for seeded histories of configuration changes and runners in virtual time. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runConfigurationHistory } from '../../src/histories/configuration-history.js';
import type { InjectedConfigurationFault } from '../../src/histories/configuration-history.js';
import { planFirstRankedFaults } from '../../src/histories/configuration-plan.js';
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
  'configuration histories run from seed {int} to {int} with {int} gateway(s)',
  function (this: World, first: number, last: number, gateways: number) {
    this.histories = runConfigurationHistories(first, last, gateways);
  },
);

When(
  'configuration histories with stalled first-ranked gateways run from seed {int} to {int} with {int} gateways',
  function (this: World, first: number, last: number, gateways: number) {
    this.histories = runConfigurationHistories(first, last, gateways, planFirstRankedFaults);
  },
);

Then('no check finds a violation', function (this: World) {
  const { violations, looks, changes } = this.histories;
  assert.deepEqual(violations, []);
  assert.ok(looks > 0 && changes > 0, `${looks} checks of ${changes} changes`);
});

When(
  'histories with the injected fault {string} and {int} gateways run until one of {int} seeds fails',
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

Then('one violates an invariant, also with a minimized list of faults', function (this: World) {
  const { failingSeed: seed, gatewayCount: gateways, injectedFault } = this;
  assert.ok(seed !== undefined, 'no history detected the injected fault');
  const plan = minimizeFaults(seed, gateways, injectedFault);
  const { violations } = runConfigurationHistory(seed, { gateways, injectedFault, plan });
  assert.ok(violations.length > 0);
});
