/** Steps about the decisions of a tenant's home: windows, idle tenants, and the return of refused programs. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createRandom } from '../../src/runtime/random.js';
import { QuotaBuckets } from '../../src/turns/quota-buckets.js';
import type { ProgramRequest } from '../../src/turns/quota-buckets.js';
import type { HeldShare } from '../../src/turns/quota-shares.js';
import { WaitingPrograms } from '../../src/turns/waiting-programs.js';

const ALLOWANCE = { overshoot: 0.1, slack: 20 };
const MILLISECONDS_IN_SECOND = 1_000;
const LONG_AGO = -600_000;
const WHOLE: HeldShare = {
  share: 1,
  ownShare: 0.2,
  ownSince: -Infinity,
  since: -Infinity,
  waitMilliseconds: 0,
  home: 'm',
};

function requestOf(program: number, startsProgram: boolean, patience = 0): ProgramRequest {
  return {
    program,
    kind: 'k',
    startsProgram,
    assumedRequests: startsProgram ? 9 : 0,
    patienceMilliseconds: patience,
    isFallback: false,
    rank: 0,
  };
}

Then(
  'in any run of bursts and of programs at the home no window of {int} seconds holds more than its limit',
  function (seconds: number) {
    const window = seconds * MILLISECONDS_IN_SECOND;
    const gaps = fc.array(fc.oneof(fc.constant(0), fc.nat(400)), {
      minLength: 100,
      maxLength: 600,
    });
    fc.assert(
      fc.property(
        gaps,
        fc.integer({ min: 1, max: 40 }),
        fc.nat(40),
        fc.nat(),
        (drawn, rate, burst, seed) => {
          const random = createRandom(seed + 1);
          const buckets = new QuotaBuckets(LONG_AGO, ALLOWANCE, window);
          const quota = { tenant: 't', version: 1, ratePerSecond: rate, burst };
          const grants: number[] = [];
          let now = 0;
          for (const gap of drawn) {
            now += gap;
            const startsProgram = random.uniform() < 0.2;
            const request = requestOf(
              random.integer(0, 20),
              startsProgram,
              startsProgram ? 0 : 600,
            );
            const { granted, waitMilliseconds } = buckets.decide(quota, request, WHOLE, now);
            if (granted) {
              grants.push(now + waitMilliseconds);
            }
          }
          grants.sort((left, right) => left - right);
          const most = (rate * seconds + burst) * (1 + ALLOWANCE.overshoot) + ALLOWANCE.slack;
          grants.forEach((at, first) => {
            const inWindow = grants.filter((other, index) => index >= first && other < at + window);
            assert.ok(inWindow.length <= most, `${inWindow.length} of ${most}`);
          });
        },
      ),
      { numRuns: 40 },
    );
  },
);

Then(
  'a program of {int} requests each minute is granted whole under a limit of {float} a second and {int} at once',
  function (requests: number, ratePerSecond: number, burst: number) {
    const buckets = new QuotaBuckets(LONG_AGO, ALLOWANCE);
    const quota = { tenant: 't', version: 1, ratePerSecond, burst };
    for (let program = 1; program <= 20; program += 1) {
      for (let index = 0; index < requests; index += 1) {
        const now = program * 60_000 + index * 300;
        const request = requestOf(program, index === 0);
        assert.ok(buckets.decide(quota, request, WHOLE, now).granted, `${program} ${index}`);
      }
    }
  },
);

/** Fills a tenant's limit with programs; returns the first that was refused. */
function fillWithPrograms(buckets: QuotaBuckets, now: number): number {
  const quota = { tenant: 't', version: 1, ratePerSecond: 20, burst: 20 };
  for (let program = 1; ; program += 1) {
    if (!buckets.decide(quota, requestOf(program, true), WHOLE, now).granted) {
      return program;
    }
  }
}

Then(
  'a later turn that looks like a first one is granted where a new program is refused',
  function () {
    const buckets = new QuotaBuckets(LONG_AGO, ALLOWANCE);
    const quota = { tenant: 't', version: 1, ratePerSecond: 20, burst: 20 };
    const refused = fillWithPrograms(buckets, 0);
    assert.equal(buckets.decide(quota, requestOf(refused + 1, true), WHOLE, 10).reason, 'noRoom');
    assert.equal(buckets.decide(quota, requestOf(1, true), WHOLE, 10).reason, 'inProgress');
  },
);

Then(
  "of {int} programs refused together, those refused first are told to return first, a program's time apart",
  function (count: number) {
    const buckets = new QuotaBuckets(LONG_AGO, ALLOWANCE);
    const quota = { tenant: 't', version: 1, ratePerSecond: 20, burst: 20 };
    const first = fillWithPrograms(buckets, 0);
    const waits = Array.from(
      { length: count },
      (_, index) =>
        buckets.decide(quota, requestOf(first + 1 + index, true), WHOLE, 1).waitMilliseconds,
    );
    const secondsOfProgram = 9 / (20 * 1.04 + 1.6);
    for (let index = 1; index < count; index += 1) {
      const gap = waits[index]! - waits[index - 1]!;
      assert.ok(Math.abs(gap - secondsOfProgram * MILLISECONDS_IN_SECOND) < 1, `${gap}`);
    }
  },
);

/** Refused programs of which all return at the time they were told, so that returns are expected. */
function withReturningClients(): WaitingPrograms {
  const waiting = new WaitingPrograms();
  for (let program = 1; program <= 100; program += 1) {
    const now = program * 1_000;
    const wait = waiting.refuse(program, 0, 9, 100, 0, now);
    waiting.admit(program, 0, now + wait);
  }
  return waiting;
}

Then('a program that returns in time goes before new ones', function () {
  const waiting = withReturningClients();
  const now = 200_000;
  const wait = waiting.refuse(500, 0, 9, 2_000, 0, now);
  assert.equal(waiting.requestsAhead(501, 0, now + 100), 0);
  assert.ok(waiting.requestsAhead(501, 0, now + wait) > 8);
  assert.equal(waiting.requestsAhead(500, 0, now + wait), 0);
  assert.equal(
    waiting.requestsAhead(501, 0, now + wait + 600),
    0,
    'its place is kept only briefly',
  );
});

Then(
  'while more urgent programs wait, a less urgent one is refused at first and admitted later',
  function () {
    const waiting = withReturningClients();
    let now = 200_000;
    waiting.refuse(1_000, 1, 9, 0, 0, now);
    let refusals = 0;
    for (let program = 2_000; program < 2_100; program += 1) {
      now += 200;
      waiting.refuse(program, 0, 9, 1_000, 0, now);
      refusals += waiting.requestsAhead(1_000, 1, now) > 0 ? 1 : 0;
    }
    assert.ok(refusals >= 40 && refusals <= 60, `${refusals}`);
    waiting.admit(1_000, 1, now);
    assert.ok(waiting.requestsAhead(1_001, 1, now + 100) > 0, 'it yields again after an admission');
  },
);
