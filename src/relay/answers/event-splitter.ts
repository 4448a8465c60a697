/** Splits the bytes of a `text/event-stream` into complete events without changing any byte. */
import { isFieldContent } from '../../http-client/field-value.js';

/** One complete event. */
export interface StreamEvent {
  /** The event as received, including the blank line that ends it. */
  readonly bytes: Buffer;
  /** Value of the `id` field, if there is one. */
  readonly id: string | undefined;
  /** Values of the `data` lines, joined by line feeds. */
  readonly data: Buffer;
  /** Whether there is a `data` line; comments and events with other fields only have none. */
  readonly hasData: boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DATA_FIELD = Buffer.from('data:');
const ID_FIELD = Buffer.from('id:');
const EMPTY_BUFFER = Buffer.alloc(0);
const LINE_SEPARATOR = Buffer.from('\n');
/** Bytes of the longest end of an event: a line feed and a blank line that ends in CR LF. */
const MAXIMUM_BLANK_LINE_BYTES = 3;
/** Size of new storage for an incomplete event, in relation to its bytes. */
const STORAGE_GROWTH = 2;

/** Returns whether bytes hold line ends only, which belong to no event. */
export function hasOnlyLineEnds(bytes: Buffer): boolean {
  return bytes.every((byte) => byte === LINE_FEED || byte === CARRIAGE_RETURN);
}

/** Largest accepted event. */
export const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Returns the offset after the blank line that ends the first event, or -1 if it has not been received yet. */
function endOfEvent(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) {
      return at + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return -1;
}

function fieldValue(line: Buffer, field: Buffer): Buffer | undefined {
  if (line.length < field.length || line.compare(field, 0, field.length, 0, field.length) !== 0) {
    return undefined;
  }
  return line.subarray(line[field.length] === SPACE ? field.length + 1 : field.length);
}

function joined(parts: readonly Buffer[]): Buffer {
  return parts.length > 1 ? Buffer.concat(parts) : (parts[0] ?? EMPTY_BUFFER);
}

function parseEvent(bytes: Buffer): StreamEvent {
  const data: Buffer[] = [];
  let id: string | undefined;
  let start = 0;
  while (start < bytes.length) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const stop = feed < 0 ? bytes.length : feed;
    const end = stop > start && bytes[stop - 1] === CARRIAGE_RETURN ? stop - 1 : stop;
    const line = bytes.subarray(start, end);
    const dataValue = fieldValue(line, DATA_FIELD);
    if (dataValue !== undefined) {
      data.push(...(data.length > 0 ? [LINE_SEPARATOR, dataValue] : [dataValue]));
    } else {
      id = fieldValue(line, ID_FIELD)?.toString('latin1') ?? id;
    }
    start = stop + 1;
  }
  if (id !== undefined && !isFieldContent(id)) {
    // The stream could not be resumed after this event: its id is sent to the next runner in a header.
    throw new RangeError('the id of an event holds control characters');
  }
  return {
    bytes,
    id,
    data: joined(data),
    hasData: data.length > 0,
  };
}

/** Incremental splitter for one stream. */
export class EventSplitter {
  /** Bytes after the last complete event. */
  private rest: Buffer = EMPTY_BUFFER;
  /** Memory that starts with `rest` and has room behind it; undefined if `rest` is a part of a received chunk. */
  private storage: Buffer | undefined;

  /**
   * Adds a chunk; returns the events it completes. Throws a `RangeError` if an event exceeds the maximum size or has an
   * invalid id.
   */
  push(chunk: Buffer): StreamEvent[] {
    // The blank line that ends an event may have begun in the rest.
    let searchFrom = Math.max(0, this.rest.length - MAXIMUM_BLANK_LINE_BYTES);
    this.append(chunk);
    const events: StreamEvent[] = [];
    for (
      let end = endOfEvent(this.rest, searchFrom);
      end >= 0;
      end = endOfEvent(this.rest, searchFrom)
    ) {
      events.push(parseEvent(this.rest.subarray(0, end)));
      this.rest = this.rest.subarray(end);
      // The events refer to the storage, which is not written to any more.
      this.storage = undefined;
      searchFrom = 0;
    }
    if (this.rest.length > MAXIMUM_EVENT_BYTES) {
      throw new RangeError('an event exceeds the maximum size');
    }
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRest(): Buffer {
    const rest = this.rest;
    this.rest = EMPTY_BUFFER;
    this.storage = undefined;
    return rest;
  }

  /** Adds a chunk to the rest; the storage grows by doubling, so that many small chunks are not copied again for each of them. */
  private append(chunk: Buffer): void {
    const { rest } = this;
    if (rest.length === 0) {
      this.rest = chunk;
      this.storage = undefined;
      return;
    }
    const bytes = rest.length + chunk.length;
    if (this.storage === undefined || this.storage.length < bytes) {
      this.storage = Buffer.allocUnsafe(bytes * STORAGE_GROWTH);
      rest.copy(this.storage);
    }
    chunk.copy(this.storage, rest.length);
    this.rest = this.storage.subarray(0, bytes);
  }
}
