/** Generators of messages between gateways and replicas, of changes on disk, and of appended sections. */
import fc from 'fast-check';
import { QUOTA_REASONS } from '../../src/turns/quota-buckets.js';
import { CHAIN_STATES, REPLICA_OUTCOMES } from '../../src/turns/messages.js';
import type { ReplicaMessage } from '../../src/turns/messages.js';
import type { JoinToken } from '../../src/turns/membership.js';
import type { WrittenChange } from '../../src/turns/turn-storage.js';
import { encodeSections } from '../../src/wire/sections.js';

const plain = { noNullPrototype: true };
const text = fc.string({ maxLength: 20 });
const whole = fc.nat(0xffff_ffff);
const amount = fc.double({ min: 0, max: 1e12, noNaN: true });
const bytes = fc.uint8Array({ maxLength: 40 }).map((array) => Buffer.from(array));
const entry = fc.record(
  {
    program: text,
    turn: text,
    mostTokens: amount,
    usedTokens: fc.option(amount, { nil: undefined }),
  },
  plain,
);
const turn = fc.record(
  { id: text, previous: text, input: bytes, output: bytes, retentionMilliseconds: amount },
  plain,
);
const outcome = fc.constantFrom(...REPLICA_OUTCOMES);
const quota = fc.record(
  { tenant: text, version: amount, ratePerSecond: amount, burst: amount },
  plain,
);
const programRequest = fc.record(
  {
    program: whole,
    kind: text,
    startsProgram: fc.boolean(),
    assumedRequests: amount,
    patienceMilliseconds: amount,
    isFallback: fc.boolean(),
    rank: whole,
  },
  plain,
);
const lentView = fc.record({ members: fc.array(text), borrowers: fc.array(text) }, plain);
const lentShares = fc.record(
  { milliseconds: amount, views: fc.array(lentView), keptTenants: fc.array(text) },
  plain,
);
const silenceReport = fc.record(
  { member: text, milliseconds: amount, wasHeard: fc.boolean() },
  plain,
);

const pulled = {
  call: whole,
  active: fc.boolean(),
  epoch: whole,
  log: text,
  next: amount,
  end: amount,
  digests: bytes,
  turns: fc.array(text),
};

const versionReport = {
  call: whole,
  knownMilliseconds: amount,
  versions: fc.array(
    fc.record(
      { service: text, version: text, ageMilliseconds: amount, listedMilliseconds: amount },
      plain,
    ),
  ),
};

type Fields = Record<string, fc.Arbitrary<unknown>>;

/** Generators of the fields of each message kind, by name. */
export const MESSAGE_FIELDS: Readonly<Record<string, Fields>> = {
  reserve: { call: whole, epoch: whole, entry },
  settle: { entry },
  keep: { call: whole, epoch: whole, turn },
  chain: { call: whole, turn: text },
  pull: { call: whole, from: text, members: text, log: text, after: amount },
  fetch: { call: whole, turns: fc.array(text) },
  taken: { call: whole, outcome },
  account: { call: whole, outcome, entries: fc.array(entry) },
  chained: { call: whole, state: fc.constantFrom(...CHAIN_STATES), body: bytes },
  pulled,
  fetched: { call: whole, turns: fc.array(turn) },
  members: { record: text },
  readEntries: { call: whole, digests: bytes },
  entriesRead: { call: whole, entries: fc.array(entry) },
  spend: { call: whole, epoch: whole, quota, beginsRequests: amount, patienceMilliseconds: amount },
  spent: { call: whole, outcome, granted: fc.boolean(), waitMilliseconds: amount },
  pulledFresh: pulled,
  askSilences: { call: whole },
  silencesTold: { call: whole, from: text, words: fc.array(silenceReport) },
  chainUnder: { call: whole, epoch: whole, turn: text },
  notKnown: { call: whole },
  spendForProgram: { call: whole, epoch: whole, quota, request: programRequest },
  spentForProgram: {
    call: whole,
    outcome,
    granted: fc.boolean(),
    waitMilliseconds: amount,
    reason: fc.constantFrom(...QUOTA_REASONS),
    share: amount,
    tokens: amount,
    reserved: amount,
    needed: amount,
  },
  pullAndBorrow: { call: whole, from: text, members: text, log: text, after: amount },
  pulledAndLent: { ...pulled, fresh: fc.boolean(), lent: lentShares },
  recordOrigins: {
    call: whole,
    entries: fc.array(fc.record({ stream: text, service: text, version: text }, plain)),
  },
  originsRecorded: { call: whole },
  findOrigin: { call: whole, stream: text },
  originFound: { call: whole, found: fc.boolean(), service: text, version: text },
  recordSuspects: { call: whole, news: bytes },
  suspectsRecorded: { call: whole },
  readSuspects: { call: whole },
  suspectsRead: { call: whole, news: bytes },
  exchangeVersions: versionReport,
  versionsExchanged: versionReport,
  recordContents: {
    call: whole,
    entries: fc.array(fc.record({ content: amount, stream: text }, plain)),
  },
  contentsRecorded: { call: whole },
  findContent: { call: whole, content: amount },
  contentFound: {
    call: whole,
    stream: text,
    isShared: fc.boolean(),
    isComplete: fc.boolean(),
  },
  recordOutput: {
    call: whole,
    stream: text,
    position: whole,
    checksum: amount,
    events: fc.array(fc.record({ id: text, output: bytes }, plain)),
  },
  outputRecorded: { call: whole },
  findOutput: { call: whole, stream: text, lastEvent: text },
  outputFound: {
    call: whole,
    found: fc.boolean(),
    position: whole,
    checksum: amount,
    output: bytes,
  },
};

/** Generates a message of any kind. */
export const anyMessage = fc.oneof(
  ...Object.entries(MESSAGE_FIELDS).map(([type, fields]) =>
    fc.record({ type: fc.constant(type), ...fields }, plain),
  ),
) as unknown as fc.Arbitrary<ReplicaMessage>;

/** Generates any change that is written as a record. */
export const anyChange: fc.Arbitrary<WrittenChange> = fc.oneof(
  fc.record(
    {
      tag: fc.constant('meta' as const),
      meta: fc.record(
        { ready: fc.boolean(), members: text, neverReady: fc.constant(true as const) },
        { ...plain, requiredKeys: ['ready', 'members'] },
      ),
    },
    plain,
  ),
  fc.record(
    { tag: fc.constant('entry' as const), entry: fc.record({ entry, storedAt: amount }, plain) },
    plain,
  ),
  fc.record(
    { tag: fc.constant('turn' as const), turn: fc.record({ turn, storedAt: amount }, plain) },
    plain,
  ),
  fc.record(
    { tag: fc.constant('joining' as const), token: text.map((name) => name as JoinToken) },
    plain,
  ),
  fc.record(
    {
      tag: fc.constant('suspects' as const),
      suspects: fc.record({ news: bytes, storedAt: amount }, plain),
    },
    plain,
  ),
);

/** Generates one or more encoded sections of any kinds. */
export const anySections = fc
  .array(fc.record({ kind: fc.nat(0xff), content: fc.uint8Array({ maxLength: 30 }) }, plain), {
    minLength: 1,
    maxLength: 4,
  })
  .map(encodeSections);
