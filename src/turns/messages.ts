/** Messages between gateways and replicas, and among replicas, on framed TCP connections. */
import * as r from 'restructure';
import {
  count,
  encodeField,
  flag,
  listOf,
  longText,
  oneOf,
  real,
  record,
  shortText,
  TaggedUnion,
  UnknownKindError,
} from '../wire/fields.js';
import { decodeGrown } from '../wire/sections.js';
import type { UnionBranch } from '../wire/fields.js';
import type { Reservation } from './account.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { SilenceReport } from './silence-tracker.js';
import type { QuotaDecision, TenantQuota } from './quota-buckets.js';

/** How a replica took a request. */
export type ReplicaOutcome =
  /** Done, and on disk. */
  | 'done'
  /** The sender's epoch is older: a `members` message with the newest record went ahead. */
  | 'staleEpoch'
  /** This replica is not a member. */
  | 'inactive'
  /** Its disk refused. */
  | 'diskFailed'
  /** It is a member, and its state is not complete yet. */
  | 'incomplete'
  /** It knows only an older epoch than the sender does. */
  | 'olderEpoch';

/** All outcomes, in the order of the wire format; append only. */
export const REPLICA_OUTCOMES: readonly ReplicaOutcome[] = [
  'done',
  'staleEpoch',
  'inactive',
  'diskFailed',
  'incomplete',
  'olderEpoch',
];

/** What a replica knows of a chain of turns. */
export type ChainState =
  /** The whole chain is here. */
  | 'found'
  /** The turn itself is not here, and every write this replica acknowledged is. */
  | 'missing'
  /** It can't be told from here. */
  | 'unsure';

/** All chain states, in the order of the wire format; append only. */
export const CHAIN_STATES: readonly ChainState[] = ['found', 'missing', 'unsure'];

/** A reservation with its program. */
export interface AccountEntry extends Reservation {
  readonly program: string;
}

/** Requests; each is answered by the reply with the same `call`. */
export type ReplicaRequest =
  | { type: 'reserve'; call: number; epoch: number; entry: AccountEntry }
  | { type: 'keep'; call: number; epoch: number; turn: ConversationTurn }
  /** Asks whether the replica is there: the turn never exists. */
  | { type: 'chain'; call: number; turn: string }
  | { type: 'pull'; call: number; from: string; members: string; log: string; after: number }
  | { type: 'fetch'; call: number; turns: string[] }
  /** Asks for the reservations with these digests. */
  | { type: 'readEntries'; call: number; digests: Buffer }
  /** Asks for a chain of turns; a turn is denied only by who knows the same members as the sender. */
  | { type: 'chainUnder'; call: number; epoch: number; turn: string }
  /** Asks a member how long it has not heard the others. */
  | { type: 'askSilences'; call: number }
  /** Asks whether one request of a tenant may run. */
  | {
      type: 'spend';
      call: number;
      epoch: number;
      quota: TenantQuota;
      beginsRequests: number;
      patienceMilliseconds: number;
    };

/** Replies. */
export type ReplicaReply =
  | { type: 'taken'; call: number; outcome: ReplicaOutcome }
  | { type: 'account'; call: number; outcome: ReplicaOutcome; entries: AccountEntry[] }
  | { type: 'chained'; call: number; state: ChainState; body: Buffer }
  | {
      /** `pulledFresh` says besides that this replica has acknowledged nothing as the member it is. */
      type: 'pulled' | 'pulledFresh';
      call: number;
      active: boolean;
      epoch: number;
      log: string;
      /** Where to go on, and where the log ends now. */
      next: number;
      end: number;
      /** Digests of reservations one behind the other, see `ReservationDigests`. */
      digests: Buffer;
      turns: string[];
    }
  | { type: 'fetched'; call: number; turns: ConversationTurn[] }
  | { type: 'entriesRead'; call: number; entries: AccountEntry[] }
  /** The request is of a kind that this build doesn't know: it was not taken. */
  | { type: 'notKnown'; call: number }
  | { type: 'silencesTold'; call: number; from: string; words: SilenceReport[] }
  | ({ type: 'spent'; call: number; outcome: ReplicaOutcome } & QuotaDecision);

/** A newer record of the members; either side sends it whenever the other may not know it. */
export interface MembersMessage {
  type: 'members';
  record: string;
}

/** What a turn handed out; nobody waits for it. */
export interface SettleMessage {
  type: 'settle';
  entry: AccountEntry;
}

/** Messages without a reply. */
export type OneWayMessage = MembersMessage | SettleMessage;

/** All messages. */
export type ReplicaMessage = ReplicaRequest | ReplicaReply | OneWayMessage;

const bytes: r.Field = new r.Buffer(r.uint32);
const OPEN = -1;

/** `usedTokens` travels as -1 while it is open. */
class ReservationField implements r.Field {
  private readonly inner = record({ program: shortText, turn: shortText, most: real, used: real });

