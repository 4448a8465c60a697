/**
 * The record format of segment files: length, checksum, and one encoded change. Decoding ends at the first torn record;
 * nothing after that was ever acknowledged.
 */
import { crc32 } from 'node:zlib';
import * as r from 'restructure';
import { bool, longText, float64, shortText, TaggedUnion } from '../wire/fields.js';
import { decodeExtended, encodeSections } from '../wire/sections.js';
import type { Section } from '../wire/sections.js';
import type { JoinToken } from './membership.js';
import { accountEntryField, conversationTurnField } from './messages.js';
import type { WrittenChange } from './turn-storage.js';

const bytesField: r.Field = new r.Buffer(r.uint32);
const HEADER_BYTES = 8;
/** Section of a metadata record whose replica was never complete. Builds that do not know it write records without it. */
const NEVER_READY_SECTION = { kind: 1, content: Buffer.from('never ready') };
/** Maximum size of a record's content, in bytes; a larger length counts as torn. */
const MAXIMUM_RECORD_CONTENT_BYTES = 64 * 1024 * 1024;

/**
 * Append-only: the index of a branch is its kind number on disk. A new kind must be readable by one build before a
 * later build writes it, since the disk may be used again by the previous build after a rollback. Additional data of a
 * record goes into sections appended to it.
 */
const recordField: r.Field = new TaggedUnion([
  { type: 'meta', fields: { ready: bool, members: longText } },
  { type: 'entry', fields: { entry: accountEntryField, storedAt: float64 } },
  { type: 'turn', fields: { turn: conversationTurnField, storedAt: float64 } },
  { type: 'joining', fields: { token: shortText } },
  // Written only to a folder that builds without this kind do not read.
  { type: 'suspects', fields: { news: bytesField, storedAt: float64 } },
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
    }
  | { type: 'suspects'; news: Buffer; storedAt: number };

function toRecordValue(change: WrittenChange): RecordValue {
  switch (change.tag) {
    case 'meta':
      return { type: 'meta', ready: change.meta.ready, members: change.meta.members };
    case 'joining':
      return { type: 'joining', token: change.token };
    case 'entry':
      return { type: 'entry', ...change.entry };
    case 'turn':
      return { type: 'turn', ...change.turn };
    case 'suspects':
      return { type: 'suspects', ...change.suspects };
  }
}

function toChange(value: RecordValue, sections: readonly Section[]): WrittenChange {
  switch (value.type) {
    case 'meta':
      return {
        tag: 'meta',
        meta: {
          ready: value.ready,
          members: value.members,
          ...(sections.some(isNeverReadyMark) && { neverReady: true }),
        },
      };
    case 'joining':
      return { tag: 'joining', token: value.token };
    case 'entry':
      return { tag: 'entry', entry: { entry: value.entry, storedAt: value.storedAt } };
    case 'turn':
      return { tag: 'turn', turn: { turn: value.turn, storedAt: value.storedAt } };
    case 'suspects':
      return { tag: 'suspects', suspects: { news: value.news, storedAt: value.storedAt } };
  }
}

function isNeverReadyMark({ kind, content }: Section): boolean {
  return kind === NEVER_READY_SECTION.kind && NEVER_READY_SECTION.content.equals(content);
}

function sectionsOf(change: WrittenChange): readonly Section[] {
  return change.tag === 'meta' && change.meta.neverReady ? [NEVER_READY_SECTION] : [];
}

/** Encodes one change as a record with its header. */
export function encodeRecord(change: WrittenChange): Buffer {
  const value = toRecordValue(change);
  const sections = encodeSections(sectionsOf(change));
  const fieldBytes = recordField.size(value);
  // Turns are large, so they are encoded into the record itself.
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + fieldBytes + sections.length);
  const content = bytes.subarray(HEADER_BYTES);
  recordField.encode(new r.EncodeStream(content), value);
  content.set(sections, fieldBytes);
  bytes.writeUInt32LE(content.length, 0);
  bytes.writeUInt32LE(crc32(content), 4);
  return bytes;
}

/** Statistics of a decoded segment. */
export interface SegmentSummary {
  /** Number of complete records, of known and unknown kinds. */
  readonly records: number;
  /** Number of complete records that this build cannot decode, of newer kinds or with invalid content; their content is lost to it. */
  readonly unknownRecords: number;
  /** Number of bytes after the last complete record. */
  readonly tornBytes: number;
}

/** Decodes the change of a record; undefined when this build cannot decode it. */
function decodeChange(content: Buffer): WrittenChange | undefined {
  try {
    const { value, sections } = decodeExtended(recordField, content);
    return toChange(value as RecordValue, sections);
  } catch {
    return undefined;
  }
}

/** Decodes all complete records of a segment, calling back with the change of each known one. */
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
