/** Field types of the messages between nodes, built on `restructure`. */
import * as r from 'restructure';

/** Bytes of a whole number, and of what tells the length of a list. */
const LENGTH_BYTES = 4;

/** A text of at most 64 KB: names and short details. */
export const shortText: r.Field = new r.String(r.uint16, 'utf8');
/** A text bounded only by the frame: contents and states. */
export const longText: r.Field = new r.String(r.uint32, 'utf8');
/** Bytes of the number fields below. */
const DOUBLE_BYTES = 8;
const SHORT_BYTES = 2;

// The library's own number fields look their method up by a name put together at each call.

/** A whole number from 0 to 2^32 - 1. */
export const count: r.Field = {
  decode: (stream) => stream.readUInt32BE(),
  encode: (stream, value) => stream.writeUInt32BE(value as number),
  size: () => LENGTH_BYTES,
};
/** A whole number from 0 to 2^16 - 1. */
export const shortCount: r.Field = {
  decode: (stream) => stream.readUInt16BE(),
  encode: (stream, value) => stream.writeUInt16BE(value as number),
  size: () => SHORT_BYTES,
};
/** Any number: times, amounts, costs. */
export const real: r.Field = {
  decode: (stream) => stream.readDoubleBE(),
  encode: (stream, value) => stream.writeDoubleBE(value as number),
  size: () => DOUBLE_BYTES,
};
/** True or false. */
export const flag: r.Field = new r.Boolean(r.uint8);

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
  return new r.Enum(r.uint8, names);
}

/** Fields one after another; bytes are those of the library's own record, without its pointers. */
class RecordField implements r.Field {
  private readonly entries: readonly (readonly [string, r.Field])[];

  constructor(fields: Record<string, r.Field>) {
    this.entries = Object.entries(fields);
  }

  decode(stream: r.DecodeStream): Record<string, unknown> {
    const value: Record<string, unknown> = {};
    for (const [name, field] of this.entries) {
      value[name] = field.decode(stream);
    }
    return value;
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    for (const [name, field] of this.entries) {
      field.encode(stream, (value as Record<string, unknown>)[name]);
    }
  }

  size(value: unknown): number {
    let size = 0;
    for (const [name, field] of this.entries) {
      size += field.size((value as Record<string, unknown>)[name]);
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
    return { type: branch.type, ...fields.decode(stream) };
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

/** Encodes a value into bytes of its own. */
export function encodeField(field: r.Field, value: unknown): Uint8Array {
  const buffer = new Uint8Array(field.size(value));
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
