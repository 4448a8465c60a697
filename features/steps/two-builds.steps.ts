/** Steps about compatibility between builds: frozen bytes of older builds and unknown bytes of newer ones. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { crc32 } from 'node:zlib';
import { Given, Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ConfigurationProof } from '../../src/mirror/configuration-proof.js';
import { ProofExchange } from '../../src/peers/proof-exchange.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  FIRST_LIFE_WITH_EXTENSIONS,
} from '../../src/peers/load-message.js';
import type { LoadMessage } from '../../src/peers/load-message.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import {
  decodeMemberRecord,
  encodeMemberRecord,
  withMember,
  withoutMember,
} from '../../src/turns/membership.js';
import type { MemberRecord } from '../../src/turns/membership.js';
import {
  decodeReplicaMessage,
  encodeReplicaMessage,
  REPLICA_MESSAGE_KINDS,
} from '../../src/turns/messages.js';
import type { ReplicaMessage } from '../../src/turns/messages.js';
import { MemoryTurnStorage } from '../../src/turns/memory-turn-storage.js';
import { Replica } from '../../src/turns/replica.js';
import { decodeSegment, encodeRecord } from '../../src/turns/segment-codec.js';
import type { WrittenChange } from '../../src/turns/turn-storage.js';
import { encodeSections } from '../../src/wire/sections.js';
import { anyChange, anyMessage, anySections, MESSAGE_FIELDS } from '../support/wire-arbitraries.js';

interface Sample {
  readonly form: 'message' | 'record' | 'load' | 'members' | 'proof';
  readonly value: { readonly type?: string };
  readonly hex: string;
}

interface World {
  samples: readonly Sample[];
  builtReplica: Replica;
}

/** Bytes of the message kinds that are newer than the frozen samples, with the call number 9. */
/** Message kinds since the last samples, in the order of their numbers, each with one message and its bytes. */
const NEWER_MESSAGES: Readonly<Record<string, { fields: object; hex: string }>> = {
  notKnown: { fields: {}, hex: '1400000009' },
  spendForProgram: {
    fields: {
      epoch: 3,
      quota: { tenant: 't', version: 1, ratePerSecond: 2, burst: 4 },
      request: {
        program: 7,
        kind: 'k',
        startsProgram: true,
        assumedRequests: 8,
        patienceMilliseconds: 16,
        isFallback: false,
        rank: 1,
      },
    },
    hex: '1500000009000000030001743ff0000000000000400000000000000040100000000000000000000700016b01402000000000000040300000000000000000000001',
  },
  spentForProgram: {
    fields: {
      outcome: 'done',
      granted: true,
      waitMilliseconds: 2,
      reason: 'fits',
      share: 1,
      tokens: 4,
      reserved: 8,
      needed: 16,
    },
    hex: '160000000900014000000000000000013ff0000000000000401000000000000040200000000000004030000000000000',
  },
  pullAndBorrow: {
    fields: { from: 'm', members: '{}', log: 'l', after: 2 },
    hex: '170000000900016d000000027b7d00016c4000000000000000',
  },
  pulledAndLent: {
    fields: {
      active: true,
      epoch: 3,
      log: 'l',
      next: 1,
      end: 2,
      digests: Buffer.from('ab', 'hex'),
      turns: ['t'],
      fresh: false,
      lent: { milliseconds: 2, views: [{ members: ['m'], borrowers: ['n'] }], keptTenants: ['t'] },
    },
    hex: '1800000009010000000300016c3ff0000000000000400000000000000000000001ab00000001000174004000000000000000000000010000000100016d0000000100016e00000001000174',
  },
  recordOrigins: {
    fields: { entries: [{ stream: 's', service: 'm', version: 'v' }] },
    hex: '19000000090000000100017300016d000176',
  },
  originsRecorded: { fields: {}, hex: '1a00000009' },
  findOrigin: { fields: { stream: 's' }, hex: '1b00000009000173' },
  originFound: {
    fields: { found: true, service: 'm', version: 'v' },
    hex: '1c000000090100016d000176',
  },
  recordSuspects: { fields: { news: Buffer.from('ab', 'hex') }, hex: '1d0000000900000001ab' },
  suspectsRecorded: { fields: {}, hex: '1e00000009' },
  readSuspects: { fields: {}, hex: '1f00000009' },
  suspectsRead: { fields: { news: Buffer.from('ab', 'hex') }, hex: '200000000900000001ab' },
  exchangeVersions: {
    fields: {
      knownMilliseconds: 2,
      versions: [{ service: 'm', version: 'v', ageMilliseconds: 1, listedMilliseconds: 2 }],
    },
    hex: '210000000940000000000000000000000100016d0001763ff00000000000004000000000000000',
  },
  versionsExchanged: {
    fields: {
      knownMilliseconds: 2,
      versions: [{ service: 'm', version: 'v', ageMilliseconds: 1, listedMilliseconds: 2 }],
    },
    hex: '220000000940000000000000000000000100016d0001763ff00000000000004000000000000000',
  },
  recordContents: {
    fields: { entries: [{ content: 1, stream: 's' }] },
    hex: '2300000009000000013ff0000000000000000173',
  },
  contentsRecorded: { fields: {}, hex: '2400000009' },
  findContent: { fields: { content: 2 }, hex: '25000000094000000000000000' },
  contentFound: {
    fields: { stream: 's', isShared: false, isComplete: true },
    hex: '26000000090001730001',
  },
  recordOutput: {
    fields: {
      stream: 's',
      position: 2,
      checksum: 4,
      events: [{ id: '3', output: Buffer.from('a\n') }],
    },
    hex: '27000000090001730000000240100000000000000000000100013300000002610a',
  },
  outputRecorded: { fields: {}, hex: '2800000009' },
  findOutput: { fields: { stream: 's', lastEvent: '3' }, hex: '2900000009000173000133' },
  outputFound: {
    fields: { found: true, position: 3, checksum: 4, output: Buffer.from('a\n') },
    hex: '2a000000090100000003401000000000000000000002610a',
  },
};
const RECORD_HEADER_BYTES = 8;
const UNKNOWN_RECORD_KIND = 5;
/** Records of the kinds that newer builds than the frozen ones write, with their bytes behind the header. */
const NEWER_RECORDS: readonly { readonly change: WrittenChange; readonly hex: string }[] = [
  {
    change: { tag: 'suspects', suspects: { news: Buffer.from('ab', 'hex'), storedAt: 2 } },
    hex: '0400000001ab4000000000000000',
  },
];

