/** Steps about evacuated zones at one gateway. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { applyItem, removeItem } from '../../platform/apply-item.js';
import type { ItemTargets } from '../../platform/apply-item.js';
import { RefusedItemLog } from '../../platform/refused-item-log.js';
import { EVACUATE_PREFIX, RUNNER_PREFIX } from '../../platform/store-keys.js';
import { KeySpaceCopy } from '../../src/mirror/key-space-copy.js';
import type { KeySpaceChanges } from '../../src/mirror/key-space-copy.js';
import type { StoredItem } from '../../src/mirror/key-space-port.js';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import type { PromptKey, PromptPart, RelayRequest } from '../../src/relay/request/relay-request.js';
import { RunnerExclusions } from '../../src/relay/runners/runner-exclusions.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import type { RunnerCandidate } from '../../src/relay/runners/runner-registry.js';
import { AppliedRevision } from '../../src/mirror/applied-revision.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import { CALL_STAGES } from '../../src/relay/stages/call-stages.js';
import { RequestState } from '../../src/relay/stages/request-state.js';
import type { StageDecision } from '../../src/relay/stages/stage.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const SERVICE = 's';
const PROMPT: PromptPart = { key: 7 as PromptKey, tokens: 100 };
const NUMBER_OF_RUNS = 2_000;
const EXPIRY_GRACE_MILLISECONDS = 2_400;

interface World {
  copy?: KeySpaceCopy;
  targets: ItemTargets;
  zones: readonly string[];
  revision: number;
  /** The `event` field of each log line. */
  events: string[];
}

function candidatesOf({ targets }: World): RunnerCandidate[] {
  return targets.registry.candidates(SERVICE, [PROMPT], new Set());
}

Given('a gateway in a deployment with the zones {string}', function (this: World, zones: string) {
  this.zones = zones.split(' ');
  this.revision = 0;
  this.events = [];
  const process = new SimulatedProcess(
    'g',
    new VirtualClock(),
    createRandom(1),
    (...[, , fields]) => this.events.push(String(fields?.event)),
  );
  const runtime = process.start();
  this.targets = {
    registry: new RunnerRegistry(runtime),
    evacuatedZones: new EvacuatedZones(runtime),
    topology: new Topology(new Map(this.zones.map((zone) => [zone, 'region']))),
    directory: new MemberDirectory(runtime),
    refusedItems: new RefusedItemLog(runtime),
    applyTable: () => true,
    appliedRevision: new AppliedRevision(),
  };
  const { evacuatedZones, registry } = this.targets;
  evacuatedZones.onRestored = (zone) => registry.forgetPromptCaches(zone);
});

Given('each zone has a runner with {int} slots', function (this: World, slots: number) {
  this.zones.forEach((zone, place) => {
    const entry = { Service: SERVICE, Address: `10.0.0.${place}:80`, State: 'ready', Zone: zone };
    const value = JSON.stringify({ ...entry, Slots: slots });
    applyItem({ key: RUNNER_PREFIX + zone, value, revision: 1 }, this.targets);
  });
});

Given('the runner of {string} has cached a prompt', function (this: World, zone: string) {
  const { registry } = this.targets;
  const { hash } = candidatesOf(this).find((candidate) => candidate.zone === zone)!;
  registry.learnCachedPart(hash, PROMPT.key, PROMPT.tokens);
});

Then('the prompt counts as cached by {int} runner(s)', function (this: World, count: number) {
  const cached = candidatesOf(this).filter(({ cachedTokens }) => cachedTokens > 0);
  assert.equal(cached.length, count);
});

Then(
  'the service has {int} runners with {int} slots',
  function (this: World, runners: number, slots: number) {
    const exclusions = new RunnerExclusions([this.targets.evacuatedZones.rule]);
    const counts = (runner: Runner): boolean => exclusions.reasonAgainstAll(runner) === undefined;
    const load = this.targets.registry.loadOf(SERVICE, counts);
    assert.deepEqual([load.runners, load.slots], [runners, slots]);
  },
);

