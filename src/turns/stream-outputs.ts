/**
 * What clients have received of unfinished turns, held in memory: a client may resume its stream through another gateway, which then
 * stores the whole turn.
 */
import { hashBytes, hashToExactNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import { ORIGIN_RETENTION_MILLISECONDS } from './stream-origins.js';

/** An event of a turn. */
export interface OutputEvent {
  /** Id by which a client may resume after the event; empty if it has none. */
  readonly id: string;
  /** What the event adds to the output of its turn. */
  readonly output: Buffer;
}

/** Events of a stream that follow one another. */
export interface OutputPart {
  /** Id of the request whose answer brought the first event of the stream. */
  readonly stream: string;
  /** Number of events of the stream before these. */
  readonly position: number;
  /** Checksum of the events before these, see {@link checksumAfter}. */
  readonly checksum: number;
  readonly events: readonly OutputEvent[];
}

/** The output of a stream up to an event. */
export interface FoundOutput {
  /** Number of events, including the last one. */
  readonly position: number;
  /** Checksum of these events. */
  readonly checksum: number;
  readonly output: Buffer;
}

/** Checksum of a stream without events. */
export const EMPTY_CHECKSUM = 0;

/** What a client has received of a stream without events. */
export const NO_OUTPUT: FoundOutput = {
  position: 0,
  checksum: EMPTY_CHECKSUM,
  output: Buffer.alloc(0),
};

/** Returns the checksum of a stream up to an event, given that of all events before. */
export function checksumAfter(before: number, { id, output }: OutputEvent): number {
  return hashToExactNumber(JSON.stringify([before, id]), hashBytes(output));
}

/** Dependencies and bounds of {@link StreamOutputs}. */
export interface StreamOutputsOptions {
  readonly runtime: Pick<Runtime, 'now'>;
  /** Memory of all streams, in bytes; those that were longest without a new event are dropped first. */
  readonly maximumBytes: number;
}

/** Longest id of an event or a stream by which a turn can be resumed, in characters. */
export const MAXIMUM_OUTPUT_ID_LENGTH = 256;

/** Memory of a stream and of an event, beside their texts and output, in bytes. */
const STREAM_BYTES = 200;
const EVENT_BYTES = 100;

/** Whether two events of one position in a stream are the same. */
function isSameEvent(left: OutputEvent, right: OutputEvent): boolean {
  return left.id === right.id && left.output.equals(right.output);
}

/** The events of one stream. */
class StreamOutput {
  readonly events: OutputEvent[] = [];
  /** Checksum before each event, and after the last one. */
  private readonly checksums: number[] = [EMPTY_CHECKSUM];
  bytes = STREAM_BYTES;
  /** Local time of the newest part, in milliseconds. */
  changedAt = 0;
  /** Whether two runs of the stream differ behind the events here, so that it is not known which of them its client has received. */
  private hasForked = false;

  /** Adds the events that are new; events after a gap are left out. */
  append({ position, checksum, events }: OutputPart): void {
    const knownChecksum = this.checksums[position];
    if (knownChecksum !== undefined && knownChecksum !== checksum) {
      // The two runs differ somewhere before, in events of which this member has only those of one run.
      this.forkAt(0);
      return;
    }
    for (const [index, event] of events.entries()) {
      const known = this.events[position + index];
      if (known === undefined) {
        this.appendEvent(position + index, event);
      } else if (!isSameEvent(known, event)) {
        this.forkAt(position + index);
        return;
      }
    }
  }

  private forkAt(position: number): void {
    this.hasForked = true;
    this.events.splice(position);
    this.checksums.splice(position + 1);
  }

  private appendEvent(position: number, { id, output }: OutputEvent): void {
    if (position === this.events.length && !this.hasForked) {
      // A part of a received message keeps all of it.
      const event = { id, output: Buffer.from(output) };
      this.events.push(event);
      this.checksums.push(checksumAfter(this.checksums[position]!, event));
      this.bytes += EVENT_BYTES + id.length + output.length;
    }
  }

  upTo(lastEvent: string): FoundOutput | undefined {
    const index = this.events.findLastIndex(({ id }) => id === lastEvent);
    if (lastEvent === '' || index < 0) {
      return undefined;
    }
    const events = this.events.slice(0, index + 1);
    const position = events.length;
    const output = Buffer.concat(events.map((event) => event.output));
    return { position, checksum: this.checksums[position]!, output };
  }
}

/** Keeps the events of unfinished turns for as long as their clients may resume them. */
export class StreamOutputs {
  /** By stream, the one with the oldest change first. */
  private readonly streams = new Map<string, StreamOutput>();
  private bytes = 0;

  constructor(private readonly options: StreamOutputsOptions) {}

  /** Number of streams that are held. */
  get size(): number {
    return this.streams.size;
  }

  /** Records events that are about to be sent to the client of a stream. */
  record(part: OutputPart): void {
    const stream = this.streams.get(part.stream) ?? new StreamOutput();
    const bytesBefore = this.streams.has(part.stream) ? stream.bytes : 0;
    stream.append(part);
    stream.changedAt = this.options.runtime.now();
    this.bytes += stream.bytes - bytesBefore;
    this.streams.delete(part.stream);
    this.streams.set(part.stream, stream);
    this.evict();
  }

  /** Returns what a client has received that names its last event; undefined if it is not known. */
  find(stream: string, lastEvent: string): FoundOutput | undefined {
    this.evict();
    return this.streams.get(stream)?.upTo(lastEvent);
  }

  private evict(): void {
    const { runtime, maximumBytes } = this.options;
    const oldest = runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
    for (const [name, { bytes, changedAt }] of this.streams) {
      if (changedAt >= oldest && this.bytes <= maximumBytes) {
        return;
      }
      this.streams.delete(name);
      this.bytes -= bytes;
    }
  }
}
