/** Steps about callers' connections to a node that leaves. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { LAKESHORE } from '../../src/bench/deployments.js';
import { localKeyOf, startLocalCluster } from '../../src/bench/local-cluster.js';
import type { LocalCluster } from '../../src/bench/local-cluster.js';
import type { Execution } from '../../src/emulator/emulated-back-end.js';
import { PipeliningClient } from '../support/pipelining-client.js';
import type { PipelinedAnswer } from '../support/pipelining-client.js';

interface World {
  leavingCluster?: LocalCluster;
  caller?: PipeliningClient;
  /** Programs of the calls that were sent, one each, in their order. */
  sentPrograms: string[];
  /** Largest number of calls that ran at the same time. */
  mostRunning: number;
  hasLeft: boolean;
  cancelWatch?: () => void;
}

const LONG = { timeout: 40_000 };
const STEP_MILLISECONDS = 5;
/** Time in which all calls of a scenario are over. */
const END_MILLISECONDS = 30_000;
const MILLISECONDS_IN_SECOND = 1_000;
const MEBIBYTE = 1024 * 1024;
const TOOL = 'order-desk';
const OK = 200;
const PROGRAM = 'ivyloom-program';
const HEAD = `host: node\r\nauthorization: Bearer ${localKeyOf('brandvold')}\r\n`;
const CALL = `POST /v1/services/${TOOL}/calls HTTP/1.1\r\n${HEAD}`;
const METRICS = `GET /metrics HTTP/1.1\r\n${HEAD}\r\n`;
/** Bytes that are no request. */
const BAD_INPUT: Readonly<Record<string, string>> = {
  'half a head': CALL,
  'a bad head': 'this is no request\r\n\r\n',
  'a bad body': `${CALL}transfer-encoding: chunked\r\n\r\nzz\r\n`,
  'a tunnel': 'CONNECT elsewhere:443 HTTP/1.1\r\nhost: elsewhere:443\r\n\r\n',
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

/** The calls that ran, in the order in which they began. */
function executionsOf({ leavingCluster }: World): Execution[] {
  return leavingCluster!.backEnds
    .flatMap(({ executions }) => executions)
    .filter(({ service }) => service === TOOL)
    .sort((left, right) => left.at - right.at);
}

/** Returns the content of an answer that came as one chunk, or without chunks. */
function bodyOf({ body, headers }: PipelinedAnswer): string {
  return headers.has('content-length') ? body : body.split('\r\n')[1]!;
}

function connectToLeaving(world: World, isReading = true): PipeliningClient {
  const port = Number(new URL(world.leavingCluster!.urls[0]!).port);
  world.caller = new PipeliningClient(port, isReading);
  return world.caller;
}

function sendCalls(world: World, count: number, headers = ''): void {
  const calls = Array.from({ length: count }, () => {
    const program = `ahead-${world.sentPrograms.length + 1}`;
    world.sentPrograms.push(program);
    return `${CALL}${headers}${PROGRAM}: ${program}\r\ncontent-length: 5\r\n\r\norder`;
  });
  world.caller!.write(calls.join(''));
}

function tellToLeave(world: World): void {
  world.leavingCluster!.daemons[0]!.stop(() => (world.hasLeft = true));
}

After(LONG, async function (this: World) {
  const { leavingCluster } = this;
  this.caller?.close();
  this.cancelWatch?.();
  delete this.leavingCluster;
  leavingCluster?.daemons.forEach((daemon) => daemon.abort());
  await leavingCluster?.stop();
});

Given(
  'a cluster whose tools take {int} milliseconds for a call',
  LONG,
  async function (this: World, medianMilliseconds: number) {
    const services = LAKESHORE.services.map((service) =>
      service.name === TOOL ? { ...service, tool: { medianMilliseconds } } : service,
    );
    this.leavingCluster = await startLocalCluster({
      deployment: { ...LAKESHORE, services },
      seed: 1,
    });
    this.sentPrograms = [];
    this.hasLeft = false;
    this.mostRunning = 0;
    const { backEnds } = this.leavingCluster;
    const watch = setInterval(() => {
      const running = backEnds.reduce((sum, backEnd) => sum + backEnd.report().running, 0);
      this.mostRunning = Math.max(this.mostRunning, running);
    }, STEP_MILLISECONDS);
    this.cancelWatch = () => clearInterval(watch);
  },
);

When('a node of the cluster is told to leave', function (this: World) {
  tellToLeave(this);
});

When(
  'a node of the cluster is told to leave after {int} milliseconds',
  async function (this: World, milliseconds: number) {
    await sleep(milliseconds);
    tellToLeave(this);
  },
);

When(
  'a caller sends {int} calls ahead on one connection to it',
  async function (this: World, count: number) {
    connectToLeaving(this);
    sendCalls(this, count);
    await until('a call runs', () => executionsOf(this).length > 0);
  },
);

When(
  'a caller sends a call every {int} milliseconds on one connection for {int} seconds',
  function (this: World, pause: number, seconds: number) {
    connectToLeaving(this);
    const timer = setInterval(() => sendCalls(this, 1), pause);
    setTimeout(() => clearInterval(timer), seconds * MILLISECONDS_IN_SECOND);
  },
);

When(
  'a caller sends a call of {int} MiB and {int} calls ahead on one connection',
  function (this: World, mebibytes: number, count: number) {
    const bytes = mebibytes * MEBIBYTE;
    const large = `${CALL}content-length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`;
    connectToLeaving(this).write(large);
    sendCalls(this, count);
  },
);

When(
  'a caller sends 2 calls ahead on one connection, the second with a timeout of {float} seconds',
  function (this: World, seconds: number) {
    connectToLeaving(this);
    sendCalls(this, 1);
    sendCalls(this, 1, `ivyloom-timeout: ${seconds}\r\n`);
  },
);

When('it sends {string} behind', function (this: World, bytes: string) {
  this.caller!.write(BAD_INPUT[bytes]!);
});

When(
  'a caller asks for the metrics {int} times ahead on one connection, and reads nothing',
  async function (this: World, count: number) {
    connectToLeaving(this, false).write(METRICS.repeat(count));
    // Answers are passed on until the caller would have to read.
    await sleep(MILLISECONDS_IN_SECOND);
  },
);

When(
  'a node of the cluster is told to leave, and the caller begins to read after {int} milliseconds',
  async function (this: World, milliseconds: number) {
    tellToLeave(this);
    await sleep(milliseconds);
    this.caller!.read();
  },
);

Then(
  'each call that ran is answered, in order, and the connection closes after the last',
  LONG,
  async function (this: World) {
    await until('the connection closes', () => this.caller!.isClosed);
    const { answers } = this.caller!;
    const answered = answers.map(({ headers }) => headers.get(PROGRAM));
    assert.deepEqual(answered, this.sentPrograms.slice(0, answers.length), 'the order');
    assert.ok(answers.every(({ status }) => status === OK));
    const ran = executionsOf(this).map(({ program }) => program);
    const unanswered = ran.filter((program) => !answered.includes(program));
    assert.deepEqual(unanswered, [], 'calls that ran and were not answered');
    assert.ok(answers.length > 0);
    const closing = answers.flatMap(({ closes }, index) => (closes ? [index] : []));
    assert.deepEqual(closing, [answers.length - 1], 'the answers that close');
  },
);

Then(
  'the call is answered by its tool, and the connection closes with status {int}',
  LONG,
  async function (this: World, status: number) {
    await until('the connection closes', () => this.caller!.isClosed);
    assert.deepEqual(
      this.caller!.answers.map((answer) => [answer.headers.get(PROGRAM), answer.status]),
      [
        [this.sentPrograms[0], OK],
        [undefined, status],
      ],
    );
    assert.deepEqual(
      executionsOf(this).map(({ program }) => program),
      this.sentPrograms,
    );
  },
);

Then(
  'all {int} answers are whole, and the connection closes after the last',
  LONG,
  async function (this: World, count: number) {
    await until('the connection closes', () => this.caller!.isClosed);
    const { answers } = this.caller!;
    assert.equal(answers.length, count);
    assert.ok(answers.every(({ status }) => status === OK));
    assert.deepEqual(
      answers.flatMap(({ closes }, index) => (closes ? [index] : [])),
      [count - 1],
    );
  },
);

Then(
  'they are all answered, and no two of them ran at the same time',
  LONG,
  async function (this: World) {
    const { answers } = this.caller!;
    await until('all are answered', () => answers.length === this.sentPrograms.length);
    assert.deepEqual(
      answers.map(({ status, headers }) => [headers.get(PROGRAM), status]),
      this.sentPrograms.map((program) => [program, OK]),
    );
    assert.deepEqual(
      executionsOf(this).map(({ program }) => program),
      this.sentPrograms,
    );
    assert.equal(this.mostRunning, 1);
  },
);

Then(
  'the call of 9 MiB is answered with {int}, the connection closes, and no call ran',
  async function (this: World, status: number) {
    await until('the connection closes', () => this.caller!.isClosed);
    assert.deepEqual(
      this.caller!.answers.map((answer) => [answer.status, answer.closes]),
      [[status, true]],
    );
    assert.deepEqual(executionsOf(this), []);
  },
);

Then(
  'the first is answered with {int}, the second with {int} as not run, and one call ran',
  async function (this: World, first: number, second: number) {
    const { answers } = this.caller!;
    await until('both are answered', () => answers.length === 2);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [first, second],
    );
    const { verdict } = JSON.parse(bodyOf(answers[1]!)) as { verdict: string };
    assert.equal(verdict, 'NotRun');
    assert.deepEqual(
      executionsOf(this).map(({ program }) => program),
      this.sentPrograms.slice(0, 1),
    );
  },
);

Then('the node stops within {int} seconds', LONG, async function (this: World, seconds: number) {
  const startedAt = performance.now();
  await until('the node has stopped', () => this.hasLeft);
  const took = performance.now() - startedAt;
  assert.ok(took < seconds * MILLISECONDS_IN_SECOND, `stopped after ${took} ms`);
});

Then('the node stops', LONG, async function (this: World) {
  await until('the node has stopped', () => this.hasLeft);
});
