/** Steps about whether a replica's ready mark survives restarts of its process. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AcknowledgementModel } from '../support/acknowledgement-model.js';
import type { InjectedFault } from '../support/acknowledgement-model.js';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { MembershipController } from '../../src/turns/membership-controller.js';
import type { MembershipStore, StoredRecord } from '../../src/turns/membership-store.js';
import { encodeMemberRecord } from '../../src/turns/membership.js';
import type { Member, MemberRecord } from '../../src/turns/membership.js';
import {
  DEFAULT_CATCH_UP_MILLISECONDS,
  membershipTimingsFor,
} from '../../src/turns/membership-timings.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import { ReplicaSync } from '../../src/turns/replica-sync.js';
import { Replica } from '../../src/turns/replica.js';
import type { ReplicaMeta, TurnStorage } from '../../src/turns/turn-storage.js';

const timings = membershipTimingsFor(DEFAULT_CATCH_UP_MILLISECONDS);

/** Minimum number of times that each kind of step must take effect over all seeds for the test to be meaningful. */
const MINIMUM_STEPS = 1_000;
const WRITE_MILLISECONDS = 5;
/** Longer than a replica takes to notice a change of the stored record, in milliseconds. */
const RECORD_PROPAGATION_MILLISECONDS = 600;
/** Maximum delay between the starts of two machines, in milliseconds. */
const MAXIMUM_START_DELAY_MILLISECONDS = 300;
const RESERVE_TIMEOUT_MILLISECONDS = 700;
const NAMES = ['m1', 'm2', 'm3'];

/** Three replicas that were started at random times, then restarted after a power loss and the loss of one disk. */
interface StartRun {
  readonly seed: number;
  readonly clock: VirtualClock;
  readonly replicas: SimulatedReplicas;
  readonly completeBefore: number;
}

interface World {
  missing?: string[];
  steps?: Record<string, number>;
  clock?: VirtualClock;
  replicas?: SimulatedReplicas;
  seeds?: readonly number[];
  writeMilliseconds?: number;
  starts?: readonly StartRun[];
  isolatedReplica?: IsolatedReplica;
}

Given(
  'three replicas on disks with a write time of {int} milliseconds, started at random times of seeds {int} to {int}',
  function (this: World, writeMilliseconds: number, first: number, last: number) {
    const count = last - first + 1;
    this.seeds = Array.from({ length: count }, (_, index) => first + index);
    this.writeMilliseconds = writeMilliseconds;
  },
);

When(
  'they run for {int} milliseconds, then all lose power and one loses its disk',
  function (this: World, milliseconds: number) {
    this.starts = this.seeds!.map((seed) => {
      const clock = new VirtualClock();
      const { writeMilliseconds } = this;
      const options = { wantedMembers: NAMES.length, writeMilliseconds: writeMilliseconds! };
      const replicas = new SimulatedReplicas(clock, createRandom(seed, 'links'), options);
      const moments = createRandom(seed, 'starts');
      for (const name of NAMES) {
        replicas.add(name, name);
        clock.runUntil(clock.now + moments.uniform() * MAXIMUM_START_DELAY_MILLISECONDS);
      }
      clock.runUntil(clock.now + milliseconds);
      const completeBefore = replicas.activeNames().length;
      NAMES.forEach((name) => replicas.kill(name));
      replicas.wipe(moments.pick(NAMES));
      NAMES.forEach((name) => replicas.start(name));
      return { seed, clock, replicas, completeBefore };
    });
  },
);

Then(
  'all three were complete before, and are complete again within {int} milliseconds',
  function (this: World, milliseconds: number) {
    const failed = this.starts!.flatMap(({ seed, clock, replicas, completeBefore }) => {
      clock.runUntil(clock.now + milliseconds);
      const completeAfter = replicas.activeNames().length;
      const isWell = completeBefore === NAMES.length && completeAfter === NAMES.length;
      return isWell ? [] : [`seed ${seed}: ${completeBefore}, then ${completeAfter}`];
    });
    assert.deepEqual(failed, []);
  },
);

/** One replica whose store returns the records that a test chooses. */
class IsolatedReplica {
  private readonly clock = new VirtualClock();
  private readonly process = new SimulatedProcess('a', this.clock, createRandom(1));
  private stored: StoredRecord = { tag: 'Unknown' };
  private meta: ReplicaMeta | undefined;
  private runtime: Runtime = this.process.start();
  directory = new MemberDirectory(this.runtime);
  replica: Replica = this.begin();

  /** Restarts the process with the state that is on the disk. */
  restart(): void {
    this.process.kill();
    this.runtime = this.process.start();
    this.directory = new MemberDirectory(this.runtime);
    this.replica = this.begin();
  }

  show(record: MemberRecord): void {
    this.stored = { tag: 'Present', text: encodeMemberRecord(record), revision: record.epoch };
    this.wait(1_000);
  }

  wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  private begin(): Replica {
    const { runtime, directory } = this;
    const id = 'a';
    const replica = new Replica({ id, runtime, storage: this.storage(runtime), directory });
    if (this.meta !== undefined) {
      replica.restore({ tag: 'meta', meta: this.meta });
    }
    replica.endRestore();
    const caller: ReplicaCaller = { call: () => undefined, notify: () => undefined };
    const sync = new ReplicaSync({
      id,
      runtime,
      replica,
      directory,
      caller,
      wantedMembers: 3,
      timings,
    });
    const store: MembershipStore = {
      readRecord: () => this.stored,
      swapRecord: () => undefined,
      retiringNodes: () => new Set(),
      reportRetirement: () => undefined,
    };
    const keeper = { self: memberOf(id), runtime, replica, sync, directory, store };
    new MembershipController({ ...keeper, wantedMembers: 3, timings });
    return replica;
  }

