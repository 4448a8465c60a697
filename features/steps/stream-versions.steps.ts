/** Steps about streams that are resumed while runners of several software versions serve. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { streamContentOf } from '../../src/relay/request/fingerprint.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { ALL_EVENTS, OTHER_SERVICE, SPLIT_PATH, VersionWorld } from '../support/version-world.js';
import type { TryResult } from '../support/version-world.js';

const OK = 200;
const UNAVAILABLE = 503;
const EVENT_MILLISECONDS = 30;
/** Time in which a record reaches the replicas. */
const RECORD_MILLISECONDS = 100;
const WAIT_MILLISECONDS = 3_000;
/** Time in which a gateway that returns can learn what others know. */
const RETURN_MILLISECONDS = 300;

interface World {
  versions?: VersionWorld;
  /** The tries of each stream, in order. */
  streams: TryResult[][];
  resumptionMilliseconds: number;
}

After(async function (this: World) {
  await this.versions?.stop();
});

Given(
  '{int} gateways, and runners of the software versions {string} and {string} in one service',
  async function (this: World, gateways: number, first: string, second: string) {
    this.streams = [];
    this.versions = new VersionWorld();
    await this.versions.start(gateways);
    await this.versions.startRunner(first);
    await this.versions.startRunner(second);
  },
);

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function times<Result>(count: number, action: () => Promise<Result>): Promise<Result[]> {
  return Promise.all(Array.from({ length: count }, action));
}

/** Resumes a stream at a gateway after the last event of its first try. */
async function resume(
  versions: VersionWorld,
  gateway: number,
  first: TryResult,
  path = '',
): Promise<TryResult[]> {
  const { requestId, events } = first;
  const lastEvent = events.at(-1)?.id ?? 0;
  return [first, await versions.send(gateway, { requestId, lastEvent }, Infinity, path)];
}

/** Waits until a stream runs beyond the attempts so far. */
async function untilRun({ runners }: VersionWorld, attempts: number): Promise<void> {
  const until = performance.now() + WAIT_MILLISECONDS;
  const runs = (): number => runners.reduce((sum, { runner }) => sum + runner.runs.length, 0);
  while (runs() <= attempts && performance.now() < until) {
    await new Promise((resolve) => setTimeout(resolve, 1));
  }
}

When(
  '{int} streams are cut off by their runner after half of their events',
  async function (this: World, count: number) {
    const versions = this.versions!;
    for (let index = 0; index < count; index += 1) {
      // Each runner cuts off the next stream only; the one that did not get it answers as usual.
      versions.runners.forEach(({ runner }) => runner.behaviours.splice(0, 1, 'cutOff'));
      const sent = versions.send(0);
      // Each earlier stream ran twice.
      await untilRun(versions, 2 * index);
      versions.runners.forEach(({ runner }) => runner.behaviours.splice(0));
      this.streams.push([await sent]);
    }
  },
);

When(
  '{int} clients leave their streams after {int} events and resume them at the other gateway',
  async function (this: World, count: number, events: number) {
    this.streams = await times(count, async () =>
      resume(this.versions!, 1, await this.versions!.send(0, undefined, events)),
    );
  },
);

When(
  '{int} clients receive {int} events, their gateway is killed, and they resume at the other gateway',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    const firsts = await times(count, () => versions.send(0, undefined, events));
    versions.kill(0);
    this.streams = await Promise.all(firsts.map((first) => resume(versions, 1, first)));
  },
);

/** Begins streams of different paths; their clients leave after some events. */
function beginStreams(
  versions: VersionWorld,
  count: number,
  events: number,
  gateway = 0,
): Promise<TryResult>[] {
  return Array.from({ length: count }, (_, index) =>
    versions.send(gateway, undefined, events, `/stream-${index}`),
  );
}

When(
  '{int} clients receive {int} events of streams of their own, and all gateways are killed',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    const firsts = await Promise.all(beginStreams(versions, count, events));
    await sleep(RECORD_MILLISECONDS);
    versions.killAllGateways();
    this.streams = firsts.map((first) => [first]);
  },
);

When(
  '{int} clients receive {int} events of streams of their own, and leave',
  async function (this: World, count: number, events: number) {
    this.streams = (await Promise.all(beginStreams(this.versions!, count, events))).map((first) => [
      first,
    ]);
    await sleep(RECORD_MILLISECONDS);
  },
);

