/** Field types of the messages between nodes, built on `restructure`. */
import * as r from 'restructure';

/** Bytes of a whole number, and of what tells the length of a list. */
const LENGTH_BYTES = 4;

/** Bytes of the number fields below. */
const DOUBLE_BYTES = 8;
const SHORT_BYTES = 2;

// The library's own number fields look their method up by a name put together at each call.

/** A whole number from 0 to 2^32 - 1. */
export const uint32: r.Field = {
  decode: (stream) => stream.readUInt32BE(),
  encode: (stream, value) => stream.writeUInt32BE(value as number),
  size: () => LENGTH_BYTES,
};
/** A whole number from 0 to 2^16 - 1. */
export const uint16: r.Field = {
  decode: (stream) => stream.readUInt16BE(),
  encode: (stream, value) => stream.writeUInt16BE(value as number),
  size: () => SHORT_BYTES,
};
/** Any number: times, amounts, costs. */
export const float64: r.Field = {
  decode: (stream) => stream.readDoubleBE(),
  encode: (stream, value) => stream.writeDoubleBE(value as number),
  size: () => DOUBLE_BYTES,
};
/** True or false. */
export const bool: r.Field = {
  decode: (stream) => stream.readUInt8() !== 0,
  encode: (stream, value) => stream.writeUInt8(value === true ? 1 : 0),
  size: () => 1,
};

/** The bytes of a stream with the methods of a buffer, not copied. */
function asBuffer({ buffer }: { readonly buffer: Uint8Array }): Buffer {
  return Buffer.isBuffer(buffer)
    ? buffer
    : Buffer.from(buffer.buffer, buffer.byteOffset, buffer.byteLength);
}

/** A text in UTF-8 behind its length. The library's own makes a decoder anew for each text. */
class TextField implements r.Field {
  constructor(private readonly length: r.Field) {}

  decode(stream: r.DecodeStream): string {
    const length = this.length.decode(stream) as number;
    const start = stream.pos;
    stream.pos += length;
    return asBuffer(stream).toString('utf8', start, stream.pos);
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

/** A text of at most 64 KB: names and short details. */
export const shortText: r.Field = new TextField(uint16);
/** A text bounded only by the frame: contents and states. */
export const longText: r.Field = new TextField(uint32);

/**
 * A list of at most 2^32 - 1 elements, bounded by the frame. Bytes are those of the library's own list,
 * whose hidden properties on every list cost more than its elements.
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

/** A list of elements of one kind. */
export function listOf(element: r.Field): r.Field {
  return new ListField(element);
}

/** One of a fixed list of names, in their order. */
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
        throw new WireError(`unknown name ${String(value)}`);
      }
      stream.writeUInt8(number);
    },
    size: () => 1,
  };
}

/**
 * Fields one after another; bytes are those of the library's own record, without its pointers. Plain loops: most
 * processes encode some thousand messages only, and iterators cost the most before they are optimised.
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

  /** Sets the fields of a value. */
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

/** A record of fields. */
export function record(fields: Record<string, r.Field>): r.Field {
  return new RecordField(fields);
}

/** A tag that no branch of a union has, or a value beyond its bounds. */
export class WireError extends Error {}

/** A branch that a newer build has: what follows its number can't be told here. */
export class UnknownKindError extends WireError {
  constructor(readonly kind: number) {
    super(`unknown tag ${kind}`);
  }
}

/** One branch of a tagged union. */
export interface UnionBranch {
  /** Value of the `type` property. */
  readonly type: string;
  readonly fields: Record<string, r.Field>;
}

/** A tagged union, told apart by its `type` property; the branch's place is its number. */
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

  /** Number of a branch. Throws on a name that none has. */
  numberOf(value: unknown): number {
    const { type } = value as { type: string };
    const number = this.numbers.get(type);
    if (number === undefined) {
      throw new WireError(`unknown type ${type}`);
    }
    return number;
  }
}

/** Encodes a value into bytes, each of which a field sets. */
export function encodeField(field: r.Field, value: unknown): Uint8Array {
  const buffer = Buffer.allocUnsafe(field.size(value));
  field.encode(new r.EncodeStream(buffer), value);
  return buffer;
}

/** Decodes a value that must fill the bytes exactly. */
export function decodeField(field: r.Field, bytes: Uint8Array): unknown {
  const stream = new r.DecodeStream(bytes);
  const value = field.decode(stream);
  if (stream.pos !== bytes.length) {
    throw new WireError(`${bytes.length} bytes given, ${stream.pos} understood`);
  }
  return value;
}
