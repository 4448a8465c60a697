/** Steps about streams that are resumed while runners of several software versions serve. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ALL_EVENTS, VersionWorld } from '../support/version-world.js';
import type { TryResult } from '../support/version-world.js';

const OK = 200;
const WAIT_MILLISECONDS = 3_000;

interface World {
  versions?: VersionWorld;
  /** The tries of each stream, in order. */
  streams: TryResult[][];
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

function times<Result>(count: number, action: () => Promise<Result>): Promise<Result[]> {
  return Promise.all(Array.from({ length: count }, action));
}

/** Resumes a stream at a gateway after the last event of its first try. */
async function resume(
  versions: VersionWorld,
  gateway: number,
  first: TryResult,
): Promise<TryResult[]> {
  const { requestId, events } = first;
  const lastEvent = events.at(-1)?.id ?? 0;
  return [first, await versions.send(gateway, { requestId, lastEvent })];
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