When(
  '{int} clients leave streams with the same content after {int} events',
  async function (this: World, count: number, events: number) {
    await times(count, () => this.versions!.send(0, undefined, events));
    await sleep(RECORD_MILLISECONDS);
  },
);

When('other clients do the same at the other gateway', async function (this: World) {
  const { versions, streams } = this;
  const { length } = streams[0]![0]!.events;
  await Promise.all(beginStreams(versions!, streams.length, length, 1));
  await sleep(RECORD_MILLISECONDS);
});

Given(
  'a runner of {string} that only the first gateway lists so far',
  async function (this: World, version: string) {
    await this.versions!.startRunner(version, undefined, version, 1);
  },
);

When('the last gateway lists the runner of {string}', function (this: World, version: string) {
  const { gateways, runners } = this.versions!;
  const runner = runners.find((each) => each.version === version)!;
  this.versions!.list(gateways.at(-1)!, runner);
});

When('{int} of the replicas are killed', function (this: World, count: number) {
  this.versions!.stopReplicas(count);
});

When('the entries of the runners of {string} are removed', function (this: World, version: string) {
  this.versions!.unlist(version);
});

When(
  'a runner of {string} replaces those of {string}',
  async function (this: World, next: string, previous: string) {
    this.versions!.unlist(previous);
    await this.versions!.startRunner(next);
  },
);

When(
  'a runner of {string} in another service is listed, and the route moves to that service',
  async function (this: World, version: string) {
    const text = `${version}-of-another-service`;
    await this.versions!.startRunner(version, OTHER_SERVICE, text);
    this.versions!.moveRoute(OTHER_SERVICE);
  },
);

Given(
  'the route moves at the first gateway to a runner of {string} in another service',
  async function (this: World, version: string) {
    await this.versions!.startRunner(version, OTHER_SERVICE);
    this.versions!.moveRoute(OTHER_SERVICE, 1);
  },
);

When('the route moves at all gateways', function (this: World) {
  this.versions!.moveRoute(OTHER_SERVICE);
});

When('the first gateway goes on', () => undefined);

When('the first gateway is killed', function (this: World) {
  this.versions!.kill(0);
});

When('the replicas are killed and return', function (this: World) {
  this.versions!.restartReplicas();
});

Given('replicas that have lost what they knew', async function (this: World) {
  // What was reported before arrives first.
  await sleep(RECORD_MILLISECONDS);
  this.versions!.restartReplicas();
});

When('a gateway returns', async function (this: World) {
  await this.versions!.returnGateway();
  await sleep(RETURN_MILLISECONDS);
});

When(
  /^the clients resume their streams (by name|without naming them) at the last gateway$/,
  async function (this: World, naming: string) {
    const versions = this.versions!;
    const gateway = versions.gateways.length - 1;
    const startedAt = performance.now();
    this.streams = await Promise.all(
      this.streams.map(async ([first], index) => {
        const { requestId, events } = first!;
        const resumed = {
          requestId: naming === 'by name' ? requestId : undefined,
          lastEvent: events.at(-1)!.id,
        };
        return [first!, await versions.send(gateway, resumed, Infinity, `/stream-${index}`)];
      }),
    );
    this.resumptionMilliseconds = performance.now() - startedAt;
  },
);

Then('no stream holds events of two versions', function (this: World) {
  assert.ok(this.streams.length > 0);
  for (const tries of this.streams) {
    const [first] = tries;
    assert.ok(first!.events.length > 0);
    const written = new Set(tries.flatMap(({ events }) => events.map(({ version }) => version)));
    assert.equal(written.size, 1, JSON.stringify(tries));
  }
});

Then('every stream is complete, with events of one version', function (this: World) {
  assert.ok(this.streams.length > 0);
  for (const tries of this.streams) {
    const events = tries.flatMap((each) => each.events);
    const last = tries.at(-1)!;
    assert.equal(last.status, OK);
    assert.ok(last.complete);
    assert.deepEqual(
      events.map(({ id }) => id),
      ALL_EVENTS,
    );
    assert.equal(new Set(events.map(({ version }) => version)).size, 1, JSON.stringify(tries));
  }
});

Given(
  /^(\d+) gateways, and( later)? runners of the software version "([^"]*)" in one service$/,
  async function (this: World, gateways: number, later: string | null, version: string) {
    await this.versions?.stop();
    this.streams = [];
    this.versions = new VersionWorld();
    await this.versions.start(gateways);
    if (later !== null) {
      // The report that follows a start must not hold the version yet.
      await sleep(RECORD_MILLISECONDS);
    }
    await this.versions.startRunner(version);
  },
);

