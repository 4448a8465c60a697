/** Steps for seeded histories under faults and for the checkers of their invariants. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { CHECKERS } from '../../src/histories/checkers.js';
import type { InvariantName } from '../../src/histories/checkers.js';
import type { RecordedCall, RecordedRun } from '../../src/histories/recorded-events.js';
import { runHistory } from '../../src/histories/run-history.js';
import type { HistoryResult } from '../../src/histories/run-history.js';

interface PromisesWorld {
  batches?: HistoryResult[][];
  run?: RecordedRun;
}

When(
  'histories run from seed {int} to {int}',
  function (this: PromisesWorld, first: number, last: number) {
    const results: HistoryResult[] = [];
    for (let seed = first; seed <= last; seed += 1) {
      results.push(runHistory(seed));
    }
    this.batches = [...(this.batches ?? []), results];
  },
);

Then('no invariant is violated', function (this: PromisesWorld) {
  const violations = this.batches!.flat().flatMap(({ seed, violations: broken }) =>
    broken.map((violation) => ({ seed, ...violation })),
  );
  assert.deepEqual(violations, []);
  const answered = this.batches!.flat().flatMap((result) =>
    result.run.calls.filter((call) => call.result.type === 'answered'),
  );
  assert.ok(answered.length > 100, 'fewer than 101 calls were answered');
});

Then('at least {int} kinds of faults occurred', function (this: PromisesWorld, kinds: number) {
  const occurredKinds = new Set(
    this.batches!.flat().flatMap((result) => [...result.faults.keys()]),
  );
  assert.ok(
    occurredKinds.size >= kinds,
    `only these kinds of faults occurred: ${[...occurredKinds].join(', ')}`,
  );
});

Then('both runs recorded the same', function (this: PromisesWorld) {
  const [first, second] = this.batches!;
  assert.deepEqual(
    first!.map((result) => result.run),
    second!.map((result) => result.run),
  );
});

Given('the record of a run without violations', function (this: PromisesWorld) {
  const { run, violations } = runHistory(3, []);
  assert.deepEqual(violations, []);
  this.run = structuredClone(run);
});

function answered(run: RecordedRun, kind: 'chat' | 'tool'): RecordedCall[] {
  return run.calls.filter((call) => call.kind === kind && call.result.type === 'answered');
}

const NOT_RUN = {
  tag: 'Overloaded',
  verdict: 'NotRun',
  detail: 'planted',
  retryAfterSeconds: 1,
} as const;

const MUTATIONS: Readonly<Record<string, (run: RecordedRun) => void>> = {
  'an execution out of order': (run) => {
    const call = run.calls.find((candidate) => candidate.sequence === 1)!;
    const { call: name, program, service } = call;
    run.executions.push({ call: name, program, service, engine: 'x', at: run.endedAt });
  },
  'a lost turn': (run) => {
    const history = run.histories.find((candidate) => candidate.history.length > 2)!;
    (history.history as unknown[]).splice(0, 2);
    Object.assign(history, { historyDigest: '' });
  },
  'a message of another program': (run) => {
    const [first, second] = run.histories.filter((candidate) => candidate.history.length > 2);
    (first!.history as unknown[]).push(second!.history[0]);
  },
  'a history that cannot be read': (run) => {
    run.unreadablePrograms.push('p0');
  },
  'a grant beyond the budget': (run) => {
    const account = run.accounts[0]!;
    Object.assign(account, { granted: account.budget + 1 });
  },
  'an answer that was not paid': (run) => {
    run.accounts.forEach((account) => Object.assign(account, { spent: 0 }));
  },
  'a hold of an ended program': (run) => {
    run.holds.push({ engine: 'catalog-minds-1', program: run.endedPrograms[0]! });
  },
  'crossed answers': (run) => {
    const [first, second] = answered(run, 'tool');
    const firstResult = first!.result;
    first!.result = second!.result;
    second!.result = firstResult;
  },
  'a stream with a gap': (run) => {
    const call = answered(run, 'chat').find((candidate) => candidate.streaming)!;
    call.streamed = call.streamed.slice(4);
  },
  'a refused call that ran': (run) => {
    const ran = new Set(run.executions.map((execution) => execution.call));
    const call = run.calls.find((candidate) => ran.has(candidate.call))!;
    call.result = { type: 'failed', error: NOT_RUN };
  },
  'a second run': (run) => {
    const call = answered(run, 'tool').find((candidate) => !candidate.repeatable)!;
    const { call: name, program, service } = call;
    run.executions.push({ call: name, program, service, engine: 'x', at: run.endedAt });
  },
  'work for a leaving back end': (run) => {
    const { engine } = run.executions[0]!;
    const base = { statement: '', revision: 1, resumes: '' };
    run.changes.push({ ...base, issuedAt: -10_000, at: -10_000, drains: engine });
  },
  'a call cut by a planned stop': (run) => {
    const call = run.calls[0]!;
    call.result = { type: 'broken' };
    const { node, sentAt: beganAt, endedAt } = call;
    run.stops.push({ node, beganAt, endedAt, interrupted: false });
  },
  'a revision that falls': (run) => {
    const newest = run.revisions[run.revisions.length - 1]!;
    run.revisions.push({ ...newest, revision: newest.revision - 1 });
  },
  'a change that never comes into force': (run) => {
    const base = { statement: '', drains: '', resumes: '' };
    run.changes.push({ ...base, revision: 1e9, issuedAt: 0, at: 0 });
  },
};

When('it is changed by {string}', function (this: PromisesWorld, mutation: string) {
  MUTATIONS[mutation]!(this.run!);
});

Then(
  'the checker of {string} reports a violation',
  function (this: PromisesWorld, condition: string) {
    const found = CHECKERS[condition as InvariantName](this.run!);
    assert.notDeepEqual(found, []);
  },
);
