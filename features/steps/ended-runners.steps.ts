/** Steps about runners that have ended and are still listed, over loopback sockets. */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RunnerRecord } from '../../src/relay/runners/runner-registry.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

const ANSWER_MILLISECONDS = 60;
/** Time after which the requests are at their runners. */
const UNDER_WAY_MILLISECONDS = 25;
const MAXIMUM_ROUNDS = 20;
const CLIENTS = 3;
const OK = 200;

interface World {
  relay?: RelayWorld;
  /** The runner that ended, as the gateway knows it. */
  ended: RunnerRecord;
  refusalsBefore: number;
  results: readonly ClientResult[];
  milliseconds: number;
}

After(async function (this: World) {
  await this.relay?.stop();
});

Given(
  'a gateway with two runners, and an entry of one that ended and whose address the second one has taken',
  async function (this: World) {
    this.relay = new RelayWorld({ runner: { pauseMilliseconds: ANSWER_MILLISECONDS } });
    await this.relay.start(true);
    this.relay.listEndedRunner(1);
    const candidates = this.relay.gateway.registry.candidates('workers', [], new Set());
    this.ended = candidates.find(({ record }) => record.runner.id === 'ended')!.record;
  },
);

Given('the gateway has found that out', async function (this: World) {
  const send = (): Promise<ClientResult> => this.relay!.send('repeatable');
  for (let round = 0; this.ended.end === undefined && round < MAXIMUM_ROUNDS; round += 1) {
    await Promise.all(Array.from({ length: CLIENTS }, send));
  }
  assert.notEqual(this.ended.end, undefined);
  this.refusalsBefore = this.relay!.misdirected;
});

When(
  '{int} requests are sent and the first runner crashes meanwhile',
  async function (this: World, count: number) {
    const sentAt = performance.now();
    const answers = Array.from({ length: count }, () => this.relay!.send('repeatable'));
    await sleep(UNDER_WAY_MILLISECONDS);
    void this.relay!.runners[0]!.crash();
    this.results = await Promise.all(answers);
    this.milliseconds = performance.now() - sentAt;
  },
);

Then('all are answered within {int} ms', function (this: World, milliseconds: number) {
  assert.deepEqual(
    this.results.map(({ status }) => status),
    this.results.map(() => OK),
  );
  assert.ok(this.milliseconds <= milliseconds, `answered after ${this.milliseconds} ms`);
});

Then('none of them was sent to the runner that had ended', function (this: World) {
  assert.equal(this.relay!.misdirected, this.refusalsBefore);
});
