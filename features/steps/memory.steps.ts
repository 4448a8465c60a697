/** Steps about the discovery of the engines' prompt caches, in virtual time. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import { decodeCachedParts } from '../../platform/cached-parts.js';
import { EngineCacheDiscovery } from '../../src/relay/runners/engine-cache-discovery.js';
import type { CachedPart } from '../../src/relay/runners/engine-cache-discovery.js';
import { parsePromptParts, promptKeyOf } from '../../src/relay/request/relay-request.js';
import { RunnerRegistry } from '../../src/relay/runners/runner-registry.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { hashToNumber } from '../../src/runtime/hashing.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const ANSWER_MILLISECONDS = 5;

interface World {
  memoryClock: VirtualClock;
  registry: RunnerRegistry;
  cachedPartsByRunner: Map<string, readonly CachedPart[]>;
  queried: string[];
  peerCount: number;
  announced?: Map<number, readonly CachedPart[]>;
}

function runnerOf(id: string, service: string): Runner {
  return { id, service, host: id, port: 1, zone: 'z', slots: 8, ready: true };
}

Given(
  'a gateway that has just started next to {int} others',
  function (this: World, peers: number) {
    this.memoryClock = new VirtualClock();
    const runtime = new SimulatedProcess('g', this.memoryClock, createRandom(3)).start();
    this.registry = new RunnerRegistry(runtime);
    this.cachedPartsByRunner = new Map();
    this.queried = [];
    this.peerCount = peers;
    const discovery = new EngineCacheDiscovery({
      runtime,
      registry: this.registry,
      read: (runner, done) => {
        this.queried.push(runner.id);
        runtime.setTimer(ANSWER_MILLISECONDS, () =>
          done(E.right(this.cachedPartsByRunner.get(runner.id) ?? [])),
        );
      },
      cachesPrompts: (service) => service === 'engines',
      mayQuery: () => true,
      peerCount: () => this.peerCount,
      announce: (runnerHash, parts) => (this.announced ??= new Map()).set(runnerHash, parts),
    });
    this.registry.onRunnerAdded = (runner) => discovery.noteRunnerAdded(runner);
  },
);

When(
  'engine {string} with {string} cached and plain runner {string} are added',
  function (this: World, engine: string, parts: string, plain: string) {
    this.cachedPartsByRunner.set(engine, parsePromptParts(parts));
    this.registry.put(runnerOf(engine, 'engines'));
    this.registry.put(runnerOf(plain, 'plain'));
  },
);

When('{int} engines are added', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.registry.put(runnerOf(`e${index}`, 'engines'));
  }
});

When('{int} milliseconds pass after the start', function (this: World, milliseconds: number) {
  this.memoryClock.runUntil(this.memoryClock.now + milliseconds);
});

Then(
  '{int} tokens of the prompt {string} are known to be cached at {string}',
  function (this: World, tokens: number, prompt: string, runner: string) {
    const candidates = this.registry.candidates('engines', parsePromptParts(prompt), new Set());
    assert.equal(candidates.find(({ id }) => id === runner)?.cachedTokens, tokens);
  },
);

When(
  '{int} peers are heard from, and each engine is reported to have {int} parts cached',
  function (this: World, peers: number, parts: number) {
    this.peerCount = peers;
    for (const { hash } of this.registry.candidates('engines', [], new Set())) {
      for (let part = 0; part < parts; part += 1) {
        this.registry.learnCachedPart(hash, promptKeyOf(`part ${part}`), 100);
      }
    }
  },
);

Then(
  'the cached parts of {string} are announced to its peers',
  function (this: World, runner: string) {
    assert.deepEqual(
      this.announced!.get(hashToNumber(runner)),
      this.cachedPartsByRunner.get(runner),
    );
  },
);

Then('at most {int} engines were queried', function (this: World, most: number) {
  assert.ok(this.queried.length <= most, `${this.queried.length} were queried`);
});

Then('only {string} was queried', function (this: World, runner: string) {
  assert.deepEqual(this.queried, [runner]);
});

Then(
  'between {int} and {int} engines were queried',
  function (this: World, least: number, most: number) {
    const { length } = this.queried;
    assert.ok(length >= least && length <= most, `${length} were queried`);
  },
);

Then('any bytes are decoded as a list of cached parts or refused', function () {
  const row = fc.tuple(fc.string(), fc.string(), fc.double(), fc.string());
  const text = fc.oneof(
    fc.string(),
    fc.json(),
    fc.array(row).map((held) => JSON.stringify({ epoch: 1, held })),
  );
  fc.assert(
    fc.property(text, (body) => {
      const result = decodeCachedParts(body);
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
    decodeCachedParts(JSON.stringify({ held })),
    E.right([{ key: promptKeyOf('a'), tokens: 300 }]),
  );
});
