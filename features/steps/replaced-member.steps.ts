/** Steps about machines that are gone for good and those that take their place. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { playReplacementDay } from '../../src/histories/replacement-day.js';
import type { Replacement, ReplacementDayResult } from '../../src/histories/replacement-day.js';

/** Turns that each day keeps at least, so that a pass means something. */
const LEAST_TURNS = 80;

interface World {
  replacements?: ReplacementDayResult[];
}

When(
  'days of a machine replaced, {string}, with {int} replicas, {int} of them members, {int} disks lost at once and {int} milliseconds to catch up are played with seeds {int} to {int}',
  function (
    this: World,
    replacement: Replacement,
    replicaCount: number,
    wantedMembers: number,
    lossesAtOnce: number,
    catchUpMilliseconds: number,
    first: number,
    last: number,
  ) {
    const sizes = { replicaCount, wantedMembers, lossesAtOnce };
    this.replacements = [];
    for (let seed = first; seed <= last; seed += 1) {
      const options = { ...sizes, replacement, catchUpMilliseconds };
      this.replacements.push(playReplacementDay(seed, options));
    }
  },
);

Then('no replacement breaks a promise', function (this: World) {
  const broken = this.replacements!.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(
    broken.map(({ seed, violations }) => `seed ${seed}: ${violations[0]}`),
    [],
  );
  assert.ok(this.replacements!.every(({ kept }) => kept >= LEAST_TURNS));
});
