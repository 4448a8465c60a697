/**
 * Steps about many gateways with stale load information. The simulation has 57 gateways and 32 engines with 12 slots,
 * 640 requests per second of about half a second each, and loads that are reported 0.3 s late. All engines have the
 * shared part of the prompts cached.
 */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import { chooseRunner } from '../../src/relay/placement/choose-runner.js';
import { sampleCandidates } from '../../src/relay/placement/sample-candidates.js';
import { chargesWithout } from '../../src/relay/placement/placement-charges.js';
import type { PlacementNeed } from '../../src/relay/placement/placement-charges.js';
import type { LoadView } from '../../src/relay/runners/runner-view.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const GATEWAYS = 57;
const RUNNERS = 32;
const SLOTS = 12;
const REQUESTS_PER_SECOND = 640;
const REQUEST_MILLISECONDS = 500;
const AGE_MILLISECONDS = 300;
const PERIOD_MILLISECONDS = 100;
const LENGTH_MILLISECONDS = 10_000;
const SHARED_TOKENS = 12_600;
const OWN_TOKENS = 1_700;
const NEED: PlacementNeed = {
  zone: 'z',
  promptTokens: SHARED_TOKENS + OWN_TOKENS,
  bodyBytes: OWN_TOKENS,
  affinityHash: 1,
  engine: { millisecondsPerToken: 1 / 270, eventMillisecondsPerRequest: 0.5, meanEvents: 8 },
};

type Draw = (views: readonly LoadView[], random: RandomSource) => readonly LoadView[];

/** Requests on each runner, by the gateway that sent them. */
type Loads = number[][];

class StaleLoadSimulation {
  private readonly clock = new VirtualClock();
  private readonly random = createRandom(17);
  private readonly charges = chargesWithout(new Set());
  private readonly loads: Loads = Array.from({ length: RUNNERS }, () =>
    new Array<number>(GATEWAYS).fill(0),
  );
  /** The most recently published loads, the oldest first. */
  private published: Loads[] = [];
  /** Requests beyond the slots of the chosen runner, summed over all requests sent. */
  excess = 0;
  sent = 0;

  constructor(private readonly draw: Draw) {}

  run(): this {
    this.publish();
    this.sendNext();
    this.clock.runUntil(LENGTH_MILLISECONDS);
    return this;
  }

  private publish(): void {
    this.published.push(this.loads.map((byGateway) => [...byGateway]));
    this.published = this.published.slice(-1 - AGE_MILLISECONDS / PERIOD_MILLISECONDS);
    this.clock.schedule(PERIOD_MILLISECONDS, () => this.publish());
  }

  private sendNext(): void {
    const gateway = this.random.integer(0, GATEWAYS - 1);
    const views = this.loads.map((byGateway, index) => this.viewOf(index, gateway, byGateway));
    const chosen = chooseRunner(this.draw(views, this.random), NEED, this.charges)!;
    const byGateway = this.loads[Number(chosen.id)]!;
    byGateway[gateway]! += 1;
    this.sent += 1;
    this.excess += Math.max(0, byGateway.reduce((sum, count) => sum + count, 0) - SLOTS);
    this.clock.schedule(this.random.exponential(REQUEST_MILLISECONDS), () => {
      byGateway[gateway]! -= 1;
    });
    this.clock.schedule(this.random.exponential(1_000 / REQUESTS_PER_SECOND), () =>
      this.sendNext(),
    );
  }

  private viewOf(index: number, gateway: number, now: readonly number[]): LoadView {
    const publishedLoads = this.published[0]![index]!;
    const others = publishedLoads.reduce(
      (sum, count, from) => sum + (from === gateway ? 0 : count),
      0,
    );
    return {
      id: String(index),
      hash: index,
      zone: 'z',
      slots: SLOTS,
      inFlight: now[gateway]! + others,
      inFlightOfOthers: others,
      meanMilliseconds: REQUEST_MILLISECONDS,
      cachedTokens: SHARED_TOKENS,
      hasIdleConnection: true,
    };
  }
}

Then(
  'with loads reported 0.3 s late, sampling runners causes less than a sixth of the queueing that comparing all of them causes',
  function () {
    const all = new StaleLoadSimulation((views) => views).run();
    const drawn = new StaleLoadSimulation((views, random) =>
      sampleCandidates(views, AGE_MILLISECONDS, random),
    ).run();
    const [excessOfAll, excess] = [all.excess / all.sent, drawn.excess / drawn.sent];
    assert.ok(excessOfAll > 10, `${excessOfAll}`);
    assert.ok(excess < excessOfAll / 6, `${excess} of ${excessOfAll}`);
  },
);

Then('if others send few requests before they are reported, all runners are compared', function () {
  const views = Array.from({ length: RUNNERS }, (_, index) => viewWith(index, 0, 2));
  assert.equal(sampleCandidates(views, AGE_MILLISECONDS / 3, createRandom(1)).length, RUNNERS);
});

function viewWith(index: number, cachedTokens: number, inFlightOfOthers: number): LoadView {
  return {
    id: String(index),
    hash: index,
    zone: 'z',
    slots: SLOTS,
    inFlight: inFlightOfOthers,
    inFlightOfOthers,
    meanMilliseconds: REQUEST_MILLISECONDS,
    cachedTokens,
    hasIdleConnection: true,
  };
}

Then('a runner with the most cached tokens is always among those compared', function () {
  const cachedTokens = fc.array(fc.nat(20_000), { minLength: 1, maxLength: 80 });
  fc.assert(
    fc.property(cachedTokens, fc.nat(), (tokens, seed) => {
      const views = tokens.map((cachedTokens, index) => viewWith(index, cachedTokens, SLOTS));
      const compared = sampleCandidates(views, AGE_MILLISECONDS, createRandom(seed + 1));
      const most = Math.max(...tokens);
      assert.ok(compared.some(({ cachedTokens }) => cachedTokens === most));
      assert.equal(new Set(compared).size, compared.length);
      assert.ok(compared.length <= 3);
    }),
  );
});
