/**
 * Steps about full disks. Files are opened on /dev/full, whose writes fail with the system's own error for a disk
 * without space.
 */
import assert from 'node:assert/strict';
import { mkdtempSync, readdirSync, rmSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { LogFields, Runtime } from '../../src/runtime/runtime.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { SegmentFile, SegmentFolder } from '../../src/turns/durable-folder.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { ReplicaReply } from '../../src/turns/messages.js';
import { Replica } from '../../src/turns/replica.js';
import { SegmentTurnStorage } from '../../src/turns/segment-turn-storage.js';
import type { TurnClient } from '../../src/turns/turn-client.js';

interface World {
  fullFolder?: string;
  isFull: boolean;
  diskFault: DiskFault | undefined;
  refusedTurns: number;
  diskLog: LogFields[];
  fullStorage: SegmentTurnStorage;
  fullReplica: Replica;
  kept: string[];
  answer: Promise<ReplicaReply>;
  askedAt: number;
  clock: VirtualClock;
  members: SimulatedReplicas;
  turns: TurnClient;
}

const FULL_DEVICE = '/dev/full';
const RUNTIME = { ...createRealRuntime({ seed: 1 }), log: () => undefined };

/** Creates files on the device without space while the disk is full; open ones fail from then on as well. */
function fillable(world: World, folder: SegmentFolder): SegmentFolder {
  const create = async (name: string): Promise<SegmentFile> => {
    const [file, device] = [await folder.create(name), await open(FULL_DEVICE, 'w')];
    return {
      write: (bytes, from) => (world.isFull ? device : file).write(bytes, from),
      datasync: () => file.datasync(),
      close: async () => {
        await Promise.all([device.close(), file.close()]);
      },
    };
  };
  return {
    create,
    names: () => folder.names(),
    read: (name) => folder.read(name),
    remove: (name) => folder.remove(name),
  };
}

type DiskFault = 'writes fail' | 'files are refused' | 'syncs hang';

function failureOf(code: string): Error {
  return Object.assign(new Error(code), { code });
}

/** Fails, or waits until the disk works again, while it has a fault. */
function failable(world: World, folder: SegmentFolder): SegmentFolder {
  const check = async (fault: DiskFault, code: string): Promise<void> => {
    if (world.diskFault === fault) {
      throw failureOf(code);
    }
  };
  const create = async (name: string): Promise<SegmentFile> => {
    await check('files are refused', 'EMFILE');
    const file = await folder.create(name);
    return {
      write: async (bytes, from) => {
        await check('writes fail', 'EIO');
        await check('files are refused', 'EROFS');
        return file.write(bytes, from);
      },
      datasync: async () => {
        while (world.diskFault === 'syncs hang') {
          await new Promise((resolve) => setTimeout(resolve, 20));
        }
        return file.datasync();
      },
      close: () => file.close(),
    };
  };
  return {
    create,
    names: () => folder.names(),
    read: (name) => folder.read(name),
    remove: (name) => folder.remove(name),
  };
}

function turnOf(id: string): Parameters<TurnClient['storeTurn']>[0] {
  const bytes = Buffer.from(id);
  return { id, previous: '', input: bytes, output: bytes, retentionMilliseconds: 60_000 };
}

function keep({ fullReplica }: World, id: string): Promise<ReplicaReply> {
  return new Promise((resolve) =>
    fullReplica.handle({ type: 'keep', call: 1, epoch: 1, turn: turnOf(id) }, (reply) =>
      resolve(reply as ReplicaReply),
    ),
  );
}

async function outcomeOf(reply: Promise<ReplicaReply>): Promise<string> {
  const found = await reply;
  return 'outcome' in found ? found.outcome : found.type;
}

async function startOnDisk(
  world: World,
  runtime: Runtime,
  wrap: (folder: SegmentFolder) => SegmentFolder,
): Promise<void> {
  world.isFull = false;
  world.fullFolder = mkdtempSync(join(tmpdir(), 'ivyloom-full-'));
  world.fullStorage = await SegmentTurnStorage.open(world.fullFolder, runtime, wrap);
  const directory = new MemberDirectory(runtime);
  const member = { id: 'm', node: 'm', host: 'm', port: 1, zone: 'z' };
  directory.offer({ epoch: 1, members: [member] }, 'test');
  const storage = world.fullStorage;
  world.fullReplica = new Replica({ id: 'm', runtime, storage, directory });
  await new Promise<void>((resolve) => world.fullReplica.markReady('test', resolve));
  world.kept = ['before'];
  assert.equal(await outcomeOf(keep(world, 'before')), 'done');
}

Given("a replica's disk that gets full", async function (this: World) {
  await startOnDisk(this, RUNTIME, (folder) => fillable(this, folder));
});

Given("a replica's disk that fails when told", async function (this: World) {
  this.diskLog = [];
  const log = (_level: unknown, _message: string, fields?: LogFields): void => {
    this.diskLog.push(fields ?? {});
  };
  await startOnDisk(this, { ...RUNTIME, log }, (folder) => failable(this, folder));
});

When(
  /^its (writes fail|files are refused|syncs hang) and (\d+) turns of (\d+) KB are kept$/,
  function (this: World, fault: DiskFault, count: string, kilobytes: string) {
    this.diskFault = fault;
    this.refusedTurns = 0;
    const content = Buffer.alloc(Number(kilobytes) * 1024, 1);
    for (let number = 0; number < Number(count); number += 1) {
      const turn = { ...turnOf(`waiting ${number}`), output: content };
      this.fullReplica.handle({ type: 'keep', call: 1, epoch: 1, turn }, (reply) => {
        assert.ok('outcome' in reply);
        if (reply.outcome === 'done') {
          this.kept.push(turn.id);
        } else {
          this.refusedTurns += 1;
        }
      });
    }
  },
);

Then(
  'within {int} ms at most {int} MB wait, and at least {int} turns are refused',
  async function (this: World, milliseconds: number, megabytes: number, refused: number) {
    const end = performance.now() + milliseconds;
    while (this.refusedTurns < refused && performance.now() < end) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.ok(this.refusedTurns >= refused, `${this.refusedTurns} turns were refused`);
    const waiting = this.diskLog
      .filter(({ event }) => event === 'disk.unavailable')
      .map(({ queuedBytes }) => Number(queuedBytes));
    assert.ok(waiting.length > 0 && Math.max(...waiting) <= megabytes * 1e6, `${waiting}`);
  },
);

Then('a file is not left behind by each attempt', async function (this: World) {
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  assert.ok(readdirSync(this.fullFolder!).length <= 2);
});

When('the disk works again', function (this: World) {
  this.diskFault = undefined;
});

When('a turn is kept on the full disk', function (this: World) {
  this.isFull = true;
  this.askedAt = performance.now();
  this.answer = keep(this, 'refused');
});

Then(
  'it is refused within {int} ms, and so are {int} more without a file being left behind',
  async function (this: World, milliseconds: number, count: number) {
    assert.equal(await outcomeOf(this.answer), 'diskFailed');
    assert.ok(performance.now() - this.askedAt < milliseconds);
    for (let number = 0; number < count; number += 1) {
      assert.equal(await outcomeOf(keep(this, `refused ${number}`)), 'diskFailed');
      await new Promise((resolve) => setTimeout(resolve, 60));
    }
    assert.ok(readdirSync(this.fullFolder!).length <= 2);
  },
);

Then('a chain that was kept before is still read', function (this: World) {
  this.fullReplica.handle({ type: 'chainUnder', call: 2, epoch: 1, turn: 'before' }, (reply) =>
    assert.equal(reply.type === 'chained' && reply.state, 'found'),
  );
});

When('the disk has space again', function (this: World) {
  this.isFull = false;
});

Then(
  /^within (\d+) ms (?:a|another) turn is kept, and all that was acknowledged is on the disk$/,
  async function (this: World, milliseconds: string) {
    const end = performance.now() + Number(milliseconds);
    while ((await outcomeOf(keep(this, 'after'))) !== 'done') {
      assert.ok(performance.now() < end, 'no turn is kept');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    this.kept.push('after');
    await new Promise<void>((resolve) => this.fullStorage.close(resolve));
    const found = new Set<string>();
    const read = await SegmentTurnStorage.open(this.fullFolder!, RUNTIME);
    await read.load((change) => change.tag === 'turn' && found.add(change.turn.turn.id));
    assert.deepEqual(
      this.kept.filter((id) => !found.has(id)),
      [],
    );
  },
);

Given('members with {int} disks in one region', { timeout: 20_000 }, function (this: World, count) {
  this.clock = new VirtualClock();
  this.members = new SimulatedReplicas(this.clock, createRandom(9));
  for (let index = 0; index < Number(count); index += 1) {
    this.members.add(`m${index}`, `z${index}`);
  }
  const areActive = (): boolean => this.members.activeNames().length === Number(count);
  assert.ok(this.clock.runUntil(30_000, areActive));
  this.clock.runUntil(this.clock.now + 2_000);
  this.turns = this.members.client('g', 'z0', 'm0').client;
  this.kept = [];
});

When('the disks of {int} members are full', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.members.fillDisk(`m${index}`, true);
  }
});

