/** Readers of HTTP answers that are no answers to requests of clients, by their names in the scenarios. */
import { request } from 'node:http';
import { isRight } from 'fp-ts/lib/Either.js';
import { createCachedPartsReader } from '../../platform/cached-parts.js';
import { PlatformStoreClient } from '../../platform/store-client.js';
import { limitAnswer } from '../../src/http-client/answer-limits.js';
import { readWholeBody } from '../../src/http-client/read-body.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import { DEFAULT_HEADER_NAMES as names } from '../../src/relay/request/default-header-names.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { identifyRunner } from '../../src/relay/tries/identify-runner.js';
import { RunnerConnections } from '../../src/relay/tries/runner-connections.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';

const HOST = '127.0.0.1';
/** Time for which a connection watches a runner that does not end it. */
const WATCH_MILLISECONDS = 5_000;
/** Largest body of a sound answer, in bytes. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
const runtime = createRealRuntime({ logLevel: 'error' });

function runnerAt(port: number): Runner {
  return { id: 'e', service: 's', host: HOST, port, zone: 'z', slots: 1, ready: true };
}

/** Each resolves to whether it got an answer from the server on a port. */
export const ANSWER_READERS: Readonly<Record<string, (port: number) => Promise<boolean>>> = {
  "the client of the store's lists": (port) =>
    new Promise((resolve) => {
      new PlatformStoreClient(HOST, port, runtime).list('', (list) => resolve(isRight(list)));
    }),
  "the client of the store's writes": (port) =>
    new Promise((resolve) => {
      const client = new PlatformStoreClient(HOST, port, runtime);
      client.swap('key', 0, 'value', ({ tag }) => resolve(tag !== 'Unknown'));
    }),
  'a reader without a time limit': (port) =>
    new Promise((resolve) => {
      const client = request({ host: HOST, port, agent: false }, (answer) => {
        readWholeBody(answer, 'GET', MAXIMUM_BODY_BYTES, (body) => {
          resolve(isRight(body) && JSON.parse(body.right.toString()).items.length === 0);
          client.destroy();
        });
      });
      limitAnswer(client);
      client.on('error', () => resolve(false));
      client.end();
    }),
  'the reader of cached parts': (port) =>
    new Promise((resolve) => {
      const read = createCachedPartsReader(runtime);
      read(runnerAt(port), (parts) => resolve(isRight(parts)));
    }),
  'a gateway that asks another': (port) =>
    new Promise((resolve) => {
      let hasSnapshot = false;
      const exchange = new PeerExchange({
        runtime,
        ownAddress: `${HOST}:1`,
        seeds: () => [],
        ownRevision: () => 0,
        snapshotSince: () => ({ since: 0, revision: 0, items: [], gone: [], members: '' }),
        onSnapshot: () => (hasSnapshot = true),
        isNeeded: () => 'no',
      });
      exchange.fetchFrom(`${HOST}:${port}`, () => resolve(hasSnapshot));
    }),
  'the health check of a runner': (port) =>
    new Promise((resolve) => {
      const question = { runtime, names, runner: runnerAt(port), path: '/healthz' };
      identifyRunner(question, (identity) => resolve(identity !== 'unknown'));
    }),
  'a connection that watches a runner': (port) =>
    new Promise((resolve) => {
      new RunnerConnections(runtime).watch(runnerAt(port), WATCH_MILLISECONDS, resolve);
    }),
};