/** Revives buffers, which the samples contain as `{ bytes: hex }`. */
function revive(_key: string, value: unknown): unknown {
  const bytes = (value as { bytes?: unknown } | null)?.bytes;
  return typeof bytes === 'string' ? Buffer.from(bytes, 'hex') : value;
}

function samplesOf(build: string): readonly Sample[] {
  const text = readFileSync(`features/support/frozen-${build}.json`, 'utf8');
  const { commit, samples } = JSON.parse(text, revive) as { commit: string; samples: Sample[] };
  assert.ok(commit.startsWith(build));
  return samples;
}

function toPlain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

/** A gateway's side of the proof exchange; collects what it sends, in hexadecimal. */
function proofExchange(): { sent: string[]; take: (bytes: Uint8Array) => void } {
  const clock = new VirtualClock();
  const runtime = new SimulatedProcess('g', clock, createRandom(1)).start();
  const proof = new ConfigurationProof(runtime, () => 12);
  const sent: string[] = [];
  let take: (bytes: Uint8Array, from: string) => void = () => undefined;
  const datagrams = {
    send: (bytes: Uint8Array): void => void sent.push(Buffer.from(bytes).toString('hex')),
    onDatagram: (listener: typeof take): void => void (take = listener),
    close: (): void => undefined,
  };
  clock.runUntil(1_000);
  proof.note({ revision: 12, provenAt: runtime.now() - 40 });
  new ProofExchange({ runtime, datagrams, proof, hostsToAsk: () => [], isNeeded: () => false });
  return { sent, take: (bytes) => take(bytes, 'h') };
}

function checkProofSample({ value, hex }: Sample, questions: readonly string[]): void {
  if (value.type === 'question') {
    const { sent, take } = proofExchange();
    take(Buffer.from(hex, 'hex'));
    assert.equal(sent.length, 1, 'a question of an older build is answered');
  } else {
    assert.ok(questions.length > 0);
    const { sent, take } = proofExchange();
    take(Buffer.from(questions[0]!, 'hex'));
    assert.equal(sent[0], hex, 'an answer has the bytes that older builds read');
  }
}

