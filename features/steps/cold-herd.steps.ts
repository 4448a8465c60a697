/** Steps about the end of a cold period: 72 gateways and 12 runners, 4 of which become warm, on 10 seeds. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { ColdPeriods } from '../../src/relay/runners/cold-periods.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { ColdHerdSimulation } from '../support/cold-herd-simulation.js';

const SEEDS = 10;
const END_MILLISECONDS = 8_000;
const RUNNER: Runner = {
  id: 'r',
  service: 's',
  host: '10.0.0.1',
  port: 80,
  zone: 'z',
  slots: 6,
  ready: true,
};

Then(
  'the coldness of a runner falls from 1 to 0 within 1 to 3 s after its cold period, at a different time for each gateway',
  function () {
    const ends = new Set<number>();
    const random = createRandom(1);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const clock = new VirtualClock();
      const periods = new ColdPeriods(new SimulatedProcess('g', clock, random).start());
      periods.update({ ...RUNNER, coldMilliseconds: 1_000 });
      clock.runUntil(1_000);
      let coldness = periods.coldnessOf(RUNNER);
      assert.equal(coldness, 1);
      while (coldness > 0) {
        clock.runUntil(clock.now + 10);
        const next = periods.coldnessOf(RUNNER);
        assert.ok(next < coldness && next > coldness - 0.02, `${coldness} to ${next}`);
        coldness = next;
      }
      assert.ok(clock.now >= 2_000 && clock.now <= 4_010, `${clock.now}`);
      ends.add(clock.now);
    }
    assert.ok(ends.size > SEEDS / 2);
  },
);

Then(
  'the charge for cold runners at least halves the queueing at runners that have just become warm, and later changes nothing',
  function () {
    const [charged, uncharged] = [[], ['cold']].map((off) => {
      let [excess, lateRequests] = [0, 0];
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const simulation = new ColdHerdSimulation(seed, off, END_MILLISECONDS).run();
        excess += simulation.excess;
        lateRequests += simulation.lateRequests;
      }
      return { excess, lateRequests };
    });
    assert.ok(charged!.excess < uncharged!.excess / 2, JSON.stringify({ charged, uncharged }));
    const ratio = charged!.lateRequests / uncharged!.lateRequests;
    assert.ok(ratio > 0.9 && ratio < 1.1, `${ratio}`);
  },
);
