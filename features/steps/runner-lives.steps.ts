/** Steps about runners that restart under their id: the registry alone, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { parsePromptParts } from '../../src/relay/request/relay-request.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import type { RunnerCandidate } from '../../src/relay/runners/runner-registry.js';
import { incarnationHash, incarnationOf } from '../../src/relay/runners/runner.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const SERVICE = 's';
const PARTS = parsePromptParts('5c1e07a2:800');
const REMOVAL_DELAY_MILLISECONDS = 500;

interface World {
  clock: VirtualClock;
  registry: RunnerRegistry;
  /** Requests in flight that other gateways report, by the hash of an incarnation. */
  remoteInFlight: Map<number, number>;
  runner: Runner;
  before: RunnerCandidate;
}

function runnerStartedAt(startedAt: number | undefined): Runner {
  const place = { service: SERVICE, host: '10.0.0.1', port: 80, zone: 'z', slots: 4 };
  return { id: 'a', startedAt, ...place, ready: true };
}

function createRegistry(world: World): void {
  world.clock = new VirtualClock();
  const process = new SimulatedProcess('g', world.clock, createRandom(1));
  world.registry = new RunnerRegistry(process.start());
  world.remoteInFlight = new Map();
  world.registry.inFlightOfOthers = (hash) => world.remoteInFlight.get(hash) ?? 0;
}

function candidateOf({ registry }: World): RunnerCandidate {
  const [candidate, second] = registry.candidates(SERVICE, PARTS, new Set());
  assert.ok(candidate !== undefined && second === undefined);
  return candidate;
}

const STATE_SETUPS: Record<string, (world: World, record: RunnerCandidate['record']) => void> = {
  'that it has a prompt cached': ({ registry }, record) => {
    registry.noteRequestSent(record, PARTS);
    registry.noteRequestEnded(record, undefined);
  },
  'that it has requests in flight': ({ registry }, record) => registry.noteRequestSent(record, []),
  'that other gateways have requests in flight there': ({ remoteInFlight, runner }) =>
    remoteInFlight.set(incarnationHash(runner), 3),
  'that it is unreachable': ({ registry }, record) => registry.markUnreachable(record, 'test'),
  'that peers reported a cached prompt': ({ registry, runner }) =>
    registry.learnCachedPart(incarnationHash(runner), PARTS[0]!.key, PARTS[0]!.tokens),
  'that its removal is scheduled': ({ registry, runner }) =>
    registry.scheduleRemoval(runner.id, REMOVAL_DELAY_MILLISECONDS),
};

Given(
  /^a runner "a" born at (\d+) of which (.+) is believed$/,
  function (this: World, startedAt: string, state: string) {
    createRegistry(this);
    this.runner = runnerStartedAt(Number(startedAt));
    this.registry.put(this.runner);
    STATE_SETUPS[state]!(this, candidateOf(this).record);
    this.before = candidateOf(this);
  },
);

When('its entry reports a start at {int}', function (this: World, startedAt: number) {
  this.registry.put(runnerStartedAt(startedAt));
});

When(
  'its entry reports a start at {int} at another address',
  function (this: World, startedAt: number) {
    this.registry.put({ ...runnerStartedAt(startedAt), host: '10.0.0.2' });
  },
);

When('its entry no longer reports a start time', function (this: World) {
  this.registry.put(runnerStartedAt(undefined));
});

Then('none of that state is attributed to it', function (this: World) {
  const candidate = candidateOf(this);
  assert.deepEqual([candidate.inFlight, candidate.cachedTokens], [0, 0]);
  assert.deepEqual([candidate.record.failures, candidate.record.unreachable], [0, false]);
  assert.equal(candidate.record.unhealthyUntil, 0);
  this.clock.runUntil(this.clock.now + 2 * REMOVAL_DELAY_MILLISECONDS);
  assert.equal(candidateOf(this).record.removedAt, undefined);
});

Then(
  'it is still the incarnation started at {int}, with all of its state',
  function (this: World, startedAt: number) {
    const candidate = candidateOf(this);
    assert.equal(candidate.record, this.before.record);
    assert.deepEqual(candidate.record.runner, runnerStartedAt(startedAt));
    assert.equal(candidate.cachedTokens, PARTS[0]!.tokens);
  },
);

Then(
  'a request that the earlier incarnation refused may be sent to it, and requests that end at the earlier one change nothing',
  function (this: World) {
    const refusedBy = new Set([incarnationOf(this.runner)]);
    assert.equal(this.registry.candidates(SERVICE, PARTS, refusedBy).length, 1);
    this.registry.noteRequestEnded(this.before.record, undefined);
    assert.equal(candidateOf(this).inFlight, 0);
  },
);

Then(
  'of the entries of several incarnations in any order the latest is used, with no state of the others',
  function (this: World) {
    const startTimes = fc.array(fc.nat(5), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(startTimes, (each) => {
        createRegistry(this);
        each.forEach((startedAt) => {
          this.registry.put(runnerStartedAt(startedAt));
          const latest = candidateOf(this);
          this.registry.noteRequestSent(latest.record, PARTS);
        });
        const latest = candidateOf(this);
        const startedAt = Math.max(...each);
        assert.equal(latest.record.runner.startedAt, startedAt);
        const since = each.slice(each.indexOf(startedAt));
        assert.equal(latest.inFlight, since.length);
      }),
    );
  },
);
