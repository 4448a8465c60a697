/**
 * Optional sections after the fields of a message, each with its kind and its length. Readers skip sections
 * of unknown kinds, and a section may get further fields at its end, so that builds of different versions
 * can read each other's messages.
 */
import * as r from 'restructure';
import { WireError } from './fields.js';

/** One section with its encoded content. */
export interface Section {
  readonly kind: number;
  readonly content: Uint8Array;
}

/** Size of a section's kind and length, in bytes. */
const HEADER_BYTES = 3;
/** Maximum content of a section, in bytes. */
export const MAXIMUM_SECTION_BYTES = 0xffff;

/** Encodes sections. Throws if the content of one is too long. */
export function encodeSections(sections: readonly Section[]): Uint8Array {
  const length = sections.reduce((sum, { content }) => sum + HEADER_BYTES + content.length, 0);
  const bytes = new Uint8Array(length);
  const stream = new r.EncodeStream(bytes);
  for (const { kind, content } of sections) {
    if (content.length > MAXIMUM_SECTION_BYTES) {
      throw new WireError(`section content of ${content.length} bytes is too long`);
    }
    stream.writeUInt8(kind);
    stream.writeUInt16BE(content.length);
    bytes.set(content, stream.pos);
    stream.pos += content.length;
  }
  return bytes;
}

/** Decodes all sections, including those of unknown kinds. Throws if one is truncated. */
export function decodeSections(bytes: Uint8Array): Section[] {
  const stream = new r.DecodeStream(bytes);
  const sections: Section[] = [];
  while (stream.pos < bytes.length) {
    if (stream.pos + HEADER_BYTES > bytes.length) {
      throw new WireError('section header is truncated');
    }
    const kind = stream.readUInt8();
    const length = stream.readUInt16BE();
    const end = stream.pos + length;
    if (end > bytes.length) {
      throw new WireError('section content is truncated');
    }
    sections.push({ kind, content: bytes.subarray(stream.pos, end) });
    stream.pos = end;
  }
  return sections;
}

/** A decoded value and the sections that follow it. */
export interface ExtendedValue {
  readonly value: unknown;
  readonly sections: readonly Section[];
}

/** Decodes a value that sections may follow. Throws on other trailing bytes. */
export function decodeExtended(field: r.Field, bytes: Uint8Array): ExtendedValue {
  const stream = new r.DecodeStream(bytes);
  const value = field.decode(stream);
  if (stream.pos > bytes.length) {
    throw new WireError(
      `message has ${bytes.length} bytes, but its fields need ${stream.pos} bytes`,
    );
  }
  return { value, sections: decodeSections(bytes.subarray(stream.pos)) };
}
