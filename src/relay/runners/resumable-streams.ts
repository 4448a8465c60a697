/**
 * Tracks the origins of the streams that clients may resume. A gateway keeps those of its own unfinished streams in memory. It
 * also records them at the replicas, except while the origin of any stream follows from its route.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import { Generations } from '../../turns/generations.js';
import type { StreamOriginClient } from '../../turns/stream-origin-client.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../../turns/stream-origins.js';
import type {
  StreamContent,
  StreamContentEntry,
  StreamOrigin,
} from '../../turns/stream-origins.js';
import type { VersionExchange } from '../../turns/version-exchange.js';
import type { Route } from '../request/routing-table.js';
import type { VersionHistory } from './version-history.js';

/** Own streams in a generation. */
const MAXIMUM_OWN_STREAMS = 20_000;
/** Longest id of a stream that is looked up, in characters. */
const MAXIMUM_ID_LENGTH = 256;

/** What an origin was taken from. */
export type OriginSource =
  /** This gateway began the stream, or has resumed it. */
  | 'own'
  /** The record of another gateway. */
  | 'record'
  /** Only one version can have begun it. */
  | 'single';

/** An origin, and what it was taken from. */
export interface FoundOrigin {
  readonly origin: StreamOrigin;
  readonly source: OriginSource;
  /** The stream, if the request doesn't name it and it is known. */
  readonly stream?: string | undefined;
}

/** Dependencies of {@link ResumableStreams}. */
export interface ResumableStreamsOptions {
  readonly runtime: Runtime;
  readonly client: StreamOriginClient;
  readonly versions: VersionHistory;
  /** Asks the members which versions were listed. */
  readonly exchange: VersionExchange;
}

/** An unfinished stream that this gateway began or has resumed. */
interface OwnStream extends StreamContentEntry {
  readonly origin: StreamOrigin;
}

/** Records and finds the origins of streams. */
export class ResumableStreams {
  /** By id of a request whose answer brought events of the stream. */
  private readonly own: Generations<string, OwnStream>;
  private cancelRecording: CancelTimer | undefined;

  constructor(private readonly options: ResumableStreamsOptions) {
    const { runtime, versions } = options;
    const retentionMilliseconds = ORIGIN_RETENTION_MILLISECONDS;
    this.own = new Generations({
      runtime,
      retentionMilliseconds,
      maximumEntries: MAXIMUM_OWN_STREAMS,
    });
    versions.onMixed = () => this.recordOwnSoon();
  }

  /**
   * Records where a stream of a route began.
   * @param requests ids under which its client may resume it; the last one is that of its first request, if known
   */
  begin(
    requests: readonly string[],
    content: StreamContent,
    origin: StreamOrigin,
    route: Route,
  ): void {
    const streams = requests.filter(isPossibleId);
    const stream = streams.at(-1);
    if (stream === undefined) {
      return;
    }
    const entry = { stream, content, origin };
    streams.forEach((each) => this.own.set(each, entry));
    // Contents are recorded at all times: a second stream that has one must not be taken for the only one.
    this.options.client.recordContent({ content, stream });
    const sole = this.options.versions.soleOrigin(route);
    if (sole?.service !== origin.service || sole.version !== origin.version) {
      streams.forEach((each) => this.options.client.record({ stream: each, ...origin }));
    }
  }

  /** Forgets a stream that was delivered to its end. */
  end(requests: readonly string[]): void {
    requests.forEach((request) => this.own.delete(request));
  }

  /**
   * Finds the origin of a stream: what this gateway knows itself goes before a record, and a record before what follows from
   * the versions that serve. Calls back once, with undefined if the origin is unknown.
   */
  find(
    stream: string,
    route: Route,
    remainingMilliseconds: number,
    done: (found: FoundOrigin | undefined) => void,
  ): void {
    const own = isPossibleId(stream) ? this.own.get(stream) : undefined;
    if (own !== undefined) {
      done({ origin: own.origin, source: 'own' });
      return;
    }
    if (!isPossibleId(stream)) {
      this.concludeSingle(route, done);
      return;
    }
    const { client, versions, exchange } = this.options;
    const isSingle = versions.soleOrigin(route) !== undefined;
    client.find(stream, remainingMilliseconds, isSingle, (origin, isAnswered) => {
      if (origin !== undefined) {
        const finish = (): void => done({ origin, source: 'record' });
        // What is not listed here may be listed by others, which tells whether the stream is lost.
        if (versions.lists(origin)) {
          finish();
        } else {
          exchange.refresh(finish);
        }
      } else if (isAnswered) {
        this.concludeSingle(route, done);
      } else {
        done(undefined);
      }
    });
  }

  /**
   * Finds the origin of a stream that its client doesn't name by the content of its request. Calls back once, with undefined
   * if the origin is unknown.
   */
  findUnnamed(
    content: StreamContent,
    route: Route,
    remainingMilliseconds: number,
    done: (found: FoundOrigin | undefined) => void,
  ): void {
    const { client } = this.options;
    client.findContent(content, remainingMilliseconds, (found, isAnswered) => {
      const { stream, isShared, isComplete } = found;
      if (isShared || (stream === '' && !isAnswered)) {
        done(undefined);
      } else if (stream === '') {
        this.concludeSingle(route, done);
      } else {
        this.find(stream, route, remainingMilliseconds, (named) => {
          if (named === undefined || isComplete) {
            done(named === undefined ? undefined : { ...named, stream });
            return;
          }
          this.concludeSingle(route, (single) =>
            done(isSameOrigin(named, single) ? { ...named, stream } : undefined),
          );
        });
      }
    });
  }

  /** Whether this gateway knows all versions that can have begun a stream. */
  get isPastKnown(): boolean {
    return this.options.versions.isPastKnown;
  }

  /**
   * Calls back with the origin that all streams of a route have in common; undefined if they may differ. Asks the members before,
   * since other gateways may list a version earlier.
   */
  private concludeSingle(route: Route, done: (found: FoundOrigin | undefined) => void): void {
    const { versions, exchange } = this.options;
    exchange.refresh(() => {
      const origin = versions.soleOrigin(route);
      done(origin === undefined ? undefined : { origin, source: 'single' });
    });
  }

  /** Once for all services and routes that a change concerns. */
  private recordOwnSoon(): void {
    this.cancelRecording ??= this.options.runtime.setTimer(0, () => {
      this.cancelRecording = undefined;
      this.recordOwn();
    });
  }

  private recordOwn(): void {
    this.own.entries().forEach(([request, entry]) => this.record(request, entry));
  }

  private record(request: string, { stream, content, origin }: OwnStream): void {
    const { client } = this.options;
    client.record({ stream: request, ...origin });
    if (request === stream) {
      client.recordContent({ content, stream });
    }
  }
}

function isSameOrigin(left: FoundOrigin | undefined, right: FoundOrigin | undefined): boolean {
  const isSameService = left?.origin.service === right?.origin.service;
  return isSameService && left?.origin.version === right?.origin.version;
}

function isPossibleId(stream: string): boolean {
  return stream !== '' && stream.length <= MAXIMUM_ID_LENGTH;
}
