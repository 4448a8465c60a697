/** Steps about durability, on real files that lose everything not synced when power is lost. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import type { ConversationTurn } from '../../src/turns/conversation-turn.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import type { ReplicaRequest } from '../../src/turns/messages.js';
import {
  DEFAULT_CATCH_UP_MILLISECONDS,
  membershipTimingsFor,
} from '../../src/turns/membership-timings.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import { ReplicaSync } from '../../src/turns/replica-sync.js';
import { Replica } from '../../src/turns/replica.js';
import { TurnClient } from '../../src/turns/turn-client.js';
import type { ChainResult } from '../../src/turns/turn-client.js';
import type { StorageChange } from '../../src/turns/turn-storage.js';
import { ProcessRun, RecordedDisk } from '../support/recorded-disk.js';

const timings = membershipTimingsFor(DEFAULT_CATCH_UP_MILLISECONDS);

const LOSE_ALL_NAMES = 1;
const LOSE_HALF_OF_NAMES = 0.5;
const STEPS_PER_SEED = 24;
const CALL_TIMEOUT_MILLISECONDS = 700;
const POLL_MILLISECONDS = 20;
/** Time after the start by which compaction is allowed, in milliseconds. */
const AFTER_COMPACTION_GRACE_MILLISECONDS = 60_000;
const REPLICA_NAMES = ['a', 'b', 'c'];

interface World {
  disks?: RecordedDisk[];
  acknowledged?: string[];
  diskReplicas?: Map<string, Replica>;
  syncs?: ReplicaSync[];
}

function conversationTurn(id: string): ConversationTurn {
  const text = Buffer.from(`${id}\n`);
  return { id, previous: '', input: text, output: text, retentionMilliseconds: 600_000 };
}

function turnChange(id: string): StorageChange {
  return { tag: 'turn', turn: { turn: conversationTurn(id), storedAt: Date.now() } };
}

After(async function (this: World) {
  this.syncs?.forEach((sync) => sync.close());
  this.diskReplicas?.forEach((replica) => replica.close());
  for (const disk of this.disks ?? []) {
    await disk.remove();
  }
});

Given(
  "a replica's disk that has acknowledged {int} turns and a ready mark",
  async function (this: World, count: number) {
    const disk = new RecordedDisk();
    this.disks = [disk];
    await disk.start();
    await disk.write([{ tag: 'meta', meta: { ready: true, members: '' } }]);
    this.acknowledged = Array.from({ length: count }, (_, index) => `t${index}`);
    for (const id of this.acknowledged) {
      await disk.write([turnChange(id)]);
    }
  },
);

When('power is lost, and with it every unsynced directory entry', function (this: World) {
  return this.disks![0]!.losePower(createRandom(1), LOSE_ALL_NAMES);
});

Then(
  'everything acknowledged is there when the disk is opened again',
  async function (this: World) {
    const disk = this.disks![0]!;
    await disk.start();
    assert.deepEqual(disk.foundTurns, new Set(this.acknowledged));
    assert.equal(disk.foundReady, true);
  },
);

/** Runs a seeded sequence of writes, restarts and power losses; returns what was missing after a restart. */
async function runRandomDisk(disk: RecordedDisk, random: RandomSource): Promise<string[]> {
  const missing: string[] = [];
  const acknowledged: string[] = [];
  let run = await disk.start();
  disk.storage.useLiveChanges(() => liveChanges(acknowledged));
  await disk.write([{ tag: 'meta', meta: { ready: true, members: '' } }]);
  for (let step = 0; step < STEPS_PER_SEED; step += 1) {
    const drawn = random.uniform();
    if (drawn < 0.6) {
      const id = `t${step}`;
      await disk.write([turnChange(id)]);
      acknowledged.push(id);
      continue;
    }
    if (drawn < 0.7) {
      // With enough restarts a compaction is due; it starts with the next write and may be interrupted.
      run.skippedMilliseconds = AFTER_COMPACTION_GRACE_MILLISECONDS;
      continue;
    }
    await (drawn < 0.85 ? disk.losePower(random, LOSE_HALF_OF_NAMES) : disk.stop());
    run = await disk.start();
    disk.storage.useLiveChanges(() => liveChanges(acknowledged));
    const { foundTurns } = disk;
    missing.push(...acknowledged.filter((id) => !foundTurns.has(id)));
    if (!disk.foundReady) {
      missing.push('the ready mark');
    }
  }
  return missing;
}

function liveChanges(ids: readonly string[]): StorageChange[] {
  return [{ tag: 'meta', meta: { ready: true, members: '' } }, ...ids.map(turnChange)];
}

