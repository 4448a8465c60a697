/** Steps about lost machines and their successors. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { runReplacementScenario } from '../../src/histories/replacement-scenario.js';
import type {
  Replacement,
  ReplacementScenarioResult,
} from '../../src/histories/replacement-scenario.js';
import { runPartitionScenario } from '../../src/histories/partition-scenario.js';
import type { PartitionScenarioResult } from '../../src/histories/partition-scenario.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { MAXIMUM_JOIN_RANK } from '../../src/turns/decide-membership.js';
import type { Member } from '../../src/turns/membership.js';
import { membershipTimingsFor } from '../../src/turns/membership-timings.js';
import type { ReplicaReply } from '../../src/turns/messages.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import {
  maximumSameZoneMembers,
  unmetBounds,
  worstRecoveryMilliseconds,
} from '../../src/turns/replica-bounds.js';
import type { ReplicaBounds } from '../../src/turns/replica-bounds.js';
import { ReplicaSync } from '../../src/turns/replica-sync.js';
import { Replica } from '../../src/turns/replica.js';

/** Minimum number of turns that each run must store for the test to be meaningful. */
const MINIMUM_TURNS = 80;
/** Short, so that the membership changes during the partition, in milliseconds. */
const SPLIT_CATCH_UP_MILLISECONDS = 6_000;

interface World {
  bounds?: ReplicaBounds;
  headStarts?: number;
  observer?: { clock: VirtualClock; sync: ReplicaSync };
  splits?: PartitionScenarioResult[];
  replacements?: ReplacementScenarioResult[];
}

When(
  'replacement histories {string} with {int} replicas, {int} of them members, {int} disks lost at once and {int} milliseconds to catch up run with seeds {int} to {int}',
  function (
    this: World,
    replacement: Replacement,
    replicaCount: number,
    wantedMembers: number,
    lossesAtOnce: number,
    catchUpMilliseconds: number,
    first: number,
    last: number,
  ) {
    const sizes = { replicaCount, wantedMembers, lossesAtOnce };
    this.replacements = [];
    for (let seed = first; seed <= last; seed += 1) {
      const options = { ...sizes, replacement, catchUpMilliseconds };
      this.replacements.push(runReplacementScenario(seed, options));
    }
  },
);

Then('no replacement violates a guarantee', function (this: World) {
  const broken = this.replacements!.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(
    broken.map(({ seed, violations }) => `seed ${seed}: ${violations[0]}`),
    [],
  );
  assert.ok(this.replacements!.every(({ kept }) => kept >= MINIMUM_TURNS));
});

When(
  'partition histories with {int} replicas, {int} of them members, of which {int} are cut off from the others, run with seeds {int} to {int}',
  function (
    this: World,
    replicaCount: number,
    wantedMembers: number,
    cutOffCount: number,
    first: number,
    last: number,
  ) {
    const options = { replicaCount, wantedMembers, lossesAtOnce: cutOffCount };
    this.splits = [];
    for (let seed = first; seed <= last; seed += 1) {
      const catchUpMilliseconds = SPLIT_CATCH_UP_MILLISECONDS;
      this.splits.push(
        runPartitionScenario(seed, { ...options, catchUpMilliseconds }, cutOffCount),
      );
    }
  },
);

Then('no stored turn is reported as missing, although the members changed', function (this: World) {
  const broken = this.splits!.filter(({ violations }) => violations.length > 0);
  assert.deepEqual(
    broken.map(({ seed, violations }) => `seed ${seed}: ${violations[0]}`),
    [],
  );
  assert.ok(this.splits!.every(({ kept }) => kept >= MINIMUM_TURNS));
  assert.ok(this.splits!.every(({ epochs }) => epochs > 0));
});

/** Interval at which the run checks whether requests are served, in milliseconds. */
const POLL_MILLISECONDS = 1_000;

Then('service resumes within the sum of the recovery timers', function (this: World) {
  const slowest = Math.max(...this.replacements!.map(({ servedAfter }) => servedAfter));
  assert.ok(slowest <= worstRecoveryMilliseconds() + POLL_MILLISECONDS, `${slowest} ms`);
});

Given(
  'bounds of {int} ms to catch up, {int} ms to recover, {int} ms for contact, {int} members in {int} zones',
  function (
    this: World,
    catchUpMilliseconds: number,
    recoveryMilliseconds: number,
    contactMilliseconds: number,
    members: number,
    zones: number,
  ) {
    this.bounds = { catchUpMilliseconds, recoveryMilliseconds, contactMilliseconds };
    this.headStarts = maximumSameZoneMembers(members, zones);
  },
);

Given(
  'bounds of {int} ms to catch up, {int} ms to recover, {int} ms for contact, and members spread over zones',
  function (
    this: World,
    catchUpMilliseconds: number,
    recoveryMilliseconds: number,
    contactMilliseconds: number,
  ) {
    this.bounds = { catchUpMilliseconds, recoveryMilliseconds, contactMilliseconds };
    this.headStarts = MAXIMUM_JOIN_RANK;
  },
);

Then("the sums of the replicas' timers meet all bounds", function (this: World) {
  assert.deepEqual(unmetBounds(this.bounds!, this.headStarts!), []);
});

Then(
  '{string}, {string}, {string} are unmet',
  function (this: World, first: string, second: string, third: string) {
    const unmet = unmetBounds(this.bounds!, this.headStarts!).map(({ promise }) => promise);
    assert.deepEqual(unmet, [first, second, third]);
  },
);

function memberNamed(name: string): Member {
  return { id: name, node: name, host: name, port: 1, zone: name };
}

Given(
  'a replica beside a member {string} at whose address {string} answers',
  function (this: World, name: string, other: string) {
    const clock = new VirtualClock();
    const runtime = new SimulatedProcess('a', clock, createRandom(1)).start();
    const directory = new MemberDirectory(runtime);
    const storage = { write: () => undefined };
    const replica = new Replica({ id: 'a', runtime, storage, directory });
    const responder = new Replica({ id: other, runtime, storage, directory });
    const caller: ReplicaCaller = {
      call: (_member, request, _timeout, listener) => {
        const numbered = { ...request, call: 1 } as Parameters<typeof responder.handle>[0];
        responder.handle(numbered, (reply) => listener(reply as ReplicaReply));
      },
      notify: () => undefined,
    };
    directory.offer({ epoch: 1, members: ['a', name].map(memberNamed) }, 'test');
    const timings = membershipTimingsFor(SPLIT_CATCH_UP_MILLISECONDS);
    const wantedMembers = 3;
    const sync = new ReplicaSync({
      id: 'a',
      runtime,
      replica,
      directory,
      caller,
      wantedMembers,
      timings,
    });
    this.observer = { clock, sync };
  },
);

When('{int} milliseconds pass at the replica', function (this: World, milliseconds: number) {
  const { clock } = this.observer!;
  clock.runUntil(clock.now + milliseconds);
});

Then(
  'it considers {string} silent for at least {int} milliseconds',
  function (this: World, name: string, milliseconds: number) {
    assert.ok(this.observer!.sync.silenceOf(name) >= milliseconds);
  },
);
