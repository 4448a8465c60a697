/** Steps about routes, traffic splits, placement, estimates and event streams. They call the functions directly. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { chooseRunner } from '../../src/relay/placement/choose-runner.js';
import { chargesWithout } from '../../src/relay/placement/placement-charges.js';
import type { PlacementNeed } from '../../src/relay/placement/placement-charges.js';
import type { RunnerView } from '../../src/relay/runners/runner-view.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { EngineEstimate } from '../../src/relay/runners/engine-estimate.js';
import { PromptCacheEstimate } from '../../src/relay/runners/prompt-cache-estimate.js';
import { parsePromptParts } from '../../src/relay/request/relay-request.js';
import { LEAST_URGENT_RANK, rankOf } from '../../src/relay/request/request-rank.js';
import { EventSplitter } from '../../src/relay/answers/event-splitter.js';
import { createRoutingTable, findRoute } from '../../src/relay/request/routing-table.js';
import type { Route } from '../../src/relay/request/routing-table.js';
import { RunnerLatency, ServiceLatency } from '../../src/relay/runners/latency-estimate.js';
import { InactivityEstimate } from '../../src/relay/runners/inactivity-estimate.js';
import { TrafficSplit } from '../../src/relay/runners/traffic-split.js';

interface World {
  views: RunnerView[];
  chosen: string | undefined;
  promptCache: PromptCacheEstimate;
}

/** An engine with a prefill rate of 270 tokens per millisecond. */
const ENGINE = {
  millisecondsPerToken: 1 / 270,
  eventMillisecondsPerRequest: 0,
  meanEvents: 10,
};
const ALL_CHARGES = chargesWithout(new Set());

function needOf(zone: string, promptTokens: number, bodyBytes: number): PlacementNeed {
  return { zone, promptTokens, bodyBytes, affinityHash: 1, engine: ENGINE };
}

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };

function routeWith(pathPrefix: string, weights: readonly number[]): Route {
  return {
    name: pathPrefix,
    host: 'h',
    pathPrefix,
    kind: 'stream',
    timeoutMilliseconds: 1,
    targetMilliseconds: 1,
    priority: 0,
    services: weights.map((weight, index) => ({ service: `s${index}`, weight })),
    maximumAttempts: 1,
    resumable: false,
    retained: false,
    retentionSeconds: 0,
    isPublic: false,
  };
}

Then("any split gives each service its share within one program's requests", function () {
  const weights = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 2, maxLength: 4 });
  const programs = fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 30, maxLength: 60 });
  fc.assert(
    fc.property(weights, programs, (parts, lengths) => {
      const route = routeWith('/', parts);
      const split = new TrafficSplit();
      const counts = new Map<string, number>();
      let total = 0;
      lengths.forEach((length, program) => {
        const services = new Set<string>();
        for (let request = 0; request < length; request += 1) {
          const service = split.pick(route, `p${program}`)!;
          services.add(service);
          counts.set(service, (counts.get(service) ?? 0) + 1);
          total += 1;
        }
        assert.equal(services.size, 1);
      });
      const sum = parts.reduce((left, right) => left + right, 0);
      parts.forEach((weight, index) => {
        const off = Math.abs((counts.get(`s${index}`) ?? 0) - (total * weight) / sum);
        // All requests of a program go to one service, and several services may be behind at the same time.
        assert.ok(off <= 12 * parts.length, `share is ${off} of ${total} requests off`);
      });
    }),
  );
});

Then('a path matches the route of its host with the longest prefix', function () {
  const prefixes = ['/', '/a/', '/a/b/', '/a/b/c/', '/x/'];
  const routes = prefixes.map((prefix) => routeWith(prefix, [1]));
  fc.assert(
    fc.property(fc.shuffledSubarray(routes), fc.constantFrom(...prefixes), (some, base) => {
      const table = createRoutingTable(1, some, [], LIMITS);
      const path = `${base}leaf?query=/x/`;
      const matching = some.filter((route) => `${base}leaf`.startsWith(route.pathPrefix));
      const longest = matching.sort((l, r) => r.pathPrefix.length - l.pathPrefix.length)[0];
      assert.equal(findRoute(table, 'h', path), longest);
      assert.equal(findRoute(table, 'other', path), undefined);
    }),
  );
});

