/** Steps about requests that may be served in certain regions only. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import * as E from 'fp-ts/lib/Either.js';
import { decodeConfiguration } from '../../platform/configuration-codec.js';
import type { RunnerBehaviour } from '../../src/emulator/relay-runner.js';
import type { ApiKey, TenantId } from '../../src/relay/request/tenant.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { allowedRegionsRule } from '../../src/relay/runners/allowed-regions.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { THREE_REGIONS } from '../support/region-state.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

interface World {
  regionRelay?: RelayWorld | undefined;
  relay?: RelayWorld;
  runnerZones: [string, string];
  answers: ClientResult[];
  longestMilliseconds: number;
  request: RelayRequest;
  configuration: string;
}

function setOf(names: string): ReadonlySet<string> | undefined {
  return names === '' ? undefined : new Set(names.split(' '));
}

Given(
  'a gateway with runners in zones {string} and routes that allow the regions {string}',
  async function (this: World, zones: string, regions: string) {
    this.runnerZones = zones.split(' ') as [string, string];
    this.regionRelay = new RelayWorld({
      runnerZones: this.runnerZones,
      allowedRegions: setOf(regions)!,
      exclusions: [allowedRegionsRule(THREE_REGIONS)],
    });
    await this.regionRelay.start(true);
  },
);

Given(
  'the runner in {string} treats attempts as {string}',
  function (this: World, zone: string, behaviours: string) {
    const runner = this.regionRelay!.runners[this.runnerZones.indexOf(zone)]!;
    runner.behaviours.push(...(behaviours.split(' ') as RunnerBehaviour[]));
  },
);

When('{int} {string} requests are sent', async function (this: World, count: number, kind: string) {
  this.answers = [];
  this.longestMilliseconds = 0;
  for (let sent = 0; sent < count; sent += 1) {
    const sentAt = performance.now();
    const path = `/${kind}/work${kind === 'stream' ? '?stream' : ''}`;
    this.answers.push(await this.regionRelay!.send(kind, { path }));
    this.longestMilliseconds = Math.max(this.longestMilliseconds, performance.now() - sentAt);
  }
});

Then(
  'the runner in {string} ran none, and the statuses are {string}',
  function (this: World, zone: string, statuses: string) {
    const runner = this.regionRelay!.runners[this.runnerZones.indexOf(zone)]!;
    assert.equal(runner.runs.length, 0);
    assert.equal(this.answers.map(({ status }) => status).join(' '), statuses);
  },
);

Then(
  'each refusal took less than {int} ms and says when to retry',
  function (this: World, milliseconds: number) {
    assert.ok(this.longestMilliseconds < milliseconds, `${this.longestMilliseconds} ms`);
    for (const { headers } of this.answers) {
      assert.ok(Number(headers['retry-after']) > 0);
    }
  },
);

Given(
  'a route that allows {string} and a tenant that allows {string}',
  function (this: World, route: string, tenant: string) {
    this.request = {
      route: { allowedRegions: setOf(route) },
      tenant: { allowedRegions: setOf(tenant) },
    } as RelayRequest;
  },
);

Then('runners in the zones {string} are not excluded', function (this: World, zones: string) {
  const rule = allowedRegionsRule(THREE_REGIONS);
  const allowed = THREE_REGIONS.zones.filter(
    (zone) => !rule.excludes({ zone } as Runner, this.request),
  );
  assert.equal(allowed.join(' '), zones);
});

Given(
  'a configuration with a {string} route {string} that allows {string} and a tenant {string} that allows {string}',
  function (
    this: World,
    kind: string,
    name: string,
    route: string,
    tenant: string,
    ofTenant: string,
  ) {
    const listOf = (names: string): string[] => [...(setOf(names) ?? [])];
    this.configuration = JSON.stringify({
      Version: 1,
      Routes: [
        {
          Name: name,
          Host: 'h',
          PathPrefix: '/',
          Kind: 'streaming',
          Service: 's',
          Retain: kind === 'kept',
          Public: kind === 'public',
          AllowedRegions: listOf(route),
        },
      ],
      Services: [{ Name: 's' }],
      Limits: {},
      Tenants: [{ Name: tenant, ApiKeys: ['k'], AllowedRegions: listOf(ofTenant) }],
    });
  },
);

Then('it is in force and reports {string}', function (this: World, problem: string) {
  const decoded = decodeConfiguration(this.configuration, THREE_REGIONS);
  assert.ok(E.isRight(decoded));
  const { table, problems } = decoded.right;
  assert.equal(problems.join('; ') || 'nothing wrong', problem);
  assert.equal(table.routesByHost.get('h')?.length, 1);
  assert.equal(table.tenants?.size, 1);
});

Given(
  'a gateway whose turns are stored in {string}, with a tenant {string} that allows {string}',
  async function (this: World, stored: string, name: string, allowed: string) {
    this.relay = new RelayWorld({ storageRegions: setOf(stored) ?? new Set() });
    await this.relay.start(true);
    const id = name as TenantId;
    const keys = [`key-of-${name}` as ApiKey];
    const tenant = { id, keys, priority: 0, quota: undefined, allowedRegions: setOf(allowed) };
    this.relay.applyTenants(8, [tenant]);
  },
);

When('{string} sends a {string} request', async function (this: World, tenant, route: string) {
  const headers = { authorization: `Token key-of-${tenant as string}` };
  this.relay!.results.push(await this.relay!.send(route, { headers }));
});

After(async function (this: World) {
  await this.regionRelay?.stop();
});
