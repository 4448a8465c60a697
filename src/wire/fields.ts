/** Field types of the binary codecs, built on the streams of `restructure`. */
import { isUtf8 } from 'node:buffer';
import * as r from 'restructure';

/** Size of a 32-bit integer, also as the length of a list, in bytes. */
const LENGTH_BYTES = 4;

/** Sizes of the other numbers, in bytes. */
const DOUBLE_BYTES = 8;
const SHORT_BYTES = 2;

// Replace the number fields of the library, which build the name of a stream method at each call.

/** An unsigned 32-bit integer, big-endian. */
export const uint32: r.Field = {
  decode: (stream) => stream.readUInt32BE(),
  encode: (stream, value) => stream.writeUInt32BE(value as number),
  size: () => LENGTH_BYTES,
};
/** An unsigned 16-bit integer, big-endian. */
export const uint16: r.Field = {
  decode: (stream) => stream.readUInt16BE(),
  encode: (stream, value) => stream.writeUInt16BE(value as number),
  size: () => SHORT_BYTES,
};
/** A 64-bit floating-point number, big-endian: times, amounts, costs. */
export const float64: r.Field = {
  decode: (stream) => stream.readDoubleBE(),
  encode: (stream, value) => stream.writeDoubleBE(value as number),
  size: () => DOUBLE_BYTES,
};
/** A boolean in one byte. */
export const bool: r.Field = {
  decode: (stream) => stream.readUInt8() !== 0,
  encode: (stream, value) => stream.writeUInt8(value === true ? 1 : 0),
  size: () => 1,
};

/** A stream's bytes as a `Buffer`, without copying them. */
function asBuffer({ buffer }: { readonly buffer: Uint8Array }): Buffer {
  return Buffer.isBuffer(buffer)
    ? buffer
    : Buffer.from(buffer.buffer, buffer.byteOffset, buffer.byteLength);
}

/**
 * A UTF-8 string after its length. The string field of the library creates a decoder for each value. Invalid bytes are refused:
 * replaced by U+FFFD they take three times the space, and such a text may no longer fit its length field.
 */
class TextField implements r.Field {
  constructor(private readonly length: r.Field) {}

  decode(stream: r.DecodeStream): string {
    const length = this.length.decode(stream) as number;
    const start = stream.pos;
    stream.pos += length;
    const bytes = asBuffer(stream).subarray(start, stream.pos);
    if (!isUtf8(bytes)) {
      throw new WireError('text is not UTF-8');
    }
    return bytes.toString('utf8');
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    const text = value as string;
    const length = Buffer.byteLength(text, 'utf8');
    this.length.encode(stream, length);
    stream.pos += asBuffer(stream).write(text, stream.pos, length, 'utf8');
  }

  size(value: unknown): number {
    return this.length.size(value) + Buffer.byteLength(value as string, 'utf8');
  }
}

/** A string of at most 65,535 bytes: names and short details. */
export const shortText: r.Field = new TextField(uint16);
/** A string limited only by the frame: contents and serialized states. */
export const longText: r.Field = new TextField(uint32);

/**
 * A list of at most 2^32 - 1 elements, limited by the frame. Encoded like the list of the library, which
 * is slower since it adds hidden properties to every list.
 */
class ListField implements r.Field {
  constructor(private readonly element: r.Field) {}

  decode(stream: r.DecodeStream): unknown {
    const length = stream.readUInt32BE();
    const values: unknown[] = [];
    for (let index = 0; index < length; index += 1) {
      values.push(this.element.decode(stream));
    }
    return values;
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    const values = value as readonly unknown[];
    stream.writeUInt32BE(values.length);
    for (const each of values) {
      this.element.encode(stream, each);
    }
  }

  size(value: unknown): number {
    let size = LENGTH_BYTES;
    for (const each of value as readonly unknown[]) {
      size += this.element.size(each);
    }
    return size;
  }
}

/** A list of elements of one field type. */
export function listOf(element: r.Field): r.Field {
  return new ListField(element);
}

/** One of a fixed list of names, encoded as its position; an unknown position decodes to the number. */
export function oneOf(names: readonly string[]): r.Field {
  const numbers = new Map(names.map((name, number) => [name, number]));
  return {
    decode: (stream) => {
      const number = stream.readUInt8();
      return names[number] ?? number;
    },
    encode: (stream, value) => {
      const number = numbers.get(value as string);
      if (number === undefined) {
        throw new WireError(`unknown enumeration value ${String(value)}`);
      }
      stream.writeUInt8(number);
    },
    size: () => 1,
  };
}

