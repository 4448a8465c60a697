/** Steps for relayed requests over loopback sockets. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RunnerBehaviour, RunnerRun } from '../../src/emulator/relay-runner.js';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import type { RunnerIncarnation } from '../../src/relay/runners/runner.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

interface World {
  durations?: number[];
  /** Requests at the first runner right after it left. */
  attemptsAfterLeaving?: number | undefined;
  relay?: RelayWorld;
  pending?: Promise<ClientResult>;
  readiness?: number;
  budget?: number;
  statuses?: number[];
}

const NAMES = DEFAULT_HEADER_NAMES;
const TOKENS_PER_EVENT = 10;
const EVENTS = 4;
/** Time after which a turn that was just sent is running. */
const RUNNING_MILLISECONDS = 40;

async function startWorld(world: World, configured: boolean): Promise<void> {
  await world.relay?.stop();
  world.relay = new RelayWorld();
  await world.relay.start(configured);
}

function relayOf(world: World): RelayWorld {
  return world.relay!;
}

function lastResult(world: World): ClientResult {
  return relayOf(world).results.at(-1)!;
}

function allRuns(world: World): RunnerRun[] {
  return relayOf(world).runners.flatMap((runner) => runner.runs);
}

async function sendAndNote(world: World, sent: Promise<ClientResult>): Promise<void> {
  relayOf(world).results.push(await sent);
}

After(async function (this: World) {
  const { relay } = this;
  delete this.relay;
  await relay?.stop();
});

Given('a gateway with two runners', async function (this: World) {
  await startWorld(this, true);
});

Given('a gateway without a configuration', async function (this: World) {
  await startWorld(this, false);
});

Given(
  'the first attempt of a request ends as {string}',
  function (this: World, behaviour: RunnerBehaviour) {
    // The gateway chooses the first runner: only the first request that arrives behaves this way.
    const { runners } = relayOf(this);
    const shared = [behaviour];
    runners.forEach((runner) => {
      runner.behaviours.shift = () => shared.shift();
    });
  },
);

Given('one runner has crashed without notice', async function (this: World) {
  await relayOf(this).runners[0]!.crash();
});

Given('one runner is leaving', function (this: World) {
  relayOf(this).listRunner(0, false);
});

Given('all replicas are out of reach', function (this: World) {
  relayOf(this).stopReplicas();
});

Given('a program with a budget of {int} tokens', function (this: World, budget: number) {
  this.budget = budget;
});

When('a client sends a {string} request', async function (this: World, route: string) {
  await sendAndNote(this, relayOf(this).send(route));
});

When(
  'a client sends a {string} request with body {string}',
  async function (this: World, route: string, body: string) {
    await sendAndNote(this, relayOf(this).send(route, { body }));
  },
);

When('a client continues it with body {string}', async function (this: World, body: string) {
  const relay = relayOf(this);
  const headers = { [NAMES.previousTurn]: relay.lastId };
  await sendAndNote(this, relay.send('kept', { body, headers }));
});

When(
  'a client continues turn {string} with body {string}',
  async function (this: World, turn: string, body: string) {
    const headers = { [NAMES.previousTurn]: turn };
    await sendAndNote(this, relayOf(this).send('kept', { body, headers }));
  },
);

When(
  'a client sends a {string} request that waits {int} milliseconds',
  async function (this: World, route: string, wait: number) {
    const headers = { [NAMES.timeout]: String(wait) };
    await sendAndNote(this, relayOf(this).send(route, { headers }));
  },
);

When(
  'a client sends a {string} request and disconnects',
  async function (this: World, route: string) {
    await sendAndNote(this, relayOf(this).send(route, { disconnectAfter: 200 }));
  },
);

When(
  '{int} clients send a {string} request',
  async function (this: World, count: number, route: string) {
    for (let index = 0; index < count; index += 1) {
      await sendAndNote(this, relayOf(this).send(route));
    }
  },
);

When('a client sends a request to an unknown host', async function (this: World) {
  await sendAndNote(this, relayOf(this).send('single', { host: 'nowhere.example' }));
});

Given('the configuration is not proved to be the newest', function (this: World) {
  relayOf(this).gateway.isTableProven = () => false;
});

When('a client sends a request to an unknown route', async function (this: World) {
  await sendAndNote(this, relayOf(this).send('single', { path: '/nowhere/' }));
});

When('a client sends a request without an id', async function (this: World) {
  await sendAndNote(this, relayOf(this).send('single', { id: undefined }));
});

When('a client sends a body that is too large', async function (this: World) {
  await sendAndNote(this, relayOf(this).send('single', { body: 'x'.repeat(100_001) }));
});

When('a client sends headers that are too large', async function (this: World) {
  const headers = { 'x-large': 'x'.repeat(5_000) };
  await sendAndNote(this, relayOf(this).send('single', { headers }));
});

