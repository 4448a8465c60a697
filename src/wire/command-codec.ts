/** Bytes of log entries, on the wire and on disk. Branches are append only. */
import { PROGRAM_ENDS } from '../program/commands.js';
import type { LogEntry } from '../replication/log-entry.js';
import { callError, callRequest, usage } from './call-fields.js';
import {
  count,
  decodeField,
  encodeField,
  listOf,
  longText,
  oneOf,
  real,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';

const limits = record({
  maximumTurns: real,
  maximumHistoryTokens: real,
  maximumDepth: real,
  maximumLifeMilliseconds: real,
});

const callPlace = { program: shortText, sequence: count, call: shortText };
const numbered = { group: shortText, number: count };

/** `Command`. */
export const command = new TaggedUnion([
  { type: 'noop', fields: {} },
  { type: 'changeVoters', fields: { voters: listOf(shortText) } },
  { type: 'openProgram', fields: { at: real, program: shortText, group: shortText } },
  { type: 'acceptCall', fields: { at: real, request: callRequest, reserve: real, limits } },
  { type: 'intendCall', fields: { ...callPlace, engine: shortText } },
  { type: 'answerCall', fields: { at: real, ...callPlace, text: longText, usage } },
  { type: 'failCall', fields: { at: real, ...callPlace, error: callError, usage } },
  { type: 'endProgram', fields: { at: real, program: shortText, reason: oneOf(PROGRAM_ENDS) } },
  { type: 'forgetProgram', fields: { program: shortText } },
  { type: 'requestSlice', fields: { ...numbered, amount: real } },
  { type: 'receiveSlice', fields: { ...numbered, granted: real } },
  { type: 'returnSlice', fields: { ...numbered, amount: real } },
  { type: 'settleReturn', fields: numbered },
  { type: 'grantSlice', fields: { ...numbered, holder: count, amount: real, budget: real } },
  { type: 'bookReturn', fields: { ...numbered, holder: count, amount: real } },
  { type: 'withdrawIntent', fields: { ...callPlace, engine: shortText } },
]);

/** `LogEntry`. */
export const logEntry = record({ term: count, command });

/** Bytes of one entry. */
export function encodeEntry(entry: LogEntry): Uint8Array {
  return encodeField(logEntry, entry);
}

/** One entry from its bytes; throws when they are not one. */
export function decodeEntry(bytes: Uint8Array): LogEntry {
  return decodeField(logEntry, bytes) as LogEntry;
}
