/** Steps about deployments with several regions. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { ZoneDistances } from '../../src/topology/zone-distances.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { ReplicaReply } from '../../src/turns/messages.js';
import { QuotaClient } from '../../src/turns/quota-client.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import { TurnClient } from '../../src/turns/turn-client.js';
import { RegionState, THREE_REGIONS } from '../support/region-state.js';
import type { HopTimes } from '../support/region-state.js';

interface World {
  clock: VirtualClock;
  topology: Topology;
  zone: string;
  distances: ZoneDistances;
  memberZones: string[];
  state: RegionState;
  answerMilliseconds: number;
  /** Requests by their type. */
  calls: Map<string, number>;
}

const HOPS: readonly (keyof HopTimes)[] = ['read', 'reserve', 'store'];

Given(
  'zones {string} in regions {string}, seen from {string}',
  function (this: World, zones: string, regions: string, zone: string) {
    const regionNames = regions.split(' ');
    this.topology = new Topology(
      new Map(zones.split(' ').map((name, index) => [name, regionNames[index]!])),
    );
    const clock = new VirtualClock();
    this.clock = clock;
    this.zone = zone;
    const runtime = { now: () => clock.now };
    this.distances = new ZoneDistances({ runtime, topology: this.topology, zone });
  },
);

When(
  'round trips to {string} of {string} ms are measured',
  function (this: World, zone: string, milliseconds: string) {
    milliseconds.split(' ').forEach((each) => this.distances.recordRoundTrip(zone, Number(each)));
  },
);

When('{int} seconds pass between regions', function (this: World, seconds: number) {
  this.clock.runUntil(this.clock.now + seconds * 1_000);
});

Then(
  'the round trips to {string} are {string} ms',
  function (this: World, zones: string, milliseconds: string) {
    const found = zones
      .split(' ')
      .map((zone) => this.distances.roundTripMilliseconds(this.zone, zone));
    assert.equal(found.join(' '), milliseconds);
  },
);

Then(
  'the zones {string} are ordered {string} by distance',
  function (this: World, zones: string, ordered: string) {
    const items = zones.split(' ').map((zone) => ({ zone }));
    const found = this.distances.nearestFirst(items).map(({ zone }) => zone);
    assert.equal(found.join(' '), ordered);
  },
);

Then('no delay is added for any zone', function (this: World) {
  for (const zone of this.topology.zones) {
    assert.equal(this.distances.allowanceMilliseconds(zone), 0);
  }
});

Given(
  'members in zones {string} of three regions',
  { timeout: 20_000 },
  function (this: World, zones: string) {
    this.memberZones = zones.split(' ');
    this.state = new RegionState(this.memberZones, true);
  },
);

Then(
  'gateways of region {string} wait {string} ms for a chain, a reservation and a stored turn',
  { timeout: 20_000 },
  function (this: World, region: string, milliseconds: string) {
    const times = this.state.measure(region);
    const found = HOPS.map((hop) => Math.round(times[hop] * 10) / 10);
    assert.equal(found.join(' '), milliseconds);
  },
);

Then(
  'without the regions gateways of region {string} wait longer for each',
  { timeout: 20_000 },
  function (this: World, region: string) {
    const before = new RegionState(this.memberZones, false).measure(region);
    const after = new RegionState(this.memberZones, true).measure(region);
    HOPS.forEach((hop) => assert.ok(before[hop] > after[hop], `${hop}: ${before[hop]} ms before`));
  },
);

Then(
  "no region waits longer than the round trip of {int} ms to the tenant's home for a quota",
  { timeout: 20_000 },
  function (this: World, milliseconds: number) {
    for (const region of THREE_REGIONS.regions) {
      const { quota } = this.state.measure(region);
      assert.ok(quota <= milliseconds, `${region}: ${quota} ms`);
    }
  },
);

Given(
  'members in zones {string} whose answers take {int} ms',
  function (this: World, zones: string, milliseconds: number) {
    this.memberZones = zones.split(' ');
    this.answerMilliseconds = milliseconds;
  },
);

When(
  'a gateway in {string} reads a chain and asks for a quota',
  function (this: World, zone: string) {
    const clock = new VirtualClock();
    const runtime = new SimulatedProcess('g', clock, createRandom(1)).start();
    const directory = new MemberDirectory(runtime);
    const members = this.memberZones.map((each) => {
      return { id: each, node: each, host: each, port: 1, zone: each };
    });
    directory.offer({ epoch: 1, members }, 'test');
    this.calls = new Map();
    const replies: Record<string, object> = {
      chainUnder: { type: 'chained', state: 'found', body: Buffer.alloc(0) },
      spendForProgram: {
        type: 'spentForProgram',
        outcome: 'done',
        granted: true,
        waitMilliseconds: 0,
      },
    };
    const caller: ReplicaCaller = {
      call: (_member, { type }, _timeout, listener) => {
        this.calls.set(type, (this.calls.get(type) ?? 0) + 1);
        const reply = { ...replies[type], call: 0 } as ReplicaReply;
        clock.schedule(this.answerMilliseconds, () => listener(reply));
      },
      notify: () => undefined,
    };
    const distances = new ZoneDistances({ runtime, topology: THREE_REGIONS, zone });
    const options = { runtime, directory, caller, zone, distances };
    new TurnClient(options).readChain('t', 700, () => undefined);
    const quota = { tenant: 't', version: 1, ratePerSecond: 1, burst: 1 };
    const request = { quota, beginsRequests: 0, patienceMilliseconds: 0 };
    new QuotaClient(options).spend(request, 700, () => undefined);
    clock.runUntil(1_000);
  },
);

Then('each was asked of one member', function (this: World) {
  assert.deepEqual(Object.fromEntries(this.calls), { chainUnder: 1, spendForProgram: 1 });
});
