/** Steps about gossip and snapshots between gateways, over loopback sockets. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { findFreePorts } from '../../src/bench/free-ports.js';
import type { StoreProof } from '../../src/mirror/store-freshness.js';
import { openUdpPort } from '../../src/peers/datagram-port.js';
import { ExceptionLog } from '../../src/telemetry/exception-log.js';
import { LoadGossip } from '../../src/peers/load-gossip.js';
import type { PeerStoreState } from '../../src/peers/load-gossip.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  LOAD_SCOPES,
  withExtensions,
} from '../../src/peers/load-message.js';
import type { LoadMessage } from '../../src/peers/load-message.js';
import { PeerExchange } from '../../src/peers/peer-exchange.js';
import type { PeerSnapshot } from '../../src/peers/peer-exchange.js';
import type { PromptPlace } from '../../src/peers/recent-places.js';
import {
  MAXIMUM_AMOUNTS,
  AGGREGATE_TOPICS,
  sumAggregates,
  toAggregates,
} from '../../src/peers/aggregates.js';
import { encodeAggregates } from '../../src/peers/aggregate-codec.js';
import { ENCOUNTER_STATES } from '../../src/suspects/suspect-record.js';
import { promptKeyOf } from '../../src/relay/request/relay-request.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { Listeners } from '../../src/runtime/listeners.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { MAXIMUM_SECTION_BYTES } from '../../src/wire/sections.js';

const HOSTS = ['127.0.8.1', '127.0.8.2', '127.0.8.3'] as const;
const MEMBERS = 'the members';
/** Proof that each gateway reports. */
const PROOF: StoreProof = { life: 9, number: 3, revision: 7, ageMilliseconds: 40 };
/** Place that the first gateway reports. */
const PLACE: PromptPlace = { runnerHash: 5, part: promptKeyOf('a part'), tokens: 900 };

interface World {
  port?: number;
  gossips?: LoadGossip[];
  exchanges?: PeerExchange[];
  seed?: string;
  receivedSnapshot?: PeerSnapshot;
  peerStates?: PeerStoreState[];
  receivedPlaces?: PromptPlace[];
}

function startGossip(
  world: World,
  place: number,
  seeds: readonly string[],
  loads: ReadonlyMap<string, number>,
  places: readonly PromptPlace[] = [],
): void {
  const gossip = new LoadGossip({
    runtime: createRealRuntime({ logLevel: 'error' }),
    host: HOSTS[place]!,
    zone: `z${place}`,
    datagrams: openUdpPort(
      { purpose: 'gossip', host: HOSTS[place]!, port: world.port! },
      new ExceptionLog(createRealRuntime({ logLevel: 'error' })),
      new Listeners(createRealRuntime({ logLevel: 'error' })),
    ),
    seeds: () => seeds,
    ownLoads: () => loads,
    ownRevision: () => 7,
    proof: () => PROOF,
    onPeerStoreState: (state) => (world.peerStates ??= []).push(state),
    reachesReplicas: () => place === 0,
    ownPlaces: () => places,
    ownAggregates: () => [],
    onPlaces: (places) => (world.receivedPlaces ??= []).push(...places),
  });
  world.gossips!.push(gossip);
}

async function becomesTrueWithin(milliseconds: number, holds: () => boolean): Promise<boolean> {
  const until = performance.now() + milliseconds;
  while (!holds() && performance.now() < until) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return holds();
}

After(function (this: World) {
  this.gossips?.forEach((gossip) => gossip.close());
  this.exchanges?.forEach((exchange) => exchange.close());
});

Given(
  'two gateways that gossip, of which the first has {int} requests at runner {string}',
  async function (this: World, inFlight: number, runner: string) {
    [this.port] = await findFreePorts(HOSTS[0], 1);
    this.gossips = [];
    startGossip(this, 0, [HOSTS[1]], new Map([[runner, inFlight]]), [PLACE]);
    startGossip(this, 1, [HOSTS[0]], new Map());
  },
);

