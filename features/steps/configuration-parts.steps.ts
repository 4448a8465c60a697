/** Steps for configurations of which a part can't be applied, and for those of which nothing can. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import { applyItem } from '../../platform/apply-item.js';
import type { ItemTargets } from '../../platform/apply-item.js';
import { decodeConfiguration } from '../../platform/configuration-codec.js';
import { RefusedItemLog } from '../../platform/refused-item-log.js';
import { CONFIGURATION_KEY } from '../../platform/store-keys.js';
import { AppliedRevision } from '../../src/mirror/applied-revision.js';
import { freshnessTimingsFor } from '../../src/mirror/freshness-timings.js';
import { startStoreSync } from '../../src/peers/store-sync.js';
import type { StoreSync } from '../../src/peers/store-sync.js';
import { findRoute } from '../../src/relay/request/routing-table.js';
import type { RoutingTable } from '../../src/relay/request/routing-table.js';
import { digestOfKey } from '../../src/relay/request/tenant.js';
import type { ApiKey } from '../../src/relay/request/tenant.js';
import { EvacuatedZones } from '../../src/relay/runners/evacuated-zones.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import { createRandom } from '../../src/runtime/random.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import type { LogFields, Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { RelayWorld, ROUTED_HOST } from '../support/relay-world.js';
import { SimulatedKeySpace } from '../support/simulated-key-space.js';

type Json = Record<string, unknown>;

interface World {
  relay?: RelayWorld;
  targets: ItemTargets;
  logLines: LogFields[];
  newestRevision: number;
  clock: VirtualClock;
  keySpace: SimulatedKeySpace;
  storeSync?: StoreSync;
  waitedMilliseconds: number;
}

const SERVICE = 'workers';
/** Stands for a number beyond all bounds, which JSON has no name for. */
const ENDLESS = '"endless"';
const APPLY_MILLISECONDS = 3_000;
/** Age up to which a proof is fresh. */
const FRESH_MILLISECONDS = 3_000;
const RUNS = 300;

function topologyOf(regions: string): Topology {
  return new Topology(new Map(regions.split(' ').map((region) => [`zone-${region}`, region])));
}

function routeOf(name: string, kind: string, extra: Json = {}): Json {
  const place = { Name: name, Host: ROUTED_HOST, PathPrefix: `/${name}/` };
  return { ...place, Kind: kind, Service: SERVICE, TimeoutMs: 3_000, MaxAttempts: 2, ...extra };
}

function configurationOf(version: number, tenants: readonly Json[], extra: Json = {}): Json {
  return {
    Version: version,
    Routes: [
      routeOf('repeatable', 'idempotent'),
      routeOf('single', 'non_idempotent'),
      routeOf('kept', 'streaming', { Retain: true, RetentionS: 60 }),
    ],
    Services: [{ Name: SERVICE, MaxConnections: 20 }],
    Tenants: tenants,
    Limits: { MaxHeaderBytes: 4_096, MaxBodyBytes: 100_000 },
    ...extra,
  };
}

function glenWith(keys: readonly string[], extra: Json = {}): Json {
  return { Name: 'glen', ApiKeys: keys, Priority: 0, ...extra };
}

function targetsFor(
  world: World,
  runtime: Runtime,
  topology: Topology,
  applyTable: ItemTargets['applyTable'],
): ItemTargets {
  world.logLines = [];
  const log = (_level: unknown, _message: unknown, fields?: LogFields): unknown =>
    world.logLines.push(fields ?? {});
  return {
    registry: new RunnerRegistry(runtime),
    evacuatedZones: new EvacuatedZones(runtime),
    directory: new MemberDirectory(runtime),
    refusedItems: new RefusedItemLog({ ...runtime, log }),
    topology,
    applyTable,
    appliedRevision: new AppliedRevision(),
  };
}

function arrive(world: World, configuration: Json): void {
  world.newestRevision += 1;
  const value = JSON.stringify(configuration).replaceAll(ENDLESS, '1e999');
  const item = { key: CONFIGURATION_KEY, value, revision: world.newestRevision };
  applyItem(item, world.targets);
}

After(function (this: World) {
  this.storeSync?.close();
});

Given(
  'a gateway in {string} with a version in which {string} has the keys {string} and {string}',
  async function (this: World, regions: string, _name, first: string, second: string) {
    const topology = topologyOf(regions);
    const [region] = topology.regions;
    const relay = new RelayWorld({
      storageRegions: topology.regions,
      runnerZones: [`zone-${region}`, `zone-${region}`],
    });
    this.relay = relay;
    await relay.start(false);
    const runtime = createRealRuntime({ logLevel: 'error' });
    const applyTable: ItemTargets['applyTable'] = (...table) => relay.gateway.applyTable(...table);
    this.targets = targetsFor(this, runtime, topology, applyTable);
    this.newestRevision = 10;
    arrive(this, configurationOf(7, [glenWith([first, second])]));
  },
);

