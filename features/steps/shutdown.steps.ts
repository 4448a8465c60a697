/** Steps about connections that close while requests that came over them are in progress. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { PipeliningClient } from '../support/pipelining-client.js';
import type { PipelinedRequest } from '../support/pipelining-client.js';
import { ROUTED_HOST, RelayWorld } from '../support/relay-world.js';
import type { RelayWorldOptions } from '../support/relay-world.js';

interface World {
  closingRelay?: RelayWorld;
  pipelined: PipeliningClient;
  /** A second client, whose request stays incomplete. */
  incomplete: PipeliningClient;
  sentIds: string[];
  /** Requests that arrived at a runner while another one ran. */
  overlapping: string[];
  hasStopped: boolean;
}

const STEP_MILLISECONDS = 10;
/** Time in which all requests of a scenario are over. */
const END_MILLISECONDS = 20_000;
const LONG = { timeout: 40_000 };
/** Length of an answer that is passed on in one piece. */
const ANSWER_BYTES = 8_000;
const RUNNER_STATUS = 200;
/** Time in which bytes that were sent have arrived. */
const BEHIND_MILLISECONDS = 100;

const TUNNEL = 'CONNECT elsewhere:443 HTTP/1.1\r\nhost: elsewhere:443\r\n\r\n';
/** Bytes that are no request. */
const BAD_INPUT: Readonly<Record<string, string>> = {
  'a bad head': 'this is no request\r\n\r\n',
  'half a head': `POST /single/work HTTP/1.1\r\nhost: ${ROUTED_HOST}\r\n`,
  'a bad body': `POST /single/work HTTP/1.1\r\nhost: ${ROUTED_HOST}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n`,
  'a tunnel': TUNNEL,
};

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function until(what: string, holds: () => boolean): Promise<void> {
  const end = performance.now() + END_MILLISECONDS;
  while (!holds()) {
    assert.ok(performance.now() < end, `not within ${END_MILLISECONDS} ms: ${what}`);
    await sleep(STEP_MILLISECONDS);
  }
}

async function startRelay(world: World, options: RelayWorldOptions): Promise<void> {
  world.closingRelay = new RelayWorld({ timeoutMilliseconds: 15_000, ...options });
  world.sentIds = [];
  world.hasStopped = false;
  await world.closingRelay.start(true);
  world.overlapping = [];
  const { runners } = world.closingRelay;
  runners.forEach((runner) => {
    runner.onArrival = (headers) => {
      if (runners.some(({ unfinishedRuns }) => unfinishedRuns.length > 0)) {
        world.overlapping.push(String(headers[NAMES.requestId]));
      }
    };
  });
}

function requestsOf(world: World, count: number, route: string): PipelinedRequest[] {
  return Array.from({ length: count }, () => {
    const id = `ahead-${world.sentIds.length + 1}`;
    world.sentIds.push(id);
    return { route, id };
  });
}

/** Ids of the requests that runners ran, in the order in which they began. */
function ranIds({ closingRelay }: World): string[] {
  return closingRelay!.runners.flatMap(({ runs }) => runs.map(({ requestId }) => requestId));
}

/** Stops the gateway as its process does: all connections are closed when the stop is over. */
function stopGateway(world: World): void {
  const { gateway } = world.closingRelay!;
  gateway.stop(() => {
    world.hasStopped = true;
    gateway.close();
  });
}

After(LONG, async function (this: World) {
  this.pipelined?.close();
  this.incomplete?.close();
  await this.closingRelay?.stop();
  delete this.closingRelay;
});

Given(
  'a gateway whose runners take {int} milliseconds for an answer',
  async function (this: World, pauseMilliseconds: number) {
    await startRelay(this, { runner: { pauseMilliseconds, eventCount: 2 } });
  },
);

Given('a gateway whose runners send long answers', async function (this: World) {
  await startRelay(this, { runner: { pauseMilliseconds: 0, answerBytes: ANSWER_BYTES } });
});

Given(
  'a gateway with a grace period of {int} milliseconds, and runners that never answer',
  async function (this: World, graceMilliseconds: number) {
    await startRelay(this, { graceMilliseconds });
    this.closingRelay!.runners.forEach((runner) => (runner.drawBehaviour = () => 'silent'));
  },
);

