/** Steps about gateways in virtual time that learn evacuations from the store and from one another. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  CONFIGURATION_KEY,
  EVACUATION_PREFIX,
  HistoryGateway,
} from '../../src/histories/history-gateway.js';
import type { HistoryLinks } from '../../src/histories/history-gateway.js';
import { HistoryStore } from '../../src/histories/history-store.js';
import { freshnessTimingsFor } from '../../src/mirror/freshness-timings.js';
import { createRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const LINK_MILLISECONDS = 1;
const APPLY_MILLISECONDS = 2_000;
const SETTLE_MILLISECONDS = 8_000;

interface World {
  clock: VirtualClock;
  historyStore: HistoryStore;
  fleet: HistoryGateway[];
  evacuationKey: string;
}

function linksOf(world: World): HistoryLinks {
  const find = (host: string): HistoryGateway | undefined =>
    world.fleet.find((gateway) => gateway.host === host);
  const { clock } = world;
  return {
    sendDatagram: (bytes, from, to) =>
      clock.schedule(LINK_MILLISECONDS, () => find(to)?.receive(bytes, from)),
    fetchChanges: (_from, of, revision, done) =>
      clock.schedule(2 * LINK_MILLISECONDS, () => done(find(of)?.changesSince(revision))),
  };
}

function wait({ clock }: World, milliseconds: number): void {
  clock.runUntil(clock.now + milliseconds);
}

Given(
  '{int} gateways in touch with a store in which the zone {string} is evacuated',
  function (this: World, count: number, zone: string) {
    this.clock = new VirtualClock();
    this.historyStore = new HistoryStore(this.clock);
    this.evacuationKey = EVACUATION_PREFIX + zone;
    this.historyStore.put(CONFIGURATION_KEY, '1');
    this.historyStore.put(this.evacuationKey, '');
    const hosts = Array.from({ length: count }, (_, index) => `10.0.0.${index + 1}`);
    this.fleet = [];
    const timings = freshnessTimingsFor(APPLY_MILLISECONDS);
    const { clock, historyStore: store } = this;
    for (const [index, host] of hosts.entries()) {
      const random = createRandom(index);
      const links = linksOf(this);
      const place = { host, zone: `z${index + 1}`, seeds: hosts };
      this.fleet.push(new HistoryGateway({ ...place, clock, random, store, links, timings }));
    }
    this.fleet.forEach((gateway) => gateway.start(0));
    wait(this, SETTLE_MILLISECONDS);
  },
);

When(
  'the store falls silent and gateway {int} restarts',
  function (this: World, gatewayNumber: number) {
    this.fleet.forEach(({ storeClient }) => {
      storeClient.mode = 'silent';
      storeClient.dropConnections();
    });
    this.fleet[gatewayNumber - 1]!.kill();
    this.fleet[gatewayNumber - 1]!.start(0);
  },
);

When('the evacuation is lifted in the silent store', function (this: World) {
  this.historyStore.remove(this.evacuationKey);
});

When('the silent store answers again', function (this: World) {
  this.fleet.forEach(({ storeClient }) => (storeClient.mode = 'well'));
});

Then(
  'within {int} ms gateway {int} has a configuration and sends no requests to the zone {string}',
  function (this: World, milliseconds: number, gatewayNumber: number, zone: string) {
    wait(this, milliseconds);
    const gateway = this.fleet[gatewayNumber - 1]!;
    assert.equal(gateway.version, 1);
    assert.ok(gateway.isEvacuated(zone));
  },
);

Then(
  'after {int} ms no gateway sends requests to the zone {string}',
  function (this: World, milliseconds: number, zone: string) {
    wait(this, milliseconds);
    assert.ok(this.fleet.every((gateway) => gateway.isEvacuated(zone)));
  },
);

Then(
  'within {int} ms every gateway sends requests to the zone {string}',
  function (this: World, milliseconds: number, zone: string) {
    wait(this, milliseconds);
    assert.ok(this.fleet.every((gateway) => !gateway.isEvacuated(zone)));
  },
);
