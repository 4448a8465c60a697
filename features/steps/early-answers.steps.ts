/** Steps about runners that answer before they have read the request. */
import assert from 'node:assert/strict';
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { readWholeBody } from '../../src/http-client/read-body.js';
import { ResetAwareAgent } from '../../src/http-client/reset-aware-agent.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { EarlyRunner } from '../support/early-runner.js';
import type { EarlyEnd } from '../support/early-runner.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

interface World {
  relay: RelayWorld;
  earlyAnswerer?: EarlyRunner;
  httpServer?: Server;
  connectionCount: number;
  sentBytes: number;
  answerMilliseconds: number;
  /** Processor time of all parts until the answer had come. */
  processorMilliseconds: number;
  /** Results of the clients that sent at the same time, and what had been answered and run before. */
  lastResults: readonly ClientResult[];
  answeredBefore: number;
  ranBefore: number;
}

const KILOBYTE = 1_024;
const MICROSECONDS_IN_MILLISECOND = 1_000;
const MEGABYTE = KILOBYTE * KILOBYTE;
const EVENT_COUNT = 4;

function eventText(number: number): string {
  return `id: ${number}\ndata: event ${number}\n\n`;
}

/** Body of an answer; a part of it ends between two events. */
function bodyOf(isWhole: boolean): string {
  const count = isWhole ? EVENT_COUNT : EVENT_COUNT / 2;
  return Array.from({ length: count }, (_, index) => eventText(index + 1)).join('');
}

After(function (this: World) {
  this.earlyAnswerer?.close();
  this.httpServer?.close();
});

Given(
  'a gateway with two runners that takes requests of {int} MB',
  async function (this: World, megabytes: number) {
    this.relay = new RelayWorld({ bodyBytes: megabytes * MEGABYTE });
    await this.relay.start(true);
  },
);

