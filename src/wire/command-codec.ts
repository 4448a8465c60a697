/** Codec of log entries, on the wire and on disk. Branches are append-only: their positions are encoded. */
import { PROGRAM_ENDS } from '../program/commands.js';
import type { LogEntry } from '../replication/log-entry.js';
import { callError, callRequest, usage } from './call-fields.js';
import {
  uint32,
  decodeField,
  encodeField,
  listOf,
  longText,
  oneOf,
  float64,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';

const limits = record({
  maximumTurns: float64,
  maximumHistoryTokens: float64,
  maximumDepth: float64,
  maximumLifeMilliseconds: float64,
});

const callKey = { program: shortText, sequence: uint32, call: shortText };
const sliceKey = { group: shortText, number: uint32 };

/** Codec of `Command`. */
export const command = new TaggedUnion([
  { type: 'noop', fields: {} },
  { type: 'changeVoters', fields: { voters: listOf(shortText) } },
  { type: 'openProgram', fields: { at: float64, program: shortText, group: shortText } },
  { type: 'acceptCall', fields: { at: float64, request: callRequest, reserve: float64, limits } },
  { type: 'intendCall', fields: { ...callKey, engine: shortText } },
  { type: 'answerCall', fields: { at: float64, ...callKey, text: longText, usage } },
  { type: 'failCall', fields: { at: float64, ...callKey, error: callError, usage } },
  { type: 'endProgram', fields: { at: float64, program: shortText, reason: oneOf(PROGRAM_ENDS) } },
  { type: 'forgetProgram', fields: { program: shortText } },
  { type: 'requestSlice', fields: { ...sliceKey, amount: float64 } },
  { type: 'receiveSlice', fields: { ...sliceKey, granted: float64 } },
  { type: 'returnSlice', fields: { ...sliceKey, amount: float64 } },
  { type: 'settleReturn', fields: sliceKey },
  { type: 'grantSlice', fields: { ...sliceKey, holder: uint32, amount: float64, budget: float64 } },
  { type: 'bookReturn', fields: { ...sliceKey, holder: uint32, amount: float64 } },
  { type: 'withdrawIntent', fields: { ...callKey, engine: shortText } },
]);

/** Codec of `LogEntry`. */
export const logEntry = record({ term: uint32, command });

/** Encodes one log entry. */
export function encodeEntry(entry: LogEntry): Uint8Array {
  return encodeField(logEntry, entry);
}

/** Decodes one log entry; throws if the bytes are invalid. */
export function decodeEntry(bytes: Uint8Array): LogEntry {
  return decodeField(logEntry, bytes) as LogEntry;
}
