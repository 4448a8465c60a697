/** Codec of the messages between nodes. Branches are append-only: their positions are encoded. */
import * as E from 'fp-ts/lib/Either.js';
import { CALL_CLASSES } from '../model/call.js';
import type { NodeId } from '../model/identifiers.js';
import { callEvent, callRequest, usage } from './call-fields.js';
import { logEntry } from './command-codec.js';
import {
  uint32,
  decodeField,
  encodeField,
  bool,
  listOf,
  longText,
  oneOf,
  float64,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';
import { FINISH_OUTCOMES, PROGRAM_ACTIONS } from './messages.js';
import type { Message } from './messages.js';

/** Version of the protocol; a node closes connections that use a different one. */
export const PROTOCOL_VERSION = 1;

const shardTerm = { shard: uint32, term: uint32 };
const promptPrefix = record({ name: shortText, tokens: float64 });
const callTicket = record({
  call: shortText,
  program: shortText,
  group: shortText,
  callClass: oneOf(CALL_CLASSES),
  repeatable: bool,
  promptTokens: float64,
  maximumTokens: float64,
  turn: uint32,
  attainedService: float64,
  programAge: float64,
  waited: float64,
  deadlineIn: float64,
  prefixes: listOf(promptPrefix),
  endsProgram: bool,
  avoidEngine: shortText,
});
const runningCall = record({
  call: shortText,
  engine: shortText,
  program: shortText,
  group: shortText,
});
const sliceKey = { group: shortText, holder: uint32, number: uint32 };

const message = new TaggedUnion([
  {
    type: 'appendEntries',
    fields: {
      ...shardTerm,
      previousIndex: uint32,
      previousTerm: uint32,
      commitIndex: uint32,
      sentAt: float64,
      entries: listOf(logEntry),
    },
  },
  {
    type: 'appendReply',
    fields: { ...shardTerm, success: bool, matchIndex: uint32, sentAt: float64 },
  },
  {
    type: 'voteRequest',
    fields: { ...shardTerm, preVote: bool, transfer: bool, lastIndex: uint32, lastTerm: uint32 },
  },
  { type: 'voteReply', fields: { ...shardTerm, preVote: bool, granted: bool } },
  {
    type: 'installSnapshot',
    fields: {
      ...shardTerm,
      lastIndex: uint32,
      lastTerm: uint32,
      voters: listOf(shortText),
      state: longText,
      sentAt: float64,
    },
  },
  { type: 'timeoutNow', fields: shardTerm },
  { type: 'submitCall', fields: { shard: uint32, request: callRequest } },
  { type: 'callEvent', fields: { call: shortText, event: callEvent } },
  { type: 'notLeader', fields: { shard: uint32, call: shortText, hint: shortText } },
  { type: 'callProbe', fields: { calls: listOf(shortText) } },
  {
    type: 'callProbeReply',
    fields: { probed: listOf(shortText), unknown: listOf(shortText) },
  },
  {
    type: 'programRequest',
    fields: {
      shard: uint32,
      call: shortText,
      action: oneOf(PROGRAM_ACTIONS),
      program: shortText,
      group: shortText,
    },
  },
  { type: 'programReply', fields: { call: shortText, status: uint32, body: longText } },
  {
    type: 'poolReport',
    fields: {
      service: shortText,
      shard: uint32,
      from: uint32,
      complete: bool,
      waiting: listOf(callTicket),
      running: listOf(runningCall),
    },
  },
  {
    type: 'poolAssignment',
    fields: { service: shortText, call: shortText, engine: shortText, ...shardTerm },
  },
  {
    type: 'poolRefusal',
    fields: { service: shortText, call: shortText, detail: shortText, retryAfterSeconds: float64 },
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
      serviceMilliseconds: float64,
    },
  },
  { type: 'programGone', fields: { program: shortText } },
  { type: 'holdCheck', fields: { shard: uint32, programs: listOf(shortText) } },
  { type: 'sliceRequest', fields: { ledgerShard: uint32, ...sliceKey, amount: float64 } },
  { type: 'sliceReply', fields: { ...sliceKey, granted: float64 } },
  { type: 'sliceReturn', fields: { ledgerShard: uint32, ...sliceKey, amount: float64 } },
  { type: 'sliceReturnSettled', fields: sliceKey },
  { type: 'configurationAnnounce', fields: { revision: uint32, wantsReply: bool } },
  { type: 'configurationFetch', fields: { revision: uint32 } },
  { type: 'configurationTransfer', fields: { revision: uint32, documents: longText } },
  { type: 'rowsRequest', fields: { query: shortText, table: shortText } },
  { type: 'rowsReply', fields: { query: shortText, rows: longText } },
  {
    type: 'configurationChanges',
    fields: { fromRevision: uint32, revision: uint32, documents: longText, removed: longText },
  },
  { type: 'poolAcknowledgement', fields: { shard: uint32 } },
]);

/** Encodes a message. */
export function encodeMessage(value: Message): Uint8Array {
  return encodeField(message, value);
}

/** Decodes a message; on the left, why the bytes are invalid. */
export function decodeMessage(bytes: Uint8Array): E.Either<string, Message> {
  return E.tryCatch(
    () => decodeField(message, bytes) as Message,
    (cause) => (cause instanceof Error ? cause.message : String(cause)),
  );
}

/** First frame of a connection: identifies the sender and its protocol version. */
export interface Hello {
  readonly version: number;
  /** Name of the cluster; connections from other clusters are closed. */
  readonly cluster: string;
  readonly node: NodeId;
}

const hello = record({ version: uint32, cluster: shortText, node: shortText });

/** Encodes a hello. */
export function encodeHello(value: Hello): Uint8Array {
  return encodeField(hello, value);
}

/** Decodes a hello; on the left, why the bytes are invalid. */
export function decodeHello(bytes: Uint8Array): E.Either<string, Hello> {
  return E.tryCatch(
    () => decodeField(hello, bytes) as Hello,
    (cause) => (cause instanceof Error ? cause.message : String(cause)),
  );
}
