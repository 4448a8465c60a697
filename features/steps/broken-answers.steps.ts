/** Steps for answers that a runner broke off. */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { DEFAULT_HEADER_NAMES as NAMES } from '../../src/relay/request/default-header-names.js';
import type { ClientResult, RelayWorld } from '../support/relay-world.js';

interface World {
  relay: RelayWorld;
  earlyRunner?: Server;
}

function lastResult(world: World): ClientResult {
  return world.relay.results.at(-1)!;
}

After(function (this: World) {
  this.earlyRunner?.close();
});

Given(
  'a runner that answers {string} after the head of a request and closes its connection',
  async function (this: World, body: string) {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (chunk: Buffer) => {
        // The rest of the request stays unread, so that closing the connection resets it.
        socket.pause();
        const id = new RegExp(`${NAMES.requestId}: (\\S+)`, 'i').exec(
          chunk.toString('latin1'),
        )?.[1];
        const headers = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: signed by early\r\n`;
        socket.end(`HTTP/1.1 200 OK\r\n${headers}connection: close\r\n\r\n${body}`, () =>
          socket.destroy(),
        );
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
    this.earlyRunner = server;
    const { port } = server.address() as AddressInfo;
    [0, 1].forEach((runner) => this.relay.listRunner(runner, true, port));
  },
);

When(
  'a client sends a {string} request with a body of {int} bytes',
  async function (this: World, route: string, bytes: number) {
    this.relay.results.push(await this.relay.send(route, { body: 'x'.repeat(bytes) }));
  },
);

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
    assert.deepEqual([result.status, result.body, result.complete], [status, body, true]);
  },
);
