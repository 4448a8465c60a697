/** Steps about replicas in virtual time: membership, retirement and the copying of turns. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

interface World {
  clock?: VirtualClock;
  replicas?: SimulatedReplicas;
  keptTurns?: string[];
  standby?: string;
  unreadTurns?: string[];
}

Given(
  '{int} replicas of which {int} are to be members',
  function (this: World, count: number, wantedMembers: number) {
    const clock = new VirtualClock();
    const replicas = new SimulatedReplicas(clock, createRandom(1), { wantedMembers });
    for (let index = 1; index <= count; index += 1) {
      replicas.add(`m${index}`, `z${index}`);
    }
    clock.runUntil(clock.now + 6_000);
    Object.assign(this, { clock, replicas });
  },
);

Then('{int} replicas are active', function (this: World, count: number) {
  assert.equal(this.replicas!.activeNames().length, count);
});

When('one active replica is lost permanently', function (this: World) {
  this.replicas!.kill(this.replicas!.activeNames()[0]!);
});

When('one active replica loses its disk', function (this: World) {
  const [name] = this.replicas!.activeNames();
  this.replicas!.kill(name!);
  this.replicas!.wipe(name!);
  this.replicas!.start(name!);
});

When('a standby replica is being retired', function (this: World) {
  const active = new Set(this.replicas!.activeNames());
  this.standby = this.replicas!.runningNames().find((name) => !active.has(name))!;
  this.replicas!.store.retiring.add(this.standby);
});

Then(
  'within {int} milliseconds {int} replicas are active',
  function (this: World, milliseconds: number, count: number) {
    const { clock, replicas } = this;
    const isFull = (): boolean => replicas!.activeNames().length === count;
    assert.ok(clock!.runUntil(clock!.now + milliseconds, isFull), `${replicas!.activeNames()}`);
  },
);

Then(
  'within {int} milliseconds its retirement is reported as finished',
  function (this: World, milliseconds: number) {
    const { clock, replicas, standby } = this;
    const finished = (): boolean => replicas!.store.retired.has(standby!);
    assert.ok(
      clock!.runUntil(clock!.now + milliseconds, finished),
      'its retirement is not finished',
    );
  },
);

/** Starts replicas under a continuous load of writes. */
function startBusyReplicas(
  world: World,
  count: number,
  wantedMembers: number,
  writesPerSecond: number,
): void {
  const clock = new VirtualClock();
  const replicas = new SimulatedReplicas(clock, createRandom(1), { wantedMembers });
  for (let index = 1; index <= count; index += 1) {
    replicas.add(`m${index}`, `z${index}`);
  }
  clock.runUntil(clock.now + 6_000);
  const { client } = replicas.client('g', 'z1', 'm2');
  const storedTurns: string[] = [];
  let turns = 0;
  const keepNext = (): void => {
    turns += 1;
    const id = `t${turns}`;
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes, retentionMilliseconds: 60_000 };
    client.storeTurn(turn, 700, (done) => done && storedTurns.push(id));
    clock.schedule(1_000 / writesPerSecond, keepNext);
  };
  keepNext();
  clock.runUntil(clock.now + 2_000);
  Object.assign(world, { clock, replicas, keptTurns: storedTurns });
}

Given(
  '{int} replicas that take {int} writes a second',
  function (this: World, count: number, writes: number) {
    startBusyReplicas(this, count, Infinity, writes);
  },
);

Given(
  '{int} replicas of which {int} are to be members that take {int} writes a second',
  function (this: World, count: number, wantedMembers: number, writes: number) {
    startBusyReplicas(this, count, wantedMembers, writes);
  },
);

When(
  'machine {string} is being retired and {string} pauses for {int} milliseconds as it leaves',
  function (this: World, name: string, slow: string, milliseconds: number) {
    const { clock, replicas } = this;
    assert.ok(replicas!.activeNames().includes(name) && replicas!.activeNames().includes(slow));
    replicas!.store.retiring.add(name);
    const hasLeft = (): boolean => !replicas!.activeNames().includes(name);
    assert.ok(clock!.runUntil(clock!.now + 3_000, hasLeft), 'it has not left');
    replicas!.pause(slow);
    clock!.runUntil(clock!.now + milliseconds);
    replicas!.resume(slow);
  },
);

When('machine {string} is being retired', function (this: World, name: string) {
  this.replicas!.store.retiring.add(name);
});

When(
  'machine {string} is being retired while no report of it gets through',
  function (this: World, name: string) {
    this.replicas!.store.refusesReports = true;
    this.replicas!.store.retiring.add(name);
  },
);

When(
  'machine {string} dies after {int} milliseconds and reports get through again',
  function (this: World, name: string, milliseconds: number) {
    this.clock!.runUntil(this.clock!.now + milliseconds);
    this.replicas!.kill(name);
    // Longer than the time for which a member's last pull counts as recent.
    this.clock!.runUntil(this.clock!.now + 1_700);
    this.replicas!.store.refusesReports = false;
  },
);

Then(
  'within {int} milliseconds its retirement is reported as finished and the others hold every turn',
  function (this: World, milliseconds: number) {
    const { clock, replicas, keptTurns } = this;
    const finished = (): boolean => replicas!.store.retired.has('m1');
    assert.ok(
      clock!.runUntil(clock!.now + milliseconds, finished),
      'its retirement is not finished',
    );
    const lacking = keptTurns!.filter(
      (turn) => replicas!.holdersOf(turn).filter((name) => name !== 'm1').length < 2,
    );
    assert.deepEqual(lacking, []);
  },
);