/** Returns what the first stage decides on a request of the service. */
function decideFirstStage({ targets: { registry, evacuatedZones } }: World): StageDecision {
  const context = {
    registry,
    exclusions: new RunnerExclusions([evacuatedZones.rule]),
    runtime: { now: () => 0, random: createRandom(1) },
    admission: { isAdmitted: () => false },
    split: { pick: () => SERVICE },
  } as unknown as RelayContext;
  const route = { kind: 'single', timeoutMilliseconds: 3_000 };
  const request = { arrivedAt: 0, deadlineAt: 3_000, route } as RelayRequest;
  return CALL_STAGES[0]![0]!.decide(new RequestState(context, request));
}

Then('the first stage lets a request continue', function (this: World) {
  assert.equal(decideFirstStage(this).tag, 'GoOn');
});

Then('the first stage refuses a request without waiting', function (this: World) {
  const decision = decideFirstStage(this);
  assert.ok(decision.tag === 'Refuse' && decision.answer.verdict === 'NotRun');
});

When('the zone {string} is evacuated in the store', function (this: World, zone: string) {
  this.revision += 1;
  applyItem({ key: EVACUATE_PREFIX + zone, value: '?', revision: this.revision }, this.targets);
});

When(
  'the evacuation of {string} is removed while entries of runners have a grace period',
  function (this: World, zone: string) {
    this.revision += 1;
    removeItem(EVACUATE_PREFIX + zone, EXPIRY_GRACE_MILLISECONDS, this.revision, this.targets);
  },
);

Then('only runners of the zones {string} may get requests', function (this: World, zones: string) {
  const allowed = this.zones.filter((zone) => !this.targets.evacuatedZones.has(zone));
  assert.deepEqual(allowed, zones.split(' '));
});

Then('the log reports the events {string}', function (this: World, events: string) {
  assert.deepEqual(this.events, events.split(' '));
});

/** A message to a copy; revisions are shares of the store's newest one. */
interface Message {
  readonly kind: 'list' | 'staleList' | 'snapshot' | 'changes' | 'item';
  readonly at: number;
  /** Revision of the second page of a list, or the revision that changes start after. */
  readonly otherAt: number;
}

const ZONE_KEYS = ['z1', 'z2', 'z3', 'z4'].map((zone) => EVACUATE_PREFIX + zone);

/** Items of the store at each revision, which toggles one evacuation after another. */
function historyOf(toggles: readonly number[]): ReadonlyMap<string, StoredItem>[] {
  const history: ReadonlyMap<string, StoredItem>[] = [new Map()];
  toggles.forEach((index, place) => {
    const items = new Map(history[place]);
    const key = ZONE_KEYS[index]!;
    if (!items.delete(key)) {
      items.set(key, { key, value: '', revision: place + 1 });
    }
    history.push(items);
  });
  return history;
}

/** Delivers one message; returns the revision as of which it describes each key. */
function deliver(
  copy: KeySpaceCopy,
  history: readonly ReadonlyMap<string, StoredItem>[],
  { kind, at, otherAt }: Message,
): ReadonlyMap<string, number> {
  const itemsAt = (revision: number): StoredItem[] => [...history[revision]!.values()];
  const described = (keys: readonly string[], revision: number): Map<string, number> =>
    new Map(keys.map((key) => [key, revision]));
  switch (kind) {
    case 'list':
    case 'staleList': {
      const isFirstPage = ({ key }: StoredItem): boolean => ZONE_KEYS.indexOf(key) < 2;
      const first = itemsAt(at).filter(isFirstPage);
      const second = itemsAt(otherAt).filter((item) => !isFirstPage(item));
      const revision = Math.min(at, otherAt);
      copy[kind === 'list' ? 'replaceAll' : 'merge']([...first, ...second], revision);
      return described(ZONE_KEYS, revision);
    }
    case 'snapshot':
      copy.applyChanges({ since: 0, revision: at, items: itemsAt(at), gone: [] });
      return described(ZONE_KEYS, at);
    case 'changes': {
      const since = Math.min(at, otherAt, copy.completeRevision);
      const items = itemsAt(at).filter(({ revision }) => revision > since);
      const removed = ZONE_KEYS.filter(
        (key) =>
          !history[at]!.has(key) && history.slice(since, at).some((earlier) => earlier.has(key)),
      );
      const gone = removed.map((key) => ({ key, revision: at }));
      copy.applyChanges({ since, revision: at, items, gone });
      return described(since === 0 ? [] : ZONE_KEYS, at);
    }
    case 'item':
      itemsAt(at).forEach((item) => copy.putIfNewer(item));
      return new Map(itemsAt(at).map(({ key, revision }) => [key, revision]));
  }
}