Then('a stream in chunks of any size gives the same events and the same bytes', function () {
  const event = fc.record({ id: fc.nat(999), data: fc.stringMatching(/^[ -~]{0,40}$/) });
  const ending = fc.constantFrom('\n', '\r\n');
  fc.assert(
    fc.property(fc.array(event), ending, fc.array(fc.nat(30)), (events, end, cuts) => {
      const text = events
        .map(({ id, data }) => `id: ${id}${end}data: ${data}${end}${end}`)
        .join('');
      const bytes = Buffer.from(text);
      const splitter = new EventSplitter();
      const found = [];
      let at = 0;
      for (const cut of [...cuts, bytes.length]) {
        found.push(...splitter.push(bytes.subarray(at, Math.min(bytes.length, at + cut))));
        at = Math.min(bytes.length, at + cut);
      }
      assert.deepEqual(
        found.map(({ id, data }) => ({ id, data: data.toString() })),
        events.map(({ id, data }) => ({ id: String(id), data })),
      );
      assert.equal(Buffer.concat(found.map((one) => one.bytes)).toString(), text);
      assert.equal(splitter.takeRest().length, 0);
    }),
  );
});

Given('runners {string}', function (this: World, text: string) {
  this.views = text.split(' ').map((word) => {
    const [id, zone, slots, inFlight, mean, cached] = word.split(':');
    return {
      id: id!,
      // Equal hashes keep the affinity charge from deciding here.
      hash: 0,
      zone: zone!,
      slots: Number(slots),
      inFlight: Number(inFlight),
      meanMilliseconds: Number(mean),
      cachedTokens: Number(cached),
      hasIdleConnection: true,
    };
  });
});

When(
  'a request with a prompt of {int} tokens in zone {string} is placed',
  function (this: World, promptTokens: number, zone: string) {
    const { engine, ...rest } = needOf(zone, promptTokens, 0);
    const need = { ...rest, engine: promptTokens > 0 ? engine : undefined };
    this.chosen = chooseRunner(this.views, need, ALL_CHARGES)?.id;
  },
);

When(
  'a request of {int} bytes with a prompt of {int} tokens in zone {string} is placed',
  function (this: World, bodyBytes: number, promptTokens: number, zone: string) {
    const need = needOf(zone, promptTokens, bodyBytes);
    this.chosen = chooseRunner(this.views, need, ALL_CHARGES)?.id;
  },
);

When('no connection to {string} is open', function (this: World, id: string) {
  this.views = this.views.map((view) => ({ ...view, hasIdleConnection: view.id !== id }));
});

/** Costs of an emulated engine, in milliseconds. */
interface EmulatedEngine {
  readonly perToken: number;
  readonly perRequest: number;
}

const BASE_MILLISECONDS = 25;
const BASE_PAUSE = 15;

/** Returns an estimate that has observed streams of an engine, with some noise. */
function learnFrom(engine: EmulatedEngine, streams: readonly number[]): EngineEstimate {
  const estimate = new EngineEstimate();
  streams.forEach((uncachedTokens, index) => {
    const running = 1 + (index % 8);
    const noise = ((index % 5) - 2) * 2;
    estimate.observe({
      uncachedTokens,
      running,
      firstEventMilliseconds: BASE_MILLISECONDS + uncachedTokens * engine.perToken + noise,
      pauseMilliseconds: BASE_PAUSE + running * engine.perRequest + noise / 4,
      eventCount: 10,
    });
  });
  return estimate;
}

const PROMPTS = fc.array(fc.integer({ min: 200, max: 6_000 }), { minLength: 60, maxLength: 60 });

Then(
  'the prefill rates of engines that differ twentyfold are known within 20 % after 60 streams',
  function () {
    const perToken = fc.constantFrom(1 / 10, 1 / 38, 1 / 90, 1 / 200);
    fc.assert(
      fc.property(PROMPTS, perToken, (prompts, rate) => {
        const learned = learnFrom({ perToken: rate, perRequest: 1 }, prompts);
        const ratio = learned.millisecondsPerToken / rate;
        assert.ok(ratio > 0.8 && ratio < 1.2, `${ratio} of the rate`);
      }),
    );
  },
);

Then('the delay that each concurrent request adds to events is known within 30 %', function () {
  fc.assert(
    fc.property(PROMPTS, fc.constantFrom(0.5, 2, 10), (prompts, perRequest) => {
      const learned = learnFrom({ perToken: 1 / 38, perRequest }, prompts);
      const ratio = learned.eventMillisecondsPerRequest / perRequest;
      assert.ok(ratio > 0.7 && ratio < 1.3, `${ratio} of the slope`);
    }),
  );
});

Then('stalled streams leave the prefill rate of an engine within its bounds', function () {
  const sample = fc.record({
    uncachedTokens: fc.option(fc.integer({ min: 0, max: 1e9 }), { nil: undefined }),
    running: fc.integer({ min: 1, max: 10_000 }),
    firstEventMilliseconds: fc.double({ min: 0, max: 1e9, noNaN: true }),
    pauseMilliseconds: fc.option(fc.double({ min: 0, max: 1e9, noNaN: true }), { nil: undefined }),
    eventCount: fc.integer({ min: 1, max: 1e6 }),
  });
  fc.assert(
    fc.property(fc.array(sample), (samples) => {
      const estimate = new EngineEstimate();
      samples.forEach((one) => estimate.observe(one));
      assert.ok(estimate.millisecondsPerToken > 0 && estimate.millisecondsPerToken <= 5);
      assert.ok(estimate.eventMillisecondsPerRequest >= 0);
      assert.ok(Number.isFinite(estimate.eventMillisecondsPerRequest));
    }),
  );
});

