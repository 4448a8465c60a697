/** Steps for clients that send bytes without end. */
import assert from 'node:assert/strict';
import { request } from 'node:http';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { serveMetrics } from '../../platform/serve-metrics.js';
import type { PlatformSettings } from '../../platform/settings.js';
import { Listeners } from '../../src/runtime/listeners.js';
import { PlatformStoreClient } from '../../platform/store-client.js';
import { LAKESHORE } from '../../src/bench/deployments.js';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { localKeyOf, startLocalCluster } from '../../src/bench/local-cluster.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { EndlessClient } from '../support/endless-client.js';
import { ROUTED_HOST, RelayWorld } from '../support/relay-world.js';

interface World {
  relay?: RelayWorld;
  endlessClient?: EndlessClient;
  endlessCleanups?: (() => unknown)[];
  endlessContinue: { readonly isToldToGoOn: boolean; readonly status: number | undefined };
  answers: string;
}

const HOST = '127.0.0.1';
const MEBIBYTE = 1024 * 1024;
const POLL_MILLISECONDS = 10;
const PADDING = '0'.repeat(1_000);
/** Path of a stream that lasts for seconds. */
const STREAM_EVENTS = 100;
const STREAM_PATH = `/stream/work?stream&events=${STREAM_EVENTS}`;
const SOUND_MILLISECONDS = 20_000;
/** Time in which a client is told to send its content, and answered. */
const GO_ON_MILLISECONDS = 5_000;
/** Time in which the requests of a closed connection end. */
const END_MILLISECONDS = 1_000;
const LONG = { timeout: 30_000 };

let requestCount = 0;

function headOf(framing: string, path = '/repeatable/work', method = 'POST'): string {
  requestCount += 1;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `host: ${ROUTED_HOST}`,
    `${NAMES.requestId}: endless-${requestCount}`,
  ];
  return `${[...lines, ...(framing === '' ? [] : [framing])].join('\r\n')}\r\n\r\n`;
}

const CHUNKED = 'transfer-encoding: chunked';
const CALL_PATH = '/v1/chat/completions';
const CALL_KEY = `Bearer ${localKeyOf('brandvold')}`;
const CHUNKED_CALL = `authorization: ${CALL_KEY}\r\n${CHUNKED}`;
/** What is sent once, and what is sent again and again, for each endless part. */
const PARTS: Readonly<Record<string, () => [string, string]>> = {
  'line breaks first': () => ['', '\r\n'],
  'line breaks behind a request': () => [headOf('content-length: 2') + 'ab', '\r\n'],
  'chunk size': () => [headOf(CHUNKED), '0'],
  'later chunk size': () => [`${headOf(CHUNKED)}1\r\na\r\n`, '0'],
  'padded chunks': () => [headOf(CHUNKED), `${PADDING}1\r\na\r\n`],
  'extended chunks': () => [headOf(CHUNKED), `1;${PADDING}\r\na\r\n`],
  'chunk size of a call': () => [headOf(CHUNKED_CALL, CALL_PATH), '0'],
  'padded chunks of a call': () => [headOf(CHUNKED_CALL, CALL_PATH), `${PADDING}1\r\na\r\n`],
  'line breaks behind a stream': () => [headOf('', STREAM_PATH, 'GET'), '\r\n'],
  'chunk size behind a stream': () => [headOf('', STREAM_PATH, 'GET') + headOf(CHUNKED), '0'],
  'body of a refused request': () => [
    headOf(CHUNKED, '/nowhere'),
    `400\r\n${'x'.repeat(1024)}\r\n`,
  ],
  'declared body of a refused request': () => [
    headOf('content-length: 99999999999', '/nowhere'),
    'x',
  ],
  'body above the limit': () => [headOf(CHUNKED), `400\r\n${'x'.repeat(1024)}\r\n`],
};

After(LONG, async function (this: World) {
  this.endlessClient?.close();
  await Promise.all((this.endlessCleanups ?? []).map((cleanup) => cleanup()));
  await this.relay?.stop();
  delete this.relay;
});

/** Starts each kind of server; returns its port. */
const SERVERS: Readonly<Record<string, (world: World) => Promise<number>>> = {
  'the front': async ({ relay }) => relay!.frontPort,
  'the readiness server': async ({ relay }) => relay!.readyPort,
  'the metrics server': async (world) => {
    const [port] = (await findFreePorts(HOST, 1)) as [number];
    const runtime = createRealRuntime({ logLevel: 'error' });
    const settings = { host: HOST, metricsPort: port } as PlatformSettings;
    const server = serveMetrics(
      settings,
      () => '',
      new PlatformStoreClient(HOST, 1, runtime),
      new Listeners(runtime),
      runtime,
    );
    world.endlessCleanups = [() => server.close()];
    await new Promise((resolve) => server.once('listening', resolve));
    return port;
  },
  'the server for peers': async (world) => {
    const [port] = (await findFreePorts(HOST, 1)) as [number];
    const exchange = new PeerExchange({
      runtime: createRealRuntime({ logLevel: 'error' }),
      ownAddress: `${HOST}:${port}`,
      seeds: () => [],
      ownRevision: () => 0,
      snapshotSince: () => ({ since: 0, revision: 0, items: [], gone: [], members: '' }),
      onSnapshot: () => undefined,
      isNeeded: () => 'no',
    });
    exchange.start(HOST, port);
    world.endlessCleanups = [() => exchange.close()];
    return port;
  },
  'the interface': async (world) => {
    const cluster = await startLocalCluster({ deployment: LAKESHORE, nodes: 1, seed: 1 });
    // The only node of a cluster can't hand its shards over before it leaves.
    world.endlessCleanups = [
      () => cluster.daemons.forEach((daemon) => daemon.abort()),
      () => cluster.stop(),
    ];
    return Number(new URL(cluster.urls[0]!).port);
  },
};

