/** Steps about machines that are gone for good and those that take their place. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { playReplacementDay } from '../../src/histories/replacement-day.js';
import type { Replacement, ReplacementDayResult } from '../../src/histories/replacement-day.js';
import { playSplitDay } from '../../src/histories/split-day.js';
import type { SplitDayResult } from '../../src/histories/split-day.js';

/** Turns that each day keeps at least, so that a pass means something. */
const LEAST_TURNS = 80;
/** Short, so that the members change while they are split. */
const SPLIT_CATCH_UP_MILLISECONDS = 6_000;

interface World {
  splits?: SplitDayResult[];
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

When(
  'days with {int} replicas, {int} of them members, of which {int} are cut off from the others, are played with seeds {int} to {int}',
  function (
    this: World,
    replicaCount: number,
    wantedMembers: number,
    cutOffCount: number,
    first: number,
    last: number,
  ) {
    const options = { replicaCount, wantedMembers, lossesAtOnce: cutOffCount };
    this.splits = [];
    for (let seed = first; seed <= last; seed += 1) {
      const catchUpMilliseconds = SPLIT_CATCH_UP_MILLISECONDS;
      this.splits.push(playSplitDay(seed, { ...options, catchUpMilliseconds }, cutOffCount));
    }
  },
);

Then('no turn that was kept is denied, although the members changed', function (this: World) {
  const broken = this.splits!.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(
    broken.map(({ seed, violations }) => `seed ${seed}: ${violations[0]}`),
    [],
  );
  assert.ok(this.splits!.every(({ kept }) => kept >= LEAST_TURNS));
  assert.ok(this.splits!.every(({ epochs }) => epochs > 0));
});
