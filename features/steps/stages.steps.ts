/** Steps about the table of stages: stages of a test's own, no network. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { RelayContext } from '../../src/relay/relay-context.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { Passage } from '../../src/relay/stages/passage.js';
import { GO_ON, passStages, refuseWith } from '../../src/relay/stages/stage.js';
import type { RequestStage, StageEnd, StageRefusal } from '../../src/relay/stages/stage.js';

const REFUSAL = refuseWith({ status: 503, detail: 'test', verdict: 'NotRun' });

function passageOf(): Passage {
  const context = { admission: { knows: () => true } } as unknown as RelayContext;
  const route = { kind: 'single', timeoutMilliseconds: 1_000 };
  return new Passage(context, { arrivedAt: 0, deadlineAt: 1_000, route } as RelayRequest);
}

/** A stage that decides at once. */
function prompt(name: string, end: StageEnd, asked: string[]): RequestStage {
  return {
    name,
    decide: () => {
      asked.push(name);
      return end;
    },
  };
}

/** A stage that waits until the test resumes it. */
class WaitingStage implements RequestStage {
  resume: (end: StageEnd) => void = () => assert.fail('not begun');

  constructor(readonly name: string) {}

  readonly decide = () => ({
    tag: 'Wait' as const,
    begin: (resume: (end: StageEnd) => void) => {
      this.resume = resume;
    },
  });
}

type End = StageRefusal | 'passed';

function endsOf(steps: readonly (readonly RequestStage[])[], passage = passageOf()): End[] {
  const ends: End[] = [];
  passStages(steps, passage, (refusal) => ends.push(refusal ?? 'passed'));
  return ends;
}

Then(
  'a request refused by the second of three steps is told which stage refused it, and the third is not asked',
  function () {
    const asked: string[] = [];
    const ends = endsOf([
      [prompt('one', GO_ON, asked)],
      [prompt('two', REFUSAL, asked), prompt('beside', GO_ON, asked)],
      [prompt('three', GO_ON, asked)],
    ]);
    assert.deepEqual(asked, ['one', 'two']);
    assert.deepEqual(
      ends.map((end) => end !== 'passed' && end.stage),
      ['two'],
    );
  },
);

Then('a step ends when the last of its stages resumes, whatever the order', function () {
  const order = fc.shuffledSubarray([0, 1, 2], { minLength: 3 });
  fc.assert(
    fc.property(order, fc.option(fc.nat(2)), (resumed, refused) => {
      const stages = ['a', 'b', 'c'].map((name) => new WaitingStage(name));
      const ends = endsOf([stages]);
      for (const place of resumed) {
        assert.equal(ends.length > 0, refused !== null && hasCome(resumed, refused, place));
        stages[place]!.resume(place === refused ? REFUSAL : GO_ON);
      }
      assert.equal(ends.length, 1);
      assert.equal(ends[0] === 'passed', refused === null);
    }),
  );
});

/** Whether one place came before another. */
function hasCome(order: readonly number[], place: number, before: number): boolean {
  return order.indexOf(place) < order.indexOf(before);
}

Then('a stage that resumes after the request is over neither goes on nor refuses it', function () {
  const passage = passageOf();
  const stage = new WaitingStage('late');
  const ends = endsOf([[stage]], passage);
  passage.finish(0);
  stage.resume(REFUSAL);
  assert.deepEqual(ends, []);
});

Then(
  'what is given back at the end of a request is given back once, also when it was taken after the end',
  function () {
    const passage = passageOf();
    const given: number[] = [];
    passage.onOver((tokens) => given.push(tokens));
    passage.finish(7);
    passage.onOver((tokens) => given.push(tokens + 1));
    assert.deepEqual(given, [7, 8]);
  },
);
