/** Steps for seeded histories of streams that are resumed. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { runStreamHistory } from '../../src/histories/stream-history.js';
import type {
  InjectedStreamFault,
  StreamHistoryResult,
} from '../../src/histories/stream-history.js';

const PERCENT = 100;

interface World {
  streamHistories: StreamHistoryResult[];
}

When(
  'stream histories run from seed {int} to {int} with {int} gateways',
  function (this: World, first: number, last: number, gateways: number) {
    this.streamHistories = [];
    for (let seed = first; seed <= last; seed += 1) {
      this.streamHistories.push(runStreamHistory(seed, { gateways }));
    }
  },
);

When(
  'the stream history of seed {int} runs with the mistake {string}',
  function (this: World, seed: number, injectedFault: InjectedStreamFault) {
    this.streamHistories = [runStreamHistory(seed, { injectedFault })];
  },
);

Then('no stream history violates a promise', function (this: World) {
  const broken = this.streamHistories.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(broken, []);
});

Then('it violates {string}', function (this: World, promise: string) {
  const violations = this.streamHistories.flatMap((history) => history.violations);
  assert.ok(violations.some((violation) => violation.includes(promise)));
});

Then(
  'at least {int} percent of the resumptions without a recent fault went on',
  function (this: World, percent: number) {
    const sum = (of: (history: StreamHistoryResult) => number): number =>
      this.streamHistories.reduce((total, history) => total + of(history), 0);
    const due = sum(({ dueResumptions }) => dueResumptions);
    assert.ok(due > 0);
    assert.ok(sum(({ dueResumed }) => dueResumed) * PERCENT >= percent * due);
  },
);
