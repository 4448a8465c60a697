/** Origins of streams, held in memory for as long as clients may resume them. */
import type { Runtime } from '../runtime/runtime.js';
import { Generations } from './generations.js';

/** Service and software version of the runner that sent the first event of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if the runner's entry names no version. */
  readonly version: string;
}

/** A stream, by the id of the request whose answer brought its first event, and its origin. */
export interface StreamOriginEntry extends StreamOrigin {
  readonly stream: string;
}

/** What the requests for a stream have in common, over all tries of its client: a hash of 53 bits. */
export type StreamContent = number & { readonly brand: 'StreamContent' };

/** A stream with the content of its requests. */
export interface StreamContentEntry {
  readonly content: StreamContent;
  readonly stream: string;
}

/** What is known of a content. */
export interface FoundContent {
  /** The stream that has it; empty if none is known, or several have it. */
  readonly stream: string;
  readonly isShared: boolean;
  /** Whether other streams of the last minute that have it would be known. */
  readonly isComplete: boolean;
}

/** Longest supported time from the first event of a stream to its resumption, in milliseconds. */
export const ORIGIN_RETENTION_MILLISECONDS = 60_000;

/** Memory of an entry beside the id of its stream, which a client may choose, in bytes. */
const ENTRY_BYTES = 64;

/** In place of the stream of a content that several streams have. */
const SHARED = '';

/** Dependencies and bounds of {@link StreamOrigins} and {@link StreamContents}. */
export interface StreamOriginsOptions {
  readonly runtime: Pick<Runtime, 'now'>;
  /** Entries in a generation; two generations are kept. */
  readonly maximumEntries: number;
  /** Memory of the entries in a generation, in bytes. @default not bounded */
  readonly maximumBytes?: number;
  /** Whether no stream can have been recorded before. @default false */
  readonly isFirst?: boolean | undefined;
}

/** Keeps the origin of each stream for the retention time. */
export class StreamOrigins {
  private readonly generations: Generations<string, StreamOrigin>;
  /** The origins of the current generation; few differ, so that streams share them. */
  private readonly origins = new Map<string, StreamOrigin>();

  constructor(options: StreamOriginsOptions) {
    const retentionMilliseconds = ORIGIN_RETENTION_MILLISECONDS;
    const bytesOf = (stream: string): number => ENTRY_BYTES + stream.length;
    this.generations = new Generations({ ...options, retentionMilliseconds, bytesOf });
    this.generations.onStarted = () => this.origins.clear();
  }

  /** Number of streams whose origin is known. */
  get size(): number {
    return this.generations.size;
  }

  /** Records the origin of a stream. */
  record({ stream, service, version }: StreamOriginEntry): void {
    this.generations.set(stream, this.shared(service, version));
  }

  /** Returns the origin of a stream; undefined if it is unknown or too old. */
  find(stream: string): StreamOrigin | undefined {
    return this.generations.get(stream);
  }

  private shared(service: string, version: string): StreamOrigin {
    const key = `${service}\n${version}`;
    const known = this.origins.get(key);
    if (known !== undefined) {
      return known;
    }
    const origin = { service, version };
    this.origins.set(key, origin);
    return origin;
  }
}

/**
 * Keeps for each content the stream that has it, for clients that don't name the stream they resume. A content that two streams
 * have stays shared: either of them may be the one that a client means.
 */
export class StreamContents {
  /** Empty for a content that several streams have. */
  private readonly generations: Generations<StreamContent, string>;

  constructor(options: StreamOriginsOptions) {
    const retentionMilliseconds = ORIGIN_RETENTION_MILLISECONDS;
    const bytesOf = (_content: StreamContent, stream: string): number =>
      ENTRY_BYTES + stream.length;
    this.generations = new Generations({ ...options, retentionMilliseconds, bytesOf });
  }

  /** Records the stream of a content. */
  record({ content, stream }: StreamContentEntry): void {
    const known = this.generations.get(content) ?? stream;
    this.generations.set(content, known === stream ? stream : SHARED);
  }

  /** Returns what is known of a content. */
  find(content: StreamContent): FoundContent {
    const stream = this.generations.get(content);
    const { isComplete } = this.generations;
    return { stream: stream ?? '', isShared: stream === SHARED, isComplete };
  }
}
