/**
 * Steps for admission control. The simulation has 34 engines of 6 slots behind 52 gateways, with an
 * urgent and a less urgent kind of program, and bursts of up to 2.5 times the usual load.
 */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { waitLimit, predictWait } from '../../src/relay/admission/predicted-wait.js';
import type { AdmissionInputs } from '../../src/relay/admission/predicted-wait.js';
import type { ProgramAdmission } from '../../src/relay/admission/program-admission.js';
import { ProgramStats } from '../../src/relay/admission/program-stats.js';
import {
  computeProgramRetryDelay,
  computeRetryDelay,
} from '../../src/relay/admission/retry-delay.js';
import { ServiceDemand } from '../../src/relay/admission/service-demand.js';
import { AggregateRegistry } from '../../src/peers/aggregate-registry.js';
import { AGGREGATE_TOPICS } from '../../src/peers/aggregates.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { parsePromptParts } from '../../src/relay/request/relay-request.js';
import { ADMISSION_STAGE } from '../../src/relay/stages/admission-stage.js';
import { fixedGatewayLimit, predictedWaitAdmission } from '../support/contention-admissions.js';
import { freshAdmission, requestStateWith } from '../support/contention-requests.js';
import { ContentionSimulation } from '../support/contention-simulation.js';
import type { SimulationScenario } from '../support/contention-scenario.js';
import type { ProgramKind } from '../support/contention-programs.js';

const IDLE: AdmissionInputs = {
  ahead: 0,
  moreUrgent: 0,
  slots: 100,
  turnMilliseconds: 230,
  turns: 6,
  programRemainingMilliseconds: 3_000,
  requestRemainingMilliseconds: 3_000,
};
const FULL: AdmissionInputs = { ...IDLE, ahead: 10_000 };

interface World {
  inputs: AdmissionInputs;
  isAdmitted: boolean;
  scenario: SimulationScenario;
  predictedSimulation: ContentionSimulation;
  limitedSimulation: ContentionSimulation;
}

function isAdmitted(
  admission: ProgramAdmission,
  program: string,
  inputs: AdmissionInputs,
  hasRunBefore = false,
): boolean {
  const request = { program, inputs: () => inputs, hasRunBefore: () => hasRunBefore };
  return admission.decide(request).retryDelayMilliseconds === undefined;
}

Given(
  'runners with {int} slots and {int} requests ahead of it, of which {int} are more urgent',
  function (this: World, slots: number, ahead: number, moreUrgent: number) {
    this.inputs = { ...IDLE, slots, ahead, moreUrgent };
  },
);

When(
  'a program of {int} turns with {int} ms left starts',
  function (this: World, turns: number, programRemainingMilliseconds: number) {
    const inputs = {
      ...this.inputs,
      turns,
      programRemainingMilliseconds,
    };
    this.isAdmitted = isAdmitted(freshAdmission(), 'new', inputs);
  },
);

Then('the program is admitted', function (this: World) {
  assert.equal(this.isAdmitted, true);
});

Then('the program is refused', function (this: World) {
  assert.equal(this.isAdmitted, false);
});

Then('a program that was admitted before is admitted again whatever the load', function () {
  const admission = freshAdmission();
  assert.ok(isAdmitted(admission, 'known', IDLE));
  assert.ok(isAdmitted(admission, 'known', FULL));
  assert.ok(isAdmitted(admission, 'known', { ...FULL, slots: 0, programRemainingMilliseconds: 0 }));
  admission.forget('known');
  assert.ok(!isAdmitted(admission, 'known', FULL));
});

Then(
  'a turn that shows that its program has run before is admitted where a new program is refused',
  function () {
    const admission = freshAdmission();
    assert.ok(!isAdmitted(admission, 'a', FULL));
    assert.ok(isAdmitted(admission, 'a', FULL, true));
    assert.ok(isAdmitted(admission, 'a', FULL));
  },
);

Then('without slots a new program is refused and a program in progress is not', function () {
  const gone = { ...IDLE, slots: 0 };
  assert.ok(!isAdmitted(freshAdmission(), 'a', gone));
  assert.ok(isAdmitted(freshAdmission(), 'a', gone, true));
});

Then(
  "of a tenant's first requests here, only that of a program without cached prompts starts a program",
  function () {
    const parts = parsePromptParts('aa:500,bb:300');
    const [fresh, known] = [500, 700].map((kept) => requestStateWith(`keeps ${kept}`, parts, kept));
    for (const requestState of [fresh!, known!]) {
      assert.equal(ADMISSION_STAGE.decide(requestState).tag, 'GoOn');
    }
    assert.equal(fresh!.startsProgram, true);
    assert.equal(known!.startsProgram, false);
  },
);

