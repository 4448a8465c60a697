/** Steps about token accounts, quorum writes and a replica's storage. */
import assert from 'node:assert/strict';
import { appendFileSync, copyFileSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { mergeReservation } from '../../src/turns/account.js';
import type { Account, Reservation } from '../../src/turns/account.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import type { AccountEntry } from '../../src/turns/messages.js';
import { writeToQuorum } from '../../src/turns/quorum-write.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import { ReplicaState } from '../../src/turns/replica-state.js';
import { unpackDigests } from '../../src/turns/reservation-digests.js';
import { SegmentTurnStorage } from '../../src/turns/segment-turn-storage.js';
import type { WrittenChange } from '../../src/turns/turn-storage.js';

/** Replicas that acknowledge, refuse or never answer; counts the messages sent to them. */
interface AnsweringReplicas {
  readonly record: MemberRecord;
  readonly caller: ReplicaCaller;
  messageCount: number;
}

interface World {
  answering?: AnsweringReplicas;
  writtenCount?: number;
  clock?: VirtualClock;
  folder?: string;
  storage?: SegmentTurnStorage;
  found?: WrittenChange[];
}

const RUNTIME: Runtime = {
  now: () => 0,
  wallTime: () => 0,
  setTimer: (delay, callback) => {
    const timer = setTimeout(callback, delay);
    return () => clearTimeout(timer);
  },
  random: createRandom(1),
  log: () => undefined,
};

function member(name: string): Member {
  return { id: name, node: name, host: name, port: 1, zone: name };
}

After(function (this: World) {
  if (this.folder !== undefined) {
    rmSync(this.folder, { recursive: true });
  }
});

Then('reservations merge to the same account in any order and any number of times', function () {
  const reservation = fc.record({
    turn: fc.constantFrom('t1', 't2', 't3'),
    mostTokens: fc.constant(50),
    settled: fc.boolean(),
  });
  const build = (list: readonly Reservation[]): Account => {
    const account: Account = new Map();
    list.forEach((entry) => mergeReservation(account, entry));
    return account;
  };
  const sorted = (account: Account): Reservation[] =>
    [...account.values()].sort((left, right) => (left.turn < right.turn ? -1 : 1));
  fc.assert(
    fc.property(fc.array(reservation), fc.integer(), (drawn, seed) => {
      const list = drawn.map(({ turn, mostTokens, settled }) => ({
        turn,
        mostTokens,
        // All settlements of a turn report the same number of used tokens.
        usedTokens: settled ? turn.charCodeAt(1) : undefined,
      }));
      const random = createRandom(seed);
      const shuffled = [...list, ...list]
        .map((entry) => ({ entry, place: random.uniform() }))
        .sort((left, right) => left.place - right.place)
        .map(({ entry }) => entry);
      assert.deepEqual(sorted(build(shuffled)), sorted(build(list)));
    }),
  );
});

Given(
  "a replica's disk with a turn, a settled reservation and its members",
  async function (this: World) {
    this.folder = mkdtempSync(join(tmpdir(), 'ivyloom-turns-'));
    const storage = await SegmentTurnStorage.open(this.folder, RUNTIME);
    const turn = {
      id: 't1',
      previous: 't0',
      input: Buffer.from('in\n'),
      output: Buffer.from('out\n'),
      retentionMilliseconds: 60_000,
    };
    const entry = { program: 'p 1', turn: 't1', mostTokens: 50, usedTokens: 7 };
    await new Promise((resolve) =>
      storage.write(
        [
          { tag: 'meta', meta: { ready: true, members: '{}' } },
          { tag: 'turn', turn: { turn, storedAt: 5 } },
          { tag: 'entry', entry: { entry, storedAt: 6 } },
        ],
        resolve,
      ),
    );
    await new Promise<void>((resolve) => storage.close(resolve));
  },
);

When('the disk is opened again', async function (this: World) {
  this.storage = await SegmentTurnStorage.open(this.folder!, RUNTIME);
  this.found = [];
  await this.storage.load((change) => this.found!.push(change));
});

Given('its newest file ends in a torn write', function (this: World) {
  appendFileSync(join(this.folder!, 'segment-1.log'), Buffer.from([9, 0, 0, 0, 1, 2, 3]));
});

Given('an older, removed file has reappeared', function (this: World) {
  copyFileSync(join(this.folder!, 'segment-1.log'), join(this.folder!, 'segment-0.log'));
});

Then('the turn, the reservation and the members are there', function (this: World) {
  const metas = this.found!.flatMap((change) => (change.tag === 'meta' ? [change.meta] : []));
  const turns = this.found!.flatMap((change) => (change.tag === 'turn' ? [change.turn] : []));
  const entries = this.found!.flatMap((change) => (change.tag === 'entry' ? [change.entry] : []));
  assert.deepEqual(metas.at(-1), { ready: true, members: '{}' });
  assert.deepEqual(new Set(turns.map((stored) => stored.turn.id)), new Set(['t1']));
  assert.equal(turns[0]!.turn.input.toString() + turns[0]!.turn.output.toString(), 'in\nout\n');
  assert.equal(turns[0]!.turn.previous, 't0');
  assert.equal(turns[0]!.storedAt, 5);
  assert.ok(entries.length > 0);
  entries.forEach((stored) =>
    assert.deepEqual(stored, {
      entry: { program: 'p 1', turn: 't1', mostTokens: 50, usedTokens: 7 },
      storedAt: 6,
    }),
  );
});

const reservation: fc.Arbitrary<AccountEntry> = fc.record({
  program: fc.constantFrom('p', 'q'),
  turn: fc.stringMatching(/^[a-f]$/),
  mostTokens: fc.constant(9),
  usedTokens: fc.constantFrom(undefined, 5),
});

function stateOf(entries: readonly AccountEntry[]): ReplicaState {
  const state = new ReplicaState();
  entries.forEach((entry) => state.mergeEntry({ entry, storedAt: 0 }));
  return state;
}

/** Copies the reservations that `to` lacks from `from`; returns how many were sent. */
function pullMissing(to: ReplicaState, from: ReplicaState): number {
  const missing = to.missingDigests(unpackDigests(from.readLog(0).digests));
  const sent = from.entriesByDigest(missing);
  sent.forEach((entry) => to.mergeEntry({ entry, storedAt: 0 }));
  return sent.length;
}

function contentOf(state: ReplicaState): string[] {
  const entries = ['p', 'q'].flatMap((program) => state.entriesOf(program));
  return entries.map((entry) => JSON.stringify(entry)).sort();
}

Then(
  'any two sets of reservations converge when the reservations of missing digests are exchanged',
  function () {
    fc.assert(
      fc.property(fc.array(reservation), fc.array(reservation), (left, right) => {
        const [one, other] = [stateOf(left), stateOf(right)];
        pullMissing(one, other);
        pullMissing(other, one);
        assert.deepEqual(contentOf(one), contentOf(other));
        assert.deepEqual(contentOf(one), contentOf(stateOf([...left, ...right])));
        assert.equal(pullMissing(one, other) + pullMissing(other, one), 0);
      }),
    );
  },
);

Then('a replica that holds a settled reservation does not fetch its open state', function () {
  fc.assert(
    fc.property(fc.array(reservation), (entries) => {
      const open = entries.map((entry) => ({ ...entry, usedTokens: undefined }));
      const settled = entries.map((entry) => ({ ...entry, usedTokens: 5 }));
      assert.equal(pullMissing(stateOf(settled), stateOf(open)), 0);
      assert.equal(pullMissing(stateOf(open), stateOf(settled)) > 0, entries.length > 0);
    }),
  );
});

Given(
  '{int} replicas of which {int} never answer and {int} refuse',
  function (this: World, members: number, dead: number, refusing: number) {
    const clock = new VirtualClock();
    const names = Array.from({ length: members }, (_, index) => `m${index}`);
    const record = { epoch: 1, members: names.map(member) };
    const answering: AnsweringReplicas = {
      record,
      messageCount: 0,
      caller: {
        call: (to, _request, timeout, listener) => {
          answering.messageCount += 1;
          const place = names.indexOf(to.id);
          const answer = (outcome: 'done' | 'inactive'): void =>
            listener({ type: 'taken', call: 1, outcome });
          if (place < dead) {
            clock.schedule(timeout, () => listener(undefined));
          } else {
            clock.schedule(2, () => answer(place < dead + refusing ? 'inactive' : 'done'));
          }
        },
        notify: () => undefined,
      },
    };
    Object.assign(this, { clock, answering });
  },
);

When('{int} writes with distinct keys are made', function (this: World, count: number) {
  const { clock, answering } = this;
  const runtime = new SimulatedProcess('g', clock!, createRandom(1)).start();
  this.writtenCount = 0;
  for (let place = 0; place < count; place += 1) {
    const request = { type: 'chain', turn: 't' } as const;
    const { record, caller } = answering!;
    const write = { record, request, key: `k${place}`, timeoutMilliseconds: 500 };
    writeToQuorum(runtime, caller, write, (replies) => {
      this.writtenCount! += replies === undefined ? 0 : 1;
    });
  }
  clock!.runUntil(clock!.now + 2_000);
});

Then(
  '{int} are acknowledged by a majority, with at most {int} messages',
  function (this: World, written: number, messages: number) {
    assert.equal(this.writtenCount, written);
    assert.ok(this.answering!.messageCount <= messages, `${this.answering!.messageCount} messages`);
  },
);