When('a client sends a body that stops in between', async function (this: World) {
  const headers = { [NAMES.timeout]: '300' };
  const body = 'x'.repeat(1_000);
  await sendAndNote(this, relayOf(this).send('single', { body, headers, stopHalfway: true }));
});

When('its readiness is probed', async function (this: World) {
  this.readiness = await relayOf(this).probeReadiness();
});

When(
  'the configuration of version {int} without routes is offered',
  function (this: World, version: number) {
    relayOf(this).applyEmptyTable(version);
  },
);

When(
  'it sends turns of at most {int} tokens that deliver {int}',
  async function (this: World, most: number, handed: number) {
    assert.equal(handed, EVENTS * TOKENS_PER_EVENT);
    this.statuses = [];
    for (let turn = 0; turn < 4; turn += 1) {
      const { status } = await sendTurn(this, most);
      this.statuses.push(status);
    }
  },
);

function sendTurn(world: World, mostTokens: number): Promise<ClientResult> {
  const headers = {
    [NAMES.program]: 'p1',
    [NAMES.tokenBudget]: String(world.budget),
    [NAMES.tokenUsage]: `100,${mostTokens}`,
  };
  return relayOf(world).send('stream', { headers });
}

When(
  'it sends a turn of at most {int} tokens that delivers {int}, and its service is no longer listed before it ends',
  async function (this: World, most: number, delivered: number) {
    assert.equal(delivered, EVENTS * TOKENS_PER_EVENT);
    const sent = sendTurn(this, most);
    await new Promise((resolve) => setTimeout(resolve, RUNNING_MILLISECONDS));
    relayOf(this).dropServices(8);
    const { status, complete } = await sent;
    assert.deepEqual([status, complete], [200, true]);
  },
);

Then(
  'its next turn of at most {int} tokens gets status {int}',
  async function (this: World, most: number, status: number) {
    assert.equal((await sendTurn(this, most)).status, status);
  },
);

When(
  'a client sends a slow {string} request and the gateway is told to stop',
  async function (this: World, route: string) {
    const sent = relayOf(this).send(route);
    await new Promise((resolve) => setTimeout(resolve, 8));
    relayOf(this).gateway.stop(() => undefined);
    await sendAndNote(this, sent);
  },
);

Then("the client gets status 200 with the runner's body and signature", function (this: World) {
  const relay = relayOf(this);
  const result = lastResult(this);
  assert.equal(result.status, 200);
  assert.ok(result.complete);
  const signer = /^signed by (.*)$/.exec(String(result.headers[NAMES.signature]))?.[1];
  assert.equal(result.body, `answer of ${signer} to ${relay.lastId}`);
});

Then('one runner ran it once with method, path and body unchanged', function (this: World) {
  const runs = allRuns(this);
  assert.equal(runs.length, 1);
  const [run] = runs;
  assert.equal(run!.method, 'POST');
  assert.equal(run!.path, '/repeatable/work?repeatable');
  assert.equal(run!.body, '');
  const wait = Number(run!.headers[NAMES.timeout]);
  assert.ok(wait > 0 && wait <= 3_000, `the runner was given ${wait} ms`);
});

Then('the client gets status {int}', function (this: World, status: number) {
  assert.equal(lastResult(this).status, status);
});

Then('the runners ran it {int} times', function (this: World, count: number) {
  assert.equal(allRuns(this).length, count);
});

Then('the answer says when to retry: yes', function (this: World) {
  assert.ok(Number(lastResult(this).headers['retry-after']) > 0);
});

Then('the answer says when to retry: no', function (this: World) {
  assert.equal(lastResult(this).headers['retry-after'], undefined);
});

Then('each client got the answer of its own request', function (this: World) {
  const { results } = relayOf(this);
  assert.equal(results.length, 2);
  results.forEach((result, index) => {
    assert.equal(result.status, 200);
    assert.match(result.body, new RegExp(`to request-${index + 1}$`));
  });
});

