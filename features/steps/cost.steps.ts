/** Steps about the cost of processes: compiled code of the build, message encoding, gossip rate. */
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { GossipPace } from '../../src/peers/gossip-pace.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { decodeReplicaMessage, encodeReplicaMessage } from '../../src/turns/messages.js';
import type { ReplicaMessage } from '../../src/turns/messages.js';

interface World {
  folder?: string;
  /** Standard error of the program. */
  stderr?: string;
  clock?: VirtualClock;
  /** Virtual times at which the gateway sent its reports, in milliseconds. */
  sentAt?: number[];
  /** Whether the gateway has a request to report. */
  hasRequest?: boolean;
}

const MILLISECONDS_IN_SECOND = 1_000;

function sendsBetween({ sentAt }: World, from: number, until: number): number {
  return sentAt!.filter((at) => at > from && at <= until).length;
}

/** Without a role, the program prints its usage and exits with this status. */
const EXIT_WITHOUT_ROLE = 2;
const USAGE = /usage: ivyloom gateway/;
const REFUSED = /the compiled code is of another build of node/;

Given('the program as the build leaves it', { timeout: 60_000 }, function (this: World) {
  this.folder = mkdtempSync(join(tmpdir(), 'ivyloom-build-'));
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs', this.folder]);
  assert.equal(built.status, 0, String(built.stderr));
});

When('it is started with {string}', function (this: World, flags: string) {
  const words = [...flags.split(' '), join(this.folder!, 'main.cjs')];
  const run = spawnSync(process.execPath, words, { encoding: 'utf8' });
  assert.equal(run.status, EXIT_WITHOUT_ROLE, run.stderr);
  assert.match(run.stderr, USAGE);
  this.stderr = run.stderr;
});

Then('it runs from its compiled code', function (this: World) {
  assert.doesNotMatch(this.stderr!, REFUSED);
});

Then('it runs from source and says so', function (this: World) {
  assert.match(this.stderr!, REFUSED);
});

Then('any reservation survives encoding, with strings in UTF-8 after their lengths', function () {
  const text = fc.string({ unit: 'grapheme', maxLength: 40 });
  const number = fc.double({ noNaN: true, min: 0 });
  const given = fc.record({ program: text, turn: text, mostTokens: number, epoch: fc.nat() });
  fc.assert(
    fc.property(given, ({ program, turn, mostTokens, epoch }) => {
      const entry = { program, turn, mostTokens, usedTokens: undefined };
      const message: ReplicaMessage = { type: 'reserve', call: 7, epoch, entry };
      const bytes = Buffer.from(encodeReplicaMessage(message));
      assert.deepEqual(decodeReplicaMessage(bytes), message);
      const length = Buffer.byteLength(program);
      assert.equal(bytes.readUInt16BE(9), length);
      assert.equal(bytes.toString('utf8', 11, 11 + length), program);
    }),
  );
});

Given(
  /^a gateway in virtual time that (others add up|adds up for its zone)$/,
  function (this: World, does: string) {
    const clock = new VirtualClock();
    const runtime = new SimulatedProcess('gateway', clock, createRandom(1)).start();
    this.clock = clock;
    this.sentAt = [];
    this.hasRequest = false;
    new GossipPace({
      runtime,
      needsFullRate: () => does !== 'others add up',
      send: () => {
        this.sentAt!.push(clock.now);
        return this.hasRequest!;
      },
    });
  },
);

When('it has nothing to report for {int} seconds', function (this: World, seconds: number) {
  this.clock!.runUntil(seconds * MILLISECONDS_IN_SECOND);
});

Then(
  'it sent {int} times in the first second and {int} times in the last {int}',
  function (this: World, first: number, last: number, seconds: number) {
    const until = (seconds + 1) * MILLISECONDS_IN_SECOND;
    assert.equal(sendsBetween(this, 0, MILLISECONDS_IN_SECOND), first);
    assert.equal(sendsBetween(this, MILLISECONDS_IN_SECOND, until), last);
  },
);

When('it gets a request right after that', function (this: World) {
  this.hasRequest = true;
});

Then(
  'the request is reported within {int} milliseconds, and reports are sent {int} times in the second after',
  function (this: World, milliseconds: number, count: number) {
    const begunAt = this.clock!.now;
    this.clock!.runUntil(begunAt + milliseconds + MILLISECONDS_IN_SECOND);
    const firstSent = this.sentAt!.find((at) => at > begunAt)!;
    assert.ok(firstSent - begunAt <= milliseconds, `reported after ${firstSent - begunAt} ms`);
    assert.equal(sendsBetween(this, firstSent, firstSent + MILLISECONDS_IN_SECOND), count);
  },
);

After(function (this: World) {
  if (this.folder !== undefined) {
    rmSync(this.folder, { recursive: true, force: true });
  }
});
