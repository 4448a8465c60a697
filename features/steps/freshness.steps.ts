/**
 * Steps about the freshness of a gateway's copy of the store, and about expired entries of runners.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  freshnessTimingsFor,
  worstCaseApplyMilliseconds,
} from '../../src/mirror/freshness-timings.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { running, wait } from '../support/gateway-fleet.js';
import type { FleetWorld } from '../support/gateway-fleet.js';

const NUMBER_OF_RUNS = 1_000;

interface World extends FleetWorld {
  bound: number;
  callsMeanwhile: number;
  registry: RunnerRegistry;
}

const SERVICE = 'engines';

function runnerNamed(id: string): Runner {
  return { id, service: SERVICE, host: 'h', port: 1, zone: 'z', slots: 4, ready: true };
}

function worstCaseOf(bound: number): number {
  return worstCaseApplyMilliseconds(freshnessTimingsFor(bound));
}

function callsOf(world: FleetWorld): number {
  return world.gateways.reduce((sum, { store }) => sum + store.callCount, 0);
}

Given(
  'a bound of {int} milliseconds for changes of the configuration',
  function (this: World, bound: number) {
    this.bound = bound;
  },
);

Then('the worst path of a change takes at most that long', function (this: World) {
  assert.ok(worstCaseOf(this.bound) <= this.bound, `${worstCaseOf(this.bound)} ms`);
});

Then('the worst path of a change leaves a tenth of that', function (this: World) {
  assert.ok(worstCaseOf(this.bound) <= 0.9 * this.bound, `${worstCaseOf(this.bound)} ms`);
});

Then(
  'the worst path fits every drawn bound from {int} to {int} milliseconds',
  function (least: number, most: number) {
    const bound = fc.integer({ min: least, max: most });
    fc.assert(
      fc.property(bound, (drawn) => worstCaseOf(drawn) <= drawn),
      { numRuns: NUMBER_OF_RUNS },
    );
  },
);

Then('the worst path does not fit a bound of {int} milliseconds', function (bound: number) {
  assert.ok(worstCaseOf(bound) > bound);
});

Then(
  'after {int} milliseconds each has a proof at most {int} milliseconds old',
  function (this: World, milliseconds: number, most: number) {
    wait(this, milliseconds);
    const ages = running(this).map(({ freshness }) => freshness.proofAgeMilliseconds);
    assert.ok(Math.max(...ages) <= most, `the oldest is ${Math.max(...ages)} ms old`);
    const missing = running(this).map(({ freshness }) => freshness.ageMilliseconds);
    assert.ok(Math.max(...missing) <= most, `a copy is ${Math.max(...missing)} ms behind`);
  },
);

When(
  'the store does not answer for {int} milliseconds',
  function (this: World, milliseconds: number) {
    const before = callsOf(this);
    this.gateways.forEach(({ store }) => store.stopAnswering());
    wait(this, milliseconds);
    this.callsMeanwhile = callsOf(this) - before;
  },
);

When(
  'messages between gateways take {int} milliseconds longer and the store does not answer for {int} milliseconds',
  function (this: World, delay: number, milliseconds: number) {
    this.delayMilliseconds = delay;
    this.gateways.forEach(({ store }) => store.stopAnswering());
    wait(this, milliseconds);
  },
);

Then(
  'each knows that its newest proof is at least {int} milliseconds old',
  function (this: World, least: number) {
    const ages = running(this).map(({ freshness }) => freshness.proofAgeMilliseconds);
    assert.ok(Math.min(...ages) >= least, `the youngest is ${Math.min(...ages)} ms old`);
  },
);

Then(
  'in {int} milliseconds all gateways together send at most {int} short reads',
  function (this: World, milliseconds: number, most: number) {
    const readsOf = (): number =>
      this.gateways.reduce((sum, { store }) => sum + store.keyReadCount, 0);
    const before = readsOf();
    wait(this, milliseconds);
    const reads = readsOf() - before;
    assert.ok(reads > 0 && reads <= most, `${reads} reads`);
  },
);

When('the store refuses the first {int} of them', function (this: World, count: number) {
  const first = [...this.gateways].sort(
    (left, right) => left.gossip.proofRank.rank - right.gossip.proofRank.rank,
  );
  first.slice(0, count).forEach(({ store }) => {
    store.mode = 'refusing';
    store.refuseWatches = true;
  });
});

Then('all together made at most {int} calls meanwhile', function (this: World, most: number) {
  assert.ok(this.callsMeanwhile <= most, `${this.callsMeanwhile} calls`);
});

Given('the runners {string} are listed', function (this: World, names: string) {
  this.clock = new VirtualClock();
  this.registry = new RunnerRegistry(
    new SimulatedProcess('g', this.clock, createRandom(1)).start(),
  );
  names.split(' ').forEach((name) => this.registry.put(runnerNamed(name)));
});

Given(
  'the runners {string} are listed at a process whose timers come half a millisecond early',
  function (this: World, names: string) {
    this.clock = new VirtualClock();
    const runtime = new SimulatedProcess('g', this.clock, createRandom(1)).start();
    const setTimer: typeof runtime.setTimer = (delay, callback) =>
      runtime.setTimer(Math.max(0, delay - 0.5), callback);
    this.registry = new RunnerRegistry({ ...runtime, setTimer });
    names.split(' ').forEach((name) => this.registry.put(runnerNamed(name)));
  },
);

When('the runner {string} leaves', function (this: World, name: string) {
  this.registry.remove(name);
});

When(
  'the entries of {string} lapse and may be written again for {int} milliseconds',
  function (this: World, names: string, milliseconds: number) {
    names.split(' ').forEach((name) => this.registry.scheduleRemoval(name, milliseconds));
  },
);

When('the entry of {string} is written again', function (this: World, name: string) {
  this.registry.put(runnerNamed(name));
});

When('{int} milliseconds pass', function (this: World, milliseconds: number) {
  wait(this, milliseconds);
});

Then('the runners {string} may get requests', function (this: World, names: string) {
  const usable = this.registry.candidates(SERVICE, [], new Set()).map(({ id }) => id);
  assert.deepEqual(usable.sort(), names.split(' '));
});

When('the store answers again', function (this: World) {
  this.gateways.forEach(({ store }) => store.resumeAnswering());
});

Then(
  /^(?:after (\d+) milliseconds )?(no|every) missing entry counts as lapsed$/,
  function (this: World, milliseconds: string | undefined, which: string) {
    wait(this, Number(milliseconds ?? 0));
    for (const { freshness, host } of running(this)) {
      const counts = freshness.expiryGraceMilliseconds > 0;
      assert.equal(counts, which === 'every', `${host}: ${freshness.expiryGraceMilliseconds} ms`);
    }
  },
);
