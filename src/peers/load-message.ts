/** What gateways tell one another of their load, in one datagram. */
import * as r from 'restructure';
import {
  count,
  decodeField,
  encodeField,
  flag,
  listOf,
  real,
  record,
  shortText,
} from '../wire/fields.js';
import type { PromptPlace } from './recent-places.js';

/** Requests of the sender that are at one runner. */
export interface RunnerLoad {
  /** Hash of the runner's identifier, 32 bits: messages stay small at hundreds of runners. */
  readonly runnerHash: number;
  readonly inFlight: number;
}

/** One datagram. */
export interface LoadMessage {
  /** Rises with each message of one life of the sender. */
  readonly sequence: number;
  /** Names the life of the sender. */
  readonly life: number;
  /** Runners with requests of the sender; all others have none. */
  readonly loads: readonly RunnerLoad[];
  /** Hosts of some other gateways that the sender has heard lately. */
  readonly peers: readonly string[];
  /** Revision of the store up to which the sender misses nothing; 0 when it knows none. */
  readonly revision: number;
  /** What runners have lately begun to keep. */
  readonly places: readonly PromptPlace[];
  /** Whether the sender reaches a majority of the replicas. */
  readonly reachesReplicas: boolean;
  /** Time since a gateway known to the sender heard from the store, in milliseconds, bounded. */
  readonly storeAgeMilliseconds: number;
}

/** Largest age that a message tells, in milliseconds; it stands for all larger ones. */
export const LARGEST_STORE_AGE_MILLISECONDS = 0xffff;

const load = record({ runnerHash: r.uint32, inFlight: r.uint16 });
const place = record({ runnerHash: r.uint32, part: r.uint32, tokens: r.uint32 });
const message = record({
  sequence: count,
  life: count,
  loads: listOf(load),
  peers: listOf(shortText),
  revision: real,
  places: listOf(place),
  reachesReplicas: flag,
  storeAgeMilliseconds: r.uint16,
});

/** Encodes a datagram. */
export function encodeLoadMessage(value: LoadMessage): Uint8Array {
  return encodeField(message, value);
}

/** Decodes a datagram; undefined when it is none. */
export function decodeLoadMessage(bytes: Uint8Array): LoadMessage | undefined {
  try {
    return decodeField(message, bytes) as LoadMessage;
  } catch {
    return undefined;
  }
}