Then('the client gets events 1 to 4 and the end', function (this: World) {
  const result = lastResult(this);
  assert.equal(result.status, 200);
  assert.ok(result.complete);
  const ids = [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  assert.deepEqual(ids, [1, 2, 3, 4]);
});

Then('the second attempt asked for events after {int}', function (this: World, id: number) {
  const asked = allRuns(this).map((run) => run.headers[NAMES.lastEventId]);
  assert.ok(asked.includes(String(id)), `asked for ${asked.join(', ')}`);
});

Then("the client's connection breaks after event {int}", function (this: World, id: number) {
  const result = lastResult(this);
  assert.equal(result.complete, false);
  assert.ok(result.body.endsWith(`id: ${id}\ndata: event ${id}\n\n`));
});

Then('the runner sees its client disconnect', async function (this: World) {
  const runs = allRuns(this);
  assert.equal(runs.length, 1);
  for (let look = 0; look < 50 && !runs[0]!.clientDisconnected; look += 1) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  assert.ok(runs[0]!.clientDisconnected);
});

Then('all clients get status 200', function (this: World) {
  assert.deepEqual(new Set(relayOf(this).results.map((result) => result.status)), new Set([200]));
});

Then('the leaving runner ran nothing', function (this: World) {
  assert.equal(relayOf(this).runners[0]!.runs.length, 0);
});

Then('it is not ready', function (this: World) {
  assert.equal(this.readiness, 503);
});

Then('the runner got {string}', function (this: World, body: string) {
  const expected = body.replaceAll('\\n', '\n');
  assert.ok(allRuns(this).some((run) => run.body === expected));
});

Then(
  'turns are served until {int} tokens are delivered and then get status {int}',
  function (this: World, tokens: number, status: number) {
    const served = tokens / (EVENTS * TOKENS_PER_EVENT);
    const expected = this.statuses!.map((_, index) => (index < served ? 200 : status));
    assert.deepEqual(this.statuses, expected);
    assert.equal(allRuns(this).length, served);
  },
);

Then('the gateway is not ready and its answer closed the connection', async function (this: World) {
  assert.equal(await relayOf(this).probeReadiness(), 503);
  assert.equal(lastResult(this).headers.connection, 'close');
});

const SERVICE = 'workers';

Given('runners that begin to answer after {int} ms', function (this: World, milliseconds: number) {
  relayOf(this).runners.forEach((runner) => (runner.readPauseMilliseconds = milliseconds));
});

When('a program sends {int} turns', async function (this: World, count: number) {
  const headers = { [NAMES.program]: 'p1' };
  const turns = Array.from({ length: count }, () => relayOf(this).send('kept', { headers }));
  relayOf(this).results.push(...(await Promise.all(turns)));
  relayOf(this).results.forEach(({ status }) => assert.equal(status, 200));
});

Then('the load of their service is raised', function (this: World) {
  const factor = relayOf(this).gateway.loadCorrection.factorOf(SERVICE);
  assert.ok(factor > 1, `${factor}`);
});

Then('the waits of {int} turns are counted', function (this: World, count: number) {
  const rendered = relayOf(this).gateway.metrics.render();
  const line = `ivyloom_relay_observed_wait_milliseconds_count ${count}`;
  assert.ok(rendered.includes(line), rendered);
});

async function startWithOneConnection(world: World): Promise<RelayWorld> {
  await world.relay?.stop();
  world.relay = new RelayWorld({ maximumConnections: 1, timeoutMilliseconds: 5_000 });
  await world.relay.start(true);
  return world.relay;
}

Given('a gateway that may open 1 connection to each of two runners', async function (this: World) {
  await startWithOneConnection(this);
});

Given(
  'a gateway that may open 1 connection to each of two runners, the second of which has left',
  async function (this: World) {
    const relay = await startWithOneConnection(this);
    relay.listRunner(1, false);
  },
);

When(
  /^(\d+) "(.*)" requests that take (\d+) ms are sent, and the first runner (drains|disappears) after (\d+) ms$/,
  async function (this: World, count, route: string, pause, leaves: string, after) {
    const relay = relayOf(this);
    relay.runners.forEach((runner) => (runner.answerPauseMilliseconds = Number(pause)));
    const sentAt = performance.now();
    this.durations = [];
    const sent = Array.from({ length: Number(count) }, async () => {
      const result = await relay.send(route);
      this.durations!.push(performance.now() - sentAt);
      relay.results.push(result);
    });
    await new Promise((resolve) => setTimeout(resolve, Number(after)));
    if (leaves === 'drains') {
      relay.listRunner(0, false);
    } else {
      relay.gateway.registry.remove('one');
    }
    this.attemptsAfterLeaving = relay.gateway.registry.ownLoads().get('one' as RunnerIncarnation);
    await Promise.all(sent);
  },
);

Then('the first runner ran 1 request, and none waited for its connection', function (this: World) {
  assert.equal(relayOf(this).runners[0]!.runs.length, 1);
  assert.equal(this.attemptsAfterLeaving, 1);
});

Then(
  '{int} client gets status 200, and the others get status 503 within {int} ms',
  function (this: World, served: number, milliseconds: number) {
    const { results } = relayOf(this);
    const statuses = results.map(({ status }) => status).sort();
    assert.deepEqual(statuses, [
      ...Array.from({ length: served }, () => 200),
      ...Array.from({ length: results.length - served }, () => 503),
    ]);
    const late = this.durations!.filter((duration) => duration > milliseconds);
    assert.equal(late.length, served);
  },
);