Given(
  /^a runner that answers (a part of its|its whole) body early, and then does "(.*)" after (\d+) ms(, beside a sound one)?$/,
  async function (this: World, how: string, end: string, resetAfter: string, beside?: string) {
    const answerOf = (head: string): string => {
      const id = new RegExp(`^${NAMES.requestId}: (.*)\r$`, 'im').exec(head)![1]!;
      const headers = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: signed by early\r\n`;
      return `HTTP/1.1 200 OK\r\n${headers}connection: close\r\n\r\n${bodyOf(how === 'its whole')}`;
    };
    this.earlyAnswerer = new EarlyRunner(answerOf, end as EarlyEnd, Number(resetAfter));
    const port = await this.earlyAnswerer.listen();
    const isAlone = typeof beside !== 'string';
    (isAlone ? [0, 1] : [0]).forEach((runner) => this.relay.listRunner(runner, true, port));
  },
);

When(
  'a client sends it a {string} request of {int} KB',
  async function (this: World, route: string, kilobytes: number) {
    const startedAt = performance.now();
    const processorBefore = process.cpuUsage();
    this.sentBytes = kilobytes * KILOBYTE;
    this.relay.results.push(await this.relay.send(route, { body: 'x'.repeat(this.sentBytes) }));
    this.answerMilliseconds = performance.now() - startedAt;
    const { user, system } = process.cpuUsage(processorBefore);
    this.processorMilliseconds = (user + system) / MICROSECONDS_IN_MILLISECOND;
  },
);

Then('the client gets no complete answer', function (this: World) {
  const { status, complete, body } = this.relay.results.at(-1)!;
  assert.ok(!complete || status === 502, `status ${status} with ${JSON.stringify(body)}`);
  assert.equal(this.relay.storedTurns, 0);
});

When(
  '{int} clients send a {string} request of {int} KB',
  async function (this: World, count: number, route: string, kilobytes: number) {
    const body = 'x'.repeat(kilobytes * KILOBYTE);
    const { earlyAnswerer, relay } = this;
    this.answeredBefore = earlyAnswerer!.answered;
    this.ranBefore = relay.runners[1]!.runs.length;
    const send = (): Promise<ClientResult> => relay.send(route, { body });
    this.lastResults = await Promise.all(Array.from({ length: count }, send));
  },
);

Then('each gets the whole answer of the sound runner', function (this: World) {
  assert.ok(this.earlyAnswerer!.answered > 0, 'the early runner got no request');
  for (const { status, complete, body } of this.lastResults) {
    assert.deepEqual([status, complete], [200, true]);
    assert.ok(!bodyOf(true).startsWith(body), body);
  }
});

Then(
  'those whose answer was lost get status 502, and the sound runner ran the others only',
  function (this: World) {
    const statuses = this.lastResults.map(({ status }) => status);
    const lostCount = this.earlyAnswerer!.answered - this.answeredBefore;
    const served = statuses.length - lostCount;
    assert.ok(lostCount > 0, 'the early runner got no request');
    assert.equal(statuses.filter((status) => status === 502).length, lostCount);
    assert.equal(statuses.filter((status) => status === 200).length, served);
    assert.equal(this.relay.runners[1]!.runs.length - this.ranBefore, served);
  },
);

Then(
  'the client gets the whole answer within {int} ms',
  function (this: World, milliseconds: number) {
    const { status, complete, body } = this.relay.results.at(-1)!;
    assert.deepEqual([status, complete, body], [200, true, bodyOf(true)]);
    assert.ok(this.answerMilliseconds <= milliseconds, `${this.answerMilliseconds} ms`);
  },
);

Then('less than half of the time was processor time', function (this: World) {
  const { processorMilliseconds, answerMilliseconds } = this;
  assert.ok(processorMilliseconds < answerMilliseconds / 2, `${processorMilliseconds} ms`);
});

Then('the runner has read the whole request', function (this: World) {
  assert.ok(this.earlyAnswerer!.readBytes > this.sentBytes, `${this.earlyAnswerer!.readBytes}`);
});

Given(
  'a server that answers the first request on a connection with a length, and the second one until its end',
  async function (this: World) {
    let requestCount = 0;
    this.connectionCount = 0;
    this.httpServer = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        requestCount += 1;
        if (requestCount === 1) {
          response.end('whole');
        } else {
          request.socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole');
        }
      });
    });
    const { httpServer } = this;
    httpServer.on('connection', () => (this.connectionCount += 1));
    await new Promise<void>((resolve) => httpServer.listen(0, '127.0.0.1', () => resolve()));
  },
);

/** Sends a request and resolves once its whole answer has been read. */
async function readAnswer(agent: ResetAwareAgent, port: number, bytes: number): Promise<void> {
  const answer = await new Promise<IncomingMessage>((resolve, reject) => {
    const client = httpRequest({ host: '127.0.0.1', port, method: 'POST', agent }, resolve);
    client.on('error', reject);
    client.end('x'.repeat(bytes));
  });
  const body = await new Promise((resolve) => readWholeBody(answer, 'POST', KILOBYTE, resolve));
  assert.equal((body as { right: Buffer }).right.toString(), 'whole');
}

When(
  'a request of {int} KB and a request of {int} KB are sent to it on one connection',
  async function (this: World, first: number, second: number) {
    const agent = new ResetAwareAgent({ keepAlive: true, maxSockets: 1 });
    const { port } = this.httpServer!.address() as AddressInfo;
    await readAnswer(agent, port, first * KILOBYTE);
    const startedAt = performance.now();
    await readAnswer(agent, port, second * KILOBYTE);
    this.answerMilliseconds = performance.now() - startedAt;
    agent.destroy();
  },
);

Then('the second answer is whole within {int} ms', function (this: World, milliseconds: number) {
  assert.equal(this.connectionCount, 1);
  assert.ok(this.answerMilliseconds <= milliseconds, `${this.answerMilliseconds} ms`);
});
