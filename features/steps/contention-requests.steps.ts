/**
 * Steps for the admission of requests by rank and number of prompt parts, and of requests with
 * absurd values.
 */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ProgramStats } from '../../src/relay/admission/program-stats.js';
import { ServiceDemand } from '../../src/relay/admission/service-demand.js';
import { AggregateRegistry } from '../../src/peers/aggregate-registry.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import { parsePromptParts, parseTokenUsage } from '../../src/relay/request/relay-request.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { RecursiveLeastSquares } from '../../src/scheduling/recursive-least-squares.js';
import { ADMISSION_STAGE } from '../../src/relay/stages/admission-stage.js';
import { RequestState } from '../../src/relay/stages/request-state.js';
import { requestStateWith } from '../support/contention-requests.js';

const RANKS = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];
const SLOTS = 200;

/**
 * Whether a program of a rank is admitted to a service, given the ranks of its requests in flight.
 */
function isAdmittedAmong(rank: number, inFlight: number, ranks: readonly number[]): boolean {
  const demand = new ServiceDemand(new AggregateRegistry());
  ranks.forEach((other) => demand.begin('s', other));
  const requestState = requestStateWith('new', [], 0);
  const { context, request } = requestState;
  const registry = { ...context.registry, loadOf: () => ({ inFlight, slots: SLOTS, runners: 34 }) };
  const urgency = { tenantPriority: Math.floor(rank / 3), routePriority: rank % 3 };
  const rankedRequest = {
    ...request,
    tenant: { ...request.tenant, priority: urgency.tenantPriority },
    route: { ...request.route, priority: urgency.routePriority },
    programDeadlineAt: 3_000,
  };
  const testContext = { ...context, demand, registry } as unknown as RelayContext;
  const decision = ADMISSION_STAGE.decide(
    new RequestState(testContext, rankedRequest as unknown as RelayRequest),
  );
  return decision.tag === 'GoOn';
}

Then(
  'programs of each rank are admitted among {int} requests of their own rank at 200 slots',
  function (inFlight: number) {
    for (const rank of RANKS) {
      const sameRank = new Array<number>(inFlight).fill(rank);
      assert.ok(isAdmittedAmong(rank, inFlight, sameRank), `rank ${rank}`);
      assert.ok(isAdmittedAmong(rank, SLOTS - 1, sameRank), `rank ${rank}, others' ranks not told`);
    }
  },
);

Then('programs of every rank are admitted among equals up to the same load', function () {
  for (const inFlight of [205, 220, 240, 300, 1_000]) {
    const admitted = RANKS.map((rank) =>
      isAdmittedAmong(rank, inFlight, new Array<number>(inFlight).fill(rank)),
    );
    assert.equal(new Set(admitted).size, 1, `${inFlight}: ${admitted.join(' ')}`);
  }
});

const COUNT_TEXT = fc.oneof(
  fc.double().map(String),
  fc.constantFrom('1e200', '1e308', '1e9', '-1', 'NaN', 'Infinity', '', '800'),
);
const MAXIMUM_TOKENS = 1e8;

Then('whatever clients and engines send, token counts are plausible', function () {
  const isPossible = (tokens: number): boolean => tokens >= 0 && tokens <= MAXIMUM_TOKENS;
  fc.assert(
    fc.property(COUNT_TEXT, COUNT_TEXT, (first, second) => {
      const { prompt, output } = parseTokenUsage(`${first},${second}`);
      assert.ok(isPossible(prompt) && isPossible(output), `${first},${second}`);
      const parts = parsePromptParts(`aa:${first},bb:${second}`);
      assert.ok(parts.every(({ tokens }) => isPossible(tokens)));
    }),
  );
  assert.deepEqual(parseTokenUsage('1e200,7'), { prompt: 0, output: 7 });
  assert.equal(parsePromptParts('aa:1e200,bb:7').length, 1);
});

Then('a fit stays finite whatever it observes, and goes on learning', function () {
  const figure = fc.oneof(
    fc.double({ noNaN: false }),
    fc.constantFrom(1e200, 1e308, Infinity, -Infinity, NaN, 0),
  );
  const observations = fc.array(fc.tuple(figure, figure, figure), { maxLength: 20 });
  fc.assert(
    fc.property(observations, (observed) => {
      const fit = new RecursiveLeastSquares([1, 0.1], [1, 1], 0.99);
      for (const [first, second, value] of observed) {
        fit.observe([first, second], value);
        assert.ok(fit.coefficients.every(Number.isFinite), `${fit.coefficients.join(' ')}`);
      }
    }),
  );
  const fit = new RecursiveLeastSquares([1, 0.1], [1, 1], 0.99);
  fit.observe([1, 1e200], 5);
  for (let round = 0; round < 500; round += 1) {
    fit.observe([1, round % 10], 20 + 3 * (round % 10));
  }
  assert.ok(Math.abs(fit.coefficients[1]! - 3) < 0.1, `${fit.coefficients.join(' ')}`);
});

