/** Origins of streams, held in memory for as long as clients may resume them. */
import type { Runtime } from '../runtime/runtime.js';

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

/** Longest supported time from the first event of a stream to its resumption, in milliseconds. */
export const ORIGIN_RETENTION_MILLISECONDS = 60_000;

/** Dependencies and bounds of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly runtime: Pick<Runtime, 'now'>;
  /** Entries in a generation; two generations are kept. */
  readonly maximumEntries: number;
}

type Generation = Map<string, StreamOrigin>;

/**
 * Keeps each origin for the retention time, at most twice as long, and less if there are too many. Entries are dropped by
 * whole generations, which needs neither a time for each entry nor a sweep.
 */
export class StreamOrigins {
  private current: Generation = new Map();
  private previous: Generation = new Map();
  /** Local time at which the current generation started, in milliseconds. */
  private startedAt: number;
  /** The origins of the current generation; few differ, so that streams share them. */
  private readonly origins = new Map<string, StreamOrigin>();

  constructor(private readonly options: StreamOriginsOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Number of streams whose origin is known. */
  get size(): number {
    return this.current.size + this.previous.size;
  }

  /** Records the origin of a stream; a full generation starts the next one early. */
  record({ stream, service, version }: StreamOriginEntry): void {
    this.dropExpired();
    if (this.current.size >= this.options.maximumEntries) {
      this.startGeneration();
    }
    this.current.set(stream, this.shared(service, version));
  }

  /** Returns the origin of a stream; undefined if it is unknown or too old. */
  find(stream: string): StreamOrigin | undefined {
    this.dropExpired();
    return this.current.get(stream) ?? this.previous.get(stream);
  }

  /** Removes the origin of a stream. */
  forget(stream: string): void {
    this.current.delete(stream);
    this.previous.delete(stream);
  }

  /** Returns the streams that began in a service. */
  ofService(service: string): StreamOriginEntry[] {
    this.dropExpired();
    return [...this.previous, ...this.current]
      .filter(([, origin]) => origin.service === service)
      .map(([stream, origin]) => ({ stream, ...origin }));
  }

  private dropExpired(): void {
    const age = this.options.runtime.now() - this.startedAt;
    if (age >= ORIGIN_RETENTION_MILLISECONDS) {
      this.startGeneration();
      if (age >= 2 * ORIGIN_RETENTION_MILLISECONDS) {
        this.previous.clear();
      }
    }
  }

  private startGeneration(): void {
    this.previous = this.current;
    this.current = new Map();
    this.origins.clear();
    this.startedAt = this.options.runtime.now();
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
