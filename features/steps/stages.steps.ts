/** Steps for the stage pipeline, with stages of the test's own and no network. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { RelayContext } from '../../src/relay/relay-context.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { RequestState } from '../../src/relay/stages/request-state.js';
import { GO_ON, runStages, refuseWith } from '../../src/relay/stages/stage.js';
import type { RequestStage, StageOutcome, StageRefusal } from '../../src/relay/stages/stage.js';

const REFUSAL = refuseWith({ status: 503, detail: 'test', verdict: 'NotRun' });

function createRequestState(): RequestState {
  const context = { admission: { isAdmitted: () => true } } as unknown as RelayContext;
  const route = { kind: 'single', timeoutMilliseconds: 1_000 };
  return new RequestState(context, { arrivedAt: 0, deadlineAt: 1_000, route } as RelayRequest);
}

/** A stage that decides at once. */
function immediateStage(
  name: string,
  outcome: StageOutcome,
  decidedStages: string[],
): RequestStage {
  return {
    name,
    decide: () => {
      decidedStages.push(name);
      return outcome;
    },
  };
}

/** A stage that waits until the test resumes it. */
class WaitingStage implements RequestStage {
  resume: (end: StageOutcome) => void = () => assert.fail('not begun');

  constructor(readonly name: string) {}

  readonly decide = () => ({
    tag: 'Wait' as const,
    begin: (resume: (end: StageOutcome) => void) => {
      this.resume = resume;
    },
  });
}

type PipelineResult = StageRefusal | 'passed';

function resultsOf(
  steps: readonly (readonly RequestStage[])[],
  requestState = createRequestState(),
): PipelineResult[] {
  const results: PipelineResult[] = [];
  runStages(steps, requestState, (refusal) => results.push(refusal ?? 'passed'));
  return results;
}

Then(
  'a refusal in the second of three steps names its stage, and the third step does not run',
  function () {
    const decidedStages: string[] = [];
    const results = resultsOf([
      [immediateStage('one', GO_ON, decidedStages)],
      [
        immediateStage('two', REFUSAL, decidedStages),
        immediateStage('beside', GO_ON, decidedStages),
      ],
      [immediateStage('three', GO_ON, decidedStages)],
    ]);
    assert.deepEqual(decidedStages, ['one', 'two']);
    assert.deepEqual(
      results.map((end) => end !== 'passed' && end.stage),
      ['two'],
    );
  },
);

Then('a step ends when the last of its stages resumes, whatever the order', function () {
  const order = fc.shuffledSubarray([0, 1, 2], { minLength: 3 });
  fc.assert(
    fc.property(order, fc.option(fc.nat(2)), (resumed, refused) => {
      const stages = ['a', 'b', 'c'].map((name) => new WaitingStage(name));
      const results = resultsOf([stages]);
      for (const stageIndex of resumed) {
        assert.equal(
          results.length > 0,
          refused !== null && precedes(resumed, refused, stageIndex),
        );
        stages[stageIndex]!.resume(stageIndex === refused ? REFUSAL : GO_ON);
      }
      assert.equal(results.length, 1);
      assert.equal(results[0] === 'passed', refused === null);
    }),
  );
});

/** Whether `place` occurs before `before` in an order. */
function precedes(order: readonly number[], place: number, before: number): boolean {
  return order.indexOf(place) < order.indexOf(before);
}

Then(
  'a stage that resumes after the request has finished neither continues nor refuses it',
  function () {
    const requestState = createRequestState();
    const stage = new WaitingStage('late');
    const results = resultsOf([[stage]], requestState);
    requestState.finish(0);
    stage.resume(REFUSAL);
    assert.deepEqual(results, []);
  },
);

Then(
  'a listener for the end of a request is called once, also when it is added after the end',
  function () {
    const requestState = createRequestState();
    const released: number[] = [];
    requestState.onFinish((tokens) => released.push(tokens));
    requestState.finish(7);
    requestState.onFinish((tokens) => released.push(tokens + 1));
    assert.deepEqual(released, [7, 8]);
  },
);
