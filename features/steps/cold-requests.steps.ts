/** Steps about requests of a gateway to cold runners, over loopback sockets. */
import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

const COLD_MILLISECONDS = 20_000;
/** Time after its start in which a gateway sends nothing to cold runners. */
const START_HOLD_MILLISECONDS = 2_050;
/** A quarter of it exceeds the time that a request may wait. */
const TIMEOUT_MILLISECONDS = 8_000;
const SERVICE_UNAVAILABLE = 503;
const OK = 200;

interface TimedResult extends ClientResult {
  readonly milliseconds: number;
}

interface World {
  coldRelay?: RelayWorld;
  limit: number;
  timedResults: readonly TimedResult[];
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

After(async function (this: World) {
  await this.coldRelay?.stop();
});

Given(
  'a gateway in front of two runners that take {int} requests a second while cold',
  async function (this: World, limit: number) {
    this.limit = limit;
    this.coldRelay = new RelayWorld({
      coldRequestsPerSecond: limit,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    await this.coldRelay.start(true);
    await sleep(START_HOLD_MILLISECONDS);
  },
);

When(
  'both turn cold and {int} requests arrive at once',
  async function (this: World, count: number) {
    const relay = this.coldRelay!;
    relay.turnCold(COLD_MILLISECONDS, this.limit);
    const headers = { [relay.timeoutHeader]: String(TIMEOUT_MILLISECONDS) };
    this.timedResults = await Promise.all(
      Array.from({ length: count }, async () => {
        const startedAt = relay.runtime.now();
        const result = await relay.send('single', { headers });
        return { ...result, milliseconds: relay.runtime.now() - startedAt };
      }),
    );
  },
);

Then(
  '{int} requests are answered, the first {int} within {float} s and the others after {float} s',
  function (this: World, answered: number, first: number, soon: number, late: number) {
    const times = this.timedResults
      .flatMap(({ status, milliseconds }) => (status === OK ? [milliseconds] : []))
      .sort((left, right) => left - right);
    assert.equal(times.length, answered, JSON.stringify(this.timedResults.map((r) => r.status)));
    assert.ok(
      times.slice(0, first).every((time) => time < soon * 1_000),
      String(times),
    );
    assert.ok(
      times.slice(first).every((time) => time > late * 1_000),
      String(times),
    );
  },
);

Then(
  '{int} requests are refused within {float} s with 503, a true "not run" and different retry delays',
  function (this: World, count: number, seconds: number) {
    const refused = this.timedResults.filter(({ status }) => status === SERVICE_UNAVAILABLE);
    assert.equal(refused.length, count);
    assert.ok(refused.every(({ milliseconds }) => milliseconds < seconds * 1_000));
    const delays = refused.map(({ headers }) => headers['retry-after']);
    assert.ok(new Set(delays).size > count / 2, String(delays));
    assert.ok(
      delays.every((delay) => Number(delay) > 0.5 && Number(delay) < 3),
      String(delays),
    );
    const runs = this.coldRelay!.runners.flatMap((runner) => runner.runs);
    assert.equal(runs.length, this.timedResults.length - count);
  },
);

Then('no runner failed', function (this: World) {
  assert.ok(this.coldRelay!.runners.every(({ coldFailures }) => coldFailures === 0));
  assert.ok(this.coldRelay!.runners.every((runner) => runner.maximumColdArrivals <= this.limit));
});

When(
  'both turn cold and {int} requests are sent to one of them directly',
  async function (this: World, count: number) {
    const { runnerAddress } = this.coldRelay!;
    await Promise.all(
      Array.from(
        { length: count },
        () =>
          new Promise<void>((resolve) => {
            const client = httpRequest({ ...runnerAddress, path: '/', agent: false });
            client.on('response', (response) => response.resume().on('close', resolve));
            client.on('error', () => resolve());
            client.end();
          }),
      ),
    );
  },
);

Then('that runner failed', function (this: World) {
  assert.equal(this.coldRelay!.runners[0]!.coldFailures, 1);
});
