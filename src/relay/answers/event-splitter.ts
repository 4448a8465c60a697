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
  private rest: Buffer = EMPTY_BUFFER;

  /**
   * Adds a chunk; returns the events it completes. Throws a `RangeError` if an event exceeds the maximum size or has an
   * invalid id.
   */
  push(chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (let end = endOfEvent(this.rest, 0); end >= 0; end = endOfEvent(this.rest, 0)) {
      events.push(parseEvent(this.rest.subarray(0, end)));
      this.rest = this.rest.subarray(end);
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
    return rest;
  }
}
