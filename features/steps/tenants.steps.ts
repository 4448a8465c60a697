/** Steps for tenants, their keys and their limits. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import { createTenantsByKey } from '../../src/relay/request/tenant.js';
import { createRoutingTable } from '../../src/relay/request/routing-table.js';
import type { RelayLimits, Route } from '../../src/relay/request/routing-table.js';
import type {
  ApiKey,
  CheckedTenants,
  TenantId,
  TenantSettings,
} from '../../src/relay/request/tenant.js';
import { authenticate } from '../../src/relay/stages/authenticate.js';
import type { ClientResult, RelayWorld } from '../support/relay-world.js';

interface World {
  relay?: RelayWorld;
  results?: Record<string, ClientResult[]>;
  keptTurn?: string;
  checkedTenants?: CheckedTenants;
}

const NAMES = DEFAULT_HEADER_NAMES;
const CONFIGURED_VERSION = 8;
const LONG_KEY = 3_000;

function keyOf(tenant: string): ApiKey {
  return `key-of-${tenant}` as ApiKey;
}

function tenantOf(name: string, extra: Partial<TenantSettings> = {}): TenantSettings {
  return { id: name as TenantId, keys: [keyOf(name)], priority: 1, quota: undefined, ...extra };
}

function authorizationOf(tenant: string): Record<string, string> {
  return { [NAMES.key]: `Token ${keyOf(tenant)}` };
}

async function send(world: World, route: string, headers: Record<string, string | string[]>) {
  const relay = world.relay!;
  relay.results.push(await relay.send(route, { headers }));
}

function lastRun(world: World) {
  return world.relay!.runners.flatMap((runner) => runner.runs).at(-1)!;
}

Given(
  'a gateway with tenants {string} and {string}',
  async function (this: World, one: string, other: string) {
    const { RelayWorld } = await import('../support/relay-world.js');
    this.relay = new RelayWorld();
    await this.relay.start(true);
    this.relay.applyTenants(CONFIGURED_VERSION, [tenantOf(one), tenantOf(other)]);
  },
);

Given(
  'a gateway with tenants {string} and {string} of which {string} may send {int} requests a second and {int} at once',
  async function (
    this: World,
    one: string,
    other: string,
    limited: string,
    ratePerSecond: number,
    burst: number,
  ) {
    const { RelayWorld } = await import('../support/relay-world.js');
    this.relay = new RelayWorld();
    await this.relay.start(true);
    // A replica starts with an empty quota, which fills up first.
    await new Promise((resolve) => setTimeout(resolve, 1_100));
    const quotaOf = (name: string) => (name === limited ? { ratePerSecond, burst } : undefined);
    const tenants = [one, other].map((name) => tenantOf(name, { quota: quotaOf(name) }));
    this.relay.applyTenants(CONFIGURED_VERSION, tenants);
  },
);

Given(
  'its keys are not proved to be valid, but those of another gateway are',
  function (this: World) {
    const { gateway } = this.relay!;
    gateway.areKeysFresh = () => false;
    gateway.areKeysFreshElsewhere = () => true;
  },
);

When(
  "a client sends a request with the key of {string} and the tenant's header {string} twice",
  async function (this: World, tenant: string, told: string) {
    const name = NAMES.tenant.toUpperCase();
    await send(this, 'single', { ...authorizationOf(tenant), [name]: [told, told] });
  },
);

When(
  "a client sends a request to the public route with the key of {string} and the tenant's header {string}",
  async function (this: World, tenant: string, told: string) {
    await send(this, 'open', { ...authorizationOf(tenant), [NAMES.tenant]: told });
  },
);

When('a client sends a request with the authorization none', async function (this: World) {
  await send(this, 'single', {});
});

When(
  'a client sends a request with the authorization {string}',
  async function (this: World, authorization: string) {
    await send(this, 'single', { [NAMES.key]: authorization });
  },
);

When(
  'a client sends a request with the authorization twice {string}',
  async function (this: World, authorization: string) {
    await send(this, 'single', { [NAMES.key]: [authorization, authorization] });
  },
);

When(
  'a client sends a request with the authorization 3000 characters',
  async function (this: World) {
    await send(this, 'single', { [NAMES.key]: `Token ${'k'.repeat(LONG_KEY)}` });
  },
);

When(
  'the key of {string} is revoked while a client sends the body of its request',
  async function (this: World, tenant: string) {
    const relay = this.relay!;
    const headers = authorizationOf(tenant);
    const sent = relay.send('single', { headers, body: 'a body in two parts', pauseHalfway: 200 });
    await new Promise((resolve) => setTimeout(resolve, 100));
    relay.applyTenants(CONFIGURED_VERSION + 1, [tenantOf('south')]);
    relay.results.push(await sent);
  },
);

When('{string} stores a turn', async function (this: World, tenant: string) {
  await send(this, 'kept', authorizationOf(tenant));
  assert.equal(this.relay!.results.at(-1)!.status, 200);
  this.keptTurn = this.relay!.lastId;
});

Then('{string} can continue that turn', async function (this: World, tenant: string) {
  await send(this, 'kept', { ...authorizationOf(tenant), [NAMES.previousTurn]: this.keptTurn! });
  assert.equal(this.relay!.results.at(-1)!.status, 200);
});

Then('{string} is told that there is no such turn', async function (this: World, tenant: string) {
  await send(this, 'kept', { ...authorizationOf(tenant), [NAMES.previousTurn]: this.keptTurn! });
  assert.equal(this.relay!.results.at(-1)!.status, 404);
});

When(
  '{int} requests with the key of {string} and {int} with the key of {string} are sent',
  async function (this: World, count: number, one: string, otherCount: number, other: string) {
    const sendAll = (tenant: string, wanted: number) =>
      Promise.all(
        Array.from({ length: wanted }, () =>
          this.relay!.send('single', { headers: authorizationOf(tenant) }),
        ),
      );
    this.results = { [one]: await sendAll(one, count), [other]: await sendAll(other, otherCount) };
  },
);

Then(
  'between {int} and {int} of {string} and all of {string} are answered',
  function (this: World, least: number, most: number, limited: string, other: string) {
    const answered = (tenant: string) =>
      this.results![tenant]!.filter(({ status }) => status === 200).length;
    assert.ok(answered(limited) >= least && answered(limited) <= most, `${answered(limited)}`);
    assert.equal(answered(other), this.results![other]!.length);
  },
);

Then('the others were refused with 429 and a retry within two seconds', function (this: World) {
  const refused = Object.values(this.results!)
    .flat()
    .filter(({ status }) => status !== 200);
  assert.ok(refused.length > 0);
  for (const { status, headers } of refused) {
    assert.equal(status, 429);
    const seconds = Number(headers['retry-after']);
    assert.ok(seconds > 0 && seconds <= 2, `${seconds}`);
  }
});

Then('no runner received anything', function (this: World) {
  assert.deepEqual(
    this.relay!.runners.flatMap((runner) => runner.runs),
    [],
  );
});

Then('the client gets {int} with a time to retry', function (this: World, status: number) {
  const result = this.relay!.results.at(-1)!;
  assert.equal(result.status, status);
  assert.ok(Number(result.headers['retry-after']) > 0);
});

Then('the gateway says that it is not ready', async function (this: World) {
  assert.equal(await this.relay!.probeReadiness(), 503);
});

Then(
  'the runner received the tenant {string} once and no key',
  function (this: World, name: string) {
    const { headers } = lastRun(this);
    assert.equal(headers[NAMES.tenant], name);
    assert.equal(headers[NAMES.key], undefined);
  },
);

Then('the runner received no tenant and no key', function (this: World) {
  const { headers } = lastRun(this);
  assert.equal(headers[NAMES.tenant], undefined);
  assert.equal(headers[NAMES.key], undefined);
});

const MISTAKES: Readonly<Record<string, readonly TenantSettings[]>> = {
  'a name twice': [tenantOf('north'), tenantOf('north', { keys: [] })],
  'a key of two tenants': [tenantOf('north'), tenantOf('south', { keys: [keyOf('north')] })],
  'a negative rate': [tenantOf('north', { quota: { ratePerSecond: -1, burst: 0 } })],
  'an endless burst': [tenantOf('north', { quota: { ratePerSecond: 1, burst: Infinity } })],
  'an empty name': [tenantOf('', { keys: [keyOf('north')] })],
};

Given(
  /^a configuration with (.+), and the tenant "west" without one$/,
  function (this: World, mistake: string) {
    this.checkedTenants = createTenantsByKey([...MISTAKES[mistake]!, tenantOf('west')]);
  },
);

Then(
  'requests of {string} are refused as not run, and those of {string} are served',
  function (this: World, refused: string, served: string) {
    const route = { isPublic: false } as Route;
    const table = createRoutingTable(1, [], [], {} as RelayLimits, this.checkedTenants!.byKey);
    const freshness = () => ({ isProven: true, areKeysFresh: true });
    const authenticationOf = (tenant: string) =>
      authenticate(table, route, Object.entries(authorizationOf(tenant)).flat(), NAMES, freshness);
    const refusal = authenticationOf(refused);
    assert.ok(refusal.tag === 'Refused');
    assert.deepEqual([refusal.answer.status, refusal.answer.verdict], [503, 'NotRun']);
    const admission = authenticationOf(served);
    assert.ok(admission.tag === 'Known');
    assert.equal(admission.tenant.id, served);
  },
);

Then('the problem {string} is reported, and no key', function (this: World, named: string) {
  const text = this.checkedTenants!.problems.join('; ');
  assert.ok(text.includes(named), text);
  assert.ok(!text.includes(keyOf('north')));
});
