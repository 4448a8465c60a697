/** What gateways tell one another of their load and of the store, in one datagram. */
import * as r from 'restructure';
import {
  count,
  encodeField,
  flag,
  listOf,
  oneOf,
  real,
  record,
  shortCount,
  shortText,
} from '../wire/fields.js';
import { decodeSections, encodeSections } from '../wire/sections.js';
import type { StoreProof } from '../mirror/store-freshness.js';
import type { NamedPeer } from './peer-table.js';
import type { PromptPlace } from './recent-places.js';
import type { Aggregate } from './aggregates.js';
import { decodeAggregates, encodeAggregates } from './aggregate-codec.js';

/** Requests at one runner. */
export interface RunnerLoad {
  /** Hash of the runner's identifier, 32 bits: messages stay small at hundreds of runners. */
  readonly runnerHash: number;
  readonly inFlight: number;
}

/**
 * Whose requests a message counts: of the sender, of the gateways of its zone, or of all. One of the
 * scope `answer` counts none: it names to its receiver who comes first in the receiver's zone.
 */
export const LOAD_SCOPES = ['gateway', 'zone', 'all', 'answer'] as const;

/** One of these. */
export type LoadScope = (typeof LOAD_SCOPES)[number];

/** One datagram. */
export interface LoadMessage {
  /** Rises with each message of one life of the sender. */
  readonly sequence: number;
  /** Names the life of the sender; see `FIRST_LIFE_WITH_TAIL`. */
  readonly life: number;
  readonly scope: LoadScope;
  /** Hash of the name of the sender's zone. */
  readonly zoneHash: number;
  /** Gateways whose requests are counted. */
  readonly gateways: number;
  /** Runners with requests; all others have none. */
  readonly loads: readonly RunnerLoad[];
  /** Some gateways that the sender has heard lately, those of its zone that come first among them. */
  readonly peers: readonly NamedPeer[];
  /** Revision of the store up to which the sender misses nothing; 0 when it knows none. */
  readonly revision: number;
  /** What runners have lately begun to keep. */
  readonly places: readonly PromptPlace[];
  /** Whether one of the gateways that are counted reaches a majority of the replicas. */
  readonly reachesReplicas: boolean;
  /** Newest proof of the store's revision that the sender knows, its age bounded; none has the life 0. */
  readonly proof: StoreProof;
  /** Figures beside the loads; only told to who reads them. */
  readonly aggregates: readonly Aggregate[];
}

/** What stands for no proof. */
export const NO_PROOF: StoreProof = { life: 0, number: 0, revision: 0, ageMilliseconds: 0 };

/** Largest age that a message tells, in milliseconds; older proofs are told as none. */
export const MAXIMUM_PROOF_AGE_MILLISECONDS = 0xffff;

const load = record({ runnerHash: count, inFlight: shortCount });
const place = record({ runnerHash: count, part: count, tokens: count });
const peer = record({ host: shortText, zoneHash: count });
const message = record({
  sequence: count,
  life: count,
  scope: oneOf(LOAD_SCOPES),
  zoneHash: count,
  gateways: shortCount,
  loads: listOf(load),
  peers: listOf(peer),
  revision: real,
  places: listOf(place),
  reachesReplicas: flag,
  proof: record({
    life: count,
    number: count,
    revision: real,
    ageMilliseconds: shortCount,
  }),
});

/**
 * Lives from here on are of processes that read a tail of sections behind the fields above; earlier builds
 * drew theirs below, up to 2^31, and refuse a datagram with a tail.
 */
export const FIRST_LIFE_WITH_EXTENSIONS = 2 ** 31 + 1;

/** Kinds of sections in the tail: append only, a number is never used again. */
const AGGREGATES_SECTION = 1;

/** Whether the sender of a message reads a tail. */
export function supportsExtensions({ life }: LoadMessage): boolean {
  return life >= FIRST_LIFE_WITH_EXTENSIONS;
}

/** Encodes a datagram as every build reads it: without a tail. */
export function encodeLoadMessage(loadMessage: LoadMessage): Uint8Array {
  return encodeField(message, loadMessage);
}

/** Puts the tail behind an encoded datagram. */
export function withExtensions(encoded: Uint8Array, { aggregates }: LoadMessage): Uint8Array {
  if (aggregates.length === 0) {
    return encoded;
  }
  const extensions = encodeSections([
    { kind: AGGREGATES_SECTION, content: encodeAggregates(aggregates) },
  ]);
  const bytes = new Uint8Array(encoded.length + extensions.length);
  bytes.set(encoded);
  bytes.set(extensions, encoded.length);
  return bytes;
}

function aggregatesOf(extensions: Uint8Array): readonly Aggregate[] {
  const sections = decodeSections(extensions).filter(({ kind }) => kind === AGGREGATES_SECTION);
  return sections.flatMap(({ content }) => decodeAggregates(content));
}

/** Decodes a datagram with or without a tail; undefined when it is none. */
export function decodeLoadMessage(bytes: Uint8Array): LoadMessage | undefined {
  try {
    const stream = new r.DecodeStream(bytes);
    const decoded = message.decode(stream) as Omit<LoadMessage, 'aggregates'>;
    const isWhole = stream.pos <= bytes.length && LOAD_SCOPES.includes(decoded.scope);
    return isWhole
      ? { ...decoded, aggregates: aggregatesOf(bytes.subarray(stream.pos)) }
      : undefined;
  } catch {
    return undefined;
  }
}