async function until(what: string, milliseconds: number, holds: () => boolean): Promise<void> {
  const end = performance.now() + milliseconds;
  while (!holds()) {
    assert.ok(performance.now() < end, `not within ${milliseconds} ms: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

Given('a gateway that clients send to without end', async function (this: World) {
  this.relay = new RelayWorld();
  await this.relay.start(true);
});

When(
  'a client sends {string} without end to {string}',
  LONG,
  async function (this: World, part: string, server: string) {
    const port = await SERVERS[server]!(this);
    this.endlessClient = new EndlessClient(port, ...PARTS[part]!());
  },
);

Then(
  'its connection is closed within {int} ms and after at most {int} MiB',
  LONG,
  async function (this: World, milliseconds: number, mebibytes: number) {
    const client = this.endlessClient!;
    await until('closed', milliseconds, () => client.closedAfter !== undefined);
    assert.ok(client.bytesSent <= mebibytes * MEBIBYTE, `${client.bytesSent} bytes were taken`);
  },
);

When(
  'a client asks {string} before it sends {string}',
  LONG,
  async function (this: World, server: string, body: string) {
    const port = await SERVERS[server]!(this);
    this.endlessContinue = await new Promise((resolve, reject) => {
      let isToldToGoOn = false;
      const headers = {
        authorization: CALL_KEY,
        expect: '100-continue',
        'content-length': body.length,
      };
      const options = { host: HOST, port, path: CALL_PATH, method: 'POST', headers };
      const client = request({ ...options, agent: false, timeout: GO_ON_MILLISECONDS });
      client.on('continue', () => {
        isToldToGoOn = true;
        client.end(body);
      });
      client.on('response', (response) => {
        response.resume();
        resolve({ isToldToGoOn, status: response.statusCode });
      });
      client.on('timeout', () => client.destroy());
      client.on('error', reject);
      client.flushHeaders();
    });
  },
);

Then('it is told to go on, and answered with status {int}', function (this: World, status: number) {
  assert.deepEqual(this.endlessContinue, { isToldToGoOn: true, status });
});

Then('one request was refused with status {int}', async function (this: World, status: number) {
  const { gateway } = this.relay!;
  const { metrics, memory } = gateway;
  assert.deepEqual(metrics.render().match(/^ivyloom_relay_door_refusals_total.*$/gm), [
    `ivyloom_relay_door_refusals_total{status="${status}"} 1`,
  ]);
  await until('the end of all requests', END_MILLISECONDS, () => gateway.activeRequests === 0);
  assert.equal(memory.heldBytes, 0);
});

Then('it got its whole stream before', function (this: World) {
  const { text } = this.endlessClient!;
  const ids = [...text.matchAll(/^id: (\d+)\r?$/gm)].map((match) => Number(match[1]));
  assert.deepEqual(
    ids,
    Array.from({ length: STREAM_EVENTS }, (_, index) => index + 1),
  );
  assert.ok(text.includes('\r\n0\r\n\r\n'), 'the end of the stream');
});

Then('another client is answered', async function (this: World) {
  assert.equal((await this.relay!.send('repeatable', { body: 'b' })).status, 200);
});

/** Sends text over one connection, and resolves to what came until `count` answers had come. */
function exchange(port: number, text: string, count: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, HOST, () => socket.write(text));
    let answers = '';
    const timer = setTimeout(() => socket.destroy(), SOUND_MILLISECONDS);
    socket.on('data', (chunk) => {
      answers += chunk.toString('latin1');
      if (answers.split('HTTP/1.1 200').length > count) {
        socket.destroy();
      }
    });
    socket.on('error', reject);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(answers);
    });
  });
}

When(
  'a client sends {int} pipelined requests of {int} bytes in chunks of {int} with {string} ahead of their sizes',
  LONG,
  async function (this: World, count: number, bytes: number, size: number, padding: string) {
    const chunk = `${padding}${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
    const body = `${chunk.repeat(bytes / size)}0\r\n\r\n`;
    const text = Array.from({ length: count }, () => `\r\n${headOf(CHUNKED)}${body}`).join('');
    this.answers = await exchange(this.relay!.frontPort, text, count);
  },
);

When(
  'a client sends {int} requests of {int} bytes over one connection',
  LONG,
  async function (this: World, count: number, bytes: number) {
    const body = 'x'.repeat(bytes);
    const text = Array.from(
      { length: count },
      () => headOf(`content-length: ${bytes}`) + body,
    ).join('');
    this.answers = await exchange(this.relay!.frontPort, text, count);
  },
);

Then('{int} requests are answered with status 200', function (this: World, count: number) {
  assert.equal(this.answers.split('HTTP/1.1 200').length - 1, count, this.answers.slice(0, 400));
});
