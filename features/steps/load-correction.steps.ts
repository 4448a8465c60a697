/** Steps for the correction of reported loads by observed waits. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import { LoadCorrection } from '../../src/relay/admission/load-correction.js';
import type { ObservedWait } from '../../src/relay/admission/load-correction.js';

interface World {
  now: number;
  correction: LoadCorrection;
}

const SERVICE = 'engines';
const TURN_MILLISECONDS = 240;
const IDLE: ObservedWait = {
  predictedMilliseconds: 0,
  explainedMilliseconds: 0,
  observedMilliseconds: 0,
  turnMilliseconds: TURN_MILLISECONDS,
  aheadShare: 1,
  loadAgeMilliseconds: 300,
};
const WAITS = 100;

Then(
  'waits of {int} turns that were not predicted raise the load of their service alone, to at most {int} times',
  function (this: World, turns: number, most: number) {
    this.now = 0;
    this.correction = new LoadCorrection({ now: () => this.now });
    assert.equal(this.correction.factorOf(SERVICE), 1);
    for (let wait = 0; wait < WAITS; wait += 1) {
      const observedMilliseconds = turns * TURN_MILLISECONDS;
      this.correction.observe(SERVICE, { ...IDLE, observedMilliseconds });
    }
    assert.equal(this.correction.factorOf(SERVICE), most);
    assert.equal(this.correction.factorOf('others'), 1);
  },
);

Then(
  'without further waits the load is as reported after {int} seconds',
  function (this: World, seconds: number) {
    this.now += seconds * 1_000;
    assert.equal(this.correction.factorOf(SERVICE), 1);
  },
);

Then("single long waits among many turns that don't wait leave the load as reported", function () {
  const correction = new LoadCorrection({ now: () => 0 });
  for (let wait = 0; wait < 10 * WAITS; wait += 1) {
    const observedMilliseconds = wait % 34 === 0 ? 10 * TURN_MILLISECONDS : 0;
    correction.observe(SERVICE, { ...IDLE, observedMilliseconds });
    assert.equal(correction.factorOf(SERVICE), 1);
  }
});

Then(
  'absurd waits leave the load between {int} and {int} times the reported one',
  function (least: number, most: number) {
    const amount = fc.oneof(fc.double(), fc.constantFrom(0, -1, Infinity, -Infinity, NaN));
    const wait = fc.record({
      predictedMilliseconds: amount,
      explainedMilliseconds: amount,
      observedMilliseconds: amount,
      turnMilliseconds: amount,
      aheadShare: amount,
      loadAgeMilliseconds: amount,
    });
    fc.assert(
      fc.property(fc.array(wait), (waits) => {
        const correction = new LoadCorrection({ now: () => 0 });
        for (const each of waits) {
          correction.observe(SERVICE, each);
          const factor = correction.factorOf(SERVICE);
          assert.ok(factor >= least && factor <= most, `${factor}`);
        }
      }),
    );
  },
);
