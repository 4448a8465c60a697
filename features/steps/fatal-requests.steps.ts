/** Steps about requests that end their runner, checked by what clients and runners see. */
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { AfterAll, Given, Then, When } from '@cucumber/cucumber';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import type { RouteKind } from '../../soak/fatal-request-check.js';
import type { FatalEffect } from '../../src/emulator/fatal-effect.js';
import { FatalWorld } from '../support/fatal-world.js';

const START_TIMEOUT = { timeout: 60_000 };
const ASK_TIMEOUT = { timeout: 60_000 };
const RESTARTS_TIMEOUT = { timeout: 120_000 };
/** Time in which a request that many clients send is answered at all gateways, in milliseconds. */
const POPULAR_MILLISECONDS = 1_500;
const POLL_MILLISECONDS = 10;

interface World {
  /** Name of the request that ends its runner. */
  subject: string;
}

/** The deployment, which all scenarios share: requests of one have nothing in common with those of another. */
let deployment: FatalWorld | undefined;

process.once('exit', () => deployment?.killAll());

AfterAll(async () => {
  await deployment?.stop();
});

Given(
  '3 gateways, 3 replicas and 14 runners that start again under another id, as processes and servers',
  START_TIMEOUT,
  async function () {
    if (deployment === undefined) {
      deployment = new FatalWorld();
      await deployment.start();
    }
    await deployment.check.untilAllUp();
  },
);

When(
  'a client asks 5 times for a {string} request that ends its runner by {string}, each time at another gateway',
  ASK_TIMEOUT,
  async function (this: World, kind: RouteKind, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    await check.askFatal(kind, effect, this.subject);
  },
);

When(
  '{int} clients ask 5 times at the same time for the same {string} request that ends its runner by {string}',
  ASK_TIMEOUT,
  async function (this: World, clients: number, kind: RouteKind, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    const ask = (): Promise<unknown> => check.askFatal(kind, effect, this.subject);
    await Promise.all(Array.from({ length: clients }, ask));
  },
);

When(
  'a client asks 5 times for a {string} request that ends its runner by {string}, each time under another program',
  ASK_TIMEOUT,
  async function (this: World, kind: RouteKind, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    await check.askFatal(kind, effect, this.subject, {
      headers: (tries) => ({
        [NAMES.program]: `${this.subject}-${tries}`,
        [NAMES.session]: `${this.subject}-${tries}`,
      }),
    });
  },
);

When(
  'a client asks {int} times for a {string} request that ends its runner 400 ms later, and leaves after 80 ms each time, with pauses of {int} ms',
  ASK_TIMEOUT,
  async function (this: World, tries: number, kind: RouteKind, pause: number) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    const pace = { tries, pauseMilliseconds: () => pause, leaveMilliseconds: 80 };
    await check.askFatal(kind, 'crashLate', this.subject, pace);
    await check.untilAllUp();
  },
);

When(
  'a client that allows {int} ms asks {int} times for a {string} request that ends its runner 400 ms later, with pauses of {int} ms',
  ASK_TIMEOUT,
  async function (this: World, time: number, tries: number, kind: RouteKind, pause: number) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    const headers = (): Record<string, string> => ({ [NAMES.timeout]: String(time) });
    const pace = { tries, pauseMilliseconds: () => pause, headers };
    await check.askFatal(kind, 'crashLate', this.subject, pace);
    await check.untilAllUp();
  },
);

When(
  'a client asks 5 times for a {string} request that ends its runner by {string}, and all processes are killed and start again after each try',
  RESTARTS_TIMEOUT,
  async function (this: World, kind: RouteKind, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    for (let tries = 0; tries < 5; tries += 1) {
      await check.askFatal(kind, effect, this.subject, { tries: 1 });
      await deployment!.restartAll();
    }
  },
);

When(
  'a client asks 5 times for a {string} request that ends its runner by {string}, and the gateway of its first try is killed while it waits',
  ASK_TIMEOUT,
  async function (this: World, kind: RouteKind, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    let restarted: Promise<void> | undefined;
    const restartWhenSent = async (host: string): Promise<void> => {
      while (check.endedUnder(this.subject) === 0) {
        await sleep(POLL_MILLISECONDS);
      }
      await deployment!.restartGateway(host);
    };
    const onTry = (tries: number, host: string): void => {
      restarted = tries === 0 ? restartWhenSent(host) : restarted;
    };
    await check.askFatal(kind, effect, this.subject, { onTry });
    await restarted;
  },
);

When(
  'a client asks 5 times for what many others ask for, and its requests alone end their runner by {string}',
  ASK_TIMEOUT,
  async function (this: World, effect: FatalEffect) {
    const { check } = deployment!;
    this.subject = check.nameSubject();
    const ask = async (): Promise<void> => {
      await sleep(POPULAR_MILLISECONDS);
      await check.askFatal('repeatable', effect, this.subject, { looksCommon: true });
    };
    await check.askCommonDuring(ask());
  },
);

Then('at most {int} runners ended under it', function (this: World, limit: number) {
  const ended = deployment!.check.endedUnder(this.subject);
  assert.ok(ended > 0, 'no runner ended');
  assert.ok(ended <= limit, `${ended} runners ended`);
});

Then('it was sent to no runner after that', function (this: World) {
  const sentOn = deployment!.check.sentOnAfterLimit(this.subject);
  assert.equal(sentOn, 0, `${sentOn} sends followed`);
});
