/** Steps about whether a gateway reaches its replicas, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import { ReplicaReachability } from '../../src/turns/replica-reachability.js';
import { TurnClient } from '../../src/turns/turn-client.js';
import type { ReserveOutcome } from '../../src/turns/turn-client.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const REPLY_DELAY_MILLISECONDS = 3;
const RESERVE_TIMEOUT_MILLISECONDS = 700;

/** Replicas that can be silenced one by one. */
class SilenceableReplicas implements ReplicaCaller {
  readonly silent = new Set<string>();

  constructor(private readonly runtime: Runtime) {}

  call(...[member, request, timeout, listener]: Parameters<ReplicaCaller['call']>): void {
    if (this.silent.has(member.id)) {
      this.runtime.setTimer(timeout, () => listener(undefined));
      return;
    }
    this.runtime.setTimer(REPLY_DELAY_MILLISECONDS, () =>
      listener(
        request.type === 'reserve'
          ? { type: 'account', call: 1, outcome: 'done', entries: [request.entry] }
          : { type: 'chained', call: 1, state: 'missing', body: Buffer.alloc(0) },
      ),
    );
  }

  notify(): void {
    // Settlements are ignored.
  }
}

interface World {
  reachClock: VirtualClock;
  runtime: Runtime;
  silenceableReplicas: SilenceableReplicas;
  reach: ReplicaReachability;
  client: TurnClient;
  reserved: { outcome: ReserveOutcome; milliseconds: number } | undefined;
}

function reserve(world: World): void {
  world.reserved = undefined;
  const begun = world.reachClock.now;
  const request = { program: 'p', turn: `t${begun}`, mostTokens: 1, budgetTokens: 1_000 };
  world.client.reserve(request, RESERVE_TIMEOUT_MILLISECONDS, (outcome) => {
    world.reserved = { outcome, milliseconds: world.reachClock.now - begun };
  });
}

Given('a gateway before replicas {string}', function (this: World, names: string) {
  this.reachClock = new VirtualClock();
  this.runtime = new SimulatedProcess('g', this.reachClock, createRandom(1)).start();
  this.silenceableReplicas = new SilenceableReplicas(this.runtime);
  const members: Member[] = names
    .split(' ')
    .map((name) => ({ id: name, node: name, host: name, port: 1, zone: name }));
  const record: MemberRecord = { epoch: 1, members };
  const directory = new MemberDirectory(this.runtime);
  directory.offer(record, 'test');
  this.reach = new ReplicaReachability(
    this.runtime,
    this.silenceableReplicas,
    () => directory.current,
  );
  this.client = new TurnClient({
    runtime: this.runtime,
    directory,
    caller: this.reach,
    zone: 'z',
    isReachable: () => this.reach.isReachable,
  });
});

When('replicas {string} fall silent', function (this: World, names: string) {
  names.split(' ').forEach((name) => this.silenceableReplicas.silent.add(name));
});

When('replicas {string} answer again', function (this: World, names: string) {
  names.split(' ').forEach((name) => this.silenceableReplicas.silent.delete(name));
});

When('a reservation is tried', function (this: World) {
  reserve(this);
});

When('{int} milliseconds pass at the gateway', function (this: World, milliseconds: number) {
  this.reachClock.runUntil(this.reachClock.now + milliseconds);
});

Then('the gateway reaches its replicas', function (this: World) {
  assert.equal(this.reach.isReachable, true);
});

Then('the gateway does not reach its replicas', function (this: World) {
  assert.equal(this.reach.isReachable, false);
});

Then(
  'a reservation is {string} within {int} milliseconds',
  function (this: World, outcome: string, milliseconds: number) {
    reserve(this);
    this.reachClock.runUntil(this.reachClock.now + milliseconds);
    assert.equal(this.reserved?.outcome, outcome);
  },
);
