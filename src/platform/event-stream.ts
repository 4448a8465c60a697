/** Parser of server-sent events; only their `data` is read. */
import { StringDecoder } from 'node:string_decoder';

const MAXIMUM_EVENT_CHARACTERS = 16 * 1024 * 1024;
const DATA_FIELD = 'data:';

/** Splits a byte stream into events, which may span chunks. */
export class EventStreamReader {
  private readonly decoder = new StringDecoder('utf8');
  private buffered = '';

  /** Adds a chunk; returns the data of the events that it completes. Throws when an event is too long. */
  push(chunk: Buffer): string[] {
    this.buffered += this.decoder.write(chunk);
    if (this.buffered.length > MAXIMUM_EVENT_CHARACTERS) {
      throw new RangeError('an event exceeds the bound');
    }
    const events = this.buffered.split(/\r?\n\r?\n/);
    this.buffered = events.pop() ?? '';
    return events.map(dataOf).filter((data) => data !== '');
  }
}

function dataOf(event: string): string {
  return event
    .split(/\r?\n/)
    .filter((line) => line.startsWith(DATA_FIELD))
    .map((line) => line.slice(DATA_FIELD.length).trimStart())
    .join('\n');
}
