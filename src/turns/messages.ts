/** Messages between gateways and replicas, and among replicas, sent over framed TCP connections. */
import * as r from 'restructure';
import {
  uint32,
  encodeField,
  bool,
  listOf,
  longText,
  oneOf,
  duration,
  float64,
  record,
  shortText,
  TaggedUnion,
  UnknownKindError,
} from '../wire/fields.js';
import { writeFrame } from '../wire/framing.js';
import { decodeExtended } from '../wire/sections.js';
import type { UnionBranch } from '../wire/fields.js';
import type { Reservation } from './account.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { SilenceReport } from './silence-tracker.js';
import { QUOTA_REASONS } from './quota-buckets.js';
import type {
  ProgramDecision,
  ProgramRequest,
  QuotaDecision,
  TenantQuota,
} from './quota-buckets.js';
import type { LentShares } from './quota-shares.js';
import type {
  FoundContent,
  StreamContent,
  StreamContentEntry,
  StreamOrigin,
  StreamOriginEntry,
} from './stream-origins.js';
import type { FoundOutput, OutputEvent } from './stream-outputs.js';
import type { ListedVersion } from './version-reports.js';

/** The outcome of a request at one replica. */
export type ReplicaOutcome =
  /** Done, and durable. */
  | 'done'
  /** The sender's epoch is older; a `members` message with the newest record was sent before the reply. */
  | 'staleEpoch'
  /** This replica is not a member. */
  | 'inactive'
  /** The replica's disk rejected the write. */
  | 'diskFailed'
  /** The replica is a member, but its state is incomplete. */
  | 'incomplete'
  /** The replica only knows an epoch older than the sender's. */
  | 'olderEpoch'
  /** The replica lacks a predecessor of the turn, and has not stored it. */
  | 'lacksPredecessor';

/** All outcomes; the index is the wire format, so the list is append-only. */
export const REPLICA_OUTCOMES: readonly ReplicaOutcome[] = [
  'done',
  'staleEpoch',
  'inactive',
  'diskFailed',
  'incomplete',
  'olderEpoch',
  'lacksPredecessor',
];

/** The result of looking up a chain of turns at one replica. */
export type ChainState =
  /** The replica holds the whole chain. */
  | 'found'
  /** The replica lacks the turn and holds every write that it ever acknowledged. */
  | 'missing'
  /** The replica cannot tell whether the chain exists. */
  | 'unsure';

/** All chain states; the index is the wire format, so the list is append-only. */
export const CHAIN_STATES: readonly ChainState[] = ['found', 'missing', 'unsure'];

/** A reservation together with the program whose account it belongs to. */
export interface AccountEntry extends Reservation {
  readonly program: string;
}

/** Requests; the reply to each has the same `call`. */
export type ReplicaRequest =
  | { type: 'reserve'; call: number; epoch: number; entry: AccountEntry }
  | { type: 'keep'; call: number; epoch: number; turn: ConversationTurn }
  /** Reads a chain of turns; with an empty `turn`, a probe whose reply announces the replica's message kinds. */
  | { type: 'chain'; call: number; turn: string }
  | { type: 'pull'; call: number; from: string; members: string; log: string; after: number }
  | { type: 'fetch'; call: number; turns: string[] }
  /** Reads the reservations with the given digests. */
  | { type: 'readEntries'; call: number; digests: Buffer }
  /** Reads a chain of turns; the reply is `missing` only if the replica knows the same epoch as the sender. */
  | { type: 'chainUnder'; call: number; epoch: number; turn: string }
  /** Asks a member for how long each other member has been silent. */
  | { type: 'askSilences'; call: number }
  /** Asks whether one request of a tenant may run within its quota. */
  | {
      type: 'spend';
      call: number;
      epoch: number;
      quota: TenantQuota;
      beginsRequests: number;
      patienceMilliseconds: number;
    }
  /** Asks whether one request of a program may run within its tenant's quota. */
  | {
      type: 'spendForProgram';
      call: number;
      epoch: number;
      quota: TenantQuota;
      request: ProgramRequest;
    }
  /** A `pull` that also asks for a lease of the shares of the tenants whose home is the sender. */
  | {
      type: 'pullAndBorrow';
      call: number;
      from: string;
      members: string;
      log: string;
      after: number;
    }
  /** Records where streams began; held in memory for the time in which clients may resume them. */
  | { type: 'recordOrigins'; call: number; entries: StreamOriginEntry[] }
  /** Asks where a stream began. */
  | { type: 'findOrigin'; call: number; stream: string }
  /** Records requests under which runners ended, encoded by `encodeSuspects`; held in memory. */
  | { type: 'recordSuspects'; call: number; news: Buffer }
  /** Asks for all such requests. */
  | { type: 'readSuspects'; call: number }
  /** Reports which versions were listed lately, and asks what all gateways have reported. */
  | {
      type: 'exchangeVersions';
      call: number;
      knownMilliseconds: number;
      versions: ListedVersion[];
    }
  /** Records which stream has a content; held in memory like its origin. */
  | { type: 'recordContents'; call: number; entries: StreamContentEntry[] }
  /** Asks which stream has a content. */
  | { type: 'findContent'; call: number; content: StreamContent }
  /** Records events of a turn that its client may resume; held in memory for that time. */
  | {
      type: 'recordOutput';
      call: number;
      stream: string;
      position: number;
      checksum: number;
      events: OutputEvent[];
    }
  /** Asks for the output of a turn up to an event. */
  | { type: 'findOutput'; call: number; stream: string; lastEvent: string };