  /** A disk with a write delay. */
  private storage(runtime: Runtime): TurnStorage {
    return {
      write: (changes, done) => {
        runtime.setTimer(WRITE_MILLISECONDS, () => {
          for (const change of changes) {
            this.meta = change.tag === 'meta' ? change.meta : this.meta;
          }
          done(true);
        });
      },
    };
  }
}

function memberOf(id: string): Member {
  return { id, node: id, host: id, port: 1, zone: id };
}

function recordOf(epoch: number, names: string): MemberRecord {
  return { epoch, members: names.split(' ').map(memberOf) };
}

Given(
  'a replica that becomes complete while a newer record of the members arrives',
  function (this: World) {
    this.isolatedReplica = new IsolatedReplica();
    this.isolatedReplica.directory.offer(recordOf(2, 'a b'), 'test');
    this.isolatedReplica.wait(100);
    this.isolatedReplica.replica.markReady('test');
    this.isolatedReplica.wait(WRITE_MILLISECONDS / 2);
    this.isolatedReplica.directory.offer(recordOf(3, 'a b c'), 'test');
    this.isolatedReplica.wait(100);
    assert.equal(this.isolatedReplica.replica.ready, true);
  },
);

Given('a complete replica that is a member', function (this: World) {
  this.isolatedReplica = new IsolatedReplica();
  this.isolatedReplica.directory.offer(recordOf(4, 'a b c'), 'test');
  this.isolatedReplica.replica.markReady('test');
  this.isolatedReplica.wait(100);
});

When('its process dies and starts again', function (this: World) {
  this.isolatedReplica!.restart();
});

When('the store returns the record from before it joined', function (this: World) {
  this.isolatedReplica!.show(recordOf(3, 'b c'));
});

When('the store returns a newer record without it', function (this: World) {
  this.isolatedReplica!.show(recordOf(5, 'b c'));
});

Then('it is complete', function (this: World) {
  assert.equal(this.isolatedReplica!.replica.ready, true);
});

Then('it is not complete', function (this: World) {
  assert.equal(this.isolatedReplica!.replica.ready, false);
});

When(
  '{string} is retired, its successor pauses as it is added to the record, then all lose power and a complete one its disk',
  function (this: World, name: string) {
    const { clock, replicas } = this;
    assert.ok(replicas!.activeNames().includes(name));
    replicas!.store.retiring.add(name);
    const hasSuccessor = (): boolean => {
      const active = replicas!.activeNames();
      const named = replicas!.recordedMembers();
      return named.length === 3 && !named.includes(name) && active.length === 2;
    };
    assert.ok(
      clock!.runUntil(clock!.now + 10_000, hasSuccessor),
      'no successor was added to the record',
    );
    const active = replicas!.activeNames();
    const fresh = replicas!.recordedMembers().find((each) => !active.includes(each))!;
    replicas!.pause(fresh);
    clock!.runUntil(clock!.now + RECORD_PROPAGATION_MILLISECONDS);
    const [lost] = active;
    const names = replicas!.runningNames();
    names.forEach((each) => replicas!.kill(each));
    replicas!.wipe(lost!);
    names.forEach((each) => replicas!.start(each));
  },
);

When(
  'the model of the rule runs with seeds {int} to {int} and the fault {string}',
  function (this: World, first: number, last: number, fault: InjectedFault) {
    this.missing = [];
    this.steps = {};
    for (let seed = first; seed <= last; seed += 1) {
      const model = new AcknowledgementModel(createRandom(seed, 'rule'), fault);
      const missing = model.run();
      this.missing.push(...(missing === undefined ? [] : [`seed ${seed}: ${missing}`]));
      for (const [kind, count] of Object.entries(model.effectiveSteps)) {
        this.steps[kind] = (this.steps[kind] ?? 0) + count;
      }
    }
  },
);

Then('writes are never missing', function (this: World) {
  assert.deepEqual(this.missing, []);
  for (const kind of ['write', 'join', 'complete', 'loseDisk', 'leave', 'remove']) {
    assert.ok((this.steps![kind] ?? 0) >= MINIMUM_STEPS, `${kind}: ${this.steps![kind]}`);
  }
});

Then('writes are sometimes missing', function (this: World) {
  assert.ok(this.missing!.length > 0);
});

When(
  'the disk of {string} refuses writes and {string} loses its disk',
  function (this: World, refusing: string, lost: string) {
    const { replicas } = this;
    replicas!.refuseWrites(refusing, true);
    replicas!.kill(lost);
    replicas!.wipe(lost);
    replicas!.start(lost);
  },
);

Then(
  'a reservation is granted although the disk of {string} refuses writes',
  function (this: World, refusing: string) {
    const { clock, replicas } = this;
    const knownTo = replicas!.activeNames().find((name) => name !== refusing)!;
    const { client } = replicas!.client('g', 'z1', knownTo);
    const request = { program: 'p', turn: 't', mostTokens: 1, budgetTokens: 1 };
    let outcome = 'none';
    client.reserve(request, RESERVE_TIMEOUT_MILLISECONDS, (ended) => {
      outcome = ended;
    });
    clock!.runUntil(clock!.now + RESERVE_TIMEOUT_MILLISECONDS);
    assert.equal(outcome, 'granted');
  },
);
