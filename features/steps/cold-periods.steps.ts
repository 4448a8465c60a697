/** Steps about the cold periods of runners: store entries and the registry alone, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { applyItem, removeItem } from '../../platform/apply-item.js';
import type { ItemTargets } from '../../platform/apply-item.js';
import { RefusedItemLog } from '../../platform/refused-item-log.js';
import { RUNNER_PREFIX } from '../../platform/store-keys.js';
import { parsePromptParts } from '../../src/relay/request/relay-request.js';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import { incarnationHash } from '../../src/relay/runners/runner.js';
import { AppliedRevision } from '../../src/mirror/applied-revision.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import type { RunnerCandidate } from '../../src/relay/runners/runner-registry.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { UNKNOWN_TOPOLOGY } from '../../src/topology/topology.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const SERVICE = 's';
const ZONE = 'z1';
const COLD_START_MILLISECONDS = 4_000;
const PARTS = parsePromptParts('5c1e07a2:800');

interface World {
  clock: VirtualClock;
  targets: ItemTargets;
  events: string[];
}

function putEntry(world: World, revision: number, coldTime: unknown): void {
  const entry = {
    Service: SERVICE,
    Address: '10.0.0.1:80',
    State: 'ready',
    Zone: ZONE,
    born: 1_000,
  };
  const value = JSON.stringify({ ...entry, ColdRemainingMs: coldTime });
  applyItem({ key: `${RUNNER_PREFIX}a`, value, revision }, world.targets);
}

function candidateOf({ targets }: World): RunnerCandidate {
  const [candidate] = targets.registry.candidates(SERVICE, PARTS, new Set());
  assert.ok(candidate !== undefined);
  return candidate;
}

function isCold(world: World): boolean {
  return world.targets.registry.coldPeriods.isCold(candidateOf(world).record.runner);
}

function countOf({ events }: World, event: string): number {
  return events.filter((each) => each === event).length;
}

Given('a gateway that knows a runner with a cached prompt', function (this: World) {
  this.clock = new VirtualClock();
  this.events = [];
  const log = (_level: string, _message: string, fields?: { readonly event?: unknown }): void => {
    this.events.push(String(fields?.event));
  };
  const runtime = new SimulatedProcess('g', this.clock, createRandom(1), log).start();
  const registry = new RunnerRegistry(runtime);
  const directory = new MemberDirectory(runtime);
  const refusedItems = new RefusedItemLog(runtime);
  const evacuatedZones = new EvacuatedZones(runtime);
  evacuatedZones.onRestored = (zone) => registry.noteZoneRestored(zone);
  registry.coldStartMillisecondsOf = () => COLD_START_MILLISECONDS;
  const targets = { registry, directory, refusedItems, evacuatedZones };
  const topology = UNKNOWN_TOPOLOGY;
  this.targets = {
    ...targets,
    topology,
    applyTable: () => true,
    appliedRevision: new AppliedRevision(),
  };
  putEntry(this, 1, undefined);
  const { record } = candidateOf(this);
  registry.noteRequestSent(record, PARTS);
  registry.noteRequestEnded(record, undefined);
});

When(
  'its entry of revision {int} reports {int} ms of cold time',
  function (this: World, revision: number, coldMilliseconds: number) {
    putEntry(this, revision, coldMilliseconds);
  },
);

When(
  /^its entry reports the invalid cold time (.+) three times$/,
  function (this: World, coldTime: string) {
    [2, 3, 4].forEach((revision) => putEntry(this, revision, JSON.parse(coldTime)));
  },
);

When(/^(\d+) ms pass(?:es)?$/, function (this: World, milliseconds: string) {
  this.clock.runUntil(this.clock.now + Number(milliseconds));
});

When('the runner leaves the list for {int} ms', function (this: World, milliseconds: number) {
  removeItem(`${RUNNER_PREFIX}a`, 0, 3, this.targets);
  this.clock.runUntil(this.clock.now + milliseconds);
  assert.deepEqual(this.targets.registry.candidates(SERVICE, PARTS, new Set()), []);
});

When('its zone is evacuated and restored', function (this: World) {
  const { evacuatedZones } = this.targets;
  evacuatedZones.evacuate(ZONE, 2);
  evacuatedZones.restore(ZONE, 3);
});

When('a peer reports the cached prompt', function (this: World) {
  const hash = incarnationHash(candidateOf(this).record.runner);
  this.targets.registry.learnCachedPart(hash, PARTS[0]!.key, PARTS[0]!.tokens);
});

Then('the runner is cold with an empty cache, and one log line reports it', function (this: World) {
  assert.ok(isCold(this));
  assert.equal(candidateOf(this).cachedTokens, 0);
  assert.equal(countOf(this, 'runner.cold'), 1);
  assert.equal(this.targets.registry.coldPeriods.coldCount, 1);
});

Then('the runner is cold', function (this: World) {
  assert.ok(isCold(this));
});

Then('the runner is warm', function (this: World) {
  assert.ok(!isCold(this));
  assert.equal(this.targets.registry.coldPeriods.coldCount, 0);
});

Then('the runner is warm, and one log line reports it', function (this: World) {
  assert.ok(!isCold(this));
  assert.equal(countOf(this, 'runner.warm'), 1);
});

Then('the prompt is cached there', function (this: World) {
  assert.equal(candidateOf(this).cachedTokens, PARTS[0]!.tokens);
});

Then(
  'the runner is in use and warm with its cached prompt, and one log line reports the value',
  function (this: World) {
    assert.ok(!isCold(this));
    assert.equal(candidateOf(this).cachedTokens, PARTS[0]!.tokens);
    assert.equal(countOf(this, 'runner.coldInvalid'), 1);
  },
);
