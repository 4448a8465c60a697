/** Properties of the configuration change log and of the message codec, checked with fast-check. */
import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import * as E from 'fp-ts/lib/Either.js';
import {
  applyChanges,
  ConfigurationChangeLog,
} from '../../src/configuration/configuration-change-log.js';
import {
  buildConfiguration,
  EMPTY_CONFIGURATION,
  listDocuments,
} from '../../src/configuration/documents.js';
import type {
  ClusterConfiguration,
  ConfigurationDocument,
} from '../../src/configuration/documents.js';
import { decodeMessage, encodeMessage } from '../../src/wire/message-codec.js';
import type { Message } from '../../src/wire/messages.js';

const SEED = 42;

function sorted(configuration: ClusterConfiguration): string[] {
  return listDocuments(configuration)
    .map((entry) => JSON.stringify(entry))
    .sort();
}

const group: fc.Arbitrary<ConfigurationDocument> = fc.record({
  kind: fc.constant('group' as const),
  document: fc.record({
    name: fc.constantFrom('a', 'b', 'c', 'd'),
    share: fc.integer({ min: 1, max: 9 }),
    budget: fc.integer({ min: 0, max: 1_000 }),
  }),
});

const edits = fc.array(fc.uniqueArray(group, { selector: (entry) => entry.document.name }), {
  minLength: 2,
  maxLength: 8,
});

Then(
  'for any edits, the changes since any kept revision lead to the newest configuration',
  function () {
    fc.assert(
      fc.property(edits, (states) => {
        const changeLog = new ConfigurationChangeLog();
        const seen = [EMPTY_CONFIGURATION];
        states.forEach((documents, index) => {
          const next = buildConfiguration(index + 1, documents);
          changeLog.add(seen[seen.length - 1]!, next);
          seen.push(next);
        });
        const newest = seen[seen.length - 1]!;
        for (const configuration of seen.slice(1, -1)) {
          const changes = changeLog.since(configuration.revision)!;
          const reached = buildConfiguration(
            changes.revision,
            applyChanges(configuration, changes),
          );
          assert.deepEqual(sorted(reached), sorted(newest));
          assert.equal(reached.revision, newest.revision);
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  },
);

Then('any bytes decode to a message or to a clear error', function () {
  const valid = encodeMessage({ type: 'callProbe', calls: ['c-1-aa', 'c-2-bb'] });
  const damaged = fc
    .tuple(fc.nat(valid.length - 1), fc.integer({ min: 0, max: 255 }))
    .map(([place, value]) => Uint8Array.from(valid, (byte, at) => (at === place ? value : byte)));
  const bytes = fc.oneof(fc.uint8Array({ maxLength: 200 }), damaged);
  let refused = 0;
  fc.assert(
    fc.property(bytes, (input) => {
      const decoded = decodeMessage(input);
      if (E.isLeft(decoded)) {
        refused += 1;
        assert.ok(decoded.left.length > 0);
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  assert.ok(refused > 500, `only ${refused} were refused`);
});

Then('any message of a call survives encoding', function () {
  const name = fc.string({ minLength: 1, maxLength: 30, unit: 'grapheme' });
  const chatMessage = fc.record({
    role: fc.constantFrom(
      'system' as const,
      'user' as const,
      'assistant' as const,
      'tool' as const,
    ),
    content: fc.string({ maxLength: 300, unit: 'grapheme' }),
  });
  const message: fc.Arbitrary<Message> = fc.record({
    type: fc.constant('submitCall' as const),
    shard: fc.nat(1_000),
    request: fc.record({
      call: name,
      program: name,
      group: name,
      service: name,
      callClass: fc.constantFrom('urgent' as const, 'interactive' as const, 'batch' as const),
      sequence: fc.nat(400),
      idempotencyKey: name,
      repeatable: fc.boolean(),
      messages: fc.array(chatMessage, { maxLength: 5 }),
      payload: fc.string({ maxLength: 100 }),
      maximumTokens: fc.nat(30_000),
      timeoutMilliseconds: fc.nat(600_000),
      endsProgram: fc.boolean(),
      receivedText: fc.string({ maxLength: 50 }),
    }),
  });
  fc.assert(
    fc.property(message, (value) => {
      const decoded = decodeMessage(encodeMessage(value));
      assert.deepEqual(
        E.isRight(decoded) ? JSON.parse(JSON.stringify(decoded.right)) : decoded.left,
        JSON.parse(JSON.stringify(value)),
      );
    }),
    { seed: SEED, numRuns: 300 },
  );
});
