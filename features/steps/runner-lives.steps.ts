/** Steps about runners that start again under their id: the book alone, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { parsePromptParts } from '../../src/relay/request/relay-request.js';
import { RunnerBook } from '../../src/relay/runners/runner-book.js';
import type { RunnerCandidate } from '../../src/relay/runners/runner-book.js';
import { lifeHash, lifeOf } from '../../src/relay/runners/runner.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const SERVICE = 's';
const PARTS = parsePromptParts('5c1e07a2:800');
const LAPSE_MILLISECONDS = 500;

interface World {
  clock: VirtualClock;
  book: RunnerBook;
  /** What others tell, by the short name of a life. */
  others: Map<number, number>;
  runner: Runner;
  before: RunnerCandidate;
}

function runnerBorn(bornAt: number | undefined): Runner {
  const place = { service: SERVICE, host: '10.0.0.1', port: 80, zone: 'z', slots: 4 };
  return { id: 'a', bornAt, ...place, ready: true };
}

function startBook(world: World): void {
  world.clock = new VirtualClock();
  const process = new SimulatedProcess('g', world.clock, createRandom(1));
  world.book = new RunnerBook(process.begin());
  world.others = new Map();
  world.book.inFlightOfOthers = (hash) => world.others.get(hash) ?? 0;
}

function candidateOf({ book }: World): RunnerCandidate {
  const [candidate, second] = book.candidates(SERVICE, PARTS, new Set());
  assert.ok(candidate !== undefined && second === undefined);
  return candidate;
}

const BELIEFS: Record<string, (world: World, record: RunnerCandidate['record']) => void> = {
  'that it keeps a prompt': ({ book }, record) => {
    book.begin(record, PARTS);
    book.finish(record, undefined);
  },
  'that it has requests': ({ book }, record) => book.begin(record, []),
  'that others have requests': ({ others, runner }) => others.set(lifeHash(runner), 3),
  'that it can not be reached': ({ book }, record) => book.noteOutOfReach(record, 'test'),
  'that others say it keeps it': ({ book, runner }) =>
    book.learnPlace(lifeHash(runner), PARTS[0]!.key, PARTS[0]!.tokens),
  'that it is about to lapse': ({ book, runner }) => book.lapse(runner.id, LAPSE_MILLISECONDS),
};

Given(
  /^a runner "a" born at (\d+) of which (.+) is believed$/,
  function (this: World, bornAt: string, belief: string) {
    startBook(this);
    this.runner = runnerBorn(Number(bornAt));
    this.book.put(this.runner);
    BELIEFS[belief]!(this, candidateOf(this).record);
    this.before = candidateOf(this);
  },
);

When('its entry tells that it was born at {int}', function (this: World, bornAt: number) {
  this.book.put(runnerBorn(bornAt));
});

When(
  'its entry tells that it was born at {int} at another address',
  function (this: World, bornAt: number) {
    this.book.put({ ...runnerBorn(bornAt), host: '10.0.0.2' });
  },
);

When('its entry no longer tells when it was born', function (this: World) {
  this.book.put(runnerBorn(undefined));
});

Then('nothing of that is believed of it', function (this: World) {
  const candidate = candidateOf(this);
  assert.deepEqual([candidate.inFlight, candidate.cachedTokens], [0, 0]);
  assert.deepEqual([candidate.record.failures, candidate.record.outOfReach], [0, false]);
  assert.equal(candidate.record.distrustedUntil, 0);
  this.clock.runUntil(this.clock.now + 2 * LAPSE_MILLISECONDS);
  assert.equal(candidateOf(this).record.goneAt, undefined);
});

Then(
  'it is still the life born at {int}, with all that is believed of it',
  function (this: World, bornAt: number) {
    const candidate = candidateOf(this);
    assert.equal(candidate.record, this.before.record);
    assert.deepEqual(candidate.record.runner, runnerBorn(bornAt));
    assert.equal(candidate.cachedTokens, PARTS[0]!.tokens);
  },
);

Then(
  'a request that the earlier life refused may be sent to it, and what ends at the earlier one changes nothing',
  function (this: World) {
    const refusedBy = new Set([lifeOf(this.runner)]);
    assert.equal(this.book.candidates(SERVICE, PARTS, refusedBy).length, 1);
    this.book.finish(this.before.record, undefined);
    assert.equal(candidateOf(this).inFlight, 0);
  },
);

Then(
  'of any entries of lives in any order the latest is used, with nothing of the others',
  function (this: World) {
    const births = fc.array(fc.nat(5), { minLength: 1, maxLength: 8 });
    fc.assert(
      fc.property(births, (each) => {
        startBook(this);
        each.forEach((bornAt) => {
          this.book.put(runnerBorn(bornAt));
          const latest = candidateOf(this);
          this.book.begin(latest.record, PARTS);
        });
        const latest = candidateOf(this);
        const bornAt = Math.max(...each);
        assert.equal(latest.record.runner.bornAt, bornAt);
        const since = each.slice(each.indexOf(bornAt));
        assert.equal(latest.inFlight, since.length);
      }),
    );
  },
);