Given('replicas that know what these gateways have listed', async function (this: World) {
  await this.versions!.untilReplicasKnow();
});

When('the first two gateways report what they know to the replicas', async function (this: World) {
  await this.versions!.untilReplicasKnow(2);
});

Given('a third gateway that starts later', async function (this: World) {
  const versions = this.versions!;
  const gateway = await versions.startGateway(false);
  versions.runners.forEach((runner) => versions.list(gateway, runner));
});

When('the third gateway reads what another one knows', function (this: World) {
  const [first, , third] = this.versions!.gateways;
  third!.registry.versions.merge(first!.registry.versions.report()!);
});

When(
  /^(\d+) clients receive (\d+|all) events, and then a runner of "(.*)" is listed and the runner of ".*" serves on$/,
  async function (this: World, count: number, events: string, version: string) {
    const leaveAfter = events === 'all' ? Infinity : Number(events);
    const firsts = await times(count, () => this.versions!.send(0, undefined, leaveAfter));
    assert.ok(firsts.every(({ complete }) => complete || events !== 'all'));
    this.streams = firsts.map((first) => [first]);
    await this.versions!.startRunner(version);
    // Records are on their way for a moment.
    await sleep(RECORD_MILLISECONDS);
  },
);

When('their gateway is killed, and they resume at the other gateway', async function (this: World) {
  const versions = this.versions!;
  versions.kill(0);
  this.streams = await Promise.all(this.streams.map(([first]) => resume(versions, 1, first!)));
});

When(
  '{int} clients receive {int} events, all gateways and replicas but one gateway are killed, and they resume there',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    const firsts = await times(count, () => versions.send(0, undefined, events));
    versions.kill(0);
    versions.stopReplicas();
    this.streams = await Promise.all(firsts.map((first) => resume(versions, 1, first)));
  },
);

const STREAM_NAMES: Readonly<Record<string, string | undefined>> = {
  'a stream of nobody': 'nobody',
  'an unnamed stream': undefined,
  'a very long id': 'x'.repeat(2_000),
};

When(
  /^a client resumes (a stream of nobody|an unnamed stream|a very long id)( of the split route)? after event "(.*?)"( at the third gateway)?$/,
  async function (
    this: World,
    name: string,
    ofSplit: string | null,
    lastEvent: string,
    atThird: string | null,
  ) {
    const requestId = STREAM_NAMES[name];
    const first: TryResult = {
      requestId: requestId ?? '',
      status: OK,
      events: [],
      complete: false,
      retryAfter: undefined,
    };
    const gateway = atThird === null ? 1 : 2;
    const path = ofSplit === null ? '' : SPLIT_PATH;
    const resumed = { requestId, lastEvent };
    this.streams = [[first, await this.versions!.send(gateway, resumed, Infinity, path)]];
  },
);

When(
  '{int} clients receive {int} events, the runners of {string} leave, and they resume at the other gateway',
  async function (this: World, count: number, events: number, leaving: string) {
    const versions = this.versions!;
    const firsts = await times(count, () => versions.send(0, undefined, events));
    const left = versions.runners.filter(({ version }) => version === leaving);
    versions.gateways.forEach((gateway) =>
      left.forEach((runner) => versions.list(gateway, runner, false)),
    );
    const resumedAt = performance.now();
    this.streams = await Promise.all(firsts.map((first) => resume(versions, 1, first)));
    this.resumptionMilliseconds = performance.now() - resumedAt;
  },
);

When(
  'the entry of the runner of {string} names {string} while {int} clients receive {int} events and resume',
  async function (this: World, before: string, after: string, count: number, events: number) {
    const versions = this.versions!;
    const firsts = await times(count, () => versions.send(0, undefined, events));
    const changed = versions.runners.find(({ version }) => version === before)!;
    versions.gateways.forEach((gateway) => versions.list(gateway, { ...changed, version: after }));
    this.streams = await Promise.all(firsts.map((first) => resume(versions, 1, first)));
  },
);

Then(
  /^every resumption is refused as not run, with(out)? a time to return$/,
  function (this: World, without: string | null) {
    assert.ok(this.streams.length > 0);
    for (const [, resumption] of this.streams) {
      assert.equal(resumption!.status, UNAVAILABLE);
      assert.equal(resumption!.retryAfter === undefined, without !== null);
    }
  },
);

