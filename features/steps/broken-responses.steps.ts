/** Steps for responses of other servers that were broken off. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ResetAwareSocket } from '../../src/http-client/reset-aware-socket.js';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { probeKindCount } from '../../src/turns/protocol-probe.js';
import { ANSWER_READERS } from '../support/answer-readers.js';
import { RawServer } from '../support/raw-server.js';

const HOST = '127.0.0.1';
const runtime = createRealRuntime({ logLevel: 'error' });

interface World {
  rawServer?: RawServer;
  port: number;
  /** Whether a reader has got a response. */
  hasAnswer?: boolean;
  kinds?: number | undefined;
  socket?: ResetAwareSocket;
  hasEnded?: boolean;
}

async function serve(world: World, respond: (socket: Socket) => void): Promise<void> {
  world.rawServer = new RawServer(respond);
  world.port = await world.rawServer.listen();
}

After(function (this: World) {
  this.rawServer?.close();
});

Given(
  'a server that answers {string} without a length and resets the connection',
  async function (this: World, body: string) {
    await serve(this, (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`);
      socket.resetAndDestroy();
    });
  },
);

Given('a server that answers {string} with a length', async function (this: World, body: string) {
  await serve(this, (socket) => {
    socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
  });
});

Given(
  /^a server that answers '(.*)' with the status (\d+)$/,
  async function (this: World, body: string, status: string) {
    const runner = `${DEFAULT_HEADER_NAMES.runnerId}: e`;
    await serve(this, (socket) => {
      socket.end(
        `HTTP/1.1 ${status} OK\r\n${runner}\r\ncontent-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`,
      );
    });
  },
);

When(/^(.*) reads the answer$/, async function (this: World, reader: string) {
  this.hasAnswer = await ANSWER_READERS[reader]!(this.port);
});

Then('the reader reports that there is none', function (this: World) {
  assert.equal(this.hasAnswer, false);
});

Given(
  'a replica that resets each connection once it has received something',
  async function (this: World) {
    await serve(this, (socket) => socket.resetAndDestroy());
  },
);

When('its message kinds are probed', async function (this: World) {
  const member = { id: 'r1', node: 'r1', host: HOST, port: this.port, zone: 'hall' };
  this.kinds = await new Promise((resolve) => probeKindCount(member, runtime, resolve));
});

Then('the probe reports that they are unknown', function (this: World) {
  assert.equal(this.kinds, undefined);
});

Given('a connection that is read separately', function (this: World) {
  this.socket = new ResetAwareSocket();
  this.socket.separateReads();
});

Given(
  "a connection that is read separately, with a request that can't be written yet",
  function (this: World) {
    this.socket = new ResetAwareSocket();
    this.socket.separateReads();
    this.socket.cork();
    this.socket.write('request');
    this.socket.on('end', () => (this.hasEnded = true));
    this.socket.resume();
  },
);

Then(
  'no reader of the connection has seen the end after {int} ms',
  async function (this: World, milliseconds: number) {
    await new Promise((resolve) => setTimeout(resolve, milliseconds));
    assert.equal(this.hasEnded, undefined);
    this.socket!.destroy();
  },
);

When(
  /^its end is reported (in the same turn as|in a later turn than) its data$/,
  async function (this: World, when: string) {
    this.socket!.push('data');
    if (when === 'in a later turn than') {
      // A timer may fire before the callbacks that end this turn.
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.socket!.push(null);
  },
);

Then(/^its end is (not verified|verified)$/, function (this: World, result: string) {
  assert.equal(this.socket!.hasVerifiedEnd, result === 'verified');
});
