/** Steps about the compaction of a replica's disk and the trimming of its change log. */
import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Runtime } from '../../src/runtime/runtime.js';
import { createRandom } from '../../src/runtime/random.js';
import { isCompactionDue } from '../../src/turns/compaction.js';
import { ReplicaState } from '../../src/turns/replica-state.js';
import { unpackDigests } from '../../src/turns/reservation-digests.js';
import { SegmentTurnStorage } from '../../src/turns/segment-turn-storage.js';
import type { StorageChange, WrittenChange } from '../../src/turns/turn-storage.js';

const MEGABYTE = 1024 * 1024;
const TURN_MEGABYTES = 2;
/** Time after the start by which compaction is allowed, in milliseconds. */
const AFTER_COMPACTION_GRACE_MILLISECONDS = 60_000;
const TIMEOUT_MILLISECONDS = 10_000;

interface World {
  folder?: string;
  storage?: SegmentTurnStorage;
  live?: StorageChange[];
  events?: string[];
  now?: number;
  bytesBefore?: number;
  bytesAfter?: number;
  found?: WrittenChange[];
}

function runtimeOf(world: World): Runtime {
  return {
    now: () => world.now ?? 0,
    wallTime: () => 0,
    setTimer: (delay, callback) => {
      const timer = setTimeout(callback, delay);
      return () => clearTimeout(timer);
    },
    random: createRandom(1),
    log: (_level, _message, fields) => world.events?.push(String(fields?.['event'])),
  };
}

function turnChange(number: number): StorageChange {
  const turn = {
    id: `t${number}`,
    previous: '',
    input: Buffer.alloc(TURN_MEGABYTES * MEGABYTE, number),
    output: Buffer.from(`out ${number}\n`),
    retentionMilliseconds: 60_000,
  };
  return { tag: 'turn', turn: { turn, storedAt: number } };
}

function entryChange(number: number): StorageChange {
  const entry = { program: 'p', turn: `r${number}`, mostTokens: 50, usedTokens: 7 };
  return { tag: 'entry', entry: { entry, storedAt: number } };
}

function write(storage: SegmentTurnStorage, change: StorageChange): Promise<boolean> {
  return new Promise((resolve) => storage.write([change], resolve));
}

function bytesOn(folder: string): number {
  const sizes = readdirSync(folder).map((name) => statSync(join(folder, name)).size);
  return sizes.reduce((sum, size) => sum + size, 0);
}

async function until(condition: () => boolean): Promise<void> {
  const end = Date.now() + TIMEOUT_MILLISECONDS;
  while (!condition() && Date.now() < end) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(condition(), 'the condition was not met in time');
}

After(async function (this: World) {
  const { storage } = this;
  if (storage !== undefined && this.live !== undefined) {
    await new Promise<void>((resolve) => storage.close(resolve));
  }
  if (this.folder !== undefined) {
    rmSync(this.folder, { recursive: true, force: true });
  }
});

Given(
  "a replica's disk with {int} MB of live turns",
  async function (this: World, megabytes: number) {
    this.folder = mkdtempSync(join(tmpdir(), 'ivyloom-disk-'));
    this.events = [];
    const storage = await SegmentTurnStorage.open(this.folder, runtimeOf(this));
    const live: StorageChange[] = [];
    storage.useLiveChanges(() => live);
    for (let number = 0; number < megabytes / TURN_MEGABYTES; number += 1) {
      live.push(turnChange(number));
      await write(storage, turnChange(number));
    }
    this.storage = storage;
    this.live = live;
    this.now = AFTER_COMPACTION_GRACE_MILLISECONDS;
  },
);

When(
  '{int} reservations are written one after another',
  async function (this: World, count: number) {
    for (let number = 0; number < count; number += 1) {
      this.live!.push(entryChange(number));
      assert.equal(await write(this.storage!, entryChange(number)), true);
    }
  },
);

When('a reservation is written as a compaction starts', async function (this: World) {
  // After the first write the storage starts a compaction.
  await write(this.storage!, entryChange(0));
  this.bytesBefore = bytesOn(this.folder!);
  await write(this.storage!, entryChange(1));
  this.bytesAfter = bytesOn(this.folder!);
});

Then(
  'less than {int} MB were written to the disk before it was durable',
  function (this: World, megabytes: number) {
    assert.ok(this.bytesAfter! - this.bytesBefore! < megabytes * MEGABYTE);
  },
);

Then('the state was compacted at most once', async function (this: World) {
  const count = (): number => this.events!.filter((event) => event === 'disk.compacted').length;
  await until(() => count() > 0);
  await write(this.storage!, entryChange(0));
  assert.equal(count(), 1);
});

