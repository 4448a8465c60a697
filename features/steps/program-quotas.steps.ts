/** Steps about quotas by whole programs, on simulated members and gateways in virtual time. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { QuotaShareHistory } from '../support/quota-share-history.js';
import { QuotaSimulation } from '../support/quota-simulation.js';
import type { MemberFault, QuotaOutcome } from '../support/quota-simulation.js';

interface World {
  outcomes?: QuotaOutcome[];
  log: (text: string) => void;
}

const OVERLOAD = 7.5;
const SHARE_SEEDS = 60;
const PERCENT = 100;

When(
  /^83 tenants send programs on (\d+) seeds to (\d+) members of which one is (.+)$/,
  { timeout: 300_000 },
  function (this: World, seeds: string, members: string, fault: MemberFault) {
    this.outcomes = Array.from({ length: Number(seeds) }, (_, index) =>
      new QuotaSimulation({
        seed: index + 1,
        members: Number(members),
        fault,
        overload: OVERLOAD,
      }).run(),
    );
    const fields = Object.keys(this.outcomes[0]!) as (keyof QuotaOutcome)[];
    const sums = Object.fromEntries(fields.map((field) => [field, sumOf(this.outcomes!, field)]));
    this.log(JSON.stringify(sums));
  },
);

function sumOf(outcomes: readonly QuotaOutcome[], field: keyof QuotaOutcome): number {
  return outcomes.reduce((sum, outcome) => sum + outcome[field], 0);
}

Then('no window of any tenant holds more than its hard limit', function (this: World) {
  for (const { largestWindowShare } of this.outcomes!) {
    assert.ok(largestWindowShare <= 1, `${largestWindowShare}`);
  }
});

Then(
  'at least {int} in 100 of the programs that a clairvoyant policy completes within the {word} limit are completed',
  function (this: World, least: number, limit: 'configured' | 'hard') {
    const field = limit === 'hard' ? 'clairvoyantAtHardLimit' : 'clairvoyantAtLimit';
    const share = (PERCENT * sumOf(this.outcomes!, 'completed')) / sumOf(this.outcomes!, field);
    assert.ok(share >= least, `${share}`);
  },
);

Then(
  'fewer than {int} in 100 of the requests that ran were of programs that were cut off',
  function (this: World, most: number) {
    const share = (PERCENT * sumOf(this.outcomes!, 'wasted')) / sumOf(this.outcomes!, 'granted');
    assert.ok(share < most, `${share}`);
  },
);

Then(
  'whatever is lost, late, frozen or restarted among {int} members, no share has two holders',
  function (members: number) {
    for (let seed = 1; seed <= SHARE_SEEDS; seed += 1) {
      const history = new QuotaShareHistory(seed, members, false).run();
      assert.deepEqual(history.violations, [], `seed ${seed}`);
      assert.ok(history.largestShare > 1 - 1e-9, 'homes hold whole quotas');
    }
  },
);

Then('a lease that is counted from the receipt of the reply is detected', function () {
  const histories = Array.from({ length: SHARE_SEEDS }, (_, seed) =>
    new QuotaShareHistory(seed, 5, true).run(),
  );
  assert.ok(histories.some(({ violations }) => violations.length > 0));
});
