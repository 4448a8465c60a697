/** Steps about requests of a gateway, over loopback sockets, while a zone is evacuated. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import type { RunnerExclusion } from '../../src/relay/runners/runner-exclusions.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

const FIRST_ZONE = 'first';
const OTHER_ZONE = 'other';
/** Time in which the requests sent have reached a runner or wait for a connection. */
const SPREAD_MILLISECONDS = 60;
const ANSWER_MILLISECONDS = 100;
const OK = 200;

interface World {
  evacuatedRelay?: RelayWorld;
  zones: EvacuatedZones;
  clientResults: readonly ClientResult[];
  waitMilliseconds: number;
  /** Called whenever placement or an attempt evaluates the rule. */
  onEvaluated: () => void;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

After(async function (this: World) {
  await this.evacuatedRelay?.stop();
});

Given(
  'a gateway that may open {int} connection(s) to the runner of each of two zones, one of them ready',
  async function (this: World, maximumConnections: number) {
    const zones = new EvacuatedZones(createRealRuntime({ seed: 1, logLevel: 'error' }));
    this.onEvaluated = () => undefined;
    const rule: RunnerExclusion = {
      ...zones.rule,
      excludes: (...args) => {
        const isExcluded = zones.rule.excludes(...args);
        this.onEvaluated();
        return isExcluded;
      },
    };
    this.zones = zones;
    this.evacuatedRelay = new RelayWorld({
      maximumConnections,
      exclusions: [rule],
      runner: { pauseMilliseconds: ANSWER_MILLISECONDS },
    });
    await this.evacuatedRelay.start(true);
    this.evacuatedRelay.listRunner(0, true, undefined, FIRST_ZONE);
    this.evacuatedRelay.listRunner(1, false, undefined, OTHER_ZONE);
  },
);

/** Evacuates the first zone; the runner of the other zone becomes ready. */
function evacuate(world: World): void {
  world.evacuatedRelay!.listRunner(1, true, undefined, OTHER_ZONE);
  world.zones.evacuate(FIRST_ZONE, 1);
}

When(
  '{int} requests are sent, and then the first zone is evacuated while the runner of the other becomes ready',
  async function (this: World, count: number) {
    const sent = Array.from({ length: count }, () => this.evacuatedRelay!.send('single'));
    await sleep(SPREAD_MILLISECONDS);
    evacuate(this);
    this.clientResults = await Promise.all(sent);
  },
);

When(
  'the first zone is evacuated after a request was placed there and before its connection is established',
  async function (this: World) {
    this.onEvaluated = () => queueMicrotask(() => evacuate(this));
    this.clientResults = [await this.evacuatedRelay!.send('single')];
  },
);

When('the first zone is evacuated in the middle of a stream', async function (this: World) {
  const sent = this.evacuatedRelay!.send('stream');
  await sleep(2 * ANSWER_MILLISECONDS + SPREAD_MILLISECONDS);
  evacuate(this);
  this.clientResults = [await sent];
});

When(
  'the first zone is evacuated and a {string} request is sent',
  async function (this: World, route: string) {
    this.zones.evacuate(FIRST_ZONE, 1);
    const sentAt = performance.now();
    this.clientResults = [await this.evacuatedRelay!.send(route)];
    this.waitMilliseconds = performance.now() - sentAt;
  },
);

Then(
  'it is refused within {int} ms with {int}, {string} and a retry delay of {float} to {float} s',
  function (
    this: World,
    limit: number,
    status: number,
    verdict: string,
    earliest: number,
    latest: number,
  ) {
    const [result] = this.clientResults;
    assert.equal(result!.status, status);
    assert.ok(result!.body.includes(verdict), result!.body);
    const retryAfter = Number(result!.headers['retry-after']);
    assert.ok(retryAfter >= earliest && retryAfter <= latest, `retry after ${retryAfter} s`);
    assert.ok(this.waitMilliseconds < limit, `answered after ${this.waitMilliseconds} ms`);
  },
);

Then(
  'all requests are answered, {int} by the runner of the first zone and {int} by the other',
  function (this: World, first: number, other: number) {
    assert.ok(this.clientResults.every(({ status, complete }) => status === OK && complete));
    assert.deepEqual(
      this.evacuatedRelay!.runners.map(({ runs }) => runs.length),
      [first, other],
    );
  },
);

Then(
  'the gateway opened {int} connection(s) to the runner of the first zone and marked it healthy',
  function (this: World, connections: number) {
    const { runners, gateway } = this.evacuatedRelay!;
    assert.equal(runners[0]!.connectionCount, connections);
    const candidates = gateway.registry.candidates('workers', [], new Set());
    assert.ok(candidates.every(({ record }) => record.failures === 0));
  },
);
