/** Steps for entries of runners that come from other writers. */
import assert from 'node:assert/strict';
import { isIPv4 } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { decodeRunner } from '../../platform/configuration-codec.js';
import { applyItem } from '../../platform/apply-item.js';
import type { ItemTargets } from '../../platform/apply-item.js';
import { RefusedItemLog } from '../../platform/refused-item-log.js';
import { RUNNER_PREFIX } from '../../platform/store-keys.js';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import { AppliedRevision } from '../../src/mirror/applied-revision.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import { UNKNOWN_TOPOLOGY } from '../../src/topology/topology.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const NUMBER_OF_RUNS = 5_000;
const SERVICE = 's';

interface World {
  entry?: string;
  itemTargets?: ItemTargets;
  /** The `event` field of each log line. */
  loggedEvents?: string[];
  /** Characters of the longest set of log fields, as JSON. */
  longestLineLength?: number;
}

When(/^the entry of a runner reads (.*)$/, function (this: World, entry: string) {
  this.entry = entry;
});

Then('that entry is refused', function (this: World) {
  assert.ok(isLeft(decodeRunner('r', this.entry!)));
});

Then('any generated entry is refused or has a valid address and slots', function () {
  const arbitraryValue = fc.oneof(fc.string(), fc.json(), fc.integer(), fc.constant('10.0.0.1:80'));
  const entry = fc.record(
    {
      Service: fc.oneof(fc.constant(SERVICE), arbitraryValue),
      Address: arbitraryValue,
      State: fc.oneof(fc.constant('ready'), fc.constant('draining'), arbitraryValue),
      Zone: arbitraryValue,
      Slots: fc.oneof(fc.integer(), fc.double()),
    },
    { requiredKeys: [] },
  );
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    entry.map((value) => JSON.stringify(value)),
  );
  let decodedCount = 0;
  fc.assert(
    fc.property(text, (value) => {
      const runner = decodeRunner('r', value);
      if (isRight(runner)) {
        decodedCount += 1;
        const { host, port, slots } = runner.right;
        assert.ok(isIPv4(host) && port >= 1 && port <= 65_535 && Number.isInteger(port));
        assert.ok(Number.isInteger(slots) && slots >= 1);
      }
    }),
    { numRuns: NUMBER_OF_RUNS },
  );
  assert.ok(decodedCount > 0, 'no generated entry was decoded as a runner');
});

function entryOf(hostNumber: number): string {
  return JSON.stringify({ Service: SERVICE, Address: `10.0.0.${hostNumber}:80`, State: 'ready' });
}

function putEntry(world: World, name: string, value: string): void {
  applyItem({ key: RUNNER_PREFIX + name, value, revision: 1 }, world.itemTargets!);
}

Given(
  'gateways know the runners {string} and {string}',
  function (this: World, first: string, second: string) {
    const events: string[] = [];
    const process = new SimulatedProcess(
      'g',
      new VirtualClock(),
      createRandom(1),
      (_level, _, fields) => {
        events.push(String(fields?.event));
        this.longestLineLength = Math.max(
          this.longestLineLength ?? 0,
          JSON.stringify(fields).length,
        );
      },
    );
    const runtime = process.start();
    this.loggedEvents = events;
    this.itemTargets = {
      registry: new RunnerRegistry(runtime),
      evacuatedZones: new EvacuatedZones(runtime),
      topology: UNKNOWN_TOPOLOGY,
      directory: new MemberDirectory(runtime),
      refusedItems: new RefusedItemLog(runtime),
      applyTable: () => true,
      appliedRevision: new AppliedRevision(),
    };
    putEntry(this, first, entryOf(1));
    putEntry(this, second, entryOf(2));
  },
);

When(
  "the entry of {string} is overwritten {int} times with bytes that can't be decoded",
  function (this: World, name: string, times: number) {
    for (let time = 0; time < times; time += 1) {
      putEntry(this, name, '\uFFFD{');
    }
  },
);

When('the entry of {string} is restored', function (this: World, name: string) {
  putEntry(this, name, entryOf(1));
});

function runnersInUse(world: World): string[] {
  return world
    .itemTargets!.registry.candidates(SERVICE, [], new Set())
    .map(({ record }) => record.runner.id)
    .sort();
}

Then('only {string} is in use', function (this: World, name: string) {
  assert.deepEqual(runnersInUse(this), [name]);
});

Then('{string} and {string} are in use', function (this: World, first: string, second: string) {
  assert.deepEqual(runnersInUse(this), [first, second]);
});

When(
  '{int} invalid entries of {int} characters each are written twice',
  function (this: World, count: number, length: number) {
    const entry = JSON.stringify({ Service: SERVICE, Address: { text: 'x'.repeat(length) } });
    for (let index = 0; index < 2 * count; index += 1) {
      putEntry(this, `stranger-${index % count}`, entry);
    }
  },
);

Then(
  'at most {int} log lines of at most {int} characters report them',
  function (this: World, maximumLines: number, maximumLength: number) {
    const lineCount = this.loggedEvents!.filter((event) => event === 'item.refused').length;
    assert.ok(lineCount > 0 && lineCount <= maximumLines, `${lineCount} log lines`);
    assert.ok(this.longestLineLength! <= maximumLength, `${this.longestLineLength} characters`);
  },
);

Then('one log line reports it', function (this: World) {
  assert.equal(this.loggedEvents!.filter((event) => event === 'item.refused').length, 1);
});
