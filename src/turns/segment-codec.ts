/**
 * Records of a segment file: length and checksum, then one change. Reading ends at the first record
 * that is torn or missing; what follows was never acknowledged.
 */
import { crc32 } from 'node:zlib';
import * as r from 'restructure';
import {
  encodeField,
  flag,
  longText,
  real,
  shortText,
  TaggedUnion,
  UnknownKindError,
} from '../wire/fields.js';
import { decodeGrown } from '../wire/sections.js';
import type { JoinToken } from './membership.js';
import { accountEntryField, conversationTurnField } from './messages.js';
import type { WrittenChange } from './turn-storage.js';

const HEADER_BYTES = 8;
/** Longest record that is believed, in bytes. */
const MAXIMUM_RECORD_CONTENT_BYTES = 64 * 1024 * 1024;

/**
 * Append only: a branch's place is its number on disk. One that is added is read by a build before any writes it,
 * since the build before that may come back to this disk. What a record carries besides goes into sections behind it.
 */
const recordField: r.Field = new TaggedUnion([
  { type: 'meta', fields: { ready: flag, members: longText } },
  { type: 'entry', fields: { entry: accountEntryField, storedAt: real } },
  { type: 'turn', fields: { turn: conversationTurnField, storedAt: real } },
  { type: 'joining', fields: { token: shortText } },
]);

type RecordValue =
  | { type: 'joining'; token: JoinToken }
  | { type: 'meta'; ready: boolean; members: string }
  | {
      type: 'entry';
      entry: Extract<WrittenChange, { tag: 'entry' }>['entry']['entry'];
      storedAt: number;
    }
  | {
      type: 'turn';
      turn: Extract<WrittenChange, { tag: 'turn' }>['turn']['turn'];
      storedAt: number;
    };

function toRecordValue(change: WrittenChange): RecordValue {
  switch (change.tag) {
    case 'meta':
      return { type: 'meta', ...change.meta };
    case 'joining':
      return { type: 'joining', token: change.token };
    case 'entry':
      return { type: 'entry', ...change.entry };
    case 'turn':
      return { type: 'turn', ...change.turn };
  }
}

function toChange(value: RecordValue): WrittenChange {
  switch (value.type) {
    case 'meta':
      return { tag: 'meta', meta: { ready: value.ready, members: value.members } };
    case 'joining':
      return { tag: 'joining', token: value.token };
    case 'entry':
      return { tag: 'entry', entry: { entry: value.entry, storedAt: value.storedAt } };
    case 'turn':
      return { tag: 'turn', turn: { turn: value.turn, storedAt: value.storedAt } };
  }
}

/** One change as a record. */
export function encodeRecord(change: WrittenChange): Buffer {
  const content = encodeField(recordField, toRecordValue(change));
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + content.length);
  bytes.writeUInt32LE(content.length, 0);
  bytes.writeUInt32LE(crc32(content), 4);
  bytes.set(content, HEADER_BYTES);
  return bytes;
}

/** What was found in a segment. */
export interface SegmentSummary {
  /** Whole records, known or not. */
  readonly records: number;
  /** Those of kinds that only newer builds know: what they hold is not here. */
  readonly unknownRecords: number;
  /** Bytes after the last whole record. */
  readonly tornBytes: number;
}

/** The change of a record; undefined when only newer builds know its kind. */
function decodeChange(content: Buffer): WrittenChange | undefined {
  try {
    return toChange(decodeGrown(recordField, content).value as RecordValue);
  } catch (cause) {
    if (cause instanceof UnknownKindError) {
      return undefined;
    }
    throw cause;
  }
}

/** Tells all whole records from the start of a segment. */
export function decodeSegment(
  bytes: Buffer,
  onChange: (change: WrittenChange) => void,
): SegmentSummary {
  let records = 0;
  let unknownRecords = 0;
  let offset = 0;
  while (offset + HEADER_BYTES <= bytes.length) {
    const length = bytes.readUInt32LE(offset);
    const end = offset + HEADER_BYTES + length;
    if (length === 0 || length > MAXIMUM_RECORD_CONTENT_BYTES || end > bytes.length) {
      break;
    }
    const content = bytes.subarray(offset + HEADER_BYTES, end);
    if (crc32(content) !== bytes.readUInt32LE(offset + 4)) {
      break;
    }
    const change = decodeChange(content);
    if (change === undefined) {
      unknownRecords += 1;
    } else {
      onChange(change);
    }
    records += 1;
    offset = end;
  }
  return { records, unknownRecords, tornBytes: bytes.length - offset };
}
