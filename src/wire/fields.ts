/** Field types of the messages between nodes, built on `restructure`. */
import * as r from 'restructure';

/** A text of at most 64 KB: names and short details. */
export const shortText: r.Field = new r.String(r.uint16, 'utf8');
/** A text bounded only by the frame: contents and states. */
export const longText: r.Field = new r.String(r.uint32, 'utf8');
/** A whole number from 0 to 2^32 - 1. */
export const count: r.Field = r.uint32;
/** Any number: times, amounts, costs. */
export const real: r.Field = r.double;
/** True or false. */
export const flag: r.Field = new r.Boolean(r.uint8);

/** A list of at most 2^32 - 1 elements, bounded by the frame. */
export function listOf(element: r.Field): r.Field {
  return new r.Array(element, r.uint32);
}

/** One of a fixed list of names, in their order. */
export function oneOf(names: readonly string[]): r.Field {
  return new r.Enum(r.uint8, names);
}

/** A record of fields. */
export function record(fields: Record<string, r.Field>): r.Struct {
  return new r.Struct(fields);
}

/** A tag that no branch of a union has, or a value beyond its bounds. */
export class WireError extends Error {}

/** One branch of a tagged union. */
export interface UnionBranch {
  /** Value of the `type` property. */
  readonly type: string;
  readonly fields: Record<string, r.Field>;
}

/** A tagged union, told apart by its `type` property; the branch's place is its number. */
export class TaggedUnion implements r.Field {
  private readonly structs: readonly r.Struct[];
  private readonly numbers: ReadonlyMap<string, number>;

  constructor(private readonly branches: readonly UnionBranch[]) {
    this.structs = branches.map((branch) => new r.Struct(branch.fields));
    this.numbers = new Map(branches.map((branch, number) => [branch.type, number]));
  }

  decode(stream: r.DecodeStream): unknown {
    const number = stream.readUInt8();
    const struct = this.structs[number];
    const branch = this.branches[number];
    if (struct === undefined || branch === undefined) {
      throw new WireError(`unknown tag ${number}`);
    }
    return { type: branch.type, ...struct.decode(stream) };
  }

  encode(stream: r.EncodeStream, value: unknown): void {
    const number = this.numberOf(value);
    stream.writeUInt8(number);
    this.structs[number]!.encode(stream, value);
  }

  size(value: unknown): number {
    return 1 + this.structs[this.numberOf(value)]!.size(value);
  }

  private numberOf(value: unknown): number {
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