Then('the second alone knows that a peer reaches the replicas', async function (this: World) {
  const [first, second] = this.gossips!;
  assert.ok(await becomesTrueWithin(1_000, () => second!.somePeerReachesReplicas));
  assert.equal(first!.somePeerReachesReplicas, false);
});

Then('no peer is known to reach the replicas', function (this: World) {
  assert.equal(this.gossips!.at(-1)!.somePeerReachesReplicas, false);
});

Then('the second learns what the runner caches', async function (this: World) {
  assert.ok(await becomesTrueWithin(1_000, () => this.receivedPlaces !== undefined));
  assert.deepEqual(this.receivedPlaces![0], PLACE);
});

Then('the gateways exchange the newest revision they know', function (this: World) {
  assert.deepEqual(new Set(this.peerStates!.map(({ revision }) => revision)), new Set([7]));
  this.peerStates!.forEach(({ proof }) => assert.deepEqual(proof, PROOF));
});

When('the first falls silent', function (this: World) {
  this.gossips!.shift()!.close();
});

When('a third gateway joins that knows only the second', async function (this: World) {
  assert.ok(await becomesTrueWithin(2_000, () => this.gossips![1]!.peerCount > 0));
  startGossip(this, 2, [HOSTS[1]], new Map());
});

Then(
  /^the (second|third) learns within (\d+) milliseconds that others have (\d+) requests at runner "(.*)"$/,
  async function (this: World, _which: string, within: string, count: string, runner: string) {
    const last = this.gossips!.at(-1)!;
    const hash = hashToNumber(runner);
    const holds = (): boolean => last.inFlightOfOthers(hash) === Number(count);
    assert.ok(await becomesTrueWithin(Number(within), holds), `${last.inFlightOfOthers(hash)}`);
  },
);

Given(
  'a gateway that knows item {string} at revision {int} and the members',
  async function (this: World, key: string, revision: number) {
    [this.port] = await findFreePorts(HOSTS[0], 1);
    this.seed = `${HOSTS[0]}:${this.port}`;
    const exchange = new PeerExchange({
      runtime: createRealRuntime({ logLevel: 'error' }),
      ownAddress: this.seed,
      seeds: () => [],
      ownRevision: () => revision,
      snapshotSince: (since) => ({
        since,
        revision,
        items: [{ key, value: 'value', revision }],
        gone: [],
        members: MEMBERS,
      }),
      onSnapshot: () => undefined,
      isNeeded: () => 'no',
    });
    exchange.start(HOSTS[0], this.port!);
    this.exchanges = [exchange];
  },
);

When(
  'another gateway starts with it as a seed and urgently needs a snapshot',
  function (this: World) {
    const exchange = new PeerExchange({
      runtime: createRealRuntime({ logLevel: 'error' }),
      ownAddress: `${HOSTS[1]}:${this.port!}`,
      seeds: () => [this.seed!],
      ownRevision: () => 3,
      snapshotSince: (since) => ({ since, revision: 3, items: [], gone: [], members: '' }),
      onSnapshot: (snapshot) => {
        this.receivedSnapshot = snapshot;
      },
      isNeeded: () => (this.receivedSnapshot === undefined ? 'urgently' : 'no'),
    });
    exchange.start(HOSTS[1], this.port!);
    this.exchanges!.push(exchange);
  },
);

Then(
  'within {int} milliseconds it knows item {string} at revision {int} and the members',
  async function (this: World, within: number, key: string, revision: number) {
    assert.ok(await becomesTrueWithin(within, () => this.receivedSnapshot !== undefined));
    assert.deepEqual(this.receivedSnapshot!.items, [{ key, value: 'value', revision }]);
    assert.equal(this.receivedSnapshot!.members, MEMBERS);
    // Only items newer than the asker's revision are sent.
    assert.equal(this.receivedSnapshot!.since, 3);
    assert.ok(this.receivedSnapshot!.peers.includes(this.seed!));
  },
);

