/** Steps about gateways of which few follow the store, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { KeySpaceMirror } from '../../src/mirror/key-space-mirror.js';
import type { DatagramListener, DatagramPort } from '../../src/peers/datagram-port.js';
import { LoadGossip } from '../../src/peers/load-gossip.js';
import { StoreCatchUp } from '../../src/peers/store-catch-up.js';
import { decideFollowing, StoreFollowers } from '../../src/peers/store-followers.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { SimulatedKeySpace } from '../support/simulated-key-space.js';

const LINK_MILLISECONDS = 1;
const LOSS = 0.01;
const PATIENCE_MILLISECONDS = 1_200;
const KEY = 'a';

/** One gateway as far as the store is concerned. */
interface Gateway {
  readonly host: string;
  readonly process: SimulatedProcess;
  readonly store: SimulatedKeySpace;
  readonly mirror: KeySpaceMirror;
  readonly gossip: LoadGossip;
  fetchesServed: number;
}

interface World {
  clock: VirtualClock;
  gateways: Gateway[];
  listeners: Map<string, DatagramListener>;
  /** What the store holds; each gateway has a path of its own to it. */
  value: string;
  view?: { rank: number; isFollowing: boolean; sinceChangeMilliseconds: number };
  follows?: boolean;
  /** Revision that a lying gateway tells. */
  lie: { readonly host: string; readonly revision: number } | undefined;
}

const random = createRandom(11, 'followers');

function running(world: World): Gateway[] {
  return world.gateways.filter(({ process }) => process.isAlive);
}

function followersOf(world: World): Gateway[] {
  return running(world).filter(({ mirror }) => mirror.isFollowing);
}

function datagramsOf(world: World, host: string): DatagramPort {
  return {
    onDatagram: (listener) => world.listeners.set(host, listener),
    send: (bytes, target) => {
      if (random.uniform() >= LOSS) {
        world.clock.schedule(LINK_MILLISECONDS, () => world.listeners.get(target)?.(bytes, host));
      }
    },
    close: () => world.listeners.delete(host),
  };
}

function fetchFrom(world: World, own: KeySpaceMirror, host: string, done: () => void): void {
  const peer = world.gateways.find((gateway) => gateway.host === host);
  if (peer === undefined || !peer.process.isAlive) {
    world.clock.schedule(600, done);
    return;
  }
  peer.fetchesServed += 1;
  const since = own.completeRevision;
  world.clock.schedule(LINK_MILLISECONDS, () => {
    const changes = peer.mirror.changesSince(since);
    world.clock.schedule(LINK_MILLISECONDS, () => {
      own.take(changes);
      done();
    });
  });
}

function addGateway(world: World, index: number): void {
  const host = `10.0.0.${index}`;
  const process = new SimulatedProcess(host, world.clock, random);
  const runtime = process.begin();
  const store = new SimulatedKeySpace(world.clock);
  store.put(KEY, 'first');
  const mirror = new KeySpaceMirror({
    runtime,
    port: store,
    prefix: '',
    verifyMilliseconds: 2_500,
    watchMilliseconds: 5_000,
    onPut: () => undefined,
    onGone: () => undefined,
    onReachable: () => undefined,
  });
  const isSeed = index < 3;
  const catchUp = new StoreCatchUp({
    runtime,
    mirror,
    fetch: (target, done) => fetchFrom(world, mirror, target, done),
  });
  const gossip: LoadGossip = new LoadGossip({
    runtime,
    host,
    datagrams: datagramsOf(world, host),
    seeds: () => ['10.0.0.0', '10.0.0.1', '10.0.0.2'],
    ownLoads: () => new Map(),
    ownRevision: () => (world.lie?.host === host ? world.lie.revision : mirror.completeRevision),
    storeAgeMilliseconds: () => followers.ageMilliseconds,
    onStoreNews: (news) => {
      followers.heard(news.ageMilliseconds);
      catchUp.heed(news);
    },
    reachesReplicas: () => true,
    ownPlaces: () => [],
    onPlaces: () => undefined,
  });
  const followers = new StoreFollowers({
    runtime,
    host,
    peers: () => gossip.heardPeers,
    mirror,
    patienceMilliseconds: isSeed ? 0 : PATIENCE_MILLISECONDS * (1 + random.uniform()),
  });
  world.gateways.push({ host, process, store, mirror, gossip, fetchesServed: 0 });
}