When(
  'a client sends {int} requests to a {string} route ahead on one connection',
  async function (this: World, count: number, route: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort);
    this.pipelined.send(...requestsOf(this, count, route));
    await until('a request runs', () => ranIds(this).length > 0 || this.hasStopped);
  },
);

When(
  'a client sends a request every {int} milliseconds on one connection for {int} seconds',
  function (this: World, pause: number, seconds: number) {
    const client = new PipeliningClient(this.closingRelay!.frontPort);
    this.pipelined = client;
    const timer = setInterval(() => client.send(...requestsOf(this, 1, 'single')), pause);
    setTimeout(() => clearInterval(timer), seconds * 1_000);
  },
);

When(
  'a client sends {int} requests to a {string} route ahead on one connection, and reads nothing',
  async function (this: World, count: number, route: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort, false);
    this.pipelined.send(...requestsOf(this, count, route));
    await until('a request runs', () => ranIds(this).length > 0);
  },
);

When(
  'a client sends a request without a route and {int} requests to a {string} route ahead on one connection',
  function (this: World, count: number, route: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort);
    const unrouted = requestsOf(this, 1, 'nowhere');
    this.pipelined.send(...unrouted, ...requestsOf(this, count, route));
  },
);

When(
  'a client sends a request to a {string} route, and another one behind it',
  async function (this: World, route: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort);
    this.pipelined.send(...requestsOf(this, 2, route));
    await until('the first runs', () => ranIds(this).length > 0);
  },
);

When(
  'a client sends half the body of a request to a {string} route',
  async function (this: World, route: string) {
    this.incomplete = new PipeliningClient(this.closingRelay!.frontPort);
    const body = 'x'.repeat(100);
    this.incomplete.send({ route, id: 'incomplete', body, bytes: -body.length / 2 });
    await until('it has arrived', () => this.closingRelay!.gateway.activeRequests >= 2);
  },
);

When(
  'a client sends a request to a {string} route, and {string} behind it',
  async function (this: World, route: string, bytes: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort);
    this.pipelined.send(...requestsOf(this, 1, route));
    await until('it runs', () => ranIds(this).length > 0);
    this.pipelined.write(BAD_INPUT[bytes]!);
  },
);

When(
  'the client leaves while it runs, with half of another request behind it',
  async function (this: World) {
    this.pipelined.send({ route: 'single', id: 'half', body: 'x'.repeat(100), bytes: -50 });
    await sleep(BEHIND_MILLISECONDS);
    this.pipelined.close();
  },
);

When(
  'a client sends a request without a host and {int} requests to a {string} route ahead on one connection',
  function (this: World, count: number, route: string) {
    this.pipelined = new PipeliningClient(this.closingRelay!.frontPort);
    this.pipelined.write('GET /single/work HTTP/1.1\r\n\r\n');
    this.pipelined.send(...requestsOf(this, count, route));
  },
);

Then(
  'its run ends within {int} milliseconds, and no other begins',
  async function (this: World, milliseconds: number) {
    const { runners } = this.closingRelay!;
    const end = performance.now() + milliseconds;
    while (runners.some(({ unfinishedRuns }) => unfinishedRuns.length > 0)) {
      assert.ok(performance.now() < end, 'the run goes on');
      await sleep(STEP_MILLISECONDS);
    }
    assert.deepEqual(ranIds(this), [this.sentIds[0]]);
  },
);

Then(
  'the first is refused with {int}, and each of the others is answered by its runner',
  async function (this: World, status: number) {
    await until('all are answered', () => this.pipelined.answers.length > this.sentIds.length);
    assert.deepEqual(
      this.pipelined.answers.map(({ status: each }) => each),
      [status, ...this.sentIds.map(() => RUNNER_STATUS)],
    );
  },
);

Then(
  'the stop ends within {int} milliseconds',
  LONG,
  async function (this: World, milliseconds: number) {
    const end = performance.now() + milliseconds;
    while (!this.hasStopped) {
      assert.ok(performance.now() < end, `not within ${milliseconds} ms`);
      await sleep(STEP_MILLISECONDS);
    }
  },
);

When('the gateway is stopped', function (this: World) {
  stopGateway(this);
});

When(
  'the gateway is stopped after {int} milliseconds',
  async function (this: World, milliseconds: number) {
    await sleep(milliseconds);
    stopGateway(this);
  },
);

When('the gateway is stopped, and its process ends', LONG, async function (this: World) {
  stopGateway(this);
  await until('the stop is over', () => this.hasStopped);
});