Given(
  "a replica's disk with random writes, restarts and power losses of seeds {int} to {int}",
  { timeout: 60_000 },
  async function (this: World, first: number, last: number) {
    this.acknowledged = [];
    for (let seed = first; seed <= last; seed += 1) {
      const disk = new RecordedDisk();
      try {
        const missing = await runRandomDisk(disk, createRandom(seed, 'disk'));
        this.acknowledged.push(...missing.map((what) => `seed ${seed}: ${what}`));
      } finally {
        await disk.remove();
      }
    }
  },
);

Then('everything acknowledged was there at each start', function (this: World) {
  assert.deepEqual(this.acknowledged, []);
});

function memberOf(name: string): Member {
  return { id: name, node: name, host: name, port: 1, zone: name };
}

const RECORD: MemberRecord = { epoch: 1, members: REPLICA_NAMES.map(memberOf) };

/** A caller that reaches the replicas that are running. */
function callerOf(world: World): ReplicaCaller {
  return {
    call: (to, request, timeout, listener) => {
      const replica = world.diskReplicas!.get(to.id);
      if (replica === undefined) {
        setTimeout(() => listener(undefined), timeout);
        return;
      }
      replica.handle({ ...request, call: 1 } as ReplicaRequest, (reply) => {
        if (reply.type !== 'members') {
          setImmediate(() => listener(reply));
        }
      });
    },
    notify: () => undefined,
  };
}

/** Starts a replica on each disk. */
async function startReplicas(world: World): Promise<void> {
  world.diskReplicas = new Map();
  world.syncs = [];
  for (const [place, id] of REPLICA_NAMES.entries()) {
    const disk = world.disks![place]!;
    const { runtime } = await disk.start();
    const directory = new MemberDirectory(runtime);
    const replica = new Replica({ id, runtime, storage: disk.storage, directory });
    disk.found.forEach((change) => replica.restore(change));
    replica.endRestore();
    directory.offer(RECORD, 'test');
    world.diskReplicas.set(id, replica);
    const caller = callerOf(world);
    world.syncs.push(
      new ReplicaSync({ id, runtime, replica, directory, caller, wantedMembers: 3, timings }),
    );
  }
}

function clientOf(world: World): TurnClient {
  const { runtime } = new ProcessRun();
  const directory = new MemberDirectory(runtime);
  directory.offer(RECORD, 'test');
  return new TurnClient({ runtime, directory, caller: callerOf(world), zone: 'a' });
}

function countComplete(world: World): number {
  return [...world.diskReplicas!.values()].filter((replica) => replica.active).length;
}

Given(
  'three replicas with disks of their own that have acknowledged {int} turns together',
  async function (this: World, count: number) {
    this.disks = REPLICA_NAMES.map(() => new RecordedDisk());
    await startReplicas(this);
    for (const replica of this.diskReplicas!.values()) {
      await new Promise<void>((resolve) => replica.markReady('first start', resolve));
    }
    const client = clientOf(this);
    this.acknowledged = Array.from({ length: count }, (_, index) => `t${index}`);
    for (const id of this.acknowledged) {
      const isStored = await new Promise<boolean>((resolve) =>
        client.storeTurn(conversationTurn(id), CALL_TIMEOUT_MILLISECONDS, resolve),
      );
      assert.equal(isStored, true);
    }
  },
);

When(
  'all of them lose power and every unsynced directory entry, and one loses its disk',
  async function (this: World) {
    this.syncs!.forEach((sync) => sync.close());
    this.diskReplicas!.forEach((replica) => replica.close());
    const [lost, ...others] = this.disks!;
    await lost!.loseDisk();
    for (const disk of others) {
      await disk.losePower(createRandom(1), LOSE_ALL_NAMES);
    }
    await startReplicas(this);
  },
);

Then(
  'two replicas are complete at once and the third within {int} seconds',
  { timeout: 20_000 },
  async function (this: World, seconds: number) {
    assert.ok(countComplete(this) >= 2, `${countComplete(this)} are complete`);
    const until = performance.now() + seconds * 1_000;
    while (countComplete(this) < REPLICA_NAMES.length && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    }
    assert.equal(countComplete(this), REPLICA_NAMES.length);
  },
);

Then('every turn is found again', async function (this: World) {
  const client = clientOf(this);
  for (const id of this.acknowledged!) {
    const chain = await new Promise<ChainResult>((resolve) =>
      client.readChain(id, CALL_TIMEOUT_MILLISECONDS, resolve),
    );
    assert.equal(chain.tag, 'found', id);
  }
});