Then('a request that resumes a stream does not start a program, and another one does', function () {
  const parts = parsePromptParts('aa:500,bb:300');
  const fresh = requestStateWith('fresh', parts, 0);
  const resumed = requestStateWith('resumed', parts, 0, { resumes: 'r', lastEventId: '2' });
  [fresh, resumed].forEach((requestState) => ADMISSION_STAGE.decide(requestState));
  assert.equal(fresh.startsProgram, true);
  assert.equal(resumed.startsProgram, false);
});

const AMOUNT = fc.double({ min: 0, max: 1e9, noNaN: true });

Then(
  "retry delays lie between half of the expected delay and a third of the request's time, whatever the inputs",
  function () {
    const drawn = fc.double({ min: 0, max: 1, noNaN: true });
    fc.assert(
      fc.property(AMOUNT, AMOUNT, drawn, (excess, request, draw) => {
        for (const compute of [computeRetryDelay, computeProgramRetryDelay]) {
          const pause = compute(excess, request, draw);
          assert.ok(pause >= 0 && pause <= request / 3);
          assert.ok(pause >= Math.min(10_000, Math.max(0, request / 3 - 11), excess) / 2);
        }
      }),
    );
    for (const compute of [computeRetryDelay, computeProgramRetryDelay]) {
      const drawnPauses = [0, 0.25, 0.5, 0.75, 1].map((draw) => compute(300, 3_000, draw));
      assert.equal(new Set(drawnPauses).size, drawnPauses.length);
    }
  },
);

Then(
  'requests of less urgent ranks at all gateways are counted apart from those of more urgent ranks',
  function () {
    const board = new AggregateRegistry();
    const others = new Map([[hashToNumber('s'), [1, 0, 4, 0, 0, 2, 0, 0]]]);
    board.ofOthers = () => others;
    const demand = new ServiceDemand(board);
    const ends = [0, 2, 2, 9].map((rank) => demand.begin('s', rank));
    assert.equal(demand.countLessUrgent('s', 0), 4 + 2 + 2 + 1);
    assert.equal(demand.countLessUrgent('s', 2), 2 + 1);
    assert.equal(demand.countAtRank('s', 2), 4 + 2);
    assert.equal(demand.countLessUrgent('s', -1), 1 + 1 + demand.countLessUrgent('s', 0));
    assert.deepEqual(board.collectOwn(), [
      {
        topic: AGGREGATE_TOPICS.serviceDemand,
        rows: [{ key: hashToNumber('s'), amounts: [1, 0, 2, 0, 0, 0, 0, 1] }],
      },
    ]);
    ends.forEach((end) => end());
    assert.deepEqual(board.collectOwn(), []);
  },
);

Then('a million distinct programs and kinds leave tables of bounded size', function () {
  const MILLION = 1_000_000;
  const admission = freshAdmission();
  const kindStats = new ProgramStats();
  for (let number = 0; number < MILLION; number += 1) {
    isAdmitted(admission, `program ${number}`, IDLE);
    kindStats.recordTurn(`kind ${number}`, true);
  }
  assert.ok(!admission.isAdmitted('program 0') && admission.isAdmitted(`program ${MILLION - 1}`));
  assert.ok(admission.programCount <= 20_000);
  assert.ok(kindStats.kindCount <= 2_000);
});

Then(
  "whatever clients send, a program is admitted, or refused with a retry delay within its request's time",
  function () {
    const figure = fc.oneof(
      fc.double(),
      fc.constantFrom(0, -1, Infinity, -Infinity, NaN, Number.MAX_VALUE),
    );
    const inputsArbitrary = fc.record({
      ahead: AMOUNT,
      moreUrgent: AMOUNT,
      slots: fc.nat(10_000),
      turnMilliseconds: AMOUNT,
      turns: fc.double({ min: 0, max: 1e6, noNaN: true }),
      programRemainingMilliseconds: fc.option(figure, { nil: undefined }),
      requestRemainingMilliseconds: figure,
    });
    fc.assert(
      fc.property(inputsArbitrary, (inputs) => {
        const request = { program: 'p', inputs: () => inputs, hasRunBefore: () => false };
        const { retryDelayMilliseconds: pause } = freshAdmission().decide(request);
        const most = Math.max(0, inputs.requestRemainingMilliseconds / 3);
        assert.ok(pause === undefined || (pause >= 0 && !(pause > most)), `${pause}`);
        assert.ok(pause === undefined || Number.isFinite(pause), `${pause}`);
      }),
    );
    assert.ok(predictWait(IDLE) === 0 && waitLimit(IDLE) > 0);
  },
);