/**
 * Fields in sequence, encoded like the struct of the library, but without pointers. The loops are indexed
 * since iterators are slow in code that runs too rarely to be optimised.
 */
class RecordField implements r.Field {
  private readonly names: readonly string[];
  private readonly fields: readonly r.Field[];

  constructor(fields: Record<string, r.Field>) {
    this.names = Object.keys(fields);
    this.fields = Object.values(fields);
  }

  decode(stream: r.DecodeStream): Record<string, unknown> {
    return this.decodeInto({}, stream);
  }

  /** Decodes the fields into an object. */
  decodeInto(value: Record<string, unknown>, stream: r.DecodeStream): Record<string, unknown> {
    const { names, fields } = this;
    for (let index = 0; index < fields.length; index += 1) {
      value[names[index]!] = fields[index]!.decode(stream);
    }
    return value;
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    const { names, fields } = this;
    const values = value as Record<string, unknown>;
    for (let index = 0; index < fields.length; index += 1) {
      fields[index]!.encode(stream, values[names[index]!]);
    }
  }

  size(value: unknown): number {
    const { names, fields } = this;
    const values = value as Record<string, unknown>;
    let size = 0;
    for (let index = 0; index < fields.length; index += 1) {
      size += fields[index]!.size(values[names[index]!]);
    }
    return size;
  }
}

/** A record whose fields are encoded in the order of the keys. */
export function record(fields: Record<string, r.Field>): r.Field {
  return new RecordField(fields);
}

/** A value that can't be encoded, or bytes that can't be decoded. */
export class WireError extends Error {}

/** A time span in milliseconds: a 64-bit floating-point number that is finite and not negative. */
export const duration: r.Field = {
  ...float64,
  decode: (stream) => {
    const milliseconds = stream.readDoubleBE();
    if (!Number.isFinite(milliseconds) || milliseconds < 0) {
      throw new WireError('not a duration');
    }
    return milliseconds;
  },
};

/** A union tag of a newer build; the bytes after it can't be decoded by this build. */
export class UnknownKindError extends WireError {
  constructor(readonly kind: number) {
    super(`unknown union tag ${kind}`);
  }
}

/** One branch of a tagged union. */
export interface UnionBranch {
  /** Value of the `type` property. */
  readonly type: string;
  readonly fields: Record<string, r.Field>;
}

/** A union discriminated by the `type` property; a branch's position is its tag in the encoding. */
export class TaggedUnion implements r.Field {
  private readonly records: readonly RecordField[];
  private readonly numbers: ReadonlyMap<string, number>;

  constructor(private readonly branches: readonly UnionBranch[]) {
    this.records = branches.map((branch) => new RecordField(branch.fields));
    this.numbers = new Map(branches.map((branch, number) => [branch.type, number]));
  }

  decode(stream: r.DecodeStream): unknown {
    const number = stream.readUInt8();
    const fields = this.records[number];
    const branch = this.branches[number];
    if (fields === undefined || branch === undefined) {
      throw new UnknownKindError(number);
    }
    return fields.decodeInto({ type: branch.type }, stream);
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    const number = this.numberOf(value);
    stream.writeUInt8(number);
    this.records[number]!.encode(stream, value);
  }

  size(value: unknown): number {
    return 1 + this.records[this.numberOf(value)]!.size(value);
  }

  /** Tag of a value's branch; throws if no branch has its type. */
  numberOf(value: unknown): number {
    const { type } = value as { type: string };
    const number = this.numbers.get(type);
    if (number === undefined) {
      throw new WireError(`unknown union type ${type}`);
    }
    return number;
  }
}

/** Encodes a value. The buffer needs no initialisation, since the fields write every byte. */
export function encodeField(field: r.Field, value: unknown): Uint8Array {
  const buffer = Buffer.allocUnsafe(field.size(value));
  field.encode(new r.EncodeStream(buffer), value);
  return buffer;
}

/** Decodes a value; throws unless it takes up all the bytes. */
export function decodeField(field: r.Field, bytes: Uint8Array): unknown {
  const stream = new r.DecodeStream(bytes);
  const value = field.decode(stream);
  if (stream.pos !== bytes.length) {
    throw new WireError(
      `message has ${bytes.length} bytes, but its fields take ${stream.pos} bytes`,
    );
  }
  return value;
}
