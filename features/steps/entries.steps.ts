/** Steps about entries of runners that come from other writers. */
import assert from 'node:assert/strict';
import { isIPv4 } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { decodeRunner } from '../../platform/configuration-codec.js';
import { takeItem } from '../../platform/take-item.js';
import type { ItemTakers } from '../../platform/take-item.js';
import { RefusedItems } from '../../platform/refused-items.js';
import { RUNNER_PREFIX } from '../../platform/store-keys.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const NUMBER_OF_RUNS = 5_000;
const SERVICE = 's';

interface World {
  entry?: string;
  takers?: ItemTakers;
  lines?: string[];
  /** Signs of the longest line. */
  longestLine?: number;
}

When(/^the entry of a runner reads (.*)$/, function (this: World, entry: string) {
  this.entry = entry;
});

Then('that entry is refused', function (this: World) {
  assert.ok(isLeft(decodeRunner('r', this.entry!)));
});

Then('any drawn entry is refused or names an address and places', function () {
  const drawn = fc.oneof(fc.string(), fc.json(), fc.integer(), fc.constant('10.0.0.1:80'));
  const entry = fc.record(
    {
      Service: fc.oneof(fc.constant(SERVICE), drawn),
      Address: drawn,
      State: fc.oneof(fc.constant('ready'), fc.constant('draining'), drawn),
      Zone: drawn,
      Slots: fc.oneof(fc.integer(), fc.double()),
    },
    { requiredKeys: [] },
  );
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    entry.map((value) => JSON.stringify(value)),
  );
  let taken = 0;
  fc.assert(
    fc.property(text, (value) => {
      const runner = decodeRunner('r', value);
      if (isRight(runner)) {
        taken += 1;
        const { host, port, slots } = runner.right;
        assert.ok(isIPv4(host) && port >= 1 && port <= 65_535 && Number.isInteger(port));
        assert.ok(Number.isInteger(slots) && slots >= 1);
      }
    }),
    { numRuns: NUMBER_OF_RUNS },
  );
  assert.ok(taken > 0, 'no drawn entry named a runner');
});

function entryOf(place: number): string {
  return JSON.stringify({ Service: SERVICE, Address: `10.0.0.${place}:80`, State: 'ready' });
}

function put(world: World, name: string, value: string): void {
  takeItem({ key: RUNNER_PREFIX + name, value, revision: 1 }, world.takers!);
}

Given(
  'gateways know the runners {string} and {string}',
  function (this: World, a: string, b: string) {
    const lines: string[] = [];
    const process = new SimulatedProcess(
      'g',
      new VirtualClock(),
      createRandom(1),
      (_level, _, fields) => {
        lines.push(String(fields?.event));
        this.longestLine = Math.max(this.longestLine ?? 0, JSON.stringify(fields).length);
      },
    );
    const runtime = process.begin();
    this.lines = lines;
    this.takers = {
      registry: new RunnerRegistry(runtime),
      directory: new MemberDirectory(runtime),
      refused: new RefusedItems(runtime),
      applyTable: () => undefined,
    };
    put(this, a, entryOf(1));
    put(this, b, entryOf(2));
  },
);

When(
  "the entry of {string} is written over with bytes that can't be read, {int} times",
  function (this: World, name: string, times: number) {
    for (let time = 0; time < times; time += 1) {
      put(this, name, '\uFFFD{');
    }
  },
);

When('the entry of {string} is written as before', function (this: World, name: string) {
  put(this, name, entryOf(1));
});

function inUse(world: World): string[] {
  return world
    .takers!.registry.candidates(SERVICE, [], new Set())
    .map(({ record }) => record.runner.id)
    .sort();
}

Then('only {string} is in use', function (this: World, name: string) {
  assert.deepEqual(inUse(this), [name]);
});

Then('{string} and {string} are in use', function (this: World, a: string, b: string) {
  assert.deepEqual(inUse(this), [a, b]);
});

When(
  '{int} entries of strangers are written, each {int} signs long, twice',
  function (this: World, count: number, signs: number) {
    const entry = JSON.stringify({ Service: SERVICE, Address: { text: 'x'.repeat(signs) } });
    for (let place = 0; place < 2 * count; place += 1) {
      put(this, `stranger-${place % count}`, entry);
    }
  },
);

Then(
  'at most {int} lines of at most {int} signs tell of them',
  function (this: World, lines: number, signs: number) {
    const told = this.lines!.filter((event) => event === 'item.refused').length;
    assert.ok(told > 0 && told <= lines, `${told} lines`);
    assert.ok(this.longestLine! <= signs, `${this.longestLine} signs`);
  },
);

Then('one line tells of it', function (this: World) {
  assert.equal(this.lines!.filter((event) => event === 'item.refused').length, 1);
});
