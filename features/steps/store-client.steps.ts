/** Steps for the client of the platform's store, against a server on the loopback interface. */
import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import * as E from 'fp-ts/lib/Either.js';
import type { KeySpaceError, StoredItem } from '../../src/mirror/key-space-port.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { PlatformStoreClient } from '../../platform/store-client.js';

const HOST = '127.0.0.1';

type ListResult = E.Either<KeySpaceError, { items: readonly StoredItem[]; revision: number }>;

interface World {
  listServer?: Server;
  listResult?: ListResult;
}

/** Starts a server that answers each request with the next body, whatever the request is. */
async function serveBodies(world: World, bodies: readonly string[]): Promise<void> {
  const remainingBodies = [...bodies];
  world.listServer = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(remainingBodies.shift() ?? '');
  });
  await new Promise<void>((resolve) => world.listServer!.listen(0, HOST, resolve));
}

After(function (this: World) {
  this.listServer?.close();
  this.listServer?.closeAllConnections();
});

Given(
  'a store that answers a list in pages at revisions {string}',
  async function (this: World, revisions: string) {
    const pages = revisions.split(' ').map(Number);
    const bodies = pages.map((At, page) =>
      JSON.stringify({
        items: [{ Key: `k${page}`, Value: 'dg==', Revision: 1, Created: 1, Lease: 0 }],
        More: page < pages.length - 1,
        At,
      }),
    );
    await serveBodies(this, bodies);
  },
);

Given('a store that answers lists with {string}', async function (this: World, body: string) {
  await serveBodies(this, [body]);
});

When('the stale list is read', async function (this: World) {
  const { port } = this.listServer!.address() as AddressInfo;
  const client = new PlatformStoreClient(HOST, port, createRealRuntime({ logLevel: 'error' }));
  this.listResult = await new Promise((resolve) => client.listStale('', resolve));
});

Then(
  'the list has the items of {int} pages and revision {int}',
  function (this: World, pages: number, revision: number) {
    assert.ok(E.isRight(this.listResult!));
    assert.deepEqual(
      this.listResult.right.items.map(({ key }) => key),
      Array.from({ length: pages }, (_unused, page) => `k${page}`),
    );
    assert.equal(this.listResult.right.revision, revision);
  },
);

Then('the list is refused', function (this: World) {
  assert.ok(E.isLeft(this.listResult!));
});
