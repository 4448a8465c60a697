/** Steps about gateways that follow the store together, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { shouldFollow } from '../../src/peers/store-followers.js';
import { AGGREGATE_TOPICS } from '../../src/peers/aggregates.js';
import type { PromptPlace } from '../../src/peers/recent-places.js';
import { promptKeyOf } from '../../src/relay/request/relay-request.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import {
  allKnow,
  changeKey,
  followersOf,
  CHANGED_KEY,
  running,
  startFleet,
  wait,
  ZONES,
} from '../support/gateway-fleet.js';
import type { FleetGateway, FleetWorld } from '../support/gateway-fleet.js';

const SILENCE_LIMIT_MILLISECONDS = 1_200;

interface World extends FleetWorld {
  decision?: { rank: number; isFollowing: boolean; roleAgeMilliseconds: number };
  follows?: boolean;
}

Given(
  /^a gateway of rank (\d+) that (doesn't ask|follows) the store since (\d+) milliseconds$/,
  function (this: World, rank: string, does: string, since: string) {
    const isFollowing = does === 'follows';
    this.decision = { rank: Number(rank), isFollowing, roleAgeMilliseconds: Number(since) };
  },
);

When(
  'no other gateway is known to have heard from the store for {int} milliseconds',
  function (this: World, silenceMilliseconds: number) {
    const decision = { ...this.decision!, silenceMilliseconds };
    const silenceLimitMilliseconds = SILENCE_LIMIT_MILLISECONDS;
    this.follows = shouldFollow({ ...decision, silenceLimitMilliseconds, lagMilliseconds: 0 });
  },
);

Then(/^it (follows|doesn't follow) the store$/, function (this: World, what: string) {
  assert.equal(this.follows, what === 'follows');
});

Given(
  '{int} gateways that gossip what they know of the store',
  function (this: World, count: number) {
    startFleet(this, count);
  },
);

Then(
  'after {int} milliseconds between {int} and {int} of them follow the store',
  function (this: World, milliseconds: number, least: number, most: number) {
    wait(this, milliseconds);
    const count = followersOf(this).length;
    assert.ok(count >= least && count <= most, `${count} gateways follow the store`);
    assert.ok(allKnow(this), 'some do not know the first value');
  },
);

When('a key of the store is changed', function (this: World) {
  changeKey(this);
});

When(
  'the store does not answer for {int} milliseconds, and a key is changed when it answers again',
  function (this: World, milliseconds: number) {
    this.gateways.forEach(({ store }) => store.stopAnswering());
    wait(this, milliseconds);
    this.gateways.forEach(({ store }) => store.resumeAnswering());
    changeKey(this);
  },
);

When('all open connections to the store stop responding', function (this: World) {
  this.gateways.forEach(({ store }) => store.loseConnections());
});

When('no gateway answers fetches any more', function (this: World) {
  this.fetchesFail = true;
});

When('all followers of the store die and a key of the store is changed', function (this: World) {
  for (const { process, gossip } of followersOf(this)) {
    gossip.close();
    process.kill();
  }
  changeKey(this);
});

When(
  'the store refuses all its followers and a key of the store is changed',
  function (this: World) {
    followersOf(this).forEach(({ store }) => {
      store.mode = 'refusing';
      store.refuseWatches = true;
    });
    changeKey(this);
  },
);

Then(
  'within {int} milliseconds all running gateways know the change',
  function (this: World, milliseconds: number) {
    const known = this.clock.runUntil(this.clock.now + milliseconds, () => allKnow(this));
    const count = running(this).filter(
      ({ mirror }) => mirror.get(CHANGED_KEY)?.value === this.value,
    );
    assert.ok(known, `${count.length} of ${running(this).length} know it`);
  },
);

When(
  'one of them claims for {int} milliseconds to know revision {int}',
  function (this: World, milliseconds: number, revision: number) {
    wait(this, 4_000);
    // The other gateways cannot follow the store and therefore fetch from the one with the false
    // revision.
    this.gateways.slice(1).forEach(({ store }) => (store.mode = 'unreachable'));
    this.gateways.slice(1).forEach(({ mirror }) => mirror.stopFollowing());
    this.falseRevision = { host: this.gateways[0]!.host, revision };
    this.gateways.forEach((gateway) => (gateway.fetchesServed = 0));
    wait(this, milliseconds);
    this.falseRevision = undefined;
  },
);

Then(
  'each asks it at most {int} times, and a key that is changed then is known to all within {int} milliseconds',
  function (this: World, most: number, milliseconds: number) {
    const { fetchesServed } = this.gateways[0]!;
    const askers = this.gateways.length - 1;
    assert.ok(fetchesServed > 0 && fetchesServed <= most * askers, `${fetchesServed} fetches`);
    changeKey(this);
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds, () => allKnow(this)));
  },
);

const RUNNER = 'r';
const RUNNER_HASH = hashToNumber(RUNNER);
const PLACE: PromptPlace = { runnerHash: 5, part: promptKeyOf('a part'), tokens: 900 };

/** Whether each running gateway knows the requests of all other running gateways. */
function allKnowLoads(world: FleetWorld): boolean {
  const alive = running(world);
  const ownOf = ({ loads }: FleetGateway): number => loads.get(RUNNER) ?? 0;
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
  'within {int} milliseconds each knows the requests of all other running gateways',
  function (this: World, milliseconds: number) {
    const { clock } = this;
    const known = clock.runUntil(clock.now + milliseconds, () => allKnowLoads(this));
    const inFlightCounts = running(this).map(({ gossip }) => gossip.inFlightOfOthers(RUNNER_HASH));
    assert.ok(known, `known requests: ${inFlightCounts.join(' ')}`);
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
    assert.ok(
      sentMessages! <= messages && sentBytes! <= bytes,
      `${sentMessages} messages, ${sentBytes} bytes`,
    );
  },
);