const READERS: Readonly<Record<Sample['form'], (sample: Sample, all: readonly Sample[]) => void>> =
  {
    message: ({ value, hex }) => {
      const message = decodeReplicaMessage(Buffer.from(hex, 'hex'));
      assert.deepEqual(toPlain(message), toPlain(value));
      const encoded = encodeReplicaMessage(message as ReplicaMessage);
      assert.equal(Buffer.from(encoded).toString('hex'), hex);
    },
    record: ({ value, hex }) => {
      const found: WrittenChange[] = [];
      decodeSegment(Buffer.from(hex, 'hex'), (change) => found.push(change));
      assert.deepEqual(toPlain(found), toPlain([value]));
      assert.equal(encodeRecord(found[0]!).toString('hex'), hex);
    },
    load: ({ value, hex }) => {
      const message = decodeLoadMessage(Buffer.from(hex, 'hex'));
      assert.deepEqual(toPlain(message), toPlain({ ...value, aggregates: [] }));
      const encoded = encodeLoadMessage(message as LoadMessage);
      assert.equal(Buffer.from(encoded).toString('hex'), hex);
    },
    members: ({ value, hex }) => {
      const text = Buffer.from(hex, 'hex').toString('utf8');
      assert.deepEqual(toPlain(decodeMemberRecord(text)), toPlain(value));
      assert.equal(encodeMemberRecord(decodeMemberRecord(text)!), text);
    },
    proof: (sample, all) =>
      checkProofSample(
        sample,
        all.filter(({ value }) => value.type === 'question').map(({ hex }) => hex),
      ),
  };

Given('the samples of build {string}', function (this: World, build: string) {
  this.samples = samplesOf(build);
});

Then('each is decoded to its original value and encoded to the same bytes', function (this: World) {
  this.samples.forEach((sample) => READERS[sample.form](sample, this.samples));
});

Then(
  /^its kinds of messages are the first (\d+) of today's$/,
  function (this: World, count: string) {
    const kinds = this.samples.flatMap(({ form, value }) => (form === 'message' ? value.type : []));
    assert.deepEqual(kinds, REPLICA_MESSAGE_KINDS.slice(0, Number(count)));
  },
);

Then(
  'the message kinds beyond those of {string} have their declared bytes',
  function (build: string) {
    const frozen = samplesOf(build).filter(({ form }) => form === 'message').length;
    const newer = REPLICA_MESSAGE_KINDS.slice(frozen);
    assert.deepEqual(newer, Object.keys(NEWER_MESSAGES));
    assert.deepEqual(Object.keys(MESSAGE_FIELDS), [...REPLICA_MESSAGE_KINDS]);
    for (const type of newer) {
      const { fields, hex } = NEWER_MESSAGES[type]!;
      const message = { type, call: 9, ...fields } as ReplicaMessage;
      assert.equal(Buffer.from(encodeReplicaMessage(message)).toString('hex'), hex);
      assert.deepEqual(decodeReplicaMessage(Buffer.from(hex, 'hex')), message);
    }
  },
);

Then(
  'the record kinds beyond those of {string} have their declared bytes',
  function (build: string) {
    const frozen = samplesOf(build).filter(({ form }) => form === 'record');
    const kinds = frozen.map(({ hex }) => Buffer.from(hex, 'hex')[RECORD_HEADER_BYTES]);
    assert.deepEqual(kinds, [0, 1, 2, 3]);
    NEWER_RECORDS.forEach(({ change, hex }, index) => {
      const encoded = encodeRecord(change).subarray(RECORD_HEADER_BYTES);
      assert.equal(encoded.toString('hex'), hex);
      assert.equal(encoded[0], kinds.length + index);
      const found: WrittenChange[] = [];
      decodeSegment(recordOf(encoded), (each) => found.push(each));
      assert.deepEqual(toPlain(found), toPlain([change]));
    });
    const { unknownRecords } = decodeSegment(
      recordOf(Buffer.from([UNKNOWN_RECORD_KIND])),
      () => undefined,
    );
    assert.equal(unknownRecords, 1, 'a new record kind needs a sample');
  },
);

function recordOf(content: Uint8Array): Buffer {
  const header = Buffer.alloc(RECORD_HEADER_BYTES);
  header.writeUInt32LE(content.length, 0);
  header.writeUInt32LE(crc32(content), 4);
  return Buffer.concat([header, content]);
}

Then('any message is decoded alike with any sections appended', function () {
  fc.assert(
    fc.property(anyMessage, anySections, (message, sections) => {
      const encoded = encodeReplicaMessage(message);
      assert.deepEqual(decodeReplicaMessage(Buffer.from(encoded)), message);
      assert.deepEqual(decodeReplicaMessage(Buffer.concat([encoded, sections])), message);
    }),
    { numRuns: 1_000 },
  );
});

