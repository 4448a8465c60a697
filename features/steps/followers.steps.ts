/** Steps about gateways of which few follow the store, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { freshnessTimingsFor } from '../../src/mirror/freshness-timings.js';
import { KeySpaceMirror } from '../../src/mirror/key-space-mirror.js';
import { StoreFreshness } from '../../src/mirror/store-freshness.js';
import type { DatagramListener, DatagramPort } from '../../src/peers/datagram-port.js';
import { LoadGossip } from '../../src/peers/load-gossip.js';
import { StoreCatchUp } from '../../src/peers/store-catch-up.js';
import {
  decideFollowing,
  FOLLOWERS_OF_ZONE,
  StoreFollowers,
} from '../../src/peers/store-followers.js';
import type { PromptPlace } from '../../src/peers/recent-places.js';
import { promptKeyOf } from '../../src/relay/relay-request.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { SimulatedKeySpace } from '../support/simulated-key-space.js';

const LINK_MILLISECONDS = 1;
const LOSS = 0.01;
const PATIENCE_MILLISECONDS = 1_200;
const FIRST_PATIENCE_MILLISECONDS = 2_500;
const APPLY_MILLISECONDS = 2_000;
const KEY = 'a';
const ZONES = 4;

/** One gateway as far as the store is concerned. */
interface Gateway {
  readonly host: string;
  readonly process: SimulatedProcess;
  readonly store: SimulatedKeySpace;
  readonly mirror: KeySpaceMirror;
  readonly gossip: LoadGossip;
  readonly loads: Map<string, number>;
  /** Places of prompts told to it. */
  readonly placesHeard: Set<number>;
  places: readonly PromptPlace[];
  fetchesServed: number;
  messagesSent: number;
  bytesSent: number;
}

interface World {
  random: RandomSource;
  clock: VirtualClock;
  gateways: Gateway[];
  listeners: Map<string, DatagramListener>;
  /** What the store holds; each gateway has a path of its own to it. */
  value: string;
  view?: { rank: number; isFollowing: boolean; sinceChangeMilliseconds: number };
  follows?: boolean;
  /** While true, no gateway answers another's fetch. */
  fetchesFail: boolean;
  /** Revision that a lying gateway tells. */
  lie: { readonly host: string; readonly revision: number } | undefined;
}

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
      const sender = world.gateways.find((gateway) => gateway.host === host);
      if (sender !== undefined) {
        sender.messagesSent += 1;
        sender.bytesSent += bytes.length;
      }
      if (world.random.uniform() >= LOSS) {
        world.clock.schedule(LINK_MILLISECONDS, () => world.listeners.get(target)?.(bytes, host));
      }
    },
    close: () => world.listeners.delete(host),
  };
}

function fetchFrom(world: World, own: KeySpaceMirror, host: string, done: () => void): void {
  const peer = world.gateways.find((gateway) => gateway.host === host);
  if (peer === undefined || !peer.process.isAlive || world.fetchesFail) {
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
  const process = new SimulatedProcess(host, world.clock, world.random);
  const runtime = process.begin();
  const store = new SimulatedKeySpace(world.clock);
  const timings = freshnessTimingsFor(APPLY_MILLISECONDS);
  store.put(KEY, 'first');
  const mirror = new KeySpaceMirror({
    runtime,
    port: store,
    prefix: '',
    timings,
    awaitsProof: true,
    onListed: (revision, sentAt) => freshness.noteRead(revision, sentAt),
    verifyMilliseconds: 2_500,
    watchMilliseconds: 5_000,
    onPut: () => undefined,
    onGone: () => undefined,
    onReachable: () => undefined,
  });
  const loads = new Map<string, number>();
  const placesHeard = new Set<number>();
  const isSeed = index < 3;
  const catchUp = new StoreCatchUp({
    runtime,
    mirror,
    otherSources: () => gossip.firstOfZone(FOLLOWERS_OF_ZONE),
    fetch: (target, done) => fetchFrom(world, mirror, target, done),
  });
  const gossip: LoadGossip = new LoadGossip({
    runtime,
    host,
    zone: `z${index % ZONES}`,
    datagrams: datagramsOf(world, host),
    seeds: () => ['10.0.0.0', '10.0.0.1', '10.0.0.2'],
    ownLoads: () => loads,
    ownRevision: () => (world.lie?.host === host ? world.lie.revision : mirror.completeRevision),
    proof: () => freshness.proof,
    onStoreNews: (news) => {
      if (news.proof !== undefined) {
        freshness.hear(news.proof);
        catchUp.noteStoreAt(news.proof.revision);
      }
      catchUp.heed(news);
    },
    reachesReplicas: () => true,
    ownPlaces: () => world.gateways[index]?.places ?? [],
    onPlaces: (places) => places.forEach(({ part }) => placesHeard.add(part)),
  });
  const patienceMilliseconds = isSeed
    ? 0
    : FIRST_PATIENCE_MILLISECONDS * (1 + world.random.uniform());
  const freshness: StoreFreshness = new StoreFreshness({
    runtime,
    port: store,
    key: KEY,
    mirror,
    timings,
    rank: () => gossip.proofRank,
    patienceMilliseconds,
  });
  new StoreFollowers({
    runtime,
    rank: () => gossip.rank,
    proofAgeMilliseconds: () => freshness.proofAgeMilliseconds,
    behindMilliseconds: () => catchUp.behindMilliseconds,
    mirror,
    patienceMilliseconds,
  });
  const counts = { fetchesServed: 0, messagesSent: 0, bytesSent: 0, places: [] };
  world.gateways.push({ host, process, store, mirror, gossip, loads, placesHeard, ...counts });
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
    const patienceMilliseconds = PATIENCE_MILLISECONDS;
    this.follows = decideFollowing({ ...view, patienceMilliseconds, behindMilliseconds: 0 });
  },
);

