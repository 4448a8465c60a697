/** Steps for what members and gateways know of the versions that were listed. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import type { Route } from '../../src/relay/request/routing-table.js';
import { ResumableStreams } from '../../src/relay/runners/resumable-streams.js';
import { VersionHistory } from '../../src/relay/runners/version-history.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { ReplicaCaller } from '../../src/turns/replica-caller.js';
import type { StreamOriginClient } from '../../src/turns/stream-origin-client.js';
import type { StreamContent } from '../../src/turns/stream-origins.js';
import { VersionExchange } from '../../src/turns/version-exchange.js';
import { REPORT_INTERVAL_MILLISECONDS, VersionReports } from '../../src/turns/version-reports.js';
import type { ListedVersion } from '../../src/turns/version-reports.js';

const MILLISECONDS = 1_000;
const RETENTION_SECONDS = 60;
const HOST = 'shop.example';
const ZONE = 'hall';

interface World {
  clock: VirtualClock;
  /** Time from which the steps count, in milliseconds. */
  since: number;
  reports: VersionReports;
  history: VersionHistory;
  versionExchange: VersionExchange;
  isProven: boolean;
  /** Calls to all members. */
  memberCalls: number;
  /** Number of origins that a gateway has recorded. */
  recordedOrigins: number;
  /** Number of times that a second version was noticed. */
  mixedCount: number;
  /** The routes of the last step that set some. */
  routes: Route[];
}

function startWorld(world: World): ReturnType<SimulatedProcess['start']> {
  world.clock = new VirtualClock();
  return new SimulatedProcess('g', world.clock, createRandom(1)).start();
}

/** Moves the clock to a time after the last step that changed something. */
function after(world: World, seconds: number): void {
  world.clock.runUntil(world.since + seconds * MILLISECONDS);
}

function reportListed(world: World, version: string, service: string, knownSeconds: number): void {
  const listed = { service, version, ageMilliseconds: 0, listedMilliseconds: 0 };
  world.reports.merge({
    knownMilliseconds: knownSeconds * MILLISECONDS,
    versions: [listed],
  });
  world.since = world.clock.now;
}

Given(
  'a member to which a gateway reports that {string} of {string} is listed',
  function (this: World, version: string, service: string) {
    this.reports = new VersionReports(startWorld(this));
    reportListed(this, version, service, RETENTION_SECONDS);
  },
);

When(
  'a gateway that started just now reports that {string} of {string} is listed',
  function (this: World, version: string, service: string) {
    reportListed(this, version, service, 0);
  },
);

Then(
  '{int} s later the member still reports {string} of {string}',
  function (this: World, seconds: number, version: string, service: string) {
    after(this, seconds);
    const { versions } = this.reports.report();
    assert.ok(versions.some((each) => each.service === service && each.version === version));
  },
);

Then(
  '{int} s later the member reports no version of {string}',
  function (this: World, seconds: number, service: string) {
    after(this, seconds);
    const { versions } = this.reports.report();
    assert.deepEqual(
      versions.filter((each) => each.service === service),
      [],
    );
  },
);

Then(
  '{int} s later the member knows the last {int} s',
  function (this: World, seconds: number, known: number) {
    after(this, seconds);
    assert.equal(this.reports.report().knownMilliseconds, known * MILLISECONDS);
  },
);

Given(
  /^a gateway that starts( without a proved list)?, and three members that know the last (.+) s$/,
  function (this: World, unproven: string | null, seconds: string) {
    const known = seconds.split(/, | and /);
    const runtime = startWorld(this);
    const directory = new MemberDirectory(runtime);
    const members = ['r1', 'r2', 'r3'].map((id) => ({
      id,
      node: id,
      host: id,
      port: 1,
      zone: ZONE,
    }));
    directory.offer({ epoch: 1, members }, 'test');
    this.memberCalls = 0;
    const caller: ReplicaCaller = {
      call: (member, _request, _timeout, listener) => {
        this.memberCalls += 1;
        const index = members.findIndex(({ id }) => id === member.id);
        const knownMilliseconds = Number(known[index]) * MILLISECONDS;
        runtime.setTimer(1, () =>
          listener({ type: 'versionsExchanged', call: 1, knownMilliseconds, versions: [] }),
        );
      },
      notify: () => undefined,
    };
    this.isProven = unproven === null;
    this.history = new VersionHistory(runtime);
    this.history.isListProven = () => this.isProven;
    this.history.forgetPast();
    this.versionExchange = new VersionExchange({ runtime, directory, caller });
    this.versionExchange.start(this.history);
  },
);

