/** Steps about what engines keep and who asks them, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import { decodeKeptParts } from '../../platform/kept-parts.js';
import { KeptMemory } from '../../src/relay/runners/kept-memory.js';
import type { KeptPart } from '../../src/relay/runners/kept-memory.js';
import { parsePromptParts, promptKeyOf } from '../../src/relay/request/relay-request.js';
import { RunnerBook } from '../../src/relay/runners/runner-book.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const ANSWER_MILLISECONDS = 5;

interface World {
  memoryClock: VirtualClock;
  book: RunnerBook;
  keptBy: Map<string, readonly KeptPart[]>;
  asked: string[];
  peerCount: number;
  told?: Map<number, readonly KeptPart[]>;
}

function runnerOf(id: string, service: string): Runner {
  return { id, service, host: id, port: 1, zone: 'z', slots: 8, ready: true };
}

Given('a gateway that has just started beside {int} others', function (this: World, peers: number) {
  this.memoryClock = new VirtualClock();
  const runtime = new SimulatedProcess('g', this.memoryClock, createRandom(3)).begin();
  this.book = new RunnerBook(runtime);
  this.keptBy = new Map();
  this.asked = [];
  this.peerCount = peers;
  const memory = new KeptMemory({
    runtime,
    book: this.book,
    read: (runner, done) => {
      this.asked.push(runner.id);
      runtime.setTimer(ANSWER_MILLISECONDS, () => done(E.right(this.keptBy.get(runner.id) ?? [])));
    },
    keepsPrompts: (service) => service === 'engines',
    peerCount: () => this.peerCount,
    tell: (runnerHash, parts) => (this.told ??= new Map()).set(runnerHash, parts),
  });
  this.book.onSeen = (runner) => memory.runnerSeen(runner);
});

When(
  'engine {string} that keeps {string} and plain runner {string} are seen',
  function (this: World, engine: string, parts: string, plain: string) {
    this.keptBy.set(engine, parsePromptParts(parts));
    this.book.put(runnerOf(engine, 'engines'));
    this.book.put(runnerOf(plain, 'plain'));
  },
);

When('{int} engines are seen', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.book.put(runnerOf(`e${index}`, 'engines'));
  }
});

When('{int} milliseconds pass after the start', function (this: World, milliseconds: number) {
  this.memoryClock.runUntil(this.memoryClock.now + milliseconds);
});

Then(
  '{int} tokens of the prompt {string} are known to be at {string}',
  function (this: World, tokens: number, prompt: string, runner: string) {
    const candidates = this.book.candidates('engines', parsePromptParts(prompt), new Set());
    assert.equal(candidates.find(({ id }) => id === runner)?.cachedTokens, tokens);
  },
);

When(
  '{int} peers are heard, and each engine is told to keep {int} parts',
  function (this: World, peers: number, parts: number) {
    this.peerCount = peers;
    for (const { hash } of this.book.candidates('engines', [], new Set())) {
      for (let part = 0; part < parts; part += 1) {
        this.book.learnPlace(hash, promptKeyOf(`part ${part}`), 100);
      }
    }
  },
);

Then('its peers are told what {string} keeps', function (this: World, runner: string) {
  assert.deepEqual(this.told!.get(hashToNumber(runner)), this.keptBy.get(runner));
});

Then('at most {int} engines were asked', function (this: World, most: number) {
  assert.ok(this.asked.length <= most, `${this.asked.length} were asked`);
});

Then('only {string} was asked', function (this: World, runner: string) {
  assert.deepEqual(this.asked, [runner]);
});

Then(
  'between {int} and {int} engines were asked',
  function (this: World, least: number, most: number) {
    const { length } = this.asked;
    assert.ok(length >= least && length <= most, `${length} were asked`);
  },
);

Then('any bytes are read as a list of kept parts or refused', function () {
  const row = fc.tuple(fc.string(), fc.string(), fc.double(), fc.string());
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    fc.array(row).map((held) => JSON.stringify({ epoch: 1, held })),
  );
  fc.assert(
    fc.property(text, (body) => {
      const result = decodeKeptParts(body);
      if (E.isRight(result)) {
        result.right.forEach(({ tokens }) => assert.ok(tokens > 0 && Number.isFinite(tokens)));
      }
    }),
  );
  const held = [
    ['', 'a', 300, 'm'],
    ['', 'b', -1, 'm'],
  ];
  assert.deepEqual(
    decodeKeptParts(JSON.stringify({ held })),
    E.right([{ key: promptKeyOf('a'), tokens: 300 }]),
  );
});
