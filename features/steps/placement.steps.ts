/** Steps about routes, splits, placement and events; plain data in, decisions out. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { chooseRunner } from '../../src/relay/choose-runner.js';
import type { RunnerView } from '../../src/relay/choose-runner.js';
import { ProgramAdmission } from '../../src/relay/program-admission.js';
import type { ServiceLoad } from '../../src/relay/program-admission.js';
import type { RelayRequest } from '../../src/relay/relay-request.js';
import { LEAST_URGENT, urgencyOf } from '../../src/relay/urgency.js';
import { EventSplitter } from '../../src/relay/event-splitter.js';
import { createRoutingTable, findRoute } from '../../src/relay/routing-table.js';
import type { Route } from '../../src/relay/routing-table.js';
import { RunnerPace, ServicePace } from '../../src/relay/service-pace.js';
import { TrafficSplit } from '../../src/relay/traffic-split.js';

interface World {
  admission: ProgramAdmission;
  load: ServiceLoad;
  admitted: boolean;
  views: RunnerView[];
  chosen: string | undefined;
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
        // A program is placed as a whole, and several services may be behind at a time.
        assert.ok(off <= 12 * parts.length, `share is ${off} of ${total} requests off`);
      });
    }),
  );
});

Then('a path finds the route with the longest prefix of its host', function () {
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

Then('any chunks of a stream give the same events and the same bytes', function () {
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
      zone: zone!,
      slots: Number(slots),
      inFlight: Number(inFlight),
      meanMilliseconds: Number(mean),
      cachedTokens: Number(cached),
    };
  });
});

When(
  'a request with a prompt of {int} tokens in zone {string} is placed',
  function (this: World, promptTokens: number, zone: string) {
    const need = { zone, promptTokens, bodyBytes: 0, affinityKey: 'k' };
    this.chosen = chooseRunner(this.views, need)?.id;
  },
);

When(
  'a request of {int} bytes with a prompt of {int} tokens in zone {string} is placed',
  function (this: World, bodyBytes: number, promptTokens: number, zone: string) {
    const need = { zone, promptTokens, bodyBytes, affinityKey: 'k' };
    this.chosen = chooseRunner(this.views, need)?.id;
  },
);

Then('streams of any length leave a usual runner as fast as its service', function () {
  const lengths = fc.array(fc.integer({ min: 4, max: 24 }), { minLength: 40, maxLength: 120 });
  fc.assert(
    fc.property(lengths, fc.integer({ min: 5, max: 60 }), (counts, perEvent) => {
      const service = new ServicePace();
      const runners = [new RunnerPace(service), new RunnerPace(service)];
      counts.forEach((eventCount, index) => {
        runners[index % 2]!.take({ totalMilliseconds: eventCount * perEvent, eventCount });
      });
      const [first, second] = runners.map((runner) => runner.expectedMilliseconds);
      assert.equal(first, second);
    }),
  );
});

Then(
  'a runner that takes five times as long is known after {int} requests',
  function (some: number) {
    const service = new ServicePace();
    const usual = new RunnerPace(service);
    const slow = new RunnerPace(service);
    for (let request = 0; request < 200; request += 1) {
      usual.take({ totalMilliseconds: 100, eventCount: 0 });
    }
    for (let request = 0; request < some; request += 1) {
      slow.take({ totalMilliseconds: 500, eventCount: 0 });
    }
    assert.ok(slow.expectedMilliseconds > usual.expectedMilliseconds * 1.4);
  },
);

Then('it goes to {string}', function (this: World, chosen: string) {
  assert.equal(this.chosen, chosen);
});

const EMPTY: ServiceLoad = { inFlight: 0, slots: 100 };

Given(
  'runners with {int} places that hold {int} requests',
  function (this: World, slots: number, inFlight: number) {
    this.admission = new ProgramAdmission();
    this.load = { inFlight, slots };
    assert.ok(this.admission.admit('known', false, () => EMPTY, 1));
  },
);

When('a program on a route of priority {int} begins', function (this: World, priority: number) {
  const fresh = `fresh ${Math.random()}`;
  this.admitted = this.admission.admit(fresh, false, () => this.load, priority);
});

When('{int} turns of late programs arrive', function (this: World, count: number) {
  for (let turn = 0; turn < count; turn += 1) {
    this.admission.admit('known', true, () => this.load, 1);
  }
});

When('{int} turns of timely programs arrive', function (this: World, count: number) {
  for (let turn = 0; turn < count; turn += 1) {
    this.admission.admit('known', false, () => this.load, 1);
  }
});

Then('it is let in', function (this: World) {
  assert.equal(this.admitted, true);
});

Then('it is kept out', function (this: World) {
  assert.equal(this.admitted, false);
});

Then('a program that was let in before is let in again', function (this: World) {
  assert.ok(this.admission.admit('known', false, () => this.load, 1));
});

Then('late requests rank behind timely ones of the same and of the next priority', function () {
  const rank = (priority: number, deadlineAt: number): number => {
    const route = { ...routeWith('/', [1]), priority };
    const request = { route, programDeadlineAt: deadlineAt } as RelayRequest;
    return urgencyOf(request, 100);
  };
  for (let priority = 0; priority <= LEAST_URGENT; priority += 1) {
    const [timely, late, next] = [
      rank(priority, 101),
      rank(priority, 100),
      rank(priority + 1, 101),
    ];
    assert.ok(timely >= 0 && late <= LEAST_URGENT);
    assert.ok(timely <= next && timely <= late);
    if (late < LEAST_URGENT) {
      assert.ok(late > timely && late > next);
    }
  }
});