When(
  'a version arrives in which {string} has the keys {string} and {string} and allows the regions {string}',
  function (this: World, _name: string, first: string, second: string, regions: string) {
    const glen = glenWith([first, second], { AllowedRegions: regions.split(' ') });
    arrive(this, configurationOf(16, [glen]));
  },
);

const MISTAKES: Readonly<Record<string, (sound: Json) => Json>> = {
  'route with a text as time': ({ Routes, ...rest }) => {
    const [first, second, ...others] = Routes as Json[];
    return { ...rest, Routes: [first, { ...second, TimeoutMs: 'soon' }, ...others] };
  },
  'route without a host': ({ Routes, ...rest }) => {
    const [first, second, ...others] = Routes as Json[];
    return { ...rest, Routes: [first, { ...second, Host: undefined }, ...others] };
  },
  'tenant with a negative rate': withSecondTenant({ ApiKeys: ['other'], RatePerS: -1 }),
  'tenant with a number as key': withSecondTenant({ ApiKeys: ['other', 7] }),
  'tenant without keys': withSecondTenant({}),
  'service that is a text': ({ Services, ...rest }) => ({
    ...rest,
    Services: [...(Services as Json[]), 'a text'],
  }),
  'endless idle time': (sound) => ({ ...sound, Limits: { IdleTimeoutMs: JSON.parse(ENDLESS) } }),
};

function withSecondTenant(fields: Json): (sound: Json) => Json {
  return ({ Tenants, ...rest }) => {
    const [glen] = Tenants as Json[];
    return { ...rest, Tenants: [glen, { Name: 'loch', ...fields }] };
  };
}

When(
  'a version arrives in which {string} has the keys {string} and {string}, with the mistake {string}',
  function (this: World, _name: string, first: string, second: string, mistake: string) {
    const loch = { Name: 'loch', ApiKeys: ['other'] };
    const sound = configurationOf(16, [glenWith([first, second]), loch]);
    arrive(this, MISTAKES[mistake]!(sound));
  },
);

Then('requests get these statuses', async function (this: World, table: DataTable) {
  const rows = table.hashes() as { key: string; route: string; status: string }[];
  const statuses: string[] = [];
  for (const { key, route } of rows) {
    const headers = { authorization: `Token ${key}` };
    const { status } = await this.relay!.send(route, { headers });
    statuses.push(String(status));
  }
  assert.deepEqual(
    statuses,
    rows.map(({ status }) => status),
  );
});

Then(
  /^the newest version counts as (in force|refused)$/,
  function (this: World, state: 'in force' | 'refused') {
    const { appliedRevision } = this.targets;
    const isNewest = appliedRevision.revision === this.newestRevision;
    assert.deepEqual(
      [appliedRevision.isRefused, isNewest],
      state === 'refused' ? [true, false] : [false, true],
    );
    const gauge = `ivyloom_configuration_refused ${state === 'refused' ? 1 : 0}\n`;
    assert.ok(appliedRevision.render().includes(gauge));
  },
);

Then('the log names the part {string} and no key', function (this: World, named: string) {
  const text = JSON.stringify(this.logLines);
  assert.ok(text.includes(named), text);
  ['stays', 'taken', 'added', 'other'].forEach((key) => assert.ok(!text.includes(`"${key}"`)));
});

Given(
  'a gateway that follows the store and has applied version {int}',
  function (this: World, version: number) {
    this.clock = new VirtualClock();
    const runtime = new SimulatedProcess('g', this.clock, createRandom(1)).start();
    let current: RoutingTable | undefined;
    const applyTable = (table: RoutingTable): boolean => {
      const isOlder = current !== undefined && table.version < current.version;
      current = isOlder ? current : table;
      return !isOlder;
    };
    const targets = targetsFor(this, runtime, topologyOf('north'), applyTable);
    this.targets = targets;
    this.keySpace = new SimulatedKeySpace(this.clock);
    this.keySpace.put(CONFIGURATION_KEY, JSON.stringify(configurationOf(version, [])));
    this.newestRevision = this.keySpace.revision;
    this.storeSync = startStoreSync({
      runtime,
      port: this.keySpace,
      timings: freshnessTimingsFor(APPLY_MILLISECONDS),
      proofKey: CONFIGURATION_KEY,
      appliedRevision: () => targets.appliedRevision.revision,
      onPut: (item) => applyItem(item, targets),
      onRemoved: () => undefined,
      gossip: {
        host: '10.0.0.1',
        zone: 'zone-north',
        datagrams: { onDatagram: () => undefined, send: () => undefined, close: () => undefined },
        seeds: () => [],
        ownLoads: () => new Map(),
        reachesReplicas: () => true,
        ownPlaces: () => [],
        ownAggregates: () => [],
        onPlaces: () => undefined,
      },
      fetch: undefined,
      startDelayMilliseconds: 0,
    });
    this.clock.runUntil(5_000);
    assert.ok(this.storeSync.proof.ageMilliseconds < FRESH_MILLISECONDS);
  },
);