Then('any message of an unknown kind is decoded as unknown, with its call number', function () {
  const kinds = fc.integer({ min: REPLICA_MESSAGE_KINDS.length, max: 0xff });
  fc.assert(
    fc.property(kinds, fc.nat(0xffff_ffff), fc.uint8Array(), (kind, call, rest) => {
      const head = Buffer.alloc(5);
      head.writeUInt8(kind, 0);
      head.writeUInt32BE(call, 1);
      const message = decodeReplicaMessage(Buffer.concat([head, rest]));
      assert.deepEqual(message, { type: 'unknown', kind, call });
    }),
  );
});

Then(
  'any record is decoded alike with any sections appended and unknown records in between',
  function () {
    const kinds = fc.integer({ min: UNKNOWN_RECORD_KIND, max: 0xff });
    const unknownRecord = fc
      .tuple(kinds, fc.uint8Array())
      .map(([kind, rest]) => recordOf(Uint8Array.of(kind, ...rest)));
    const known = fc.tuple(anyChange, fc.option(anySections, { nil: Buffer.alloc(0) }));
    fc.assert(
      fc.property(fc.array(known), fc.array(unknownRecord), (changes, others) => {
        const records = changes.map(([change, sections]) => {
          const content = encodeRecord(change).subarray(RECORD_HEADER_BYTES);
          return recordOf(Buffer.concat([content, sections]));
        });
        const mixed = records.flatMap((each, index) => [each, others[index] ?? Buffer.alloc(0)]);
        const rest = others.slice(records.length);
        const found: WrittenChange[] = [];
        const segment = Buffer.concat([...mixed, ...rest]);
        const read = decodeSegment(segment, (change) => found.push(change));
        assert.deepEqual(
          found,
          changes.map(([change]) => change),
        );
        assert.equal(read.unknownRecords, others.length);
        assert.equal(read.tornBytes, 0);
      }),
    );
  },
);

Then('a proof message between gateways is decoded alike with sections appended', function () {
  const question = samplesOf('8a76974').find(({ value }) => value.type === 'question')!;
  fc.assert(
    fc.property(anySections, (sections) => {
      const { sent, take } = proofExchange();
      take(Buffer.concat([Buffer.from(question.hex, 'hex'), sections]));
      take(Uint8Array.of(9, 1, 2, 3));
      assert.equal(sent.length, 1);
    }),
  );
});

Then('any unknown sections appended to a load message leave its loads unchanged', function () {
  const sample = samplesOf('8a76974').find(({ form }) => form === 'load')!;
  const bytes = Buffer.from(sample.hex, 'hex');
  // Older builds draw life numbers up to 2^31 and reject extensions.
  assert.ok(FIRST_LIFE_WITH_EXTENSIONS > 2 ** 31);
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 0xff }), fc.uint8Array(), (kind, content) => {
      const grown = Buffer.concat([bytes, encodeSections([{ kind, content }])]);
      assert.deepEqual(decodeLoadMessage(grown), decodeLoadMessage(bytes));
    }),
  );
});

Then('fields of a newer build stay in the membership record when it changes', function () {
  const sample = samplesOf('8a76974').find(({ form }) => form === 'members')!;
  const value = sample.value as unknown as MemberRecord;
  const [first, ...others] = value.members;
  const grown = { ...value, later: 7, members: [{ ...first!, build: 'x' }, ...others] };
  const read = decodeMemberRecord(JSON.stringify(grown))!;
  const more = withMember(read, { ...first!, id: 'n3' });
  const text = encodeMemberRecord(withoutMember(more, others[0]!.id));
  const changed = JSON.parse(text) as MemberRecord & { later: number };
  assert.equal(changed.later, 7);
  assert.equal(changed.epoch, value.epoch + 2);
  assert.equal((changed.members[0] as unknown as { build: string }).build, 'x');
});

Given(
  /^a replica that was complete, and (\d+) records? of a newer build on its disk$/,
  function (this: World, unknownRecords: string) {
    const runtime = new SimulatedProcess('r', new VirtualClock(), createRandom(1)).start();
    const storage = new MemoryTurnStorage(runtime);
    const directory = new MemberDirectory(runtime);
    this.builtReplica = new Replica({ id: 'r', runtime, storage, directory });
    this.builtReplica.restore({ tag: 'meta', meta: { ready: true, members: '' } });
    this.builtReplica.endRestore(Number(unknownRecords));
    this.builtReplica.close();
  },
);

Then(/^it begins as one that is (not )?complete$/, function (this: World, not: string | null) {
  assert.equal(this.builtReplica.ready, not === null);
  const [meta] = this.builtReplica.liveChanges();
  assert.deepEqual(meta, { tag: 'meta', meta: { ready: not === null, members: '' } });
});