/** Replies. */
export type ReplicaReply =
  | { type: 'taken'; call: number; outcome: ReplicaOutcome }
  | { type: 'account'; call: number; outcome: ReplicaOutcome; entries: AccountEntry[] }
  | { type: 'chained'; call: number; state: ChainState; body: Buffer }
  /** `pulledFresh` additionally states that the replica has acknowledged nothing as the current member. */
  | ({ type: 'pulled' | 'pulledFresh' } & PulledLog)
  | ({ type: 'pulledAndLent'; fresh: boolean; lent: LentShares } & PulledLog)
  | { type: 'fetched'; call: number; turns: ConversationTurn[] }
  | { type: 'entriesRead'; call: number; entries: AccountEntry[] }
  /** The request is of a kind that this build does not know, and was ignored. */
  | { type: 'notKnown'; call: number }
  | { type: 'silencesTold'; call: number; from: string; words: SilenceReport[] }
  | ({ type: 'spent'; call: number; outcome: ReplicaOutcome } & QuotaDecision)
  | ({ type: 'spentForProgram'; call: number; outcome: ReplicaOutcome } & ProgramDecision)
  | { type: 'originsRecorded'; call: number }
  /** The origin of a stream; its texts are empty if this replica has no record. */
  | ({ type: 'originFound'; call: number; found: boolean } & StreamOrigin)
  | { type: 'suspectsRecorded'; call: number }
  | { type: 'suspectsRead'; call: number; news: Buffer }
  | {
      type: 'versionsExchanged';
      call: number;
      knownMilliseconds: number;
      versions: ListedVersion[];
    }
  | { type: 'contentsRecorded'; call: number }
  /** What this replica knows of a content. */
  | ({ type: 'contentFound'; call: number } & FoundContent)
  | { type: 'outputRecorded'; call: number }
  /** The output of a turn up to an event; empty if this replica doesn't know it. */
  | ({ type: 'outputFound'; call: number; found: boolean } & FoundOutput);

/** The reply to a pull. */
export interface PulledLog {
  readonly call: number;
  readonly active: boolean;
  readonly epoch: number;
  readonly log: string;
  /** Position to continue from, and the current end of the log. */
  readonly next: number;
  readonly end: number;
  /** Concatenated digests of reservations, see `ReservationDigests`. */
  readonly digests: Buffer;
  readonly turns: string[];
}

/** A membership record; either side sends it when the other may not know it yet. */
export interface MembersMessage {
  type: 'members';
  record: string;
}

/** The settlement of a reservation, sent without waiting for a reply. */
export interface SettleMessage {
  type: 'settle';
  entry: AccountEntry;
}

/** Messages without a reply. */
export type OneWayMessage = MembersMessage | SettleMessage;

