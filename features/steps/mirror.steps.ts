/** Steps about mirrors of a store's keys, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import * as E from 'fp-ts/lib/Either.js';
import { KeySpaceMirror } from '../../src/mirror/key-space-mirror.js';
import type {
  ItemChange,
  KeySpaceListener,
  KeySpacePort,
  StoredItem,
} from '../../src/mirror/key-space-port.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const ANSWER_MILLISECONDS = 4;
const GIVE_UP_MILLISECONDS = 1_000;

/** A store in virtual time. */
class SimulatedKeySpace implements KeySpacePort {
  readonly items = new Map<string, StoredItem>();
  revision = 0;
  mode: 'well' | 'unreachable' | 'refusing' = 'well';
  silentWatches = false;
  /** What stale lists answer while they are behind; undefined when they are not. */
  frozenList: { items: StoredItem[]; revision: number } | undefined;
  callCount = 0;
  private history: ItemChange[] = [];
  private forgottenBefore = 0;

  constructor(private readonly clock: VirtualClock) {}

  put(key: string, value: string): void {
    this.revision += 1;
    const item = { key, value, revision: this.revision };
    this.items.set(key, item);
    this.history.push({ tag: 'Put', item });
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.history.push({ tag: 'Gone', key, revision: this.revision });
  }

  forget(): void {
    this.history = [];
    this.forgottenBefore = this.revision;
  }

  list(
    prefix: string,
    listener: KeySpaceListener<{ items: StoredItem[]; revision: number }>,
  ): void {
    this.answer(listener, () => {
      const items = [...this.items.values()].filter((item) => item.key.startsWith(prefix));
      return E.right({ items, revision: this.revision });
    });
  }

  watch(
    _prefix: string,
    after: number,
    wait: number,
    listener: KeySpaceListener<{ changes: ItemChange[]; revision: number }>,
  ): void {
    const until = this.clock.now + wait;
    const look = (): void => {
      if (after < this.forgottenBefore) {
        listener(E.left({ tag: 'HistoryLost' }));
        return;
      }
      const changes = this.history.filter(
        (change) => (change.tag === 'Put' ? change.item.revision : change.revision) > after,
      );
      if (!this.silentWatches && (changes.length > 0 || this.clock.now >= until)) {
        listener(E.right({ changes, revision: this.revision }));
      } else if (this.clock.now >= until + GIVE_UP_MILLISECONDS) {
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' }));
      } else {
        this.clock.schedule(20, look);
      }
    };
    this.answer(listener, () => undefined, look);
  }

  listStale(
    prefix: string,
    listener: KeySpaceListener<{ items: StoredItem[]; revision: number }>,
  ): void {
    if (this.frozenList === undefined) {
      this.list(prefix, listener);
    } else {
      const frozen = this.frozenList;
      this.answer(listener, () => E.right(frozen));
    }
  }

  private answer<Result>(
    listener: KeySpaceListener<Result>,
    result: () => E.Either<never, Result> | undefined,
    otherwise: () => void = () => undefined,
  ): void {
    this.callCount += 1;
    if (this.mode === 'unreachable') {
      this.clock.schedule(GIVE_UP_MILLISECONDS, () =>
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
      );
      return;
    }
    this.clock.schedule(ANSWER_MILLISECONDS, () => {
      if (this.mode === 'refusing') {
        listener(E.left({ tag: 'Refused', detail: 'status 429' }));
        return;
      }
      const ready = result();
      if (ready === undefined) {
        otherwise();
      } else {
        listener(ready);
      }
    });
  }
}

interface World {
  clock: VirtualClock;
  store: SimulatedKeySpace;
  mirror: KeySpaceMirror;
  reached: boolean[];
  calls: number;
}

function wait(world: World, milliseconds: number): void {
  world.clock.runUntil(world.clock.now + milliseconds);
}

Given('a mirror of a store with keys {string}', function (this: World, keys: string) {
  this.clock = new VirtualClock();
  this.store = new SimulatedKeySpace(this.clock);
  this.reached = [];
  keys.split(' ').forEach((key) => this.store.put(key, 'first'));
  this.store.put('a', 'first');
  this.mirror = new KeySpaceMirror({
    runtime: new SimulatedProcess('m', this.clock, createRandom(1)).begin(),
    port: this.store,
    prefix: '',
    verifyMilliseconds: 1_000,
    watchMilliseconds: 2_000,
    onPut: () => undefined,
    onGone: () => undefined,
    onReachable: (reachable) => this.reached.push(reachable),
  });
  this.mirror.start();
  wait(this, 500);
});

When('"a" is changed, "b" is removed and an older "a" is offered', function (this: World) {
  this.store.put('a', 'second');
  this.store.remove('b');
  wait(this, 500);
  this.mirror.offer({ key: 'a', value: 'first', revision: 1 });
});

When(
  "the store's watches fall silent and {string} is changed",
  function (this: World, key: string) {
    this.store.silentWatches = true;
    this.store.put(key, 'second');
  },
);

When('stale lists fall behind', function (this: World) {
  this.store.frozenList = { items: [...this.store.items.values()], revision: this.store.revision };
});

When('a peer knows a change of {string}', function (this: World, key: string) {
  this.mirror.heedRevision(this.store.items.get(key)!.revision);
});

When('the store forgets its history while "b" is removed and "c" is added', function (this: World) {
  this.store.silentWatches = true;
  this.store.remove('b');
  this.store.put('c', 'first');
  this.store.forget();
  this.store.silentWatches = false;
  wait(this, 500);
});

When(
  'the store is out of reach for {int} milliseconds while "a" is changed',
  function (this: World, milliseconds: number) {
    this.store.mode = 'unreachable';
    this.store.silentWatches = true;
    wait(this, milliseconds);
    this.store.put('a', 'second');
    this.store.mode = 'well';
    this.store.silentWatches = false;
  },
);

When('the store refuses for {int} milliseconds', function (this: World, milliseconds: number) {
  this.store.mode = 'refusing';
  const before = this.store.callCount;
  wait(this, milliseconds);
  this.calls = this.store.callCount - before;
});

When(
  'peers offer {string} at revision {int} and {string} at revision {int}',
  function (this: World, first: string, older: number, second: string, newer: number) {
    this.mirror.offer({ key: first, value: 'old', revision: older });
    this.mirror.offer({ key: second, value: 'first', revision: newer });
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
  'the mirror was told once that it is out of reach and once that it is back',
  function (this: World) {
    wait(this, 2_000);
    assert.deepEqual(this.reached, [true, false, true]);
  },
);

Then('it was asked at most {int} times meanwhile', function (this: World, most: number) {
  assert.ok(this.calls > 0 && this.calls <= most, `asked ${this.calls} times`);
});
