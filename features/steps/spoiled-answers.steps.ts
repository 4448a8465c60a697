/** Steps for answers whose bytes are wrong, and for exceptions that no code expected. */
import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import type { ApiKey, TenantId } from '../../src/relay/request/tenant.js';
import type { RunnerExclusion } from '../../src/relay/runners/runner-exclusions.js';
import { createRandom } from '../../src/runtime/random.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import type { LogFields, LogFunction } from '../../src/runtime/runtime.js';
import type { RegionTraffic } from '../../src/topology/region-traffic.js';
import { ExceptionLog } from '../../src/telemetry/exception-log.js';
import { decodeMemberRecord } from '../../src/turns/membership.js';
import { RawServer } from '../support/raw-server.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult, RelayWorldOptions } from '../support/relay-world.js';
import { headLength, SOUND_BODY, SpoilingRunner } from '../support/spoiling-runner.js';
import type { Framing } from '../support/spoiling-runner.js';

const HOST = '127.0.0.1';
const BITS = 8;
/** Bytes of a head with the longest id of a request; those of shorter ones are gone through once more from the start. */
const LONGEST_HEAD_BYTES = 200;
/** Requests that are sent at the same time. */
const CONCURRENCY = 8;
/** Size from which the answers of the faulty path interrupt their processing. */
const FAULTY_ANSWER_BYTES = 4_000;
const FAULTY_PATH = '/repeatable/faulty';
/** Checks of one request at placement, one for each runner. */
const PLACEMENT_CHECKS = 2;

interface World {
  relay?: RelayWorld;
  spoiling?: SpoilingRunner;
  rawRunner?: RawServer;
  uncaught: unknown[];
  stopWatching?: () => void;
  results: ClientResult[];
  logLines: LogFields[];
  exchange?: PeerExchange;
  asked: string[];
  statusAfterwards: number;
}

/** Returns a text of a scenario with its escaped characters. */
function unescape(text: string): string {
  return text.replace(/\\x([0-9a-f]{2})/g, (_, code: string) =>
    String.fromCharCode(parseInt(code, 16)),
  );
}

async function startWorld(world: World, options: RelayWorldOptions = {}): Promise<RelayWorld> {
  world.uncaught = [];
  const note = (cause: unknown): unknown => world.uncaught.push(cause);
  process.on('uncaughtException', note);
  world.stopWatching = () => process.off('uncaughtException', note);
  const relay = new RelayWorld(options);
  world.relay = relay;
  await relay.start(true);
  return relay;
}

After(function (this: World) {
  this.stopWatching?.();
  this.spoiling?.close();
  this.rawRunner?.close();
  this.exchange?.close();
});

Given(
  'a gateway whose runners spoil the first answer to each request, framed by {string}',
  async function (this: World, framing: Framing) {
    const relay = await startWorld(this);
    this.spoiling = new SpoilingRunner(framing);
    await this.spoiling.replaceRunners(relay);
  },
);

When('the status line of the first answer reads {string}', function (this: World, line: string) {
  this.spoiling!.spoil = (answer) => [
    Buffer.from(unescape(line), 'latin1'),
    answer.subarray(answer.indexOf('\r\n'), headLength(answer)),
    answer.subarray(headLength(answer)),
  ];
});

Then('a {string} request gets the whole answer', async function (this: World, route: string) {
  const { status, body, complete } = await this.relay!.send(route);
  assert.deepEqual({ status, body, complete }, { status: 200, body: SOUND_BODY, complete: true });
});

Then('a {string} request gets status {int}', async function (this: World, route, status: number) {
  assert.equal((await this.relay!.send(route as string)).status, status);
});

Then('no exception was thrown', function (this: World) {
  assert.deepEqual(this.uncaught, []);
  assert.equal(this.relay!.gateway.exceptions.count, 0);
});

/** Sends one request for each way of spoiling an answer, some at a time. */
async function sendForEach(
  world: World,
  route: string,
  spoils: ((answer: Buffer) => readonly Buffer[])[],
): Promise<void> {
  world.results = [];
  const pending = [...spoils];
  world.spoiling!.spoil = (answer) => pending.shift()?.(answer) ?? [answer];
  const sendSome = async (): Promise<void> => {
    while (pending.length > 0) {
      world.results.push(await world.relay!.send(route));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendSome));
}

When(
  'a {string} request is sent for each single wrong bit of the head',
  { timeout: 60_000 },
  async function (this: World, route: string) {
    const bitCount = LONGEST_HEAD_BYTES * BITS;
    const spoils = Array.from({ length: bitCount }, (_, bit) => (answer: Buffer) => {
      const at = Math.floor(bit / BITS) % headLength(answer);
      const spoiled = Buffer.from(answer);
      spoiled[at]! ^= 1 << (bit % BITS);
      return [spoiled];
    });
    await sendForEach(this, route, spoils);
  },
);

