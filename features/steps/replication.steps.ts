/** Steps about replicas that crash and restart, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { shardOfPool, shardOfProgram } from '../../src/replication/shard-map.js';
import type { CallRequest } from '../../src/model/call.js';
import { SimulatedCluster } from '../../src/simulation/simulated-cluster.js';

interface ReplicationWorld {
  simulated?: SimulatedCluster;
  opened?: number;
  messagesPerSecond?: number;
  answered?: number;
  asked?: number;
}

const SHARDS = 1;
const STEP_MILLISECONDS = 500;
const PROGRAMS_AT_ONCE = 500;

function openPrograms(world: ReplicationWorld, count: number): void {
  const cluster = world.simulated!;
  for (let openedCount = 0; openedCount < count;) {
    const leader = cluster
      .livingNodes()
      .flatMap((node) => node.listShards())
      .find((roles) => roles.host.canServe());
    if (leader === undefined) {
      cluster.clock.runUntil(cluster.clock.now + STEP_MILLISECONDS);
      continue;
    }
    const batch = Math.min(PROGRAMS_AT_ONCE, count - openedCount);
    for (let index = 0; index < batch; index += 1) {
      const number = world.opened! + openedCount + index;
      const command = { type: 'openProgram', at: 0, program: `p${number}`, group: 'g' } as const;
      leader.host.propose(command, () => undefined);
    }
    openedCount += batch;
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
      interZoneMilliseconds: 1,
      shardCount: SHARDS,
      services: [],
      groups: [],
    });
    this.simulated.start();
    this.opened = 0;
    openPrograms(this, programs);
  },
);

function nodeNameOf(world: ReplicationWorld, number: number): string {
  return world.simulated!.nodeNames[number - 1]!;
}

When(
  'a follower dies, loses its {int} newest entries and starts again',
  function (this: ReplicationWorld, entries: number) {
    const follower = this.simulated!.livingNodes().find(
      (node) => node.listShards()[0]!.host.role === 'follower',
    );
    const name = follower!.options.self;
    this.simulated!.killNode(name);
    this.simulated!.tearDisk(name, entries);
    this.simulated!.startNode(name);
  },
);

When('node {int} dies', function (this: ReplicationWorld, number: number) {
  this.simulated!.killNode(nodeNameOf(this, number));
});

When('node {int} starts again', function (this: ReplicationWorld, number: number) {
  this.simulated!.startNode(nodeNameOf(this, number));
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

Given('a simulated cluster of three nodes that serves a model', function (this: ReplicationWorld) {
  this.simulated = new SimulatedCluster({
    seed: 12,
    zones: ['a', 'b', 'c'],
    interZoneMilliseconds: 1,
    shardCount: 12,
    services: [{ name: 'minds', kind: 'model', runners: 3, concurrency: 8 }],
    groups: [{ name: 'g', share: 1, budget: 1e9 }],
  });
  this.simulated.start();
});

When(
  '{int} programs each ask once at the other nodes',
  function (this: ReplicationWorld, programs: number) {
    const nodes = this.simulated!.livingNodes();
    this.asked = programs;
    this.answered = 0;
    const { map } = this.simulated!;
    // Programs on the pool's own shard are left out: their owner knows the pool's leader already.
    const names = Array.from({ length: programs * 2 }, (_, number) => `p-${number}`)
      .filter((name) => shardOfProgram(map, name) !== shardOfPool(map, 'minds'))
      .slice(0, programs);
    for (const [index, program] of names.entries()) {
      const request: CallRequest = {
        call: `c-${index}`,
        program,
        group: 'g',
        service: 'minds',
        callClass: 'interactive',
        sequence: 1,
        idempotencyKey: '',
        repeatable: true,
        messages: [{ role: 'user', content: `hello ${index} #10` }],
        payload: '',
        maximumTokens: 20,
        timeoutMilliseconds: 60_000,
        endsProgram: false,
        receivedText: '',
      };
      nodes[index % nodes.length]!.gateway.submit(request, false, (event) => {
        this.answered! += event.type === 'answered' ? 1 : 0;
      });
    }
  },
);

Then(
  'every one of them is answered within {int} seconds',
  function (this: ReplicationWorld, seconds: number) {
    const { clock } = this.simulated!;
    clock.runUntil(clock.now + seconds * 1_000);
    assert.equal(this.answered, this.asked);
  },
);
