/** Steps about a replica whose memory is used up by turns. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { LogFields } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { ReplicaMemoryLimit } from '../../src/turns/memory-limit.js';
import type { ReplicaReply, ReplicaRequest } from '../../src/turns/messages.js';
import { Replica } from '../../src/turns/replica.js';
import type { TurnStorage } from '../../src/turns/turn-storage.js';

const MEGABYTE = 1024 * 1024;
/** Storage on which everything is durable at once. */
const STORAGE: TurnStorage = { write: (_changes, done) => done(true) };

interface World {
  limited: Replica;
  limitLog: LogFields[];
  usedBytes: number;
  neededBytes: number;
  keptTurns: string[];
  turnCount: number;
  /** Members in virtual time, and the turns that they keep; see the steps about full disks. */
  clock: VirtualClock;
  members: SimulatedReplicas;
  kept: string[];
}

/** Returns the outcome of a request that is answered at once. */
function outcomeOf({ limited }: World, request: ReplicaRequest): string | undefined {
  let outcome: string | undefined;
  limited.handle(request, (reply) => {
    outcome = 'outcome' in reply ? (reply as ReplicaReply & { outcome: string }).outcome : '';
  });
  return outcome;
}

function keepNext(world: World): string | undefined {
  world.turnCount += 1;
  const id = `turn ${world.turnCount}`;
  const content = Buffer.from(id);
  const turn = { id, previous: '', input: content, output: content, retentionMilliseconds: 60_000 };
  const outcome = outcomeOf(world, { type: 'keep', call: 1, epoch: 1, turn });
  if (outcome === 'done') {
    world.keptTurns.push(id);
  }
  return outcome;
}

function keepSeveral(world: World, count: number): (string | undefined)[] {
  return Array.from({ length: count }, () => keepNext(world));
}

Given('a replica with a memory limit of {int} MB', function (this: World, megabytes: number) {
  const process = new SimulatedProcess('m', new VirtualClock(), createRandom(1)).start();
  this.limitLog = [];
  const runtime = {
    now: () => process.now(),
    wallTime: () => process.wallTime(),
    setTimer: process.setTimer.bind(process),
    random: process.random,
    log: (_level: unknown, _message: string, fields: LogFields = {}) => this.limitLog.push(fields),
  };
  const heap = {
    usedBytes: () => this.usedBytes,
    collectAll: () => {
      this.usedBytes = this.neededBytes;
    },
  };
  this.usedBytes = 0;
  this.turnCount = 0;
  this.keptTurns = [];
  const directory = new MemberDirectory(runtime);
  const member = { id: 'm', node: 'm', host: 'm', port: 1, zone: 'z' };
  directory.offer({ epoch: 1, members: [member] }, 'test');
  const memoryLimit = new ReplicaMemoryLimit(runtime, heap, megabytes * MEGABYTE);
  this.limited = new Replica({ id: 'm', runtime, storage: STORAGE, directory, memoryLimit });
  this.limited.markReady('test', () => undefined);
});

When(
  '{int} MB are in use, of which {int} MB are needed',
  function (this: World, used: number, needed: number) {
    this.usedBytes = used * MEGABYTE;
    this.neededBytes = needed * MEGABYTE;
  },
);

Then('{int} turns are kept', function (this: World, count: number) {
  assert.deepEqual(keepSeveral(this, count), Array(count).fill('done'));
});

Then(
  'after one more turn {int} turns are refused, and a log line says so',
  function (this: World, count: number) {
    keepNext(this);
    assert.deepEqual(keepSeveral(this, count), Array(count).fill('diskFailed'));
    assert.equal(this.limitLog.filter(({ event }) => event === 'replica.full').length, 1);
  },
);

Then('what was kept before is still read', function (this: World) {
  for (const turn of this.keptTurns) {
    this.limited.handle({ type: 'chainUnder', call: 2, epoch: 1, turn }, (reply) =>
      assert.equal(reply.type === 'chained' && reply.state, 'found'),
    );
  }
});

Then('a reservation is still taken', function (this: World) {
  const entry = { program: 'p', turn: 't', mostTokens: 1, usedTokens: undefined };
  assert.equal(outcomeOf(this, { type: 'reserve', call: 3, epoch: 1, entry }), 'done');
});

Then('turns of other members may be copied', function (this: World) {
  assert.equal(this.limited.isMemoryExhausted, false);
});

Then('turns of other members may not be copied', function (this: World) {
  assert.equal(this.limited.isMemoryExhausted, true);
});

When('the memory of {int} members is used up', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.members.useUpMemory(`m${index}`, true);
  }
});

When('all members have memory again', function (this: World) {
  this.members.runningNames().forEach((name) => this.members.useUpMemory(name, false));
});

Then(
  'after {int} ms {int} members hold every turn',
  { timeout: 20_000 },
  function (this: World, milliseconds: number, count: number) {
    this.clock.runUntil(this.clock.now + milliseconds);
    const holders = this.kept.map((id) => this.members.holdersOf(id).length);
    assert.deepEqual(holders, Array(this.kept.length).fill(count));
  },
);
