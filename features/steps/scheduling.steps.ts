/** Steps for the scheduling policy, its models and the budget slices, all without a cluster. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  bookReturn,
  emptyLedger,
  emptySlice,
  grantSlice,
  reserveTokens,
  settleReservation,
} from '../../src/budget/slices.js';
import type { CallClass } from '../../src/model/call.js';
import { createRandom } from '../../src/runtime/random.js';
import { CacheDirectory } from '../../src/scheduling/cache-directory.js';
import { CostModel } from '../../src/scheduling/cost-model.js';
import { PauseModel } from '../../src/scheduling/pause-model.js';
import { IvyloomPolicy } from '../../src/scheduling/policies/ivyloom.js';
import type { EngineView, PoolView } from '../../src/scheduling/pool-view.js';
import type { CallTicket } from '../../src/wire/messages.js';

const CACHE_TOKENS = 100_000;

interface SchedulingWorld {
  pool?: PoolView;
  policy?: IvyloomPolicy;
  shares?: Map<string, number>;
  started?: { ticket: CallTicket; engine: EngineView }[];
  served?: Map<string, number>;
}

function createEngine(name: string, concurrency: number): EngineView {
  return {
    engine: name,
    zone: 'z',
    concurrency,
    cacheTokens: CACHE_TOKENS,
    running: 0,
    runningTokens: 0,
    pendingPrefillTokens: 0,
    heldTokens: 0,
    available: true,
  };
}

function createTicket(program: string, group: string, overrides: Partial<CallTicket>): CallTicket {
  const promptTokens = overrides.promptTokens ?? 500;
  return {
    call: `c-${program}`,
    program,
    group,
    callClass: 'interactive',
    repeatable: true,
    promptTokens,
    maximumTokens: 100,
    turn: 2,
    attainedService: 0,
    programAge: 0,
    waited: 0,
    deadlineIn: 60_000,
    prefixes: [{ name: program, tokens: promptTokens }],
    endsProgram: false,
    avoidEngine: '',
    ...overrides,
  };
}

function startAll(world: SchedulingWorld): void {
  world.started = [];
  for (;;) {
    const placement = world.policy!.choose(world.pool!, 0);
    if (placement === undefined) {
      return;
    }
    placement.engine.running += 1;
    world.started.push(placement);
  }
}

function engineOf(world: SchedulingWorld, name: string): EngineView {
  return world.pool!.engineByName.get(name)!;
}

Given(
  'a pool of {int} engines that take {int} calls each',
  function (this: SchedulingWorld, count: number, concurrency: number) {
    const engines = Array.from({ length: count }, (_, index) =>
      createEngine(`e${index}`, concurrency),
    );
    this.shares = new Map();
    this.policy = new IvyloomPolicy();
    this.pool = {
      engines,
      engineByName: new Map(engines.map((engine) => [engine.engine, engine])),
      directory: new CacheDirectory(),
      costs: new CostModel(),
      shareOf: (group) => this.shares!.get(group) ?? 1,
    };
  },
);

Given(
  'group {string} has share {int}',
  function (this: SchedulingWorld, group: string, share: number) {
    this.shares!.set(group, share);
  },
);

Given(
  'engine {string} has {int} tokens of program {string} cached',
  function (this: SchedulingWorld, engine: string, tokens: number, program: string) {
    this.pool!.directory.add(engine, { name: program, tokens });
  },
);

Given(
  'engine {string} runs {int} calls',
  function (this: SchedulingWorld, engine: string, running: number) {
    engineOf(this, engine).running = running;
  },
);

Given(
  'engine {string} holds prompts in all but {int} tokens of its cache',
  function (this: SchedulingWorld, engine: string, left: number) {
    engineOf(this, engine).heldTokens = CACHE_TOKENS - left;
  },
);

When(
  'group {string} enqueues {int} calls, group {string} {int} and {string} 1 urgent one',
  function (
    this: SchedulingWorld,
    greedy: string,
    many: number,
    modest: string,
    few: number,
    urgentGroup: string,
  ) {
    const enqueue = (group: string, index: number, callClass: CallClass): void =>
      this.policy!.enqueue(createTicket(`${group}-${index}`, group, { callClass }), 0);
    for (let index = 0; index < many; index += 1) {
      enqueue(greedy, index, 'interactive');
    }
    for (let index = 0; index < few; index += 1) {
      enqueue(modest, index, 'interactive');
    }
    enqueue(urgentGroup, many, 'urgent');
    this.started = [];
    // Placements are not counted as running, so they show the order of service alone.
    for (let round = 0; round < 20; round += 1) {
      const placement = this.policy!.choose(this.pool!, 0);
      if (placement !== undefined) {
        this.started.push(placement);
      }
    }
  },
);

Then('the urgent call starts first', function (this: SchedulingWorld) {
  assert.equal(this.started![0]!.ticket.callClass, 'urgent');
});

Then(
  'among the first {int} others {string} has at least {int}',
  function (this: SchedulingWorld, first: number, group: string, least: number) {
    const others = this.started!.slice(1, first + 1);
    const count = others.filter(({ ticket }) => ticket.group === group).length;
    assert.ok(count >= least, `${count} of ${others.length} calls`);
  },
);

When(
  'each of {int} calls ends before the next starts and both groups always have a call waiting',
  function (this: SchedulingWorld, calls: number) {
    const served = new Map<string, number>();
    const enqueue = (group: string, index: number): void =>
      this.policy!.enqueue(createTicket(`${group}-${index}`, group, {}), 0);
    enqueue('brandvold', 0);
    enqueue('teranga', 0);
    for (let index = 1; index <= calls; index += 1) {
      const { ticket, engine } = this.policy!.choose(this.pool!, index)!;
      served.set(ticket.group, (served.get(ticket.group) ?? 0) + 1);
      const usage = { promptTokens: 500, cachedTokens: 0, completionTokens: 100 };
      const turn = { ticket, engine, usage, serviceMilliseconds: 1_000 };
      this.policy!.finished(this.pool!, turn, index);
      enqueue(ticket.group, index);
    }
    this.served = served;
  },
);

Then(
  '{string} was served {int} times as often as {string}, within a tenth',
  function (this: SchedulingWorld, favoured: string, times: number, other: string) {
    const ratio = this.served!.get(favoured)! / this.served!.get(other)!;
    assert.ok(Math.abs(ratio - times) <= times / 10, `ratio ${ratio}`);
  },
);

When(
  'program {string} enqueues a call of {int} tokens',
  function (this: SchedulingWorld, program: string, promptTokens: number) {
    this.policy!.enqueue(createTicket(program, 'brandvold', { promptTokens }), 0);
    startAll(this);
  },
);

Then('it starts on engine {string}', function (this: SchedulingWorld, engine: string) {
  assert.deepEqual(
    this.started!.map((placement) => placement.engine.engine),
    [engine],
  );
});

Then('nothing starts', function (this: SchedulingWorld) {
  assert.deepEqual(this.started, []);
});

Then(
  'if half of the programs return within a second and half never, prompts are held about a second',
  function () {
    const model = new PauseModel();
    for (let index = 0; index < 400; index += 1) {
      model.observePause(700 + (index % 10) * 20);
      model.observeEnd();
    }
    const held = model.optimalHoldMilliseconds(1, 1 / 120_000);
    assert.ok(held >= 880 && held <= 3_000, `held for ${held} ms`);
  },
);

Then('if no program returns, prompts are not held', function () {
  const model = new PauseModel();
  for (let index = 0; index < 400; index += 1) {
    model.observeEnd();
  }
  assert.equal(model.optimalHoldMilliseconds(1, 1 / 120_000), 0);
});

Then(
  'the cost model estimates {float} ms per prompt token and {float} ms per generated token from {int} calls',
  function (prefill: number, decode: number, calls: number) {
    const model = new CostModel();
    const random = createRandom(5, 'costs');
    for (let index = 0; index < calls; index += 1) {
      const prompt = random.integer(0, 4_000);
      const output = random.integer(10, 300);
      const concurrentCalls = random.integer(0, 15);
      const noise = 0.9 + 0.2 * random.uniform();
      const time = (prompt * prefill + output * (decode + 0.3 * concurrentCalls)) * noise;
      model.observe(prompt, output, concurrentCalls, time);
    }
    assert.ok(Math.abs(model.prefillMillisecondsPerToken - prefill) < prefill * 0.15);
    assert.ok(Math.abs(model.decodeMillisecondsPerToken - decode) < decode * 0.15);
  },
);

type BudgetStep =
  | { readonly type: 'grant'; readonly holder: number; readonly amount: number }
  | { readonly type: 'repeat'; readonly holder: number }
  | { readonly type: 'reserve'; readonly holder: number; readonly amount: number }
  | { readonly type: 'settle'; readonly holder: number; readonly used: number }
  | { readonly type: 'return'; readonly holder: number; readonly twice: boolean };

const HOLDERS = 3;
const BUDGET = 1_000;

Then('no sequence of grants, duplicates, reservations and returns exceeds the budget', function () {
  const holder = fc.nat(HOLDERS - 1);
  const amount = fc.integer({ min: 1, max: 700 });
  const step: fc.Arbitrary<BudgetStep> = fc.oneof(
    fc.record({ type: fc.constant('grant' as const), holder, amount }),
    fc.record({ type: fc.constant('repeat' as const), holder }),
    fc.record({ type: fc.constant('reserve' as const), holder, amount }),
    fc.record({ type: fc.constant('settle' as const), holder, used: fc.nat(900) }),
    fc.record({ type: fc.constant('return' as const), holder, twice: fc.boolean() }),
  );
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), checkBudgetInvariants), {
    seed: 42,
    numRuns: 1_000,
  });
});

function checkBudgetInvariants(steps: readonly BudgetStep[]): void {
  const ledger = emptyLedger();
  const slices = Array.from({ length: HOLDERS }, () => emptySlice());
  const reserved: number[][] = slices.map(() => []);
  for (const step of steps) {
    const slice = slices[step.holder]!;
    switch (step.type) {
      case 'grant':
        slice.requestNumber += 1;
        slice.available += grantSlice(
          ledger,
          step.holder,
          slice.requestNumber,
          step.amount,
          BUDGET,
        );
        break;
      case 'repeat': {
        const before = ledger.outstanding;
        grantSlice(ledger, step.holder, slice.requestNumber, 50, BUDGET);
        assert.equal(ledger.outstanding, before);
        break;
      }
      case 'reserve':
        if (reserveTokens(slice, step.amount)) {
          reserved[step.holder]!.push(step.amount);
        }
        break;
      case 'settle': {
        const amount = reserved[step.holder]!.pop();
        if (amount !== undefined) {
          settleReservation(slice, amount, step.used);
        }
        break;
      }
      case 'return': {
        const amount = slice.available;
        slice.available = 0;
        slice.returnNumber += 1;
        bookReturn(ledger, step.holder, slice.returnNumber, amount);
        if (step.twice) {
          bookReturn(ledger, step.holder, slice.returnNumber, amount);
        }
      }
    }
    const held = slices.reduce(
      (sum, other) => sum + other.available + other.reserved + other.spent,
      0,
    );
    assert.ok(ledger.outstanding <= BUDGET, `granted ${ledger.outstanding} tokens`);
    assert.ok(
      held <= ledger.outstanding,
      `slices hold ${held} of ${ledger.outstanding} granted tokens`,
    );
  }
}