const URGENT: ProgramKind = {
  name: 'urgent',
  rank: 0,
  programsPerSecond: 48,
  turns: 3,
  fanOutShare: 0.04,
  deadlineFactor: 1.4,
  deadlineExtraMilliseconds: 200,
  value: 6.4,
  lateValue: 1.3,
};
const LESS_URGENT: ProgramKind = {
  name: 'less',
  rank: 2,
  programsPerSecond: 37,
  turns: 6.5,
  fanOutShare: 0.025,
  deadlineFactor: 1.3,
  deadlineExtraMilliseconds: 400,
  value: 5.6,
  lateValue: 4.2,
};
const BURST_FROM_SECOND = 4;
const BURST_TO_SECOND = 10;

Given(
  'a load with a burst of {float} times in {word} and load figures {int} ms old',
  function (this: World, burst: number, kinds: string, ageMilliseconds: number) {
    const factor = (kind: ProgramKind, second: number): number => {
      const isIn = second >= BURST_FROM_SECOND && second < BURST_TO_SECOND;
      return isIn && (kinds === 'all' || kinds === kind.name) ? burst : 1;
    };
    this.scenario = {
      kinds: [URGENT, LESS_URGENT],
      seed: 11,
      loadAgeMilliseconds: ageMilliseconds,
      factor,
    };
  },
);

Given(
  '{int} of the 34 engines failing at second {int}',
  function (this: World, engines: number, second: number) {
    this.scenario = { ...this.scenario, lostEngines: { engines, second } };
  },
);

Given('gateways partitioned into two halves', function (this: World) {
  this.scenario = { ...this.scenario, partitionedFromSecond: 0 };
});

Given(
  'gateways partitioned into two halves from second {int}',
  function (this: World, second: number) {
    this.scenario = { ...this.scenario, partitionedFromSecond: second };
  },
);

Given(
  'an engine that is {int} times slower than the others',
  function (this: World, factor: number) {
    this.scenario = { ...this.scenario, slowEngine: factor };
  },
);

When(
  'the load is simulated with predicted waits and with a limit at each gateway',
  function (this: World) {
    this.predictedSimulation = new ContentionSimulation(
      this.scenario,
      predictedWaitAdmission,
    ).run();
    this.limitedSimulation = new ContentionSimulation(this.scenario, fixedGatewayLimit).run();
  },
);

Then('predicted waits earn no less, and less urgent kinds no less', function (this: World) {
  const [now, before] = [this.predictedSimulation, this.limitedSimulation];
  assert.ok(now.earnedShare >= before.earnedShare, `${now.earnedShare} of ${before.earnedShare}`);
  const [less, lessBefore] = [now.outcomes.get('less')!, before.outcomes.get('less')!];
  assert.ok(less.earned >= lessBefore.earned, `${less.earned} of ${lessBefore.earned}`);
});

Then('urgent programs are served no less often than less urgent ones', function (this: World) {
  const [urgent, less] = ['urgent', 'less'].map((name) =>
    this.predictedSimulation.outcomes.get(name)!,
  );
  assert.ok(urgent!.earned >= less!.earned, `${urgent!.earned} of ${less!.earned}`);
});

Then(
  'no program is refused for good, and at most {int} in 100 requests',
  function (this: World, most: number) {
    const outcomes = [...this.predictedSimulation.outcomes.values()];
    const sumOf = (key: 'refused' | 'refusals' | 'programs'): number =>
      outcomes.reduce((sum, outcome) => sum + outcome[key], 0);
    assert.equal(sumOf('refused'), 0);
    // Each program sends several requests, so the share of requests is lower still.
    assert.ok(
      sumOf('refusals') <= (most / 100) * sumOf('programs'),
      `${sumOf('refusals')} refusals`,
    );
  },
);

Then('no more programs and no more requests are refused', function (this: World) {
  const [now, before] = [this.predictedSimulation, this.limitedSimulation].map(({ outcomes }) => ({
    requests: [...outcomes.values()].reduce((sum, { refusals }) => sum + refusals, 0),
    programs: [...outcomes.values()].reduce((sum, { refused }) => sum + refused, 0),
  }));
  assert.ok(now!.requests <= before!.requests, `${now!.requests} of ${before!.requests}`);
  assert.ok(now!.programs <= before!.programs, `${now!.programs} of ${before!.programs}`);
});