function storedText(form: string): string {
  const version = /version (\d+)$/.exec(form)?.[1];
  if (version !== undefined) {
    return JSON.stringify(configurationOf(Number(version), []));
  }
  return form === 'no version' ? '{"Routes":[],"Services":[]}' : form;
}

When(
  '{int} seconds pass after the store has {string}',
  function (this: World, seconds: number, form: string) {
    this.keySpace.put(CONFIGURATION_KEY, storedText(form));
    this.newestRevision = this.keySpace.revision;
    this.waitedMilliseconds = seconds * 1_000;
    this.clock.runUntil(this.clock.now + this.waitedMilliseconds);
  },
);

Then(
  /^its proof is (fresh|as old) as the time since then$/,
  function (this: World, age: 'fresh' | 'as old') {
    const { ageMilliseconds } = this.storeSync!.proof;
    if (age === 'fresh') {
      assert.ok(ageMilliseconds < FRESH_MILLISECONDS, `${ageMilliseconds} ms`);
    } else {
      assert.ok(ageMilliseconds >= this.waitedMilliseconds, `${ageMilliseconds} ms`);
    }
  },
);

When('a version {int} arrives that can be applied', function (this: World, version: number) {
  this.keySpace.put(CONFIGURATION_KEY, JSON.stringify(configurationOf(version, [])));
  this.newestRevision = this.keySpace.revision;
  this.clock.runUntil(this.clock.now + FRESH_MILLISECONDS);
});

Then('its proof is fresh, and the newest version counts as in force', function (this: World) {
  assert.ok(this.storeSync!.proof.ageMilliseconds < FRESH_MILLISECONDS);
  const { appliedRevision } = this.targets;
  assert.deepEqual(
    [appliedRevision.revision, appliedRevision.isRefused],
    [this.newestRevision, false],
  );
});

const REGIONS = ['north', 'south', 'west'];
const regionList = fc.subarray(REGIONS, { minLength: 1 });
const count = fc.integer({ min: 0, max: 100_000 });

/** A route of the documented form; the names of hosts and prefixes are those of its position. */
const routeFields = fc.record(
  {
    Kind: fc.constantFrom('idempotent', 'non_idempotent', 'streaming'),
    Service: fc.constant('s0'),
    TrafficSplit: fc.array(fc.record({ Service: fc.constantFrom('s0', 's1'), Weight: count }), {
      maxLength: 3,
    }),
    TimeoutMs: count,
    TargetLatencyMs: count,
    Priority: fc.integer({ min: 0, max: 9 }),
    MaxAttempts: fc.integer({ min: 1, max: 5 }),
    Retain: fc.boolean(),
    RetentionS: fc.double({ min: 0, max: 600, noNaN: true }),
    Public: fc.boolean(),
    Sticky: fc.boolean(),
    Resumable: fc.boolean(),
    TargetGapMs: count,
    AllowedRegions: regionList,
  },
  { requiredKeys: ['Kind'] },
);
const tenantFields = fc.record(
  {
    Priority: fc.integer({ min: 0, max: 9 }),
    RatePerS: count,
    Burst: count,
    AllowedRegions: regionList,
  },
  { requiredKeys: [] },
);
const serviceFields = fc.record(
  {
    HealthPath: fc.constant('/healthz'),
    MaxConnections: fc.integer({ min: 1, max: 600 }),
    Protocol: fc.constant('h1'),
    Tls: fc.boolean(),
    ColdStartS: fc.double({ min: 0, max: 20, noNaN: true }),
    ColdPerS: fc.double({ min: 0, max: 50, noNaN: true }),
    Engine: fc.record(
      {
        Slots: count,
        KvCapacity: count,
        Stride: fc.integer({ min: 1, max: 30 }),
        Models: fc.jsonValue(),
      },
      { requiredKeys: [] },
    ),
  },
  { requiredKeys: [] },
);

function keyAt(index: number, number: number): string {
  return `secret-${index}-${number}`;
}