When('{int} s pass', function (this: World, seconds: number) {
  this.clock.runUntil(this.clock.now + seconds * MILLISECONDS);
});

Then(
  'each member was called {int} to {int} times',
  function (this: World, least: number, most: number) {
    const calls = this.memberCalls / 3;
    assert.ok(calls >= least && calls <= most, `${calls} calls`);
  },
);

When('its list is no longer proved', function (this: World) {
  this.isProven = false;
});

Then('the gateway reports that it knows the last {int} s', function (this: World, seconds: number) {
  const milliseconds = seconds * MILLISECONDS;
  assert.equal(this.history.reportToMembers().knownMilliseconds, milliseconds);
  assert.equal(this.history.report()?.knownMilliseconds ?? 0, milliseconds);
});

function exchangeVersions(world: World): void {
  let isDone = false;
  world.versionExchange.refresh(() => (isDone = true));
  world.clock.runUntil(world.clock.now + 10);
  assert.ok(isDone);
}

When('the gateway exchanges versions with the members', function (this: World) {
  exchangeVersions(this);
});

When(
  'its list is proved, and the gateway exchanges versions with the members',
  function (this: World) {
    this.isProven = true;
    exchangeVersions(this);
  },
);

Then(
  /^the gateway (knows|doesn't know) the versions of the last minute$/,
  function (this: World, knows: string) {
    assert.equal(this.history.isPastKnown, knows === 'knows');
  },
);

Given(
  'a gateway with one version of the services {string} and {string}',
  function (this: World, first: string, second: string) {
    this.history = new VersionHistory(startWorld(this));
    [first, second].forEach((service) => this.history.noteListed(service, 'v1'));
  },
);

/** Parses routes such as `/a/ minds, /a/b/ desk unresumable`. */
function routesOf(text: string): Route[] {
  return text.split(', ').map((part) => {
    const [pathPrefix, service, flag] = part.split(' ');
    const resumable = flag !== 'unresumable';
    const services = [{ service, weight: 1 }];
    return { host: HOST, pathPrefix, services, resumable } as unknown as Route;
  });
}

Then(
  'the gateway reports the routes {string} to the members',
  function (this: World, paths: string) {
    const { versions } = this.history.reportToMembers();
    const routes = versions.filter(({ service }) => service.startsWith('//'));
    assert.deepEqual(
      routes.map(({ service }) => service),
      paths.split(', ').map((path) => `//${HOST}${path}`),
    );
  },
);

When(
  'the routes are {string}, and then {string}',
  function (this: World, before: string, next: string) {
    this.history.noteRoutes(routesOf(before));
    this.clock.runUntil(this.clock.now + 2 * RETENTION_SECONDS * MILLISECONDS);
    this.history.noteRoutes(routesOf(next));
    this.since = this.clock.now;
  },
);

function soleService({ history }: World, pathPrefix: string, service: string): string | undefined {
  return history.soleOrigin(routesOf(`${pathPrefix} ${service}`)[0]!)?.service;
}

Then(
  'streams of {string} have no sole origin for {int} s, and the service {string} after that',
  function (this: World, path: string, seconds: number, service: string) {
    after(this, seconds);
    assert.equal(soleService(this, path, service), undefined);
    after(this, seconds + 1);
    assert.equal(soleService(this, path, service), service);
  },
);

Then(
  'the service {string} is the sole origin of the streams of {string}',
  function (this: World, service: string, path: string) {
    assert.equal(soleService(this, path, service), service);
  },
);

When('the routes become {string}', function (this: World, routes: string) {
  this.routes = routesOf(routes);
  this.history.noteRoutes(this.routes);
});

When('another gateway has seen a mix at {string}', function (this: World, key: string) {
  this.history.isMixedElsewhere = (other) => other === key;
});

Given('members that know the routes {string} for a minute', function (this: World, routes: string) {
  const runtime = startWorld(this);
  const gateway = new VersionHistory(runtime);
  ['minds', 'desk'].forEach((service) => gateway.noteListed(service, 'v1'));
  gateway.noteRoutes(routesOf(routes));
  this.reports = new VersionReports(runtime);
  this.history = new VersionHistory(runtime);
  const minute = this.clock.now + RETENTION_SECONDS * MILLISECONDS;
  while (this.clock.now < minute) {
    this.clock.runUntil(this.clock.now + REPORT_INTERVAL_MILLISECONDS);
    this.reports.merge(gateway.reportToMembers());
  }
});

When(
  'a gateway starts with the routes {string}, and learns what the members know',
  function (this: World, routes: string) {
    this.clock.runUntil(this.clock.now + MILLISECONDS);
    this.routes = routesOf(routes);
    this.history.forgetPast();
    this.history.noteRoutes(this.routes);
    ['minds', 'desk'].forEach((service) => this.history.noteListed(service, 'v1'));
    const { knownMilliseconds, versions } = this.reports.report();
    this.history.addVersions(versions);
    this.history.extendKnown(knownMilliseconds);
  },
);

Then(
  /^the streams of "(.*)" have (?:no sole origin|the sole origin "(.*)")$/,
  function (this: World, path: string, service: string | null) {
    const route = this.routes.find(({ pathPrefix }) => pathPrefix === path)!;
    assert.equal(this.history.soleOrigin(route)?.service, service ?? undefined);
  },
);

When(
  'peers report {int} times that {string} of {string} was listed {int} s ago',
  function (this: World, times: number, version: string, service: string, seconds: number) {
    this.mixedCount = 0;
    this.history.onMixed = () => (this.mixedCount += 1);
    const ageMilliseconds = seconds * MILLISECONDS;
    const split = ['minds', 'desk'].map((each) => ({ service: `//${HOST}/a/`, version: each }));
    const listed = split.map((each) => ({ ...each, ageMilliseconds: 0 }));
    for (let index = 0; index < times; index += 1) {
      this.history.addVersions([...listed, { service, version, ageMilliseconds }]);
    }
  },
);

Then('{int} new version was noticed', function (this: World, count: number) {
  assert.equal(this.mixedCount, count);
});

When(
  /^(\d+) s later a gateway that knows the last (\d+) s reports that it (has been listed for|was listed) (\d+) s(?: before)?$/,
  function (this: World, later: string, known: string, state: string, seconds: string) {
    after(this, Number(later));
    const [{ service, version }] = this.reports.report().versions as [ListedVersion];
    const milliseconds = Number(seconds) * MILLISECONDS;
    const listed =
      state === 'was listed'
        ? { ageMilliseconds: milliseconds, listedMilliseconds: 0 }
        : { ageMilliseconds: 0, listedMilliseconds: milliseconds };
    const versions = [{ service, version, ...listed }];
    this.reports.merge({ knownMilliseconds: Number(known) * MILLISECONDS, versions });
  },
);

Then(
  'the member reports that it has been listed for {int} s',
  function (this: World, seconds: number) {
    const [{ listedMilliseconds }] = this.reports.report().versions as [ListedVersion];
    assert.equal(listedMilliseconds, seconds * MILLISECONDS);
  },
);

When(
  'others report that {string} has had the service {string} for {int} s',
  function (this: World, path: string, version: string, seconds: number) {
    const service = `//${HOST}${path}`;
    const listedMilliseconds = seconds * MILLISECONDS;
    this.history.addVersions([{ service, version, ageMilliseconds: 1, listedMilliseconds }]);
  },
);

Given('a gateway with {int} unfinished streams', function (this: World, count: number) {
  const runtime = startWorld(this);
  this.history = new VersionHistory(runtime);
  this.history.noteListed('minds', 'v1');
  this.recordedOrigins = 0;
  const client = { recordContent: () => undefined, record: () => (this.recordedOrigins += 1) };
  const streams = new ResumableStreams({
    runtime,
    client: client as unknown as StreamOriginClient,
    versions: this.history,
    exchange: undefined as unknown as VersionExchange,
  });
  const [route] = routesOf('/a/ minds') as [Route];
  const origin = { service: 'minds', version: 'v1' };
  this.history.noteRoutes([route]);
  for (let index = 0; index < count; index += 1) {
    streams.begin([`stream-${index}`], index as StreamContent, origin, route);
  }
  assert.equal(this.recordedOrigins, 0);
});

When('a configuration moves {int} routes', function (this: World, count: number) {
  const paths = Array.from({ length: count }, (_, index) => `/route-${index}/`);
  const routes = (service: string): Route[] =>
    routesOf(paths.map((path) => `${path} ${service}`).join(', '));
  this.history.noteRoutes(routes('minds'));
  this.clock.runUntil(this.clock.now + MILLISECONDS);
  this.recordedOrigins = 0;
  this.history.noteRoutes(routes('desk'));
  this.clock.runUntil(this.clock.now + MILLISECONDS);
});

Then('{int} origins were recorded', function (this: World, count: number) {
  assert.equal(this.recordedOrigins, count);
});