Then('no runner ran a resumption', function (this: World) {
  const resumed = new Set(this.streams.map(([, resumption]) => resumption!.requestId));
  const runs = this.versions!.runners.flatMap(({ runner }) => runner.runs);
  assert.ok(runs.every(({ requestId }) => !resumed.has(requestId)));
});

Then('the resumption is complete from event {int} on', function (this: World, first: number) {
  const [, resumption] = this.streams[0]!;
  assert.equal(resumption!.status, OK);
  assert.deepEqual(
    resumption!.events.map(({ id }) => id),
    ALL_EVENTS.slice(first - 1),
  );
});

function streamsOf({ streams }: World, version: string): TryResult[][] {
  return streams.filter(([first]) => first!.events[0]?.version === version);
}

Then(
  /^streams of "(.*)" are refused as not run within (\d+) ms, (with|without) a time to return$/,
  function (this: World, version: string, limit: string, returns: string) {
    const milliseconds = Number(limit);
    const refused = streamsOf(this, version);
    assert.ok(refused.length > 0);
    refused.forEach(([, resumption]) => {
      assert.equal(resumption!.status, UNAVAILABLE);
      assert.equal(resumption!.retryAfter !== undefined, returns === 'with');
    });
    const others = ALL_EVENTS.length * EVENT_MILLISECONDS;
    assert.ok(
      this.resumptionMilliseconds < milliseconds + others,
      `${this.resumptionMilliseconds}`,
    );
  },
);

Then(
  'streams of {string} are complete, with events of one version',
  function (this: World, version: string) {
    const goingOn = streamsOf(this, version);
    assert.ok(goingOn.length > 0);
    for (const tries of goingOn) {
      const events = tries.flatMap((each) => each.events);
      assert.deepEqual(
        events.map(({ id }) => id),
        ALL_EVENTS,
      );
      assert.ok(events.every((event) => event.version === version));
    }
  },
);

Then('no stream continues under the entry of another version', function (this: World) {
  const [changed, other] = this.versions!.runners;
  // Streams of the first runner were written by the version that its entry no longer names.
  streamsOf(this, changed!.version).forEach(([, resumption]) =>
    assert.equal(resumption!.status, UNAVAILABLE),
  );
  const goingOn = streamsOf(this, other!.version);
  assert.ok(goingOn.length > 0);
  goingOn.forEach(([, resumption]) => assert.equal(resumption!.status, OK));
});

Given(
  'a runner of {string} in another service of a split route',
  async function (this: World, version: string) {
    await this.versions!.startRunner(version, OTHER_SERVICE, `${version}-of-another-service`);
  },
);

When(
  '{int} clients leave streams of the split route after {int} events and resume them at the other gateway',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    this.streams = await times(count, async () => {
      const first = await versions.send(0, undefined, events, SPLIT_PATH);
      return resume(versions, 1, first, SPLIT_PATH);
    });
  },
);

When(
  '{int} clients leave streams of the split route after {int} events and resume them unnamed at the other gateway',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    const clients = Array.from({ length: count }, async (_, index) => {
      const path = `${SPLIT_PATH}/stream-${index}`;
      const first = await versions.send(0, undefined, events, path);
      await sleep(RECORD_MILLISECONDS);
      const resumed = { requestId: undefined, lastEvent: first.events.at(-1)!.id };
      return [first, await versions.send(1, resumed, Infinity, path)];
    });
    this.streams = await Promise.all(clients);
  },
);

Then('streams ran in both services', function (this: World) {
  assert.ok(this.versions!.runners.every(({ runner }) => runner.runs.length > 0));
});

const FIELDS: Readonly<Record<string, (value: number) => object>> = {
  'prompt parts': (tokens) => ({ promptParts: [{ key: 1, tokens }] }),
  'maximum output tokens': (maximumOutputTokens) => ({ maximumOutputTokens }),
  tenants: (id) => ({ tenant: { id: String(id) } }),
};

Then(
  /^the contents of streams differ if only the (.*) of the requests differ$/,
  function (field: string) {
    const request = { method: 'POST', path: '/', route: { host: '' }, body: Buffer.alloc(0) };
    const contentOf = (value: number): unknown =>
      streamContentOf({ ...request, ...FIELDS[field]!(value) } as unknown as RelayRequest);
    assert.equal(contentOf(1), contentOf(1));
    assert.notEqual(contentOf(1), contentOf(2));
  },
);
