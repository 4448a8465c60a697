/** Steps about mirrors of a store's keys, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { KeySpaceCopy } from '../../src/mirror/key-space-copy.js';
import { freshnessTimingsFor } from '../../src/mirror/freshness-timings.js';
import { KeySpaceMirror } from '../../src/mirror/key-space-mirror.js';
import type { StoredItem } from '../../src/mirror/key-space-port.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { SimulatedKeySpace } from '../support/simulated-key-space.js';

interface World {
  clock: VirtualClock;
  store: SimulatedKeySpace;
  mirror: KeySpaceMirror;
  reachability: boolean[];
  calls: number;
}

function wait(world: World, milliseconds: number): void {
  world.clock.runUntil(world.clock.now + milliseconds);
}

const WATCH_MILLISECONDS = 2_000;

function startMirror(this: World, keys: string, watchMilliseconds = WATCH_MILLISECONDS): void {
  this.clock = new VirtualClock();
  this.store = new SimulatedKeySpace(this.clock);
  this.reachability = [];
  keys.split(' ').forEach((key) => this.store.put(key, 'first'));
  this.store.put('a', 'first');
  this.mirror = new KeySpaceMirror({
    runtime: new SimulatedProcess('m', this.clock, createRandom(1)).start(),
    port: this.store,
    prefix: '',
    timings: freshnessTimingsFor(2_000),
    awaitsProof: false,
    verifyIntervalMilliseconds: 1_000,
    watchTimeoutMilliseconds: watchMilliseconds,
    onPut: () => undefined,
    onRemoved: () => undefined,
    onReachable: (reachable) => this.reachability.push(reachable),
  });
  this.mirror.startFollowing();
  wait(this, 500);
}

Given('a mirror of a store with keys {string}', function (this: World, keys: string) {
  startMirror.call(this, keys);
});

Given(
  'a mirror of a store with keys {string} whose watches wait {int} milliseconds',
  function (this: World, keys: string, watchMilliseconds: number) {
    startMirror.call(this, keys, watchMilliseconds);
  },
);

When(
  'the store does not answer for {int} milliseconds and {string} is changed when it answers again',
  function (this: World, milliseconds: number, key: string) {
    this.store.stopAnswering();
    wait(this, milliseconds);
    this.store.resumeAnswering();
    this.store.put(key, 'second');
  },
);

When('"a" is changed, "b" is removed and an older "a" is offered', function (this: World) {
  this.store.put('a', 'second');
  this.store.remove('b');
  wait(this, 500);
  this.mirror.putIfNewer({ key: 'a', value: 'first', revision: 1 });
});

When("the store's watches stall and {string} is changed", function (this: World, key: string) {
  this.store.hangWatches = true;
  this.store.put(key, 'second');
});

When('stale lists fall behind', function (this: World) {
  this.store.staleList = { items: [...this.store.items.values()], revision: this.store.revision };
});

When('a peer knows a change of {string}', function (this: World, key: string) {
  this.mirror.noteStoreRevision(this.store.items.get(key)!.revision);
});

When('the store forgets its history while "b" is removed and "c" is added', function (this: World) {
  this.store.hangWatches = true;
  this.store.remove('b');
  this.store.put('c', 'first');
  this.store.compact();
  this.store.hangWatches = false;
  wait(this, 500);
});

When(
  'the store is unreachable for {int} milliseconds while "a" is changed',
  function (this: World, milliseconds: number) {
    this.store.mode = 'unreachable';
    this.store.hangWatches = true;
    wait(this, milliseconds);
    this.store.put('a', 'second');
    this.store.mode = 'well';
    this.store.hangWatches = false;
  },
);

When(
  'the store refuses calls for {int} milliseconds',
  function (this: World, milliseconds: number) {
    this.store.mode = 'refusing';
    const before = this.store.callCount;
    wait(this, milliseconds);
    this.calls = this.store.callCount - before;
  },
);

When(
  'peers offer {string} at revision {int} and {string} at revision {int}',
  function (this: World, first: string, older: number, second: string, newer: number) {
    this.mirror.putIfNewer({ key: first, value: 'old', revision: older });
    this.mirror.putIfNewer({ key: second, value: 'first', revision: newer });
  },
);

When(
  'the mirror does not follow the store for {int} milliseconds',
  function (this: World, milliseconds: number) {
    this.mirror.stopFollowing();
    const before = this.store.callCount;
    wait(this, milliseconds);
    this.calls = this.store.callCount - before;
  },
);

When(
  'the mirror stops following and a peer claims to have all changes up to revision {int}',
  function (this: World, revision: number) {
    this.mirror.stopFollowing();
    const since = this.mirror.completeRevision;
    this.mirror.applyChanges({ since, revision, items: [], gone: [] });
    assert.equal(this.mirror.completeRevision, revision);
  },
);

Then(
  'within {int} milliseconds it asks for changes after revision {int}',
  function (this: World, milliseconds: number, revision: number) {
    wait(this, milliseconds);
    assert.equal(this.mirror.completeRevision, revision);
  },
);

When('the mirror follows again and {string} is changed', function (this: World, key: string) {
  this.mirror.startFollowing();
  wait(this, 100);
  this.store.put(key, 'second');
});

/** An action on the store or on one of three copies. */
type CopyStep =
  | { readonly tag: 'put' | 'remove'; readonly key: string }
  /** A copy reads a complete list. */
  | { readonly tag: 'list'; readonly copy: number }
  /** A copy applies the changes of another, unless the answer is lost. */
  | { readonly tag: 'take'; readonly copy: number; readonly from: number; readonly lost: boolean };

