/** Steps about requests of a gateway, over loopback sockets, while a zone is evacuated. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RelayRunner } from '../../src/emulator/relay-runner.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import type { RunnerRecord } from '../../src/relay/runners/runner-registry.js';
import type { RunnerExclusion } from '../../src/relay/runners/runner-exclusions.js';
import { startAttempt } from '../../src/relay/tries/attempt.js';
import { RunnerAgent } from '../../src/relay/tries/runner-agent.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

const FIRST_ZONE = 'first';
const OTHER_ZONE = 'other';
const ANSWER_MILLISECONDS = 300;
const POLL_MILLISECONDS = 5;
/** Time that the requests of the test have. */
const DEADLINE_MILLISECONDS = 3_000;
const OK = 200;

interface World {
  evacuatedRelay?: RelayWorld;
  zones: EvacuatedZones;
  clientResults: readonly ClientResult[];
  attemptRunner: RelayRunner;
  outcomes: string[];
  waitMilliseconds: number;
  /** Connections that the runner of the first zone had accepted when its zone was evacuated. */
  connectionsBefore: number;
  /** Called whenever placement or an attempt evaluates the rule. */
  onEvaluated: () => void;
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

function firstRecord({ evacuatedRelay }: World): RunnerRecord {
  const candidates = evacuatedRelay!.gateway.registry.candidates('workers', [], new Set());
  return candidates.find(({ zone }) => zone === FIRST_ZONE)!.record;
}

/** Waits until a condition holds, or for the deadline of requests. */
async function until(condition: () => boolean): Promise<void> {
  const end = performance.now() + DEADLINE_MILLISECONDS;
  while (!condition() && performance.now() < end) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

/** Evacuates the first zone; the runner of the other zone becomes ready. */
function evacuate(world: World): void {
  world.connectionsBefore = world.evacuatedRelay!.runners[0]!.connectionCount;
  world.evacuatedRelay!.listRunner(1, true, undefined, OTHER_ZONE);
  world.zones.evacuate(FIRST_ZONE, 1);
}

When(
  '{int} requests are sent, and then the first zone is evacuated while the runner of the other becomes ready',
  async function (this: World, count: number) {
    const sent = Array.from({ length: count }, () => this.evacuatedRelay!.send('single'));
    const [runner] = this.evacuatedRelay!.runners;
    await until(() => runner!.runs.length === 1 && firstRecord(this).inFlight === count);
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
  await until(() => this.evacuatedRelay!.runners[0]!.eventsSent > 0);
  evacuate(this);
  this.clientResults = [await sent];
});

When(
  'the first zone is evacuated and a {string} request is sent',
  async function (this: World, route: string) {
    this.connectionsBefore = 0;
    this.zones.evacuate(FIRST_ZONE, 1);
    const sentAt = performance.now();
    this.clientResults = [await this.evacuatedRelay!.send(route)];
    this.waitMilliseconds = performance.now() - sentAt;
  },
);

Then(
  'it is refused with {int}, {string} and a retry delay of {float} to {float} s, long before its deadline',
  function (this: World, status: number, verdict: string, earliest: number, latest: number) {
    const [result] = this.clientResults;
    assert.equal(result!.status, status);
    assert.ok(result!.body.includes(verdict), result!.body);
    const retryAfter = Number(result!.headers['retry-after']);
    assert.ok(retryAfter >= earliest && retryAfter <= latest, `retry after ${retryAfter} s`);
    assert.ok(this.waitMilliseconds < DEADLINE_MILLISECONDS / 2, `${this.waitMilliseconds} ms`);
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
  'since the evacuation the gateway has opened no connection to the runner of the first zone',
  function (this: World) {
    const { runners } = this.evacuatedRelay!;
    assert.equal(runners[0]!.connectionCount, this.connectionsBefore);
  },
);

When(
  '{int} attempts share {int} connection to a runner that becomes excluded once it runs the first',
  async function (this: World, count: number, connections: number) {
    const runner = new RelayRunner({
      id: 'r',
      names: NAMES,
      pauseMilliseconds: ANSWER_MILLISECONDS,
    });
    const port = await runner.listen();
    const target = {
      id: 'r',
      service: 's',
      host: '127.0.0.1',
      port,
      zone: 'z',
      slots: 1,
      ready: true,
    };
    const agent = new RunnerAgent(connections);
    this.attemptRunner = runner;
    this.outcomes = [];
    for (let index = 0; index < count; index += 1) {
      const requestId = `request-${index}`;
      const headers = ['host', 'runner', NAMES.requestId, requestId];
      const request = { requestId, method: 'GET', path: '/', headers, body: Buffer.alloc(0) };
      const attempt = startAttempt(target, agent, request, NAMES, DEADLINE_MILLISECONDS, {
        reasonAgainstSending: () => (runner.runs.length > 0 ? 'test' : undefined),
        onConnected: () => undefined,
        onSendEnd: () => undefined,
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => this.outcomes.push('answered'),
        onFailure: ({ tag }) => this.outcomes.push(`${tag}, sent: ${attempt.wasSent()}`),
      });
    }
    await until(() => this.outcomes.length === count);
    await runner.crash();
  },
);

Then(
  '{int} of them is answered, {int} end as {string} without having been sent, and the runner accepted {int} connection',
  function (this: World, answered: number, excluded: number, tag: string, connections: number) {
    const counted = (outcome: string): number =>
      this.outcomes.filter((each) => each === outcome).length;
    assert.deepEqual([counted('answered'), counted(`${tag}, sent: false`)], [answered, excluded]);
    assert.equal(this.attemptRunner.connectionCount, connections);
  },
);

Then('the runner of the first zone is not marked unhealthy', function (this: World) {
  assert.equal(firstRecord(this).failures, 0);
});
