/** Steps about replicas that die and come back, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { SimulatedCluster } from '../../src/simulation/simulated-cluster.js';

interface ReplicationWorld {
  simulated?: SimulatedCluster;
  opened?: number;
  messagesPerSecond?: number;
}

const SHARDS = 1;
const STEP_MILLISECONDS = 500;
const PROGRAMS_AT_ONCE = 500;

function openPrograms(world: ReplicationWorld, count: number): void {
  const cluster = world.simulated!;
  for (let made = 0; made < count;) {
    const leader = cluster
      .livingNodes()
      .flatMap((node) => node.listShards())
      .find((roles) => roles.host.canServe());
    if (leader === undefined) {
      cluster.clock.runUntil(cluster.clock.now + STEP_MILLISECONDS);
      continue;
    }
    const batch = Math.min(PROGRAMS_AT_ONCE, count - made);
    for (let index = 0; index < batch; index += 1) {
      const number = world.opened! + made + index;
      const command = { type: 'openProgram', at: 0, program: `p${number}`, group: 'g' } as const;
      leader.host.propose(command, () => undefined);
    }
    made += batch;
    cluster.clock.runUntil(cluster.clock.now + STEP_MILLISECONDS);
  }
  world.opened! += count;
}

Given(
  'a simulated cluster of three nodes with {int} programs',
  function (this: ReplicationWorld, programs: number) {
    this.simulated = new SimulatedCluster({
      seed: 11,
      zones: ['a', 'b', 'c'],
      betweenZones: 1,
      shardCount: SHARDS,
      services: [],
      groups: [],
    });
    this.simulated.start();
    this.opened = 0;
    openPrograms(this, programs);
  },
);

function nameOf(world: ReplicationWorld, number: number): string {
  return world.simulated!.nodeNames[number - 1]!;
}

When(
  'node {int} dies, loses its {int} newest entries and starts again',
  function (this: ReplicationWorld, number: number, entries: number) {
    const name = nameOf(this, number);
    this.simulated!.killNode(name);
    this.simulated!.tearDisk(name, entries);
    this.simulated!.startNode(name);
  },
);

When('node {int} dies', function (this: ReplicationWorld, number: number) {
  this.simulated!.killNode(nameOf(this, number));
});

When('node {int} starts again', function (this: ReplicationWorld, number: number) {
  this.simulated!.startNode(nameOf(this, number));
});

When('every node dies and starts again', function (this: ReplicationWorld) {
  const cluster = this.simulated!;
  cluster.nodeNames.forEach((name) => cluster.killNode(name));
  cluster.nodeNames.forEach((name) => cluster.startNode(name));
});

When(
  '{int} programs are opened and {int} seconds pass',
  function (this: ReplicationWorld, programs: number, seconds: number) {
    const { clock, network } = this.simulated!;
    openPrograms(this, programs);
    const before = network.messageCount;
    clock.runUntil(clock.now + seconds * 1_000);
    this.messagesPerSecond = (network.messageCount - before) / seconds;
  },
);

Then(
  'every replica has the same {int} programs',
  function (this: ReplicationWorld, programs: number) {
    const nodes = this.simulated!.livingNodes();
    assert.equal(nodes.length, 3);
    for (const node of nodes) {
      const [roles] = node.listShards();
      assert.equal(roles!.host.state.programs.size, programs, node.options.self);
    }
    const indexes = nodes.map((node) => node.listShards()[0]!.host.committedIndex);
    assert.equal(new Set(indexes).size, 1, indexes.join(', '));
  },
);

Then(
  'fewer than {int} messages a second were sent',
  function (this: ReplicationWorld, most: number) {
    assert.ok(this.messagesPerSecond! < most, `${this.messagesPerSecond} a second`);
  },
);
