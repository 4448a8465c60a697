/** The datagram in which gateways report their load and what they know of the store. */
import * as r from 'restructure';
import {
  uint32,
  encodeField,
  bool,
  listOf,
  oneOf,
  float64,
  record,
  uint16,
  shortText,
} from '../wire/fields.js';
import { decodeSections, encodeSections } from '../wire/sections.js';
import type { StoreProof } from '../mirror/store-freshness.js';
import type { NamedPeer } from './peer-table.js';
import type { PromptPlace } from './recent-places.js';
import type { Aggregate } from './aggregates.js';
import { decodeAggregates, encodeAggregates } from './aggregate-codec.js';
import { decodeSuspects, encodeSuspects } from '../suspects/suspect-news.js';
import type { SuspectNews } from '../suspects/suspect-news.js';

/** Requests in progress at one runner. */
export interface RunnerLoad {
  /** Hash of the runner's incarnation, 32 bits; keeps messages small with hundreds of runners. */
  readonly runnerHash: number;
  readonly inFlight: number;
}

/**
 * Which requests a message counts: those of the sender, of all gateways of its zone, of all
 * gateways, or of all gateways of its region. A message of the scope `answer` counts none: it lists
 * the first-ranked gateways of the receiver's zone. Builds without regions ignore the last scope.
 */
export const LOAD_SCOPES = ['gateway', 'zone', 'all', 'answer', 'region'] as const;

export type LoadScope = (typeof LOAD_SCOPES)[number];

/** A decoded load message. */
export interface LoadMessage {
  /** Increases with each message of one life of the sender. */
  readonly sequence: number;
  /**
   * Random number of this run of the sender's process. Numbers from `FIRST_LIFE_WITH_EXTENSIONS` on
   * tell that the sender reads extensions.
   */
  readonly life: number;
  readonly scope: LoadScope;
  /** Hash of the name of the sender's zone. */
  readonly zoneHash: number;
  /** Number of gateways whose requests are counted. */
  readonly gateways: number;
  /** Requests by runner; runners without requests are left out. */
  readonly loads: readonly RunnerLoad[];
  /**
   * Some gateways that the sender has recently heard from, including the first-ranked ones of its
   * zone.
   */
  readonly peers: readonly NamedPeer[];
  /** Revision of the store up to which the sender has all changes; 0 before its first list. */
  readonly revision: number;
  /** Prompt parts that runners have recently begun to cache. */
  readonly places: readonly PromptPlace[];
  /** Whether one of the counted gateways reaches a majority of the replicas. */
  readonly reachesReplicas: boolean;
  /**
   * Newest proof of the store's revision known to the sender; `NO_PROOF` when there is none or when
   * it is too old.
   */
  readonly proof: StoreProof;
  /** Amounts summed over gateways; an extension, sent only to gateways that support it. */
  readonly aggregates: readonly Aggregate[];
  /** Requests under which runners have ended; an extension, absent if there are none. */
  readonly suspects?: readonly SuspectNews[];
}

/** Placeholder for a missing proof. */
export const NO_PROOF: StoreProof = { life: 0, number: 0, revision: 0, ageMilliseconds: 0 };

/** Largest proof age that fits a message, in milliseconds; older proofs are left out. */
export const MAXIMUM_PROOF_AGE_MILLISECONDS = 0xffff;

const load = record({ runnerHash: uint32, inFlight: uint16 });
const place = record({ runnerHash: uint32, part: uint32, tokens: uint32 });
const peer = record({ host: shortText, zoneHash: uint32 });
const message = record({
  sequence: uint32,
  life: uint32,
  scope: oneOf(LOAD_SCOPES),
  zoneHash: uint32,
  gateways: uint16,
  loads: listOf(load),
  peers: listOf(peer),
  revision: float64,
  places: listOf(place),
  reachesReplicas: bool,
  proof: record({
    life: uint32,
    number: uint32,
    revision: float64,
    ageMilliseconds: uint16,
  }),
});

/**
 * First life number of builds that accept extension sections behind the fields of a message. Older
 * builds draw lower numbers, up to 2^31, and reject datagrams with extensions.
 */
export const FIRST_LIFE_WITH_EXTENSIONS = 2 ** 31 + 1;

/** Kinds of the extension sections. Append only; numbers are never reused. */
const AGGREGATES_SECTION = 1;
const SUSPECTS_SECTION = 2;

/** Whether the sender of a message accepts extensions. */
export function supportsExtensions({ life }: LoadMessage): boolean {
  return life >= FIRST_LIFE_WITH_EXTENSIONS;
}

/** Encodes a message without extensions, as every build reads it. */
export function encodeLoadMessage(loadMessage: LoadMessage): Uint8Array {
  return encodeField(message, loadMessage);
}

/** Appends the extension sections to an encoded message. */
export function withExtensions(
  encoded: Uint8Array,
  { aggregates, suspects = [] }: LoadMessage,
): Uint8Array {
  const sections = [
    ...(aggregates.length === 0
      ? []
      : [{ kind: AGGREGATES_SECTION, content: encodeAggregates(aggregates) }]),
    ...(suspects.length === 0
      ? []
      : [{ kind: SUSPECTS_SECTION, content: encodeSuspects(suspects) }]),
  ];
  if (sections.length === 0) {
    return encoded;
  }
  const extensions = encodeSections(sections);
  const bytes = new Uint8Array(encoded.length + extensions.length);
  bytes.set(encoded);
  bytes.set(extensions, encoded.length);
  return bytes;
}

function decodeExtensions(extensions: Uint8Array): Pick<LoadMessage, 'aggregates' | 'suspects'> {
  const sections = decodeSections(extensions);
  const contentsOf = (wanted: number): Uint8Array[] =>
    sections.filter(({ kind }) => kind === wanted).map(({ content }) => content);
  const aggregates = contentsOf(AGGREGATES_SECTION).flatMap(decodeAggregates);
  const suspects = contentsOf(SUSPECTS_SECTION).flatMap(decodeSuspectsOrNone);
  return suspects.length === 0 ? { aggregates } : { aggregates, suspects };
}

/** A section that can't be read tells nothing, and the rest of the message counts all the same. */
function decodeSuspectsOrNone(content: Uint8Array): readonly SuspectNews[] {
  try {
    return decodeSuspects(content);
  } catch {
    return [];
  }
}

/** Decodes a message with or without extensions; returns undefined for malformed input. */
export function decodeLoadMessage(bytes: Uint8Array): LoadMessage | undefined {
  try {
    const stream = new r.DecodeStream(bytes);
    const decoded = message.decode(stream) as Omit<LoadMessage, 'aggregates' | 'suspects'>;
    const isWhole = stream.pos <= bytes.length && LOAD_SCOPES.includes(decoded.scope);
    return isWhole ? { ...decoded, ...decodeExtensions(bytes.subarray(stream.pos)) } : undefined;
  } catch {
    return undefined;
  }
}