Then('any bytes decode to a load message or are rejected', function () {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 64 }), (bytes) => {
      const message = decodeLoadMessage(bytes);
      assert.ok(message === undefined || Array.isArray(message.loads));
    }),
  );
  const plain = { noNullPrototype: true };
  const runnerHash = fc.nat(0xffff_ffff);
  const load = fc.record({ runnerHash, inFlight: fc.nat(65_535) }, plain);
  const revision = fc.nat(Number.MAX_SAFE_INTEGER);
  const part = fc.nat(0xffff_ffff).map((key) => key as PromptPlace['part']);
  const place = fc.record({ runnerHash, part, tokens: fc.nat(0xffff_ffff) }, plain);
  const amounts = fc.array(fc.float({ noNaN: true, noDefaultInfinity: true }), { maxLength: 8 });
  const row = fc.record({ key: fc.nat(0xffff_ffff), amounts }, plain);
  const rows = fc.array(row, { minLength: 1 });
  const aggregate = fc.record({ topic: fc.nat(0xff), rows }, plain);
  const age = fc.nat(0xffff_fffe);
  const encounter = fc.record(
    {
      runnerHash,
      state: fc.constantFrom(...ENCOUNTER_STATES),
      round: fc.nat(0xff),
      isCommon: fc.boolean(),
      isGivenUp: fc.boolean(),
      isRepeated: fc.boolean(),
      ageMilliseconds: age,
    },
    plain,
  );
  const suspect = fc.record(
    {
      fingerprint: revision,
      answeredAgeMilliseconds: fc.option(age, { nil: undefined }),
      encounters: fc.array(encounter, { maxLength: 8 }),
    },
    plain,
  );
  const suspects = fc.array(suspect, { minLength: 1, maxLength: 24 });
  const message: fc.Arbitrary<LoadMessage> = fc.record(
    {
      sequence: fc.nat(),
      life: fc.nat(),
      loads: fc.array(load),
      scope: fc.constantFrom(...LOAD_SCOPES),
      zoneHash: fc.nat(0xffff_ffff),
      gateways: fc.nat(0xffff),
      peers: fc.array(fc.record({ host: fc.ipV4(), zoneHash: fc.nat(0xffff_ffff) }, plain)),
      revision,
      places: fc.array(place),
      reachesReplicas: fc.boolean(),
      aggregates: fc.uniqueArray(aggregate, { selector: ({ topic }) => topic }),
      proof: fc.record(
        {
          life: fc.nat(),
          number: fc.nat(),
          revision,
          ageMilliseconds: fc.nat(0xffff),
        },
        plain,
      ),
    },
    plain,
  );
  fc.assert(
    fc.property(message, fc.option(suspects), (value, told) => {
      const bytes = encodeLoadMessage(value);
      const extended = told === null ? value : { ...value, suspects: told };
      assert.deepEqual(decodeLoadMessage(withExtensions(bytes, extended)), extended);
      assert.deepEqual(decodeLoadMessage(bytes), { ...value, aggregates: [] });
    }),
  );
});

Then(
  'for any topics and rows, the sum fits in a section and contains all known topics',
  function () {
    const known = Object.values(AGGREGATE_TOPICS);
    const counts = {
      topics: fc.integer({ min: 1, max: 255 }),
      rows: fc.integer({ min: 1, max: 60 }),
    };
    fc.assert(
      fc.property(fc.record(counts), ({ topics, rows }) => {
        const amounts = Array.from({ length: MAXIMUM_AMOUNTS }, () => 1);
        const reported = Array.from({ length: topics }, (_, index) => ({
          topic: 255 - index,
          rows: Array.from({ length: rows }, (_row, key) => ({ key, amounts })),
        }));
        const own = known.map((topic) => ({ topic, rows: [{ key: 1, amounts }] }));
        const list = toAggregates(sumAggregates([reported, own]));
        const content = encodeAggregates(list);
        assert.ok(content.length <= MAXIMUM_SECTION_BYTES, `${content.length} bytes`);
        const topicsTold = list.map(({ topic }) => topic);
        assert.deepEqual(
          known.filter((topic) => !topicsTold.includes(topic)),
          [],
        );
        assert.deepEqual(
          topicsTold,
          [...topicsTold].sort((left, right) => left - right),
        );
      }),
    );
  },
);
