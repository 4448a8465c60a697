/** Steps about quotas by whole programs, on simulated members and gateways in virtual time. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { QuotaSimulation } from '../support/quota-simulation.js';
import type { MemberFault, QuotaOutcome } from '../support/quota-simulation.js';

interface World {
  outcomes?: QuotaOutcome[];
  log: (text: string) => void;
}

const OVERLOAD = 7.5;

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

Then('the figures are printed', function (this: World) {
  const fields = Object.keys(this.outcomes![0]!) as (keyof QuotaOutcome)[];
  const sums = Object.fromEntries(fields.map((field) => [field, sumOf(this.outcomes!, field)]));
  const largestWindowShare = Math.max(...this.outcomes!.map((each) => each.largestWindowShare));
  this.log(JSON.stringify({ ...sums, largestWindowShare }));
  console.log(JSON.stringify({ ...sums, largestWindowShare }));
});