/** Any message between gateways and replicas. */
export type ReplicaMessage = ReplicaRequest | ReplicaReply | OneWayMessage;

const bytes: r.Field = new r.Buffer(r.uint32);
const OPEN = -1;

/** Codec of an account entry; `usedTokens` is encoded as -1 while the reservation is open. */
class ReservationField implements r.Field {
  private readonly inner = record({
    program: shortText,
    turn: shortText,
    most: float64,
    used: float64,
  });

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

/** Codec of an account entry, on the wire and on disk. */
export const accountEntryField: r.Field = new ReservationField();
/** Codec of a conversation turn, on the wire and on disk. */
export const conversationTurnField: r.Field = record({
  id: shortText,
  previous: shortText,
  input: bytes,
  output: bytes,
  retentionMilliseconds: duration,
});
const outcome = oneOf(REPLICA_OUTCOMES);
const tenantQuotaField = record({
  tenant: shortText,
  version: float64,
  ratePerSecond: float64,
  burst: float64,
});

const programRequestField = record({
  program: uint32,
  kind: shortText,
  startsProgram: bool,
  assumedRequests: float64,
  patienceMilliseconds: float64,
  isFallback: bool,
  rank: uint32,
});
const lentSharesField = record({
  milliseconds: float64,
  views: listOf(record({ members: listOf(shortText), borrowers: listOf(shortText) })),
  keptTenants: listOf(shortText),
});

const silenceReportField = record({ member: shortText, milliseconds: float64, wasHeard: bool });

const streamOriginField = record({ stream: shortText, service: shortText, version: shortText });
const streamContentField = record({ content: float64, stream: shortText });
const outputEventField = record({ id: shortText, output: bytes });
const listedVersionField = record({
  service: shortText,
  version: shortText,
  ageMilliseconds: duration,
  listedMilliseconds: duration,
});
const versionReportFields = {
  call: uint32,
  knownMilliseconds: duration,
  versions: listOf(listedVersionField),
};

const pulledFields = {
  call: uint32,
  active: bool,
  epoch: uint32,
  log: shortText,
  next: float64,
  end: float64,
  digests: bytes,
  turns: listOf(shortText),
};

/**
 * Append-only: the index of a branch is its kind number on the wire. Each new branch starts with `call`, 0 where no
 * reply is expected, so that a build that does not know the kind can reply `notKnown`. Additional data of an existing
 * message goes into sections appended to it.
 */
const BRANCHES: readonly UnionBranch[] = [
  { type: 'reserve', fields: { call: uint32, epoch: uint32, entry: accountEntryField } },
  { type: 'settle', fields: { entry: accountEntryField } },
  { type: 'keep', fields: { call: uint32, epoch: uint32, turn: conversationTurnField } },
  { type: 'chain', fields: { call: uint32, turn: shortText } },
  {
    type: 'pull',
    fields: { call: uint32, from: shortText, members: longText, log: shortText, after: float64 },
  },
  { type: 'fetch', fields: { call: uint32, turns: listOf(shortText) } },
  { type: 'taken', fields: { call: uint32, outcome } },
  { type: 'account', fields: { call: uint32, outcome, entries: listOf(accountEntryField) } },
  { type: 'chained', fields: { call: uint32, state: oneOf(CHAIN_STATES), body: bytes } },
  { type: 'pulled', fields: pulledFields },
  { type: 'fetched', fields: { call: uint32, turns: listOf(conversationTurnField) } },
  { type: 'members', fields: { record: longText } },
  { type: 'readEntries', fields: { call: uint32, digests: bytes } },
  { type: 'entriesRead', fields: { call: uint32, entries: listOf(accountEntryField) } },
  {
    type: 'spend',
    fields: {
      call: uint32,
      epoch: uint32,
      quota: tenantQuotaField,
      beginsRequests: float64,
      patienceMilliseconds: float64,
    },
  },
  { type: 'spent', fields: { call: uint32, outcome, granted: bool, waitMilliseconds: float64 } },
  { type: 'pulledFresh', fields: pulledFields },
  { type: 'askSilences', fields: { call: uint32 } },
  {
    type: 'silencesTold',
    fields: { call: uint32, from: shortText, words: listOf(silenceReportField) },
  },
  { type: 'chainUnder', fields: { call: uint32, epoch: uint32, turn: shortText } },
  { type: 'notKnown', fields: { call: uint32 } },
  {
    type: 'spendForProgram',
    fields: { call: uint32, epoch: uint32, quota: tenantQuotaField, request: programRequestField },
  },
  {
    type: 'spentForProgram',
    fields: {
      call: uint32,
      outcome,
      granted: bool,
      waitMilliseconds: float64,
      reason: oneOf(QUOTA_REASONS),
      share: float64,
      tokens: float64,
      reserved: float64,
      needed: float64,
    },
  },
  {
    type: 'pullAndBorrow',
    fields: { call: uint32, from: shortText, members: longText, log: shortText, after: float64 },
  },
  { type: 'pulledAndLent', fields: { ...pulledFields, fresh: bool, lent: lentSharesField } },
  { type: 'recordOrigins', fields: { call: uint32, entries: listOf(streamOriginField) } },
  { type: 'originsRecorded', fields: { call: uint32 } },
  { type: 'findOrigin', fields: { call: uint32, stream: shortText } },
  {
    type: 'originFound',
    fields: { call: uint32, found: bool, service: shortText, version: shortText },
  },
  { type: 'recordSuspects', fields: { call: uint32, news: bytes } },
  { type: 'suspectsRecorded', fields: { call: uint32 } },
  { type: 'readSuspects', fields: { call: uint32 } },
  { type: 'suspectsRead', fields: { call: uint32, news: bytes } },
  { type: 'exchangeVersions', fields: versionReportFields },
  { type: 'versionsExchanged', fields: versionReportFields },
  { type: 'recordContents', fields: { call: uint32, entries: listOf(streamContentField) } },
  { type: 'contentsRecorded', fields: { call: uint32 } },
  { type: 'findContent', fields: { call: uint32, content: float64 } },
  {
    type: 'contentFound',
    fields: { call: uint32, stream: shortText, isShared: bool, isComplete: bool },
  },
  {
    type: 'recordOutput',
    fields: {
      call: uint32,
      stream: shortText,
      position: uint32,
      checksum: float64,
      events: listOf(outputEventField),
    },
  },
  { type: 'outputRecorded', fields: { call: uint32 } },
  { type: 'findOutput', fields: { call: uint32, stream: shortText, lastEvent: shortText } },
  {
    type: 'outputFound',
    fields: { call: uint32, found: bool, position: uint32, checksum: float64, output: bytes },
  },
];
const message = new TaggedUnion(BRANCHES);

/** Names of all message kinds, indexed by kind number. */
export const REPLICA_MESSAGE_KINDS: readonly string[] = BRANCHES.map(({ type }) => type);

/** Returns the kind number of a message. */
export function messageKindOf(value: { readonly type: string }): number {
  return message.numberOf(value);
}

/** Encodes a message without framing. */
export function encodeReplicaMessage(value: ReplicaMessage): Uint8Array {
  return encodeField(message, value);
}

/** Encodes a message as a frame. */
export function encodeReplicaFrame(value: ReplicaMessage): Buffer {
  return writeFrame(message.size(value), (content) =>
    message.encode(new r.EncodeStream(content), value),
  );
}

/** A message of a kind that this build does not know. */
export interface UnknownMessage {
  readonly type: 'unknown';
  readonly kind: number;
  /** The message's call number; 0 where no reply is expected. */
  readonly call: number;
}

const KIND_BYTES = 1;
const CALL_BYTES = 4;

/** Decodes the content of a frame. Throws if the bytes are not a valid message. */
export function decodeReplicaMessage(content: Buffer): ReplicaMessage | UnknownMessage {
  try {
    return decodeExtended(message, content).value as ReplicaMessage;
  } catch (cause) {
    if (cause instanceof UnknownKindError && content.length >= KIND_BYTES + CALL_BYTES) {
      return { type: 'unknown', kind: cause.kind, call: content.readUInt32BE(KIND_BYTES) };
    }
    throw cause;
  }
}