When('the first-ranked gateway of each zone dies', function (this: World) {
  const firstInZones = new Set(running(this).filter(({ gossip }) => gossip.rank === 0));
  assert.ok(firstInZones.size >= ZONES, `${firstInZones.size} gateways rank first`);
  for (const { gossip, process } of firstInZones) {
    gossip.close();
    process.kill();
  }
});

When('one gateway reports that a runner caches a part of a prompt', function (this: World) {
  this.gateways[9]!.places = [PLACE];
  wait(this, 300);
  this.gateways[9]!.places = [];
});

Then(
  'within {int} milliseconds all others know of the part',
  function (this: World, milliseconds: number) {
    const others = this.gateways.filter((_, index) => index !== 9);
    const allReceived = (): boolean =>
      others.every(({ receivedPlaces }) => receivedPlaces.has(PLACE.part));
    assert.ok(this.clock.runUntil(this.clock.now + milliseconds, allReceived));
  },
);

const KNOWN_TOPIC = AGGREGATE_TOPICS.serviceDemand;
const UNKNOWN_TOPIC = 250;
const AGGREGATE_KEY = 77;

/** Returns the sums of other gateways that a gateway knows under both topics. */
function aggregatesKnownBy({ gossip }: FleetGateway): number[] {
  const sumOf = (topic: number): number =>
    gossip.aggregatesOfOthers(topic).get(AGGREGATE_KEY)?.[0] ?? 0;
  return [sumOf(KNOWN_TOPIC), sumOf(UNKNOWN_TOPIC)];
}

Given('every fourth of them is of a build without extensions', function (this: FleetWorld) {
  this.gateways.forEach((gateway, index) => {
    gateway.isOlderBuild = index % 4 === Math.floor(index / 4) % 4;
  });
});

When(
  'each reports {int} of a known topic and {int} of an unknown one',
  function (this: FleetWorld, known: number, unknown: number) {
    for (const gateway of this.gateways.filter(({ isOlderBuild }) => !isOlderBuild)) {
      gateway.aggregates = [
        { topic: KNOWN_TOPIC, rows: [{ key: AGGREGATE_KEY, amounts: [known, 1] }] },
        { topic: UNKNOWN_TOPIC, rows: [{ key: AGGREGATE_KEY, amounts: [unknown] }] },
      ];
    }
  },
);

Then(
  'within {int} milliseconds each knows that the others have {int} and {int}',
  function (this: FleetWorld, milliseconds: number, known: number, unknown: number) {
    wait(this, milliseconds);
    for (const gateway of running(this)) {
      assert.deepEqual(aggregatesKnownBy(gateway), [known, unknown], gateway.host);
    }
  },
);

Then(
  'after {int} milliseconds the older ones were never sent an extension',
  function (this: FleetWorld, milliseconds: number) {
    wait(this, milliseconds);
    const older = this.gateways.filter(({ isOlderBuild }) => isOlderBuild);
    assert.equal(older.length, this.gateways.length / 4);
    assert.deepEqual(
      older.map(({ extensionsRefused }) => extensionsRefused),
      older.map(() => 0),
    );
  },
);

Then(
  'none of the newer ones counts more than {int}, and some count what newer ones reported',
  function (this: FleetWorld, most: number) {
    const newer = this.gateways.filter(({ isOlderBuild }) => !isOlderBuild);
    const counted = newer.map((gateway) => aggregatesKnownBy(gateway)[0]!);
    assert.ok(Math.max(...counted) <= most, `${Math.max(...counted)} counted`);
    assert.ok(counted.some((count) => count > 0));
  },
);
