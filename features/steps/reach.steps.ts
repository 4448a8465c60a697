/** Steps about whether a gateway reaches its replicas, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import type { ReplicaReply } from '../../src/turns/messages.js';
import { QuotaClient } from '../../src/turns/quota-client.js';
import type { QuotaClientOptions, QuotaOutcome } from '../../src/turns/quota-client.js';
import type { ReplicaCaller, UnnumberedRequest } from '../../src/turns/replica-caller.js';
import { ReplicaReachability } from '../../src/turns/replica-reachability.js';
import { TurnClient } from '../../src/turns/turn-client.js';
import type { ReserveOutcome } from '../../src/turns/turn-client.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';

const REPLY_DELAY_MILLISECONDS = 3;
const RESERVE_TIMEOUT_MILLISECONDS = 700;

/** Replicas that can be silenced one by one. */
class SilenceableReplicas implements ReplicaCaller {
  readonly silent = new Set<string>();
  /** Names of the replicas that reservations were sent to, by turn. */
  readonly askedByTurn = new Map<string, string[]>();
  /** Number of questions about its own share of a quota, by replica. */
  readonly shareQuestions = new Map<string, number>();

  constructor(private readonly runtime: Runtime) {}

  call(...[member, request, timeout, listener]: Parameters<ReplicaCaller['call']>): void {
    if (request.type === 'reserve') {
      const { turn } = request.entry;
      this.askedByTurn.set(turn, [...(this.askedByTurn.get(turn) ?? []), member.id]);
    }
    if (request.type === 'spend') {
      this.shareQuestions.set(member.id, (this.shareQuestions.get(member.id) ?? 0) + 1);
    }
    if (this.silent.has(member.id)) {
      this.runtime.setTimer(timeout, () => listener(undefined));
      return;
    }
    this.runtime.setTimer(REPLY_DELAY_MILLISECONDS, () => listener(this.replyTo(request)));
  }

  private replyTo(request: UnnumberedRequest): ReplicaReply {
    if (request.type === 'reserve') {
      return { type: 'account', call: 1, outcome: 'done', entries: [request.entry] };
    }
    if (request.type === 'spend') {
      return { type: 'spent', call: 1, outcome: 'done', granted: true, waitMilliseconds: 0 };
    }
    if (request.type === 'spendForProgram') {
      // A member that reaches no majority of the others grants nothing.
      const outcome = this.silent.size > 2 ? 'inactive' : 'done';
      const granted = outcome === 'done';
      const inputs = { share: 1, tokens: 1, reserved: 0, needed: 0, reason: 'inProgress' } as const;
      return { type: 'spentForProgram', call: 1, outcome, granted, waitMilliseconds: 0, ...inputs };
    }
    return { type: 'chained', call: 1, state: 'missing', body: Buffer.alloc(0) };
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
  quotas: QuotaClient;
  quotaOptions: QuotaClientOptions;
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

/** Starts a gateway before replicas whose zone is the first letter of their name. */
function startGateway(world: World, names: string, zone: string, isSpread: boolean): void {
  world.reachClock = new VirtualClock();
  world.runtime = new SimulatedProcess('g', world.reachClock, createRandom(1)).start();
  world.silenceableReplicas = new SilenceableReplicas(world.runtime);
  const members: Member[] = names
    .split(' ')
    .map((name) => ({ id: name, node: name, host: name, port: 1, zone: name[0]! }));
  const record: MemberRecord = { epoch: 1, members };
  const { runtime } = world;
  const directory = new MemberDirectory(runtime);
  directory.offer(record, 'test');
  const caller = new ReplicaReachability(
    runtime,
    world.silenceableReplicas,
    () => directory.current,
  );
  world.reach = caller;
  const locality = {
    isSilent: (member: Member): boolean => caller.isSilent(member),
    mayReachMajority: (): boolean => caller.isReachable,
  };
  const options = { runtime, directory, caller };
  world.client = new TurnClient({
    ...options,
    zone,
    // Where members are spread, no other gateway may reach them either, so that this one counts as reachable.
    isReachable: () => isSpread || caller.isReachable,
    ...(isSpread ? { locality } : {}),
  });
  world.quotaOptions = options;
  world.quotas = new QuotaClient({ ...options, ...(isSpread ? locality : {}) });
}

Given('a gateway before replicas {string}', function (this: World, names: string) {
  startGateway(this, names, 'z', false);
});

Given(
  'a gateway in zone {string} before replicas {string} that are spread over zones',
  function (this: World, zone: string, names: string) {
    startGateway(this, names, zone, true);
  },
);

Given(
  'a gateway that uses no homes before replicas {string}',
  function (this: World, names: string) {
    startGateway(this, names, 'a', true);
    const { runtime, directory, caller } = this.quotaOptions;
    this.quotas = new QuotaClient({ runtime, directory, caller, usesHomes: false });
  },
);

When(
  '{int} quota requests are granted within {int} milliseconds each',
  function (this: World, count: number, milliseconds: number) {
    for (let each = 0; each < count; each += 1) {
      assert.equal(spendWithin(this, milliseconds)?.tag, 'Granted');
    }
  },
);

Then(
  'each replica was asked at least {int} times whether a request may run within its own share',
  function (this: World, least: number) {
    const counts = [...this.silenceableReplicas.shareQuestions.values()];
    assert.equal(counts.length, 3);
    assert.ok(Math.min(...counts) >= least, counts.join(' '));
  },
);

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

/** Asks for a request of a tenant's quota; the outcome after a while, undefined while there is none. */
function spendWithin(world: World, milliseconds: number): QuotaOutcome | undefined {
  const quota = { tenant: 't', version: 1, ratePerSecond: 100, burst: 100 };
  const request = { quota, beginsRequests: 0, patienceMilliseconds: 0 };
  let outcome: QuotaOutcome | undefined;
  world.quotas.spend(request, RESERVE_TIMEOUT_MILLISECONDS, (ended) => {
    outcome = ended;
  });
  world.reachClock.runUntil(world.reachClock.now + milliseconds);
  return outcome;
}

Then(
  '{int} reservations, reads and quota requests each end within {int} milliseconds',
  function (this: World, count: number, milliseconds: number) {
    for (let each = 0; each < count; each += 1) {
      reserve(this);
      let read = '';
      this.client.readChain(`t${each}`, RESERVE_TIMEOUT_MILLISECONDS, ({ tag }) => {
        read = tag;
      });
      assert.equal(spendWithin(this, milliseconds)?.tag, 'Granted');
      assert.equal(this.reserved?.outcome, 'granted');
      assert.equal(read, 'missing');
    }
  },
);

When('{int} reservations are made', function (this: World, count: number) {
  for (let each = 0; each < count; each += 1) {
    reserve(this);
    this.reachClock.runUntil(this.reachClock.now + 100);
  }
});

Then(
  'each was sent to {int} replicas, among them {string}',
  function (this: World, count: number, names: string) {
    const asked = [...this.silenceableReplicas.askedByTurn.values()];
    assert.ok(asked.length > 0);
    for (const each of asked) {
      assert.equal(each.length, count);
      assert.ok(
        names.split(' ').every((name) => each.includes(name)),
        each.join(' '),
      );
    }
  },
);

Then(
  'a quota request is out of reach within {int} milliseconds',
  function (this: World, milliseconds: number) {
    assert.equal(spendWithin(this, milliseconds)?.tag, 'OutOfReach');
  },
);
