/** Types for the part of `restructure` 3 that this project uses; the package ships none. */
declare module 'restructure' {
  /** A buffer with the position of the next read. */
  export class DecodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    pos: number;
    readonly length: number;
    readUInt8(): number;
    readUInt16BE(): number;
    readUInt32BE(): number;
    readFloatBE(): number;
    readDoubleBE(): number;
  }

  /** A buffer with the position of the next write. */
  export class EncodeStream {
    constructor(buffer: Uint8Array);
    readonly buffer: Uint8Array;
    pos: number;
    writeUInt8(value: number): void;
    writeUInt16BE(value: number): void;
    writeUInt32BE(value: number): void;
    writeFloatBE(value: number): void;
    writeDoubleBE(value: number): void;
  }

  /** A codec of one value. */
  export interface Field {
    decode(stream: DecodeStream, parent?: unknown): unknown;
    encode(stream: EncodeStream, value: unknown, parent?: unknown): void;
    size(value: unknown, parent?: unknown): number;
  }

  export class Struct implements Field {
    constructor(fields: Record<string, Field>);
    decode(stream: DecodeStream, parent?: unknown): Record<string, unknown>;
    encode(stream: EncodeStream, value: unknown, parent?: unknown): void;
    size(value: unknown, parent?: unknown): number;
  }

  class NumberField implements Field {
    decode(stream: DecodeStream): number;
    encode(stream: EncodeStream, value: unknown): void;
    size(): number;
  }

  class AnyField implements Field {
    decode(stream: DecodeStream, parent?: unknown): unknown;
    encode(stream: EncodeStream, value: unknown, parent?: unknown): void;
    size(value: unknown, parent?: unknown): number;
  }

  export class String extends AnyField {
    constructor(length: NumberField, encoding: 'utf8');
  }
  export class Array extends AnyField {
    constructor(type: Field, length: NumberField);
  }
  export class Enum extends AnyField {
    constructor(type: NumberField, options: readonly string[]);
  }
  export class Buffer extends AnyField {
    constructor(length: NumberField);
  }
  export class Boolean extends AnyField {
    constructor(type: NumberField);
  }

  export const uint8: NumberField;
  export const uint16: NumberField;
  export const uint32: NumberField;
  export const double: NumberField;
}