/** Cuts or heals the links between one machine and all others. */
function setIsolated({ replicas }: World, name: string, isolated: boolean): void {
  const others = replicas!.runningNames().filter((other) => other !== name);
  others.forEach((other) => (isolated ? replicas!.cut(name, other) : replicas!.heal(name, other)));
}

When(
  'machine {string} leaves as it is being retired, with turns that no other one has read, and is killed and started',
  function (this: World, name: string) {
    const { clock, replicas } = this;
    replicas!.store.refusesReports = true;
    replicas!.store.retiring.add(name);
    const hasLeft = (): boolean => !replicas!.recordedMembers().includes(name);
    assert.ok(clock!.runUntil(clock!.now + 3_000, hasLeft), 'it has not left');
    setIsolated(this, name, true);
    this.standby = name;
    this.unreadTurns = ['u1', 'u2'];
    replicas!.keepOn(name, this.unreadTurns);
    // The mark that it left is on disk by then.
    clock!.runUntil(clock!.now + 1_000);
    replicas!.kill(name);
    replicas!.start(name);
    replicas!.store.refusesReports = false;
  },
);

Then(
  "while the others can't read it, its retirement isn't reported as finished for {int} milliseconds",
  function (this: World, milliseconds: number) {
    const { clock, replicas } = this;
    const isReported = clock!.runUntil(clock!.now + milliseconds, () =>
      replicas!.store.retired.has('m1'),
    );
    assert.ok(!isReported, 'it is reported as finished');
    assert.deepEqual(
      this.unreadTurns!.flatMap((turn) => replicas!.holdersOf(turn)),
      ['m1', 'm1'],
    );
  },
);

Then(
  'once they can, its retirement is reported as finished within {int} milliseconds and two others hold its turns',
  function (this: World, milliseconds: number) {
    const { clock, replicas } = this;
    setIsolated(this, 'm1', false);
    const finished = (): boolean => replicas!.store.retired.has('m1');
    assert.ok(
      clock!.runUntil(clock!.now + milliseconds, finished),
      'its retirement is not finished',
    );
    this.unreadTurns!.forEach((turn) => {
      const others = replicas!.holdersOf(turn).filter((name) => name !== 'm1');
      assert.ok(others.length >= 2, `${turn} is held by ${others}`);
    });
  },
);

When(
  'the standby loses its disk, copies turns, starts again and is being retired',
  function (this: World) {
    const { clock, replicas, keptTurns } = this;
    const active = new Set(replicas!.activeNames());
    const standby = replicas!.runningNames().find((name) => !active.has(name))!;
    replicas!.kill(standby);
    replicas!.wipe(standby);
    replicas!.start(standby);
    clock!.runUntil(clock!.now + 2_000);
    replicas!.kill(standby);
    replicas!.start(standby);
    assert.ok(keptTurns!.some((turn) => replicas!.holdersOf(turn).includes(standby)));
    replicas!.store.retiring.add(standby);
    this.standby = standby;
  },
);

Given('{int} replicas that are members', function (this: World, count: number) {
  this.clock = new VirtualClock();
  const quotaAllowance = { overshoot: 0.1, slack: 20 };
  this.replicas = new SimulatedReplicas(this.clock, createRandom(7), { quotaAllowance });
  for (let index = 1; index <= count; index += 1) {
    this.replicas.add(`m${index}`, `z${index}`);
  }
  const { clock, replicas } = this;
  assert.ok(clock.runUntil(20_000, () => replicas.activeNames().length === count));
  clock.runUntil(clock.now + 2_000);
});

When('{int} turns are stored', function (this: World, count: number) {
  const { client } = this.replicas!.client('g', 'z1', 'm1');
  this.keptTurns = [];
  for (let index = 1; index <= count; index += 1) {
    const id = `t${index}`;
    const turn = {
      id,
      previous: '',
      input: Buffer.from(`in ${id}`),
      output: Buffer.from(`out ${id}`),
      retentionMilliseconds: 60_000,
    };
    client.storeTurn(turn, 700, (done) => done && this.keptTurns!.push(id));
    this.clock!.runUntil(this.clock!.now + 40);
  }
});

When('replica {string} loses its disk and starts again', function (this: World, name: string) {
  const { replicas } = this;
  replicas!.kill(name);
  replicas!.wipe(name);
  replicas!.start(name);
  replicas!.copiedTurns = 0;
});

Then(
  'within {int} milliseconds all replicas hold all turns',
  function (this: World, milliseconds: number) {
    const { clock, replicas } = this;
    const count = replicas!.runningNames().length;
    const hold = (): boolean =>
      this.keptTurns!.every((turn) => replicas!.holdersOf(turn).length === count);
    assert.ok(clock!.runUntil(clock!.now + milliseconds, hold));
    assert.ok(this.keptTurns!.length > 0);
  },
);

Then('each turn was copied {float} times on average at most', function (this: World, most: number) {
  const copies = this.replicas!.copiedTurns / this.keptTurns!.length;
  assert.ok(copies > 0 && copies <= most, `${copies} times`);
});