When(
  '{int} {string} requests are sent for answers with random wrong bytes, cuts and splits of seed {int}',
  { timeout: 60_000 },
  async function (this: World, count: number, route: string, seed: number) {
    const random = createRandom(seed);
    const spoils = Array.from({ length: count }, () => (answer: Buffer) => {
      const spoiled = Buffer.from(answer);
      for (let wrong = random.integer(0, 3); wrong > 0; wrong -= 1) {
        spoiled[random.integer(0, spoiled.length - 1)] = random.integer(0, 255);
      }
      const end = random.uniform() < 0.5 ? spoiled.length : random.integer(1, spoiled.length);
      const split = random.integer(0, end);
      return [spoiled.subarray(0, split), spoiled.subarray(split, end)];
    });
    await sendForEach(this, route, spoils);
  },
);

Then('each of them is answered', function (this: World) {
  assert.ok(this.results.length > 0);
  const unanswered = this.results.filter(({ status }) => status === 0);
  assert.deepEqual(unanswered, []);
});

Given(
  'a gateway whose runners send a keep-alive time of {int} digits',
  async function (this: World, digits: number) {
    const relay = await startWorld(this);
    this.rawRunner = new RawServer((socket, received) => {
      const id = new RegExp(`^${NAMES.requestId}: (.*)\r$`, 'im').exec(received.toString())?.[1];
      const ownLines = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: signed\r\n`;
      const keepAlive = `keep-alive: timeout=${'9'.repeat(digits)}\r\n`;
      const length = `content-length: ${SOUND_BODY.length}\r\n`;
      socket.write(`HTTP/1.1 200 OK\r\n${ownLines}${keepAlive}${length}\r\n${SOUND_BODY}`);
    });
    const port = await this.rawRunner.listen();
    [0, 1].forEach((index) => relay.listRunner(index, true, port));
  },
);

Given(
  'a gateway whose runners break off the first stream after the event ids {string} and {string}',
  async function (this: World, first: string, second: string) {
    const relay = await startWorld(this);
    let isFirst = true;
    this.rawRunner = new RawServer((socket, received) => {
      const text = received.toString();
      const id = new RegExp(`^${NAMES.requestId}: (.*)\r$`, 'im').exec(text)?.[1];
      const lastId = new RegExp(`^${NAMES.lastEventId}: (.*)\r$`, 'im').exec(text)?.[1];
      socket.write(
        `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n${NAMES.signature}: signed\r\nconnection: close\r\n\r\n`,
      );
      const eventOf = (event: string, number: number): string =>
        `id: ${event}\ndata: event ${number}\n\n`;
      if (isFirst) {
        isFirst = false;
        socket.write(eventOf(first, Number(first)) + eventOf(unescape(second), 2), 'latin1');
        setTimeout(() => socket.resetAndDestroy(), 20);
        return;
      }
      for (let event = Number(lastId ?? 0) + 1; event <= 4; event += 1) {
        socket.write(eventOf(String(event), event));
      }
      setTimeout(() => socket.end(), 20);
    });
    const port = await this.rawRunner.listen();
    [0, 1].forEach((index) => relay.listRunner(index, true, port));
  },
);

Given(
  'a gateway with two runners, and a tenant named {string} with the key {string}',
  async function (this: World, name: string, key: string) {
    const relay = await startWorld(this);
    const tenant = { id: name as TenantId, keys: [key as ApiKey], priority: 0, quota: undefined };
    relay.applyTenants(8, [tenant]);
  },
);

When(
  'a client sends a {string} request with the key {string}',
  async function (this: World, route: string, key: string) {
    const headers = { authorization: `Token ${key}` };
    this.relay!.results.push(await this.relay!.send(route, { headers }));
  },
);

Then('the runner was told the tenant {string}', function (this: World, name: string) {
  const [run] = this.relay!.runners.flatMap(({ runs }) => runs);
  const received = Buffer.from(String(run!.headers[NAMES.tenant]), 'latin1').toString('utf8');
  assert.equal(received, name);
});

/** Rule that throws for requests of the faulty path from a number of checks on. */
function throwingRule(fromCheck: number): RunnerExclusion {
  const checks = new Map<string, number>();
  return {
    name: 'throwing',
    excludes: (_runner, { path, id }) => {
      const count = (checks.get(id) ?? 0) + 1;
      checks.set(id, count);
      if (path.startsWith(FAULTY_PATH) && count >= fromCheck) {
        throw new Error('thrown by a rule');
      }
      return false;
    },
  };
}

const throwingTraffic = {
  recordZone: (kind: string, direction: string, _zone: string, bytes: number) => {
    if (kind === 'runners' && direction === 'received' && bytes >= FAULTY_ANSWER_BYTES) {
      throw new Error('thrown while an answer is read');
    }
  },
} as unknown as RegionTraffic;

const FAULTS: Readonly<Record<string, () => RelayWorldOptions>> = {
  placement: () => ({ exclusions: [throwingRule(1)] }),
  sending: () => ({ exclusions: [throwingRule(PLACEMENT_CHECKS + 1)] }),
  answer: () => ({ traffic: throwingTraffic }),
};

Given(
  'a gateway with two runners, at which an exception is thrown at {string} of requests to {string}',
  async function (this: World, point: string, path: string) {
    assert.equal(path, FAULTY_PATH);
    const relay = await startWorld(this, FAULTS[point]!());
    this.logLines = [];
    const log: LogFunction = (_level, _message, fields) => this.logLines.push(fields ?? {});
    (relay.runtime as { log: LogFunction }).log = log;
  },
);

When(
  '{int} {string} requests to {string} and {int} to {string} are sent at the same time',
  async function (this: World, faulty: number, route: string, first: string, sound, second) {
    const send = (path: string): Promise<ClientResult> => this.relay!.send(route, { path });
    const faultyPath = `${first}?fill=${FAULTY_ANSWER_BYTES}`;
    this.results = await Promise.all([
      ...Array.from({ length: faulty }, () => send(faultyPath)),
      ...Array.from({ length: sound as number }, () => send(second as string)),
    ]);
  },
);

Then(
  'those to {string} get status {int}, and the others 200',
  function (this: World, _path: string, status: number) {
    const half = this.results.length / 2;
    const statuses = this.results.map((result) => result.status);
    const expected = statuses.map((_, index) => (index < half ? status : 200));
    assert.deepEqual(statuses, expected);
  },
);

Then('nothing is held for any of them', function (this: World) {
  const { registry, memory, activeRequests } = this.relay!.gateway;
  assert.deepEqual([...registry.ownLoads()], []);
  assert.equal(memory.heldBytes, 0);
  assert.equal(activeRequests, 0);
});

Then(
  '{int} exceptions are counted, and one log line has the stack',
  function (this: World, count: number) {
    assert.deepEqual(this.uncaught, []);
    assert.equal(this.relay!.gateway.exceptions.count, count);
    const lines = this.logLines.filter(({ event }) => event === 'process.exception');
    assert.equal(lines.length, 1);
    assert.match(String(lines[0]!.stack), /thrown .*\n +at /);
  },
);

Given("a gateway's exchange with peers", async function (this: World) {
  this.asked = [];
  this.uncaught = [];
  const [port] = (await findFreePorts(HOST, 1)) as [number];
  const runtime = createRealRuntime({ logLevel: 'error' });
  const exceptions = new ExceptionLog(runtime);
  this.exchange = new PeerExchange({
    runtime,
    ownAddress: `${HOST}:${port}`,
    seeds: () => [],
    ownRevision: () => 0,
    snapshotSince: () => ({ since: 0, revision: 0, items: [], gone: [], members: '' }),
    onSnapshot: () => undefined,
    isNeeded: () => 'urgently',
    exceptions,
  });
  this.exchange.start(HOST, port);
});

function ask(port: number, path: string): Promise<{ status: number; body: string }> {
  return new Promise((resolve, reject) => {
    const client = httpRequest({ host: HOST, port, path, agent: false }, (response) => {
      let body = '';
      response.on('data', (chunk: Buffer) => (body += chunk.toString()));
      response.on('end', () => resolve({ status: response.statusCode ?? 0, body }));
    });
    client.on('error', reject);
    client.end();
  });
}

When(
  'it is asked at {string}, and told the peers {string}, {string} and {string}',
  async function (this: World, path: string, first: string, second: string, third: string) {
    const { ownAddress } = (this.exchange as unknown as { options: { ownAddress: string } })
      .options;
    const port = Number(ownAddress.split(':')[1]);
    assert.equal((await ask(port, path)).status, 404);
    for (const peer of [first, second, third]) {
      await ask(port, `/ivyloom/snapshot?from=${encodeURIComponent(peer)}&since=0`);
    }
    // The exchange asks the peers that it knows some times a second.
    await new Promise((resolve) => setTimeout(resolve, 400));
    const { status, body } = await ask(port, '/ivyloom/snapshot?since=0');
    this.statusAfterwards = status;
    this.asked = (JSON.parse(body) as { peers: string[] }).peers.filter(
      (peer) => peer !== ownAddress,
    );
  },
);

Then('it answers the next request, and asks none of these', function (this: World) {
  assert.equal(this.statusAfterwards, 200);
  assert.deepEqual(this.asked, []);
});

Then('a member record with port {int} is ignored', function (port: number) {
  const member = { id: 'r1', node: 'r1', host: HOST, port, zone: 'hall' };
  assert.equal(decodeMemberRecord(JSON.stringify({ epoch: 1, members: [member] })), undefined);
});