Then(
  'whatever a copy receives late, partly or twice, it never returns to an older state of an evacuation',
  function () {
    const kind = fc.constantFrom('list', 'staleList', 'snapshot', 'changes', 'item');
    const message = fc.record({ kind, at: fc.nat(), otherAt: fc.nat() }) as fc.Arbitrary<Message>;
    const toggles = fc.array(fc.nat({ max: ZONE_KEYS.length - 1 }), {
      minLength: 1,
      maxLength: 20,
    });
    const messages = fc.array(message, { minLength: 1, maxLength: 30 });
    fc.assert(
      fc.property(toggles, messages, (toggled, received) => {
        const history = historyOf(toggled);
        const copy = new KeySpaceCopy({ onPut: () => undefined, onRemoved: () => undefined });
        const knownAt = new Map<string, number>();
        for (const { kind: each, at, otherAt } of received) {
          const had = new Set(ZONE_KEYS.filter((key) => copy.get(key) !== undefined));
          const place = { at: at % history.length, otherAt: otherAt % history.length };
          for (const [key, revision] of deliver(copy, history, { kind: each, ...place })) {
            // The removal of an item that the copy never had may be taken back by an older list, unless a complete
            // list of the store has shown it.
            if (each === 'list' || had.has(key) || copy.get(key) !== undefined) {
              knownAt.set(key, Math.max(revision, knownAt.get(key) ?? 0));
            }
          }
          for (const [key, revision] of knownAt) {
            const state = copy.get(key)?.revision;
            const later = history.slice(revision).map((items) => items.get(key)?.revision);
            assert.ok(later.includes(state), `${key} is at ${state}, known as of ${revision}`);
          }
        }
      }),
      { numRuns: NUMBER_OF_RUNS },
    );
  },
);

function changesWith(zone: string, since: number, revision: number, at: number): KeySpaceChanges {
  const items = [{ key: EVACUATE_PREFIX + zone, value: '', revision: at }];
  return { since, revision, items, gone: [] };
}

Given(
  'a copy of the store that was listed at revision {int} without the evacuation of {string}',
  function (this: World, revision: number, zone: string) {
    this.copy = new KeySpaceCopy({ onPut: () => undefined, onRemoved: () => undefined });
    const key = EVACUATE_PREFIX + zone;
    this.copy.putIfNewer({ key, value: '', revision: revision - 1 });
    this.copy.removeIfNewer(key, revision);
  },
);

When(
  'a snapshot of a peer at revision {int} shows no evacuation, and then changes up to {int} with one of revision {int} arrive',
  function (this: World, revision: number, upTo: number, at: number) {
    this.copy!.applyChanges({ since: 0, revision, items: [], gone: [] });
    this.copy!.applyChanges(changesWith('z1', at - 1, upTo, at));
  },
);

When(
  'changes up to {int} with one of revision {int} arrive',
  function (this: World, upTo: number, at: number) {
    this.copy!.applyChanges(changesWith('z1', at - 1, upTo, at));
  },
);

Then('the copy holds no evacuation', function (this: World) {
  assert.deepEqual(this.copy!.list(), []);
});

Then('the copy holds the evacuation of {string}', function (this: World, zone: string) {
  assert.deepEqual(
    this.copy!.list().map(({ key }) => key),
    [EVACUATE_PREFIX + zone],
  );
});