function wait(world: World, milliseconds: number): void {
  world.clock.runUntil(world.clock.now + milliseconds);
}

function changeKey(world: World): void {
  world.value = `changed at ${world.clock.now}`;
  world.gateways.forEach(({ store }) => store.put(KEY, world.value));
}

function allKnow(world: World): boolean {
  return running(world).every(({ mirror }) => mirror.get(KEY)?.value === world.value);
}

Given(
  /^a gateway of rank (\d+) that (doesn't ask|follows) the store since (\d+) milliseconds$/,
  function (this: World, rank: string, does: string, since: string) {
    const isFollowing = does === 'follows';
    this.view = { rank: Number(rank), isFollowing, sinceChangeMilliseconds: Number(since) };
  },
);

When(
  'no other gateway is known to have heard from the store for {int} milliseconds',
  function (this: World, silenceMilliseconds: number) {
    const view = { ...this.view!, silenceMilliseconds };
    this.follows = decideFollowing({ ...view, patienceMilliseconds: PATIENCE_MILLISECONDS });
  },
);

Then(/^it (follows|doesn't follow) the store$/, function (this: World, what: string) {
  assert.equal(this.follows, what === 'follows');
});

Given(
  '{int} gateways that tell one another what they know of the store',
  function (this: World, count: number) {
    this.clock = new VirtualClock();
    this.gateways = [];
    this.listeners = new Map();
    this.value = 'first';
    for (let index = 0; index < count; index += 1) {
      addGateway(this, index);
    }
  },
);

Then(
  'after {int} milliseconds between {int} and {int} of them follow the store',
  function (this: World, milliseconds: number, least: number, most: number) {
    wait(this, milliseconds);
    const count = followersOf(this).length;
    assert.ok(count >= least && count <= most, `${count} follow`);
    assert.ok(allKnow(this), 'some do not know the first value');
  },
);

When('a key of the store is changed', function (this: World) {
  changeKey(this);
});

When('all that follow the store die and a key of the store is changed', function (this: World) {
  for (const { process, gossip } of followersOf(this)) {
    gossip.close();
    process.kill();
  }
  changeKey(this);
});

When(
  'the store refuses all that follow it and a key of the store is changed',
  function (this: World) {
    followersOf(this).forEach(({ store }) => {
      store.mode = 'refusing';
      store.cutWatches = true;
    });
    changeKey(this);
  },
);

Then(
  'within {int} milliseconds all that run know the change',
  function (this: World, milliseconds: number) {
    const known = this.clock.runUntil(this.clock.now + milliseconds, () => allKnow(this));
    const count = running(this).filter(({ mirror }) => mirror.get(KEY)?.value === this.value);
    assert.ok(known, `${count.length} of ${running(this).length} know it`);
  },
);

When(
  'one of them says for {int} milliseconds that it knows revision {int}',
  function (this: World, milliseconds: number, revision: number) {
    wait(this, 4_000);
    // All but the liar leave the store to others, so that they ask the liar.
    this.gateways.slice(1).forEach(({ store }) => (store.mode = 'unreachable'));
    this.gateways.slice(1).forEach(({ mirror }) => mirror.rest());
    this.lie = { host: this.gateways[0]!.host, revision };
    this.gateways.forEach((gateway) => (gateway.fetchesServed = 0));
    wait(this, milliseconds);
    this.lie = undefined;
  },
);

Then(
  'each asks it at most {int} times, and a key that is changed then is known to all within {int} milliseconds',
  function (this: World, most: number, milliseconds: number) {
    const { fetchesServed } = this.gateways[0]!;
    const askers = this.gateways.length - 1;
    assert.ok(fetchesServed > 0 && fetchesServed <= most * askers, `asked ${fetchesServed} times`);
    changeKey(this);
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds, () => allKnow(this)));
  },
);