/**
 * Returns the state of a request with a number of prompt parts, at a gateway with given statistics
 * and load.
 */
function requestStateWithParts(
  program: string,
  parts: number,
  kindStats: ProgramStats,
  inFlight = 0,
): RequestState {
  const sentParts = Array.from({ length: parts }, (_unused, part) => `${part}:100`).join(',');
  const { context, request } = requestStateWith(program, parsePromptParts(sentParts), 0);
  const registry = { ...context.registry, loadOf: () => ({ inFlight, slots: SLOTS, runners: 34 }) };
  const testContext = { ...context, kindStats, registry } as unknown as RelayContext;
  const requestWithDeadline = { ...request, programDeadlineAt: 3_000 };
  return new RequestState(testContext, requestWithDeadline as unknown as RelayRequest);
}

Then(
  "a request that reports few parts or none, or is refused, doesn't make others of its route sub-agents",
  function () {
    const kindStats = new ProgramStats();
    const decide = (program: string, parts: number, inFlight = 0): string =>
      ADMISSION_STAGE.decide(requestStateWithParts(program, parts, kindStats, inFlight)).tag;
    for (let number = 0; number < 50; number += 1) {
      assert.equal(decide(`first ${number}`, 3), 'GoOn');
    }
    assert.equal(decide('tells none', 0), 'GoOn');
    assert.equal(decide('tells one', 1), 'GoOn');
    const FAR_TOO_MANY = 100_000;
    for (let number = 0; number < 20; number += 1) {
      assert.notEqual(decide(`refused ${number}`, 1, FAR_TOO_MANY), 'GoOn');
    }
    assert.notEqual(decide('new', 3, FAR_TOO_MANY), 'GoOn');
    assert.equal(decide('sub-agent', 4, FAR_TOO_MANY), 'GoOn');
    for (let number = 0; number < 2_000; number += 1) {
      assert.equal(decide(`longer ${number}`, 5), 'GoOn');
    }
    assert.notEqual(decide('longer', 5, FAR_TOO_MANY), 'GoOn');
  },
);

Then(
  "turns of programs that started elsewhere don't raise the expected turns of a program above {int}",
  function (most: number) {
    const kindStats = new ProgramStats();
    for (let turn = 0; turn < 10_000; turn += 1) {
      kindStats.recordTurn('r', false);
    }
    assert.ok(kindStats.expectedTurns('r') <= most, `${kindStats.expectedTurns('r')}`);
  },
);

Then(
  'a new program waits for late programs of its own rank at all gateways, and not for on-time ones of the next tenants',
  function () {
    const MANY = 600;
    const NEXT_TENANT = 3;
    const board = new AggregateRegistry();
    const demand = new ServiceDemand(board);
    const isNewAdmitted = (): boolean => {
      const { context, request } = requestStateWithParts('new', 0, new ProgramStats(), MANY);
      const testContext = { ...context, demand } as unknown as RelayContext;
      return ADMISSION_STAGE.decide(new RequestState(testContext, request)).tag === 'GoOn';
    };
    const onTime = Array.from({ length: MANY }, () => demand.begin('s', NEXT_TENANT));
    assert.ok(isNewAdmitted());
    onTime.forEach((end) => end());
    const late = Array.from({ length: MANY }, () => demand.begin('s', NEXT_TENANT, 0));
    assert.ok(!isNewAdmitted());
    const told = board.collectOwn();
    late.forEach((end) => end());
    assert.equal(demand.countLate('s', 0), 0);
    board.ofOthers = (topic) =>
      new Map(
        told
          .filter((aggregate) => aggregate.topic === topic)
          .flatMap(({ rows }) => rows.map(({ key, amounts }) => [key, amounts] as const)),
      );
    assert.ok(!isNewAdmitted());
  },
);

Then(
  'a program that is refused for lack of slots leaves the sum of predicted waits finite',
  function () {
    const { context, request } = requestStateWithParts('new', 0, new ProgramStats());
    const registry = { ...context.registry, loadOf: () => ({ inFlight: 0, slots: 0, runners: 0 }) };
    const testContext = { ...context, registry } as unknown as RelayContext;
    assert.notEqual(ADMISSION_STAGE.decide(new RequestState(testContext, request)).tag, 'GoOn');
    assert.ok(!context.metrics.render().includes('Infinity'));
  },
);
