/**
 * The tail of a message that grows: sections one behind the other, each with its kind and its length. A reader
 * passes over kinds that it doesn't know, and a section may grow at its end; so what is new reaches those that
 * know it, and no reader misreads it.
 */
import * as r from 'restructure';
import { WireError } from './fields.js';

/** One section as it travels. */
export interface Section {
  readonly kind: number;
  readonly content: Uint8Array;
}

/** Bytes of a section's kind and length. */
const HEADER_BYTES = 3;
/** Longest content of a section. */
export const MAXIMUM_SECTION_BYTES = 0xffff;

/** Sections as bytes. Throws on a content beyond the bound. */
export function encodeSections(sections: readonly Section[]): Uint8Array {
  const length = sections.reduce((sum, { content }) => sum + HEADER_BYTES + content.length, 0);
  const bytes = new Uint8Array(length);
  const stream = new r.EncodeStream(bytes);
  for (const { kind, content } of sections) {
    if (content.length > MAXIMUM_SECTION_BYTES) {
      throw new WireError(`a section of ${content.length} bytes`);
    }
    stream.writeUInt8(kind);
    stream.writeUInt16BE(content.length);
    bytes.set(content, stream.pos);
    stream.pos += content.length;
  }
  return bytes;
}

/** Sections of a tail, known or not. Throws on one that is cut off. */
export function decodeSections(bytes: Uint8Array): Section[] {
  const stream = new r.DecodeStream(bytes);
  const sections: Section[] = [];
  while (stream.pos < bytes.length) {
    if (stream.pos + HEADER_BYTES > bytes.length) {
      throw new WireError('a section is cut off');
    }
    const kind = stream.readUInt8();
    const length = stream.readUInt16BE();
    const end = stream.pos + length;
    if (end > bytes.length) {
      throw new WireError('a section is cut off');
    }
    sections.push({ kind, content: bytes.subarray(stream.pos, end) });
    stream.pos = end;
  }
  return sections;
}

/** A value, and what a newer build has put behind it. */
export interface ExtendedValue {
  readonly value: unknown;
  readonly sections: readonly Section[];
}

/** Decodes a value that sections may follow. Throws on anything else behind it. */
export function decodeExtended(field: r.Field, bytes: Uint8Array): ExtendedValue {
  const stream = new r.DecodeStream(bytes);
  const value = field.decode(stream);
  if (stream.pos > bytes.length) {
    throw new WireError(`${bytes.length} bytes given, ${stream.pos} needed`);
  }
  return { value, sections: decodeSections(bytes.subarray(stream.pos)) };
}
