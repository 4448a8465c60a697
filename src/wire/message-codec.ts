/** Bytes of the messages between nodes. Branches are append only; a new version may add some. */
import * as E from 'fp-ts/lib/Either.js';
import { CALL_CLASSES } from '../model/call.js';
import type { NodeId } from '../model/identifiers.js';
import { callEvent, callRequest, usage } from './call-fields.js';
import { logEntry } from './command-codec.js';
import {
  count,
  decodeField,
  encodeField,
  flag,
  listOf,
  longText,
  oneOf,
  real,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';
import { FINISH_OUTCOMES, PROGRAM_ACTIONS } from './messages.js';
import type { Message } from './messages.js';

/** Version of the protocol; a node refuses connections of another. */
export const PROTOCOL_VERSION = 1;

const raft = { shard: count, term: count };
const promptPrefix = record({ name: shortText, tokens: real });
const callTicket = record({
  call: shortText,
  program: shortText,
  group: shortText,
  callClass: oneOf(CALL_CLASSES),
  repeatable: flag,
  promptTokens: real,
  maximumTokens: real,
  turn: count,
  attainedService: real,
  programAge: real,
  waited: real,
  deadlineIn: real,
  prefixes: listOf(promptPrefix),
  endsProgram: flag,
  avoidEngine: shortText,
});
const runningCall = record({
  call: shortText,
  engine: shortText,
  program: shortText,
  group: shortText,
});
const slice = { group: shortText, holder: count, number: count };

const message = new TaggedUnion([
  {
    type: 'appendEntries',
    fields: {
      ...raft,
      previousIndex: count,
      previousTerm: count,
      commitIndex: count,
      sentAt: real,
      entries: listOf(logEntry),
    },
  },
  { type: 'appendReply', fields: { ...raft, success: flag, matchIndex: count, sentAt: real } },
  {
    type: 'voteRequest',
    fields: { ...raft, preVote: flag, transfer: flag, lastIndex: count, lastTerm: count },
  },
  { type: 'voteReply', fields: { ...raft, preVote: flag, granted: flag } },
  {
    type: 'installSnapshot',
    fields: {
      ...raft,
      lastIndex: count,
      lastTerm: count,
      voters: listOf(shortText),
      state: longText,
      sentAt: real,
    },
  },
  { type: 'timeoutNow', fields: raft },
  { type: 'submitCall', fields: { shard: count, request: callRequest } },
  { type: 'callEvent', fields: { call: shortText, event: callEvent } },
  { type: 'notLeader', fields: { shard: count, call: shortText, hint: shortText } },
  { type: 'callProbe', fields: { calls: listOf(shortText) } },
  {
    type: 'callProbeReply',
    fields: { probed: listOf(shortText), unknown: listOf(shortText) },
  },
  {
    type: 'programRequest',
    fields: {
      shard: count,
      call: shortText,
      action: oneOf(PROGRAM_ACTIONS),
      program: shortText,
      group: shortText,
    },
  },
  { type: 'programReply', fields: { call: shortText, status: count, body: longText } },
  {
    type: 'poolReport',
    fields: {
      service: shortText,
      shard: count,
      from: count,
      complete: flag,
      waiting: listOf(callTicket),
      running: listOf(runningCall),
    },
  },
  {
    type: 'poolAssignment',
    fields: { service: shortText, call: shortText, engine: shortText, ...raft },
  },
  {
    type: 'poolRefusal',
    fields: { service: shortText, call: shortText, detail: shortText, retryAfterSeconds: real },
  },
  {
    type: 'poolFinished',
    fields: {
      service: shortText,
      call: shortText,
      program: shortText,
      engine: shortText,
      outcome: oneOf(FINISH_OUTCOMES),
      usage,
      serviceMilliseconds: real,
    },
  },
  { type: 'programGone', fields: { program: shortText } },
  { type: 'holdCheck', fields: { shard: count, programs: listOf(shortText) } },
  { type: 'sliceRequest', fields: { ledgerShard: count, ...slice, amount: real } },
  { type: 'sliceReply', fields: { ...slice, granted: real } },
  { type: 'sliceReturn', fields: { ledgerShard: count, ...slice, amount: real } },
  { type: 'sliceReturnSettled', fields: slice },
  { type: 'configurationAnnounce', fields: { revision: count, wantsReply: flag } },
  { type: 'configurationFetch', fields: { revision: count } },
  { type: 'configurationTransfer', fields: { revision: count, documents: longText } },
  { type: 'rowsRequest', fields: { query: shortText, table: shortText } },
  { type: 'rowsReply', fields: { query: shortText, rows: longText } },
  {
    type: 'configurationChanges',
    fields: { fromRevision: count, revision: count, documents: longText, removed: longText },
  },
  { type: 'poolAcknowledgement', fields: { shard: count } },
]);

/** Bytes of a message. */
export function encodeMessage(value: Message): Uint8Array {
  return encodeField(message, value);
}

/** A message from its bytes, or what is wrong with them. */
export function decodeMessage(bytes: Uint8Array): E.Either<string, Message> {
  return E.tryCatch(
    () => decodeField(message, bytes) as Message,
    (cause) => (cause instanceof Error ? cause.message : String(cause)),
  );
}

/** First frame of a connection: who speaks, and which version. */
export interface Hello {
  readonly version: number;
  /** Name of the cluster; a node of another one is refused. */
  readonly cluster: string;
  readonly node: NodeId;
}

const hello = record({ version: count, cluster: shortText, node: shortText });

/** Bytes of a hello. */
export function encodeHello(value: Hello): Uint8Array {
  return encodeField(hello, value);
}

/** A hello from its bytes, or what is wrong with them. */
export function decodeHello(bytes: Uint8Array): E.Either<string, Hello> {
  return E.tryCatch(
    () => decodeField(hello, bytes) as Hello,
    (cause) => (cause instanceof Error ? cause.message : String(cause)),
  );
}
