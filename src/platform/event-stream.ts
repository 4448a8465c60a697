/** Reads server-sent events: the `data` of each, whatever the chunks it came in. */
import { StringDecoder } from 'node:string_decoder';

/** Longest event understood, in characters. */
const MAXIMUM_EVENT_CHARACTERS = 16 * 1024 * 1024;
const DATA_FIELD = 'data:';

/** Cuts a byte stream into events. */
export class EventStreamReader {
  private readonly decoder = new StringDecoder('utf8');
  private buffered = '';

  /** Takes a chunk; returns the data of the events that are complete. */
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