When('all disks have space again', function (this: World) {
  this.members.runningNames().forEach((name) => this.members.fillDisk(name, false));
  this.clock.runUntil(this.clock.now + 600);
});

Then(
  'a turn is stored within {int} ms',
  { timeout: 20_000 },
  function (this: World, milliseconds: number) {
    const id = `turn ${this.kept.length}`;
    let stored: boolean | undefined;
    this.turns.storeTurn(turnOf(id), milliseconds, (done) => (stored = done));
    this.clock.runUntil(this.clock.now + milliseconds, () => stored !== undefined);
    assert.equal(stored, true);
    this.kept.push(id);
  },
);

Then(
  'a reservation is refused within {int} ms',
  { timeout: 20_000 },
  function (this: World, milliseconds: number) {
    let outcome: string | undefined;
    const request = { program: 'p', turn: 't', mostTokens: 1, budgetTokens: 10 };
    this.turns.reserve(request, 700, (found) => (outcome = found));
    this.clock.runUntil(this.clock.now + milliseconds);
    assert.equal(outcome, 'unavailable');
  },
);

Then(
  'within {int} ms all {int} members hold every turn',
  { timeout: 20_000 },
  function (this: World, milliseconds: number, count: number) {
    const areHeld = (): boolean =>
      this.kept.every((id) => this.members.holdersOf(id).length === count);
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds, areHeld));
  },
);

After(async function (this: World) {
  this.fullReplica?.close();
  if (this.fullFolder !== undefined) {
    await new Promise<void>((resolve) => this.fullStorage.close(resolve));
    rmSync(this.fullFolder, { recursive: true, force: true });
  }
});