When('the compaction is over', function (this: World) {
  return until(() => this.events!.includes('disk.compacted'));
});

When('the disk is closed and read again', async function (this: World) {
  await new Promise<void>((resolve) => this.storage!.close(resolve));
  const storage = await SegmentTurnStorage.open(this.folder!, runtimeOf(this));
  this.storage = storage;
  this.found = [];
  await storage.load((change) => this.found!.push(change));
});

Then(
  'all turns and {int} reservations are there',
  function (this: World, reservationCount: number) {
    const turns = this.found!.flatMap((change) =>
      change.tag === 'turn' ? [change.turn.turn] : [],
    );
    const entries = this.found!.flatMap((change) =>
      change.tag === 'entry' ? [change.entry.entry.turn] : [],
    );
    const turnCount = this.live!.filter((change) => change.tag === 'turn').length;
    assert.equal(new Set(turns.map((turn) => turn.id)).size, turnCount);
    assert.ok(turns.every((turn) => turn.input.length === TURN_MEGABYTES * MEGABYTE));
    assert.equal(new Set(entries).size, reservationCount);
  },
);

Then('the disk holds less than {int} MB', function (this: World, megabytes: number) {
  assert.ok(bytesOn(this.folder!) < megabytes * MEGABYTE);
});

Then(
  /^a disk of (\d+) MB in (\d+) segments of which (\d+) MB in (\d+) were left is (due|not due)$/,
  function (megabytes: string, segments: string, leftMegabytes: string, left: string, due: string) {
    const now = { bytes: Number(megabytes) * MEGABYTE, segments: Number(segments) };
    const before = { bytes: Number(leftMegabytes) * MEGABYTE, segments: Number(left) };
    assert.equal(isCompactionDue(now, before), due === 'due');
  },
);

interface DrawnChange {
  readonly isTurn: boolean;
  readonly storedAt: number;
}

/** Turns are retained for this time plus 10 s for clock skew, accounts for five minutes. */
const RETENTION_MILLISECONDS = 10_000;
const LONGEST_MILLISECONDS = 400_000;

function stateWith(changes: readonly DrawnChange[]): ReplicaState {
  const state = new ReplicaState();
  changes.forEach(({ isTurn, storedAt }, index) => {
    if (isTurn) {
      const kept = { input: Buffer.alloc(1), output: Buffer.alloc(1), previous: '' };
      const turn = { ...kept, id: `t${index}`, retentionMilliseconds: RETENTION_MILLISECONDS };
      state.addTurn({ turn, storedAt });
    } else {
      const entry = { program: `p${index}`, turn: 'r', mostTokens: 5, usedTokens: undefined };
      state.mergeEntry({ entry, storedAt });
    }
  });
  return state;
}

const drawnChanges = fc.array(
  fc.record({ isTurn: fc.boolean(), storedAt: fc.integer({ min: 0, max: LONGEST_MILLISECONDS }) }),
);

Then(
  'any reader of a part of the log receives all unexpired turns and reservations of the rest',
  function () {
    fc.assert(
      fc.property(drawnChanges, fc.nat(), fc.nat(LONGEST_MILLISECONDS), (changes, drawn, now) => {
        const state = stateWith(changes);
        const whole = stateWith(changes);
        const position = changes.length === 0 ? 0 : drawn % changes.length;
        state.expire(now);
        assert.equal(state.logEnd, whole.logEnd);
        const trimmedLog = state.readLog(position);
        const fullLog = whole.readLog(position);
        const unexpiredTurns = fullLog.turns.filter((turn) => state.hasTurn(turn));
        assert.deepEqual(trimmedLog.turns, unexpiredTurns);
        const missing = state.missingDigests(unpackDigests(fullLog.digests));
        const expectedDigests = unpackDigests(fullLog.digests).filter(
          (digest) => !missing.includes(digest),
        );
        const unexpiredDigests = unpackDigests(trimmedLog.digests).filter(
          (each) => !missing.includes(each),
        );
        assert.deepEqual(unexpiredDigests, expectedDigests);
      }),
    );
  },
);

Then('a log whose changes have all expired is empty', function () {
  const state = stateWith([
    { isTurn: true, storedAt: 0 },
    { isTurn: false, storedAt: 0 },
  ]);
  state.expire(LONGEST_MILLISECONDS);
  const { next, end, digests, turns } = state.readLog(0);
  assert.deepEqual([next, end, digests.length, turns.length], [2, 2, 0, 0]);
});