const documentedForm = fc
  .record(
    {
      routes: fc.array(routeFields, { maxLength: 6 }),
      tenants: fc.array(fc.tuple(tenantFields, fc.integer({ min: 0, max: 3 })), { maxLength: 6 }),
      services: fc.array(serviceFields, { maxLength: 4 }),
      Limits: fc.record(
        {
          MaxHeaderBytes: count,
          MaxBodyBytes: count,
          HeaderTimeoutMs: count,
          IdleTimeoutMs: count,
        },
        { requiredKeys: [] },
      ),
    },
    { requiredKeys: ['routes', 'services', 'Limits'] },
  )
  .map(({ routes, tenants, services, Limits }) => ({
    Version: 7,
    Routes: routes.map((fields, index) => {
      const place = { Name: `r${index}`, Host: `h${index % 3}.example`, PathPrefix: `/p${index}/` };
      return { ...place, ...fields } as unknown;
    }),
    Services: services.map((fields, index) => ({ Name: `s${index}`, ...fields }) as unknown),
    Limits,
    ...(tenants === undefined
      ? {}
      : {
          Tenants: tenants.map(([fields, keyCount], index) => {
            const ApiKeys = Array.from({ length: keyCount }, (_, number) => keyAt(index, number));
            return { Name: `t${index}`, ApiKeys, ...fields } as unknown;
          }),
        }),
  }));

function decodeTable(configuration: unknown) {
  const decoded = decodeConfiguration(JSON.stringify(configuration), topologyOf(REGIONS.join(' ')));
  assert.ok(E.isRight(decoded));
  return decoded.right;
}

function assertRoute(table: RoutingTable, index: number): void {
  const route = findRoute(table, `h${index % 3}.example`, `/p${index}/work`);
  assert.deepEqual([route?.name, route?.unusableBecause], [`r${index}`, undefined]);
}

function assertTenant(table: RoutingTable, index: number, keys: readonly string[]): void {
  for (const key of keys) {
    const tenant = table.tenants?.get(digestOfKey(key as ApiKey));
    assert.deepEqual([tenant?.id, tenant?.unusableBecause], [`t${index}`, undefined]);
  }
}

Then(
  'any configuration of the documented form has all its routes, services, tenants and keys in force',
  function () {
    fc.assert(
      fc.property(documentedForm, (configuration) => {
        const { table, problems } = decodeTable(configuration);
        // Limits that leave requests without a place are reported, and have no other effect.
        const others = problems.filter(
          (problem) => !/AllowedRegions|allowed by both/.test(problem),
        );
        assert.deepEqual(others, []);
        configuration.Routes.forEach((_route, index) => assertRoute(table, index));
        configuration.Services.forEach((_, index) => assert.ok(table.services.has(`s${index}`)));
        const tenants = (configuration.Tenants ?? []) as { ApiKeys: string[] }[];
        tenants.forEach(({ ApiKeys }, index) => assertTenant(table, index, ApiKeys));
        assert.equal(table.tenants === undefined, configuration.Tenants === undefined);
        assert.deepEqual(table.completeness, { hasAllRoutes: true, hasAllKeys: true });
      }),
      { numRuns: RUNS },
    );
  },
);

/** Replaces some parts of a list by other values; returns the list and which parts are as they were. */
function spoilParts(
  list: readonly unknown[],
  values: readonly (unknown | undefined)[],
): { readonly list: unknown[]; readonly isSound: (index: number) => boolean } {
  const isSound = (index: number): boolean => values[index] === undefined;
  return { list: list.map((part, index) => values[index] ?? part), isSound };
}

Then(
  'in any configuration with random values in some parts, the other routes and keys are in force, and no key is reported',
  function () {
    // Texts can't be taken for parts of the configuration: they name no host, path or key.
    const value = fc.oneof(
      fc.integer(),
      fc.constantFrom('text', true, [], {}, { Name: 'other' }, { Name: 7, ApiKeys: 'text' }),
      fc.record({ Host: fc.constant('other.example'), PathPrefix: fc.constant('/other/') }),
    );
    const values = fc.array(fc.option(value, { nil: undefined }), { maxLength: 6 });
    fc.assert(
      fc.property(
        documentedForm,
        values,
        values,
        values,
        (sound, routeValues, tenantValues, services) => {
          const routes = spoilParts(sound.Routes, routeValues);
          const tenants = spoilParts(sound.Tenants ?? [], tenantValues);
          const { table, problems } = decodeTable({
            ...sound,
            Routes: routes.list,
            Services: spoilParts(sound.Services, services).list,
            ...(sound.Tenants === undefined ? {} : { Tenants: tenants.list }),
          });
          sound.Routes.forEach((_, index) => routes.isSound(index) && assertRoute(table, index));
          ((sound.Tenants ?? []) as { ApiKeys: string[] }[]).forEach(
            ({ ApiKeys }, index) => tenants.isSound(index) && assertTenant(table, index, ApiKeys),
          );
          assert.ok(!problems.join().includes('secret-'));
        },
      ),
      { numRuns: RUNS },
    );
  },
);