  decode(stream: r.DecodeStream): AccountEntry {
    const raw = this.inner.decode(stream) as {
      program: string;
      turn: string;
      most: number;
      used: number;
    };
    const usedTokens = raw.used === OPEN ? undefined : raw.used;
    return { program: raw.program, turn: raw.turn, mostTokens: raw.most, usedTokens };
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    this.inner.encode(stream, rawEntry(value as AccountEntry));
  }

  size(value: unknown): number {
    return this.inner.size(rawEntry(value as AccountEntry));
  }
}

function rawEntry(entry: AccountEntry): Record<string, unknown> {
  const { program, turn, mostTokens, usedTokens } = entry;
  return { program, turn, most: mostTokens, used: usedTokens ?? OPEN };
}

/** An entry of an account, on the wire and on disk. */
export const accountEntryField: r.Field = new ReservationField();
/** A kept turn, on the wire and on disk. */
export const conversationTurnField: r.Field = record({
  id: shortText,
  previous: shortText,
  input: bytes,
  output: bytes,
  retentionMilliseconds: real,
});
const outcome = oneOf(REPLICA_OUTCOMES);
const tenantQuotaField = record({
  tenant: shortText,
  version: real,
  ratePerSecond: real,
  burst: real,
});

const silenceReportField = record({ member: shortText, milliseconds: real, wasHeard: flag });

const pulledFields = {
  call: count,
  active: flag,
  epoch: count,
  log: shortText,
  next: real,
  end: real,
  digests: bytes,
  turns: listOf(shortText),
};

/**
 * Append only: a branch's place is its number on the wire. Each one that is added begins with `call`, 0 where
 * nothing is answered, so that a build that doesn't know it can say so. What a message carries besides goes into
 * sections behind it.
 */
const BRANCHES: readonly UnionBranch[] = [
  { type: 'reserve', fields: { call: count, epoch: count, entry: accountEntryField } },
  { type: 'settle', fields: { entry: accountEntryField } },
  { type: 'keep', fields: { call: count, epoch: count, turn: conversationTurnField } },
  { type: 'chain', fields: { call: count, turn: shortText } },
  {
    type: 'pull',
    fields: { call: count, from: shortText, members: longText, log: shortText, after: real },
  },
  { type: 'fetch', fields: { call: count, turns: listOf(shortText) } },
  { type: 'taken', fields: { call: count, outcome } },
  { type: 'account', fields: { call: count, outcome, entries: listOf(accountEntryField) } },
  { type: 'chained', fields: { call: count, state: oneOf(CHAIN_STATES), body: bytes } },
  { type: 'pulled', fields: pulledFields },
  { type: 'fetched', fields: { call: count, turns: listOf(conversationTurnField) } },
  { type: 'members', fields: { record: longText } },
  { type: 'readEntries', fields: { call: count, digests: bytes } },
  { type: 'entriesRead', fields: { call: count, entries: listOf(accountEntryField) } },
  {
    type: 'spend',
    fields: {
      call: count,
      epoch: count,
      quota: tenantQuotaField,
      beginsRequests: real,
      patienceMilliseconds: real,
    },
  },
  { type: 'spent', fields: { call: count, outcome, granted: flag, waitMilliseconds: real } },
  { type: 'pulledFresh', fields: pulledFields },
  { type: 'askSilences', fields: { call: count } },
  {
    type: 'silencesTold',
    fields: { call: count, from: shortText, words: listOf(silenceReportField) },
  },
  { type: 'chainUnder', fields: { call: count, epoch: count, turn: shortText } },
  { type: 'notKnown', fields: { call: count } },
];
const message = new TaggedUnion(BRANCHES);

/** Names of all kinds, in the order of their numbers. */
export const REPLICA_MESSAGE_KINDS: readonly string[] = BRANCHES.map(({ type }) => type);

/** Number of a message's kind. */
export function messageKindOf(value: { readonly type: string }): number {
  return message.numberOf(value);
}

/** Encodes a message without its frame. */
export function encodeReplicaMessage(value: ReplicaMessage): Uint8Array {
  return encodeField(message, value);
}

/** A message of a kind that only newer builds know. */
export interface UnknownMessage {
  readonly type: 'unknown';
  readonly kind: number;
  /** Its call; 0 where nobody waits for a reply. */
  readonly call: number;
}

const KIND_BYTES = 1;
const CALL_BYTES = 4;

/** Decodes the content of a frame. Throws on bytes that are no message of any build. */
export function decodeReplicaMessage(content: Buffer): ReplicaMessage | UnknownMessage {
  try {
    return decodeGrown(message, content).value as ReplicaMessage;
  } catch (cause) {
    if (cause instanceof UnknownKindError && content.length >= KIND_BYTES + CALL_BYTES) {
      return { type: 'unknown', kind: cause.kind, call: content.readUInt32BE(KIND_BYTES) };
    }
    throw cause;
  }
}