Given('a runner with a prompt cache of {int} tokens', function (this: World, tokens: number) {
  this.promptCache = new PromptCacheEstimate(() => tokens);
});

When(/^prompts "(.*)" and "(.*)" were read there$/, function (this: World, a: string, b: string) {
  [a, b].forEach((prompt) => this.promptCache.touch(parsePromptParts(prompt)));
});

Then(
  '{int} tokens of the prompt {string} are cached',
  function (this: World, tokens: number, prompt: string) {
    assert.equal(this.promptCache.leadingTokens(parsePromptParts(prompt)), tokens);
  },
);

/** Returns the inactivity timeout of a service after answers with these longest times without a byte. */
function timeoutAfter(silences: readonly number[]): number {
  const estimate = new InactivityEstimate();
  silences.forEach((silence) => estimate.observe(silence));
  return estimate.timeoutMilliseconds;
}

Then(
  'a service whose runners are inactive for {int} milliseconds is not probed before {int} milliseconds',
  function (usual: number, least: number) {
    const around = fc.integer({ min: Math.round(usual * 0.8), max: Math.round(usual * 1.2) });
    const silences = fc.array(around, { minLength: 20, maxLength: 60 });
    fc.assert(fc.property(silences, (some) => assert.ok(timeoutAfter(some) >= least)));
    fc.assert(fc.property(silences, (some) => assert.ok(timeoutAfter(some) <= usual * 2)));
  },
);

Then(
  'a service whose runners are never inactive for long is probed after {int} milliseconds',
  function (least: number) {
    const silences = fc.array(fc.integer({ min: 0, max: 40 }), { maxLength: 60 });
    fc.assert(fc.property(silences, (some) => assert.equal(timeoutAfter(some), least)));
  },
);

Then('no timeout exceeds {int} milliseconds', function (most: number) {
  const silences = fc.array(fc.integer({ min: 0, max: 1e9 }), { maxLength: 60 });
  fc.assert(fc.property(silences, (some) => assert.ok(timeoutAfter(some) <= most)));
});

Then(
  'streams of any length leave equally fast runners with the same expected latency',
  function () {
    const lengths = fc.array(fc.integer({ min: 4, max: 24 }), { minLength: 40, maxLength: 120 });
    fc.assert(
      fc.property(lengths, fc.integer({ min: 5, max: 60 }), (counts, perEvent) => {
        const service = new ServiceLatency();
        const runners = [new RunnerLatency(service), new RunnerLatency(service)];
        counts.forEach((eventCount, index) => {
          runners[index % 2]!.observe({ totalMilliseconds: eventCount * perEvent, eventCount });
        });
        const [first, second] = runners.map((runner) => runner.expectedMilliseconds);
        assert.equal(first, second);
      }),
    );
  },
);

Then(
  'a runner that takes five times as long is recognized after {int} requests',
  function (some: number) {
    const service = new ServiceLatency();
    const usual = new RunnerLatency(service);
    const slow = new RunnerLatency(service);
    for (let request = 0; request < 200; request += 1) {
      usual.observe({ totalMilliseconds: 100, eventCount: 0 });
    }
    for (let request = 0; request < some; request += 1) {
      slow.observe({ totalMilliseconds: 500, eventCount: 0 });
    }
    assert.ok(slow.expectedMilliseconds > usual.expectedMilliseconds * 1.4);
  },
);

Then('runner {string} is chosen', function (this: World, chosen: string) {
  assert.equal(this.chosen, chosen);
});

Then('late requests rank behind timely ones of the same and of the next priority', function () {
  const rank = (priority: number, deadlineAt: number): number => {
    const route = { ...routeWith('/', [1]), priority };
    const request = { route, programDeadlineAt: deadlineAt } as RelayRequest;
    return rankOf(request, 100);
  };
  for (let priority = 0; priority <= LEAST_URGENT_RANK; priority += 1) {
    const [timely, late, next] = [
      rank(priority, 101),
      rank(priority, 100),
      rank(priority + 1, 101),
    ];
    assert.ok(timely >= 0 && late <= LEAST_URGENT_RANK);
    assert.ok(timely <= next && timely <= late);
    if (late < LEAST_URGENT_RANK) {
      assert.ok(late > timely && late > next);
    }
  }
});