Then(/^it (follows|doesn't follow) the store$/, function (this: World, what: string) {
  assert.equal(this.follows, what === 'follows');
});

Given(
  '{int} gateways that tell one another what they know of the store',
  function (this: World, count: number) {
    this.random = createRandom(count, 'gateways');
    this.clock = new VirtualClock();
    this.gateways = [];
    this.listeners = new Map();
    this.value = 'first';
    this.fetchesFail = false;
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

When(
  'the store says nothing for {int} milliseconds, and a key is changed as it answers again',
  function (this: World, milliseconds: number) {
    this.gateways.forEach(({ store }) => store.fallSilent());
    wait(this, milliseconds);
    this.gateways.forEach(({ store }) => store.speakAgain());
    changeKey(this);
  },
);

When('all open connections to the store go silent', function (this: World) {
  this.gateways.forEach(({ store }) => store.loseConnections());
});

When('no gateway answers fetches any more', function (this: World) {
  this.fetchesFail = true;
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

const RUNNER = 'r';
const RUNNER_HASH = hashToNumber(RUNNER);
const PLACE: PromptPlace = { runnerHash: 5, part: promptKeyOf('a part'), tokens: 900 };

/** Whether each gateway that runs knows the requests of all others that run. */
function allKnowLoads(world: World): boolean {
  const alive = running(world);
  const ownOf = ({ loads }: Gateway): number => loads.get(RUNNER) ?? 0;
  const all = alive.reduce((sum, gateway) => sum + ownOf(gateway), 0);
  return alive.every(
    (gateway) => gateway.gossip.inFlightOfOthers(RUNNER_HASH) === all - ownOf(gateway),
  );
}

When(
  'each has {int} requests at a runner and one of them {int}',
  function (this: World, few: number, many: number) {
    this.gateways.forEach(({ loads }, index) => loads.set(RUNNER, index === 7 ? many : few));
  },
);

Then(
  'within {int} milliseconds each knows the requests of all others that run',
  function (this: World, milliseconds: number) {
    const { clock } = this;
    const known = clock.runUntil(clock.now + milliseconds, () => allKnowLoads(this));
    const told = running(this).map(({ gossip }) => gossip.inFlightOfOthers(RUNNER_HASH));
    assert.ok(known, `they know of ${told.join(' ')}`);
  },
);

Then(
  'in {int} seconds each sends {int} messages and {int} bytes a second at most, on average',
  function (this: World, seconds: number, messages: number, bytes: number) {
    const sums = (): [number, number] => [
      this.gateways.reduce((sum, gateway) => sum + gateway.messagesSent, 0),
      this.gateways.reduce((sum, gateway) => sum + gateway.bytesSent, 0),
    ];
    const before = sums();
    wait(this, seconds * 1_000);
    const after = sums();
    const share = this.gateways.length * seconds;
    const [sentMessages, sentBytes] = [0, 1].map((at) => (after[at]! - before[at]!) / share);
    assert.ok(sentMessages! <= messages && sentBytes! <= bytes, `${sentMessages} ${sentBytes}`);
  },
);

When('the first of each zone dies', function (this: World) {
  const firsts = new Set(running(this).filter(({ gossip }) => gossip.rank === 0));
  assert.ok(firsts.size >= ZONES, `${firsts.size} come first`);
  for (const { gossip, process } of firsts) {
    gossip.close();
    process.kill();
  }
});

When('one gateway tells that a runner keeps a part of a prompt', function (this: World) {
  this.gateways[9]!.places = [PLACE];
  wait(this, 300);
  this.gateways[9]!.places = [];
});

Then(
  'within {int} milliseconds all others have heard of the part',
  function (this: World, milliseconds: number) {
    const others = this.gateways.filter((_, index) => index !== 9);
    const heard = (): boolean => others.every(({ placesHeard }) => placesHeard.has(PLACE.part));
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds, heard));
  },
);
