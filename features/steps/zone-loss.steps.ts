/** Steps about members in zones, in virtual time: loss and return of a zone, retirement, and upgrades. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { wantedSpread } from '../../src/turns/member-spread.js';

interface World {
  clock: VirtualClock;
  replicas: SimulatedReplicas;
  zoneByName: ReadonlyMap<string, string>;
  lost?: readonly string[];
  storedTurns: string[];
  /** Virtual time of the last change of the record, in milliseconds, and its epoch. */
  changedAt: number;
  epoch: number;
  fewestMembers: number;
}

const REPLICAS_BY_ZONE = { a: 4, b: 3, c: 3 };
const STEP_MILLISECONDS = 50;

Given(
  'ten replicas over zones of 4, 3 and 3, of which two machines or one zone may be lost',
  function (this: World) {
    const topology = new Topology(
      new Map(Object.keys(REPLICAS_BY_ZONE).map((zone) => [zone, 'r'])),
    );
    const requirement = { topology, tolerance: { machines: 2, zones: 1, regions: 0 } };
    const spread = { ...requirement, wantedMembers: wantedSpread(requirement).size };
    const names = Object.entries(REPLICAS_BY_ZONE).flatMap(([zone, count]) =>
      Array.from({ length: count }, (_, place): [string, string] => [`${zone}${place}`, zone]),
    );
    this.clock = new VirtualClock();
    const options = { spread, catchUpMilliseconds: 6_000 };
    this.replicas = new SimulatedReplicas(this.clock, createRandom(1), options);
    this.zoneByName = new Map(names);
    Object.assign(this, { storedTurns: [], changedAt: 0, epoch: 0, fewestMembers: Infinity });
  },
);

/** Runs for a while, or until a condition holds, and observes the record. */
function run(world: World, milliseconds: number, isDone: () => boolean = () => false): boolean {
  const { clock, replicas } = world;
  const end = clock.now + milliseconds;
  while (clock.now < end && !isDone()) {
    clock.runUntil(clock.now + STEP_MILLISECONDS);
    world.fewestMembers = Math.min(world.fewestMembers, replicas.recordedMembers().length);
    if (replicas.store.epoch !== world.epoch) {
      Object.assign(world, { epoch: replicas.store.epoch, changedAt: clock.now });
    }
  }
  return isDone();
}

function membersByZone({ replicas, zoneByName }: World): string {
  const zones = replicas.recordedMembers().map((name) => zoneByName.get(name));
  const counts = [...new Set(zones)].map((zone) => zones.filter((each) => each === zone).length);
  return counts.sort((left, right) => right - left).join(' ');
}

function namesIn({ zoneByName }: World, zone: string): readonly string[] {
  return [...zoneByName].flatMap(([name, each]) => (each === zone ? [name] : []));
}

/** Names in the zone of the first member. */
function firstZone(world: World): readonly string[] {
  return namesIn(world, world.zoneByName.get(world.replicas.recordedMembers()[0]!)!);
}

When('all of them start', function (this: World) {
  this.zoneByName.forEach((zone, name) => this.replicas.add(name, zone));
});

When('all of them start with a build that makes every replica a member', function (this: World) {
  this.zoneByName.forEach((zone, name) => this.replicas.add(name, zone, { isOlderBuild: true }));
});

When('{int} milliseconds pass at the members', function (this: World, milliseconds: number) {
  run(this, milliseconds);
});

When('the zone with the first member is lost', function (this: World) {
  this.lost = firstZone(this);
  this.lost.forEach((name) => this.replicas.kill(name));
});

When('the lost zone returns', function (this: World) {
  this.lost!.forEach((name) => this.replicas.start(name));
});

When(
  'the zone with the first member is cut off for {int} milliseconds',
  function (this: World, milliseconds: number) {
    const inside = firstZone(this);
    const outside = [...this.zoneByName.keys()].filter((name) => !inside.includes(name));
    const links = inside.flatMap((from) => outside.map((to): [string, string] => [from, to]));
    links.forEach(([from, to]) => this.replicas.cut(from, to));
    run(this, milliseconds);
    links.forEach(([from, to]) => this.replicas.heal(from, to));
  },
);

When('a member is to be retired', function (this: World) {
  this.fewestMembers = Infinity;
  this.replicas.store.retiring.add(this.replicas.recordedMembers()[0]!);
});

When('turns are stored while all but one are upgraded one by one', function (this: World) {
  const { clock, replicas, storedTurns } = this;
  const [remaining, ...upgraded] = this.zoneByName.keys();
  const { client } = replicas.client('g', 'a', remaining!);
  const storeNext = (count: number): void => {
    const id = `t${count}`;
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes, retentionMilliseconds: 600_000 };
    client.storeTurn(turn, 700, (stored) => stored && storedTurns.push(id));
    clock.schedule(20, () => storeNext(count + 1));
  };
  storeNext(1);
  for (const name of upgraded) {
    replicas.upgrade(name);
    run(this, 2_000);
  }
});

Then(
  'within {int} milliseconds the members by zone are {string}',
  function (this: World, milliseconds: number, counts: string) {
    const isReached = run(this, milliseconds, () => membersByZone(this) === counts);
    assert.ok(isReached, membersByZone(this));
  },
);

Then('the members by zone are {string}', function (this: World, counts: string) {
  assert.equal(membersByZone(this), counts);
});

Then(
  'the members by zone are {string}, unchanged for {int} milliseconds',
  function (this: World, counts: string, milliseconds: number) {
    assert.equal(membersByZone(this), counts);
    assert.ok(this.clock.now - this.changedAt >= milliseconds, `changed at ${this.changedAt}`);
  },
);

Then(
  'within {int} milliseconds its retirement is finished, with never fewer than {int} members',
  function (this: World, milliseconds: number, members: number) {
    assert.ok(run(this, milliseconds, () => this.replicas.store.retired.size === 1));
    assert.ok(this.fewestMembers >= members, `${this.fewestMembers} members`);
  },
);

Then('all stored turns are found', function (this: World) {
  assert.ok(this.storedTurns.length > 500, `${this.storedTurns.length} turns were stored`);
  const { client } = this.replicas.client('reader', 'b', this.replicas.activeNames()[0]!);
  const lost: string[] = [];
  let pending = this.storedTurns.length;
  for (const id of this.storedTurns) {
    client.readChain(id, 700, (chain) => {
      pending -= 1;
      if (chain.tag !== 'found') {
        lost.push(id);
      }
    });
  }
  run(this, 2_000);
  assert.deepEqual({ pending, lost }, { pending: 0, lost: [] });
});
