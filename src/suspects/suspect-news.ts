/** What processes tell one another of requests under which runners ended: between gateways, and to the members. */
import * as r from 'restructure';
import { WireError } from '../wire/fields.js';
import { ENCOUNTER_STATES } from './suspect-record.js';
import type { EncounterState } from './suspect-record.js';

/** One runner that met a request. */
export interface EncounterNews {
  readonly runnerHash: number;
  readonly state: EncounterState;
  readonly round: number;
  readonly isCommon: boolean;
  readonly isGivenUp: boolean;
  readonly isRepeated: boolean;
  /** Time since it came into the state, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** What is known of one request. */
export interface SuspectNews {
  /** Fingerprint of the request, 53 bits. */
  readonly fingerprint: number;
  /** Time since its last answer in full, in milliseconds; undefined if there was none. */
  readonly answeredAgeMilliseconds: number | undefined;
  readonly encounters: readonly EncounterNews[];
}

/** Largest number of encounters of a request in a message. */
const MAXIMUM_ENCOUNTERS = 8;
/** Size of an encoded request without its encounters: fingerprint, age and number of encounters. */
const HEAD_BYTES = 13;
/** Size of an encounter: hash, state, round, flags and age. */
const ENCOUNTER_BYTES = 11;
const NEVER = 0xffff_ffff;
const COMMON_FLAG = 1;
const GIVEN_UP_FLAG = 2;
const REPEATED_FLAG = 4;
const MAXIMUM_ROUND = 0xff;

function flagsOf({ isCommon, isGivenUp, isRepeated }: EncounterNews): number {
  return (
    (isCommon ? COMMON_FLAG : 0) +
    (isGivenUp ? GIVEN_UP_FLAG : 0) +
    (isRepeated ? REPEATED_FLAG : 0)
  );
}

function clampAge(milliseconds: number): number {
  return Math.min(NEVER - 1, Math.max(0, Math.round(milliseconds)));
}

/** Encodes what is known of requests; a request of which too much is known is told by its first encounters. */
export function encodeSuspects(news: readonly SuspectNews[]): Uint8Array {
  const bounded = news.map((each) => ({
    ...each,
    encounters: each.encounters.slice(0, MAXIMUM_ENCOUNTERS),
  }));
  const size = bounded.reduce(
    (sum, { encounters }) => sum + HEAD_BYTES + ENCOUNTER_BYTES * encounters.length,
    0,
  );
  const bytes = new Uint8Array(size);
  const stream = new r.EncodeStream(bytes);
  for (const { fingerprint, answeredAgeMilliseconds: age, encounters } of bounded) {
    stream.writeDoubleBE(fingerprint);
    stream.writeUInt32BE(age === undefined ? NEVER : clampAge(age));
    stream.writeUInt8(encounters.length);
    for (const encounter of encounters) {
      const { runnerHash, state, round, ageMilliseconds } = encounter;
      stream.writeUInt32BE(runnerHash);
      stream.writeUInt8(ENCOUNTER_STATES.indexOf(state));
      stream.writeUInt8(Math.min(MAXIMUM_ROUND, round));
      stream.writeUInt8(flagsOf(encounter));
      stream.writeUInt32BE(clampAge(ageMilliseconds));
    }
  }
  return bytes;
}

/** Decodes what is known of requests. Throws on truncated input; encounters in states of newer builds are left out. */
export function decodeSuspects(bytes: Uint8Array): SuspectNews[] {
  const stream = new r.DecodeStream(bytes);
  const news: SuspectNews[] = [];
  while (stream.pos < bytes.length) {
    const fingerprint = stream.readDoubleBE();
    if (!Number.isSafeInteger(fingerprint)) {
      throw new WireError('fingerprint is not a whole number');
    }
    const age = stream.readUInt32BE();
    const count = stream.readUInt8();
    const encounters = Array.from({ length: count }, () => decodeEncounter(stream));
    news.push({
      fingerprint,
      answeredAgeMilliseconds: age === NEVER ? undefined : age,
      encounters: encounters.filter((encounter) => encounter !== undefined),
    });
  }
  return news;
}

function decodeEncounter(stream: r.DecodeStream): EncounterNews | undefined {
  const runnerHash = stream.readUInt32BE();
  const state = ENCOUNTER_STATES[stream.readUInt8()];
  const round = stream.readUInt8();
  const flags = stream.readUInt8();
  const ageMilliseconds = stream.readUInt32BE();
  return state === undefined
    ? undefined
    : {
        runnerHash,
        state,
        round,
        isCommon: (flags & COMMON_FLAG) !== 0,
        isGivenUp: (flags & GIVEN_UP_FLAG) !== 0,
        isRepeated: (flags & REPEATED_FLAG) !== 0,
        ageMilliseconds,
      };
}