const copyStep: fc.Arbitrary<CopyStep> = fc.oneof(
  fc.record({
    tag: fc.constantFrom('put' as const, 'remove' as const),
    key: fc.constantFrom('a', 'b', 'c', 'd'),
  }),
  fc.record({ tag: fc.constant('list' as const), copy: fc.nat(1) }),
  fc.record({
    tag: fc.constant('take' as const),
    copy: fc.nat(2),
    from: fc.nat(2),
    lost: fc.boolean(),
  }),
);

function checkCopiesConverge(steps: readonly CopyStep[]): void {
  const stored = new Map<string, StoredItem>();
  let revision = 0;
  const inForce = [0, 1, 2].map(() => new Map<string, number>());
  const copies = inForce.map(
    (seen) =>
      new KeySpaceCopy({
        onPut: (item) => {
          assert.ok(
            item.revision > (seen.get(item.key) ?? 0),
            'an item returned to an older revision',
          );
          seen.set(item.key, item.revision);
        },
        onRemoved: () => undefined,
      }),
  );
  const take = (copy: KeySpaceCopy, from: KeySpaceCopy): void =>
    copy.applyChanges(from.changesSince(copy.completeRevision));
  for (const step of steps) {
    switch (step.tag) {
      case 'put':
        revision += 1;
        stored.set(step.key, { key: step.key, value: String(revision), revision });
        break;
      case 'remove':
        revision += 1;
        stored.delete(step.key);
        break;
      case 'list':
        copies[step.copy]!.replaceAll([...stored.values()], revision);
        break;
      case 'take':
        if (!step.lost) {
          take(copies[step.copy]!, copies[step.from]!);
        }
    }
  }
  copies[0]!.replaceAll([...stored.values()], revision);
  take(copies[1]!, copies[0]!);
  take(copies[2]!, copies[1]!);
  const sorted = (items: Iterable<StoredItem>): StoredItem[] =>
    [...items].sort((left, right) => (left.key < right.key ? -1 : 1));
  copies.forEach((copy) => assert.deepEqual(sorted(copy.list()), sorted(stored.values())));
}

Then(
  'copies that exchange changes, in any order and with losses, converge to the store',
  function () {
    fc.assert(fc.property(fc.array(copyStep, { maxLength: 40 }), checkCopiesConverge), {
      numRuns: 3_000,
    });
  },
);

Then('the mirror has the newest "a" and no "b"', function (this: World) {
  assert.equal(this.mirror.get('a')?.value, 'second');
  assert.equal(this.mirror.get('b'), undefined);
});

Then('the mirror has the newest {string}', function (this: World, key: string) {
  assert.deepEqual(this.mirror.get(key), this.store.items.get(key));
});

Then(
  'the mirror has the newest {string} within {int} milliseconds',
  function (this: World, key: string, milliseconds: number) {
    wait(this, milliseconds);
    assert.equal(this.mirror.get(key)?.value, 'second');
  },
);

Then('the mirror has the keys {string}', function (this: World, keys: string) {
  const known = this.mirror.list().map((item) => item.key);
  assert.deepEqual(known.sort(), keys.split(' '));
});

Then(
  'the mirror reported the store unreachable once and reachable again once',
  function (this: World) {
    wait(this, 2_000);
    assert.deepEqual(this.reachability, [true, false, true]);
  },
);

Then('it was called at most {int} times meanwhile', function (this: World, most: number) {
  assert.ok(this.calls > 0 && this.calls <= most, `called ${this.calls} times`);
});