When(
  'the gateway is stopped, and the client begins to read after {int} milliseconds',
  LONG,
  async function (this: World, milliseconds: number) {
    stopGateway(this);
    await sleep(milliseconds);
    this.pipelined.read();
  },
);

When('the replicas are out of reach', function (this: World) {
  this.closingRelay!.reachesReplicas = false;
});

Then(
  'each request that ran is answered, in order, and the connection closes after the last',
  LONG,
  async function (this: World) {
    await until('the connection closes', () => this.pipelined.isClosed);
    const { answers } = this.pipelined;
    const answered = answers.map(({ id }) => id);
    assert.deepEqual(answered, this.sentIds.slice(0, answers.length), 'the order of the answers');
    const unanswered = ranIds(this).filter((id) => !answered.includes(id));
    assert.deepEqual(unanswered, [], 'requests that ran and were not answered');
    assert.ok(answers.length > 0);
    const closing = answers.flatMap(({ closes }, index) => (closes ? [index] : []));
    assert.deepEqual(closing, [answers.length - 1], 'the answers that close');
  },
);

Then(
  "the first is answered, the second is refused with {int} and hasn't run, and the connection closes",
  LONG,
  async function (this: World, status: number) {
    await until('the connection closes', () => this.pipelined.isClosed);
    const [first, second] = this.sentIds;
    assert.deepEqual(
      this.pipelined.answers.map((answer) => [answer.id, answer.status, answer.closes]),
      [
        [first, RUNNER_STATUS, false],
        [second, status, true],
      ],
    );
    assert.deepEqual(ranIds(this), [first]);
  },
);

Then(
  'all of them are answered, in order, and the connection closes after the last',
  LONG,
  async function (this: World) {
    await until('the connection closes', () => this.pipelined.isClosed);
    const count = this.sentIds.length;
    assert.deepEqual(
      this.pipelined.answers.map(({ id, status, closes }) => [id, status, closes]),
      this.sentIds.map((id, index) => [id, RUNNER_STATUS, index === count - 1]),
    );
  },
);

Then(
  'they are answered, and no two of them ran at the same time',
  LONG,
  async function (this: World) {
    await until('all are answered', () => this.pipelined.answers.length === this.sentIds.length);
    const { runners, gateway } = this.closingRelay!;
    assert.deepEqual(
      this.pipelined.answers.map(({ id, status }) => [id, status]),
      this.sentIds.map((id) => [id, RUNNER_STATUS]),
    );
    assert.equal(gateway.activeRequests, 0);
    assert.deepEqual(this.overlapping, []);
    assert.equal(runners.flatMap(({ runs }) => runs).length, this.sentIds.length);
  },
);

Then(
  'the answers to all {int} are whole, and the connection closes after the last',
  LONG,
  async function (this: World, count: number) {
    await until('the connection closes', () => this.pipelined.isClosed);
    const routed = this.sentIds.slice(1).map((id) => [id, RUNNER_STATUS]);
    assert.deepEqual(
      this.pipelined.answers.map(({ id, status, closes }, index) => [
        id,
        status,
        closes === (index === count - 1),
      ]),
      // A request without a route is refused before its id is looked at.
      [['', 404], ...routed].map((answer) => [...answer, true]),
    );
  },
);

Then(
  'the request that ran is answered with {int}, and the others with {int}',
  async function (this: World, ranStatus: number, otherStatus: number) {
    await until(
      'both connections close',
      () => this.pipelined.isClosed && this.incomplete.isClosed,
    );
    assert.deepEqual(ranIds(this), [this.sentIds[0]]);
    assert.deepEqual(
      this.pipelined.answers.map(({ id, status }) => [id, status]),
      [
        [this.sentIds[0], ranStatus],
        [this.sentIds[1], otherStatus],
      ],
    );
    assert.deepEqual(
      this.incomplete.answers.map(({ status }) => status),
      [otherStatus],
    );
  },
);

Then(
  'the request is answered by its runner, and the connection closes with status {int}',
  LONG,
  async function (this: World, status: number) {
    await until('the connection closes', () => this.pipelined.isClosed);
    assert.deepEqual(
      this.pipelined.answers.map(({ id, status: each }) => [id, each]),
      [
        [this.sentIds[0], RUNNER_STATUS],
        ['', status],
      ],
    );
  },
);
