/** Steps about the limits of cold runners, as many gateways apply them in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { AggregateRegistry } from '../../src/peers/aggregate-registry.js';
import { AGGREGATE_TOPICS } from '../../src/peers/aggregates.js';
import { ColdLimits, shareOf } from '../../src/relay/runners/cold-limits.js';
import { GatewayPositions } from '../../src/relay/runners/gateway-positions.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { COLD_LIMIT, ColdSimulation } from '../support/cold-simulation.js';
import type { ColdScenario } from '../support/cold-simulation.js';

const WARM_PER_SECOND = 12;
const WANTED_SHARE = 0.9;
const PARTITION_AT_MILLISECONDS = 2_500;

interface World {
  scenario: ColdScenario;
  maximumArrivals: number;
  usedShares: number[];
  clock: VirtualClock;
  limits: ColdLimits;
  publish: () => void;
  aggregates: AggregateRegistry;
  arrivals: number[];
}

Given(
  '{int} runners, {int} of which turn cold at once, and {int} requests a second from {int} gateways',
  function (
    this: World,
    runners: number,
    coldRunners: number,
    requestsPerSecond: number,
    gateways: number,
  ) {
    const load = { requestsPerSecond, warmPerSecond: WARM_PER_SECOND };
    const faults = {
      stallMilliseconds: 0,
      restartsPerSecond: 0,
      partitionAtMilliseconds: Infinity,
    };
    this.scenario = { seed: 1, gateways, runners, coldRunners, ...load, ...faults };
  },
);

Given('a gateway restarts every {float} seconds', function (this: World, seconds: number) {
  this.scenario = { ...this.scenario, restartsPerSecond: 1 / seconds };
});

Given('a network partition splits the gateways into two halves', function (this: World) {
  this.scenario = { ...this.scenario, partitionAtMilliseconds: PARTITION_AT_MILLISECONDS };
});

Given(
  'the paths to one of them are interrupted for {int} ms',
  function (this: World, stallMilliseconds: number) {
    this.scenario = { ...this.scenario, stallMilliseconds };
  },
);

const FAULTS: Record<string, (scenario: ColdScenario) => Partial<ColdScenario>> = {
  'send one request a second each': ({ gateways }) => ({
    limiterOptions: { rankFor: () => ({ rank: 1, gateways }) },
  }),
  'send two requests a second more than the limit': () => ({
    limiterOptions: { allowance: { factor: 1.5, slack: 7 } },
  }),
  'take requests for arrived once they are sent': () => ({ assumesArrival: true }),
  'have never known the gateways of the other half': () => ({ partitionAtMilliseconds: 0 }),
};

Given(/^gateways that (.+)$/, function (this: World, fault: string) {
  this.scenario = { ...this.scenario, ...FAULTS[fault]!(this.scenario) };
});

When(
  '{int} seeds are simulated with load information 0.3 s old',
  function (this: World, seeds: number) {
    this.maximumArrivals = 0;
    this.usedShares = [];
    for (let seed = 1; seed <= seeds; seed += 1) {
      const simulation = new ColdSimulation({ ...this.scenario, seed }).run();
      this.maximumArrivals = Math.max(this.maximumArrivals, simulation.maximumArrivals);
      this.usedShares.push(simulation.usedShare);
    }
  },
);

Then(
  'no cold runner gets more than {int} requests in any second',
  function (this: World, limit: number) {
    assert.equal(limit, COLD_LIMIT);
    assert.ok(this.maximumArrivals > 0);
    assert.ok(this.maximumArrivals <= limit, `${this.maximumArrivals}`);
  },
);

Then(
  'some cold runner gets more than {int} requests in a second',
  function (this: World, limit: number) {
    assert.ok(this.maximumArrivals > limit, `${this.maximumArrivals}`);
  },
);

Then(
  'at least {float} of the requests that the limit allows are sent to cold runners',
  function (this: World, share: number) {
    assert.equal(share, WANTED_SHARE);
    const mean = this.usedShares.reduce((sum, each) => sum + each, 0) / this.usedShares.length;
    assert.ok(mean >= share, `${mean}`);
  },
);

Then(
  'for any limit and number of gateways, the shares of all ranks add up to the limit',
  function () {
    fc.assert(
      fc.property(fc.nat(500), fc.integer({ min: 1, max: 500 }), (limit, gateways) => {
        let sum = 0;
        for (let rank = 1; rank <= gateways; rank += 1) {
          sum += shareOf(limit, { rank, gateways });
        }
        assert.equal(sum, limit);
      }),
    );
  },
);

const RUNNER: Runner = {
  id: 'r',
  service: 's',
  host: '10.0.0.1',
  port: 80,
  zone: 'z',
  slots: 6,
  ready: true,
};

Given('a gateway that started now and expects others', function (this: World) {
  this.clock = new VirtualClock();
  const runtime = new SimulatedProcess('g', this.clock, createRandom(1)).start();
  this.aggregates = new AggregateRegistry();
  const positions = new GatewayPositions({
    runtime,
    name: 'g',
    aggregates: this.aggregates,
    isEnabled: () => true,
    isNeeded: () => true,
    knownGateways: () => 1,
    expectsPeers: () => true,
  });
  this.limits = new ColdLimits({
    runtime,
    allowance: { factor: 1, slack: 0 },
    requestsPerSecond: () => 10,
    isCold: () => true,
    rankFor: (hash) => positions.rankFor(hash),
    isSettled: () => positions.isSettled,
    onWithheld: () => undefined,
  });
  this.publish = () => {
    this.aggregates.collectOwn();
    this.clock.schedule(100, this.publish);
  };
  this.publish();
});

Then(
  'it withholds requests from cold runners for 2 s, and as long as it knows no other gateway',
  function (this: World) {
    this.clock.runUntil(60_000);
    assert.ok(this.limits.excludes(RUNNER));
    const others = new Map([
      [0, [1]],
      [2 ** 32 - 1, [1, 2, 1]],
    ]);
    this.aggregates.ofOthers = (topic) =>
      topic === AGGREGATE_TOPICS.gatewayPositions ? others : new Map();
    this.clock.runUntil(61_000);
    assert.ok(!this.limits.excludes(RUNNER));
    assert.equal(this.limits.permitDelays([RUNNER]).length, 5);
  },
);

const LIVES = 5;
const ATTEMPT_INTERVAL_MILLISECONDS = 50;

Given('a gateway that knows its rank as soon as it starts', function (this: World) {
  this.clock = new VirtualClock();
});

When(
  'it sends all it may to a cold runner, and does so again whenever it has restarted after {int} ms',
  function (this: World, pause: number) {
    const process = new SimulatedProcess('g', this.clock, createRandom(1));
    this.arrivals = [];
    for (let life = 0; life < LIVES; life += 1) {
      const limits = new ColdLimits({
        runtime: process.start(),
        allowance: { factor: 1.5, slack: 5 },
        requestsPerSecond: () => 24,
        isCold: () => true,
        rankFor: () => ({ rank: 1, gateways: 1 }),
        isSettled: () => true,
        onWithheld: () => undefined,
      });
      const sentBefore = this.arrivals.length;
      while (this.arrivals.length === sentBefore) {
        this.clock.runUntil(this.clock.now + ATTEMPT_INTERVAL_MILLISECONDS);
        while (!limits.excludes(RUNNER)) {
          limits.recordSend(RUNNER);
          this.arrivals.push(this.clock.now);
        }
      }
      process.kill();
      this.clock.runUntil(this.clock.now + pause);
    }
  },
);

Then(
  'the runner gets no more than {int} requests in any second, and {int} again once a second has passed',
  function (this: World, limit: number, share: number) {
    for (const from of this.arrivals) {
      const within = this.arrivals.filter((at) => at >= from && at < from + 1_000);
      assert.ok(within.length <= limit, `${within.length} from ${from} ms on`);
    }
    assert.equal(this.arrivals.length, share * LIVES);
  },
);
