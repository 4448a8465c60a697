/** Steps for answers that a runner broke off. */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ResetAwareSocket } from '../../src/http-client/reset-aware-socket.js';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import { ROUTED_HOST } from '../support/relay-world.js';
import type { ClientResult, RelayWorld } from '../support/relay-world.js';

const HOST = '127.0.0.1';
/** Time in which a request arrives at its runner. */
const ARRIVAL_MILLISECONDS = 30;

interface World {
  relay: RelayWorld;
  earlyRunner?: Server;
  received?: { text: string; error: string | undefined };
}

/** Returns a text of a scenario with its line ends. */
function unescape(text: string): string {
  return text.replaceAll('\\n', '\n').replaceAll('\\r', '\r');
}

function lastResult(world: World): ClientResult {
  return world.relay.results.at(-1)!;
}

After(function (this: World) {
  this.earlyRunner?.close();
});

Given(
  'a runner that answers {string} without reading the request and closes its connection',
  async function (this: World, body: string) {
    const id = 'early-answer';
    const headers = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: signed by early\r\n`;
    const answer = `HTTP/1.1 200 OK\r\n${headers}connection: close\r\n\r\n${unescape(body)}`;
    this.earlyRunner = createServer({ pauseOnConnect: true }, (socket) => {
      socket.on('error', () => undefined);
      // The connection ends in order; closing it then resets it, since the request is unread.
      setTimeout(() => socket.end(answer, () => socket.destroy()), ARRIVAL_MILLISECONDS);
    });
    const { earlyRunner } = this;
    await new Promise<void>((resolve) => earlyRunner.listen(0, HOST, () => resolve()));
    const { port } = earlyRunner.address() as AddressInfo;
    [0, 1].forEach((runner) => this.relay.listRunner(runner, true, port));
  },
);

When('a client sends it a {string} request', async function (this: World, route: string) {
  const sent = this.relay.send(route, { id: 'early-answer', body: 'x'.repeat(1_000) });
  this.relay.results.push(await sent);
});

When(
  'a client requests a stream of {int} events of {int} bytes and reads it after {int} milliseconds',
  async function (this: World, events: number, bytes: number, readAfter: number) {
    const path = `/stream/work?stream&events=${events}&fill=${bytes}`;
    const headers = { [NAMES.timeout]: '20000' };
    this.relay.results.push(await this.relay.send('stream', { path, headers, readAfter }));
  },
);

Then('the client gets {int} events in order and the end', function (this: World, count: number) {
  const { status, complete, body } = lastResult(this);
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  assert.equal(status, 200);
  assert.deepEqual(
    ids,
    Array.from({ length: count }, (_, index) => index + 1),
  );
  assert.ok(complete);
});

Then("the client's answer is not complete", function (this: World) {
  assert.equal(lastResult(this).complete, false);
});

Then('no turn is stored', function (this: World) {
  assert.equal(this.relay.storedTurns, 0);
});

Then(
  'the client gets status {int} and the body {string}',
  function (this: World, status: number, body: string) {
    const result = lastResult(this);
    const { complete } = result;
    assert.deepEqual([result.status, result.body, complete], [status, unescape(body), true]);
  },
);

When(
  'a client of HTTP\\/1.0 sends a {string} request',
  async function (this: World, route: string) {
    const socket = new ResetAwareSocket();
    socket.separateReads();
    socket.connect(this.relay.frontPort, HOST);
    const received: NonNullable<World['received']> = { text: '', error: undefined };
    socket.on('data', (chunk: Buffer) => (received.text += chunk.toString('latin1')));
    socket.on('error', ({ message }) => (received.error = message));
    socket.write(
      `POST /${route}/work?stream HTTP/1.0\r\nhost: ${ROUTED_HOST}\r\n${NAMES.requestId}: old-client\r\ncontent-length: 0\r\n\r\n`,
    );
    await new Promise((resolve) => socket.once('close', resolve));
    this.received = received;
  },
);

Then('its connection is reset after event {int}', function (this: World, event: number) {
  const { text, error } = this.received!;
  assert.ok(text.endsWith(`id: ${event}\ndata: event ${event}\n\n`), text);
  assert.match(String(error), /ECONNRESET/);
});
