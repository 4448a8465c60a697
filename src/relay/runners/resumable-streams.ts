/**
 * Tracks the origins of the streams that clients may resume. A gateway keeps those of its own unfinished streams in memory. It
 * also records them at the replicas, except while the origin of any stream follows from its route.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { StreamOriginClient } from '../../turns/stream-origin-client.js';
import { StreamOrigins } from '../../turns/stream-origins.js';
import type { StreamOrigin, StreamOriginEntry } from '../../turns/stream-origins.js';
import type { Route } from '../request/routing-table.js';
import type { VersionHistory } from './version-history.js';

/** Own streams in a generation; at 30 new ones a second, a generation has 1,800. */
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
  | 'single'
  /** The client doesn't name the stream, and no second version is known. */
  | 'listed';

/** An origin, and what it was taken from. */
export interface FoundOrigin {
  readonly origin: StreamOrigin;
  readonly source: OriginSource;
}

/** Dependencies of {@link ResumableStreams}. */
export interface ResumableStreamsOptions {
  readonly runtime: Runtime;
  readonly client: StreamOriginClient;
  readonly versions: VersionHistory;
}

/** Records and finds the origins of streams. */
export class ResumableStreams {
  private readonly own: StreamOrigins;

  constructor(private readonly options: ResumableStreamsOptions) {
    const { runtime, versions } = options;
    this.own = new StreamOrigins({ runtime, maximumEntries: MAXIMUM_OWN_STREAMS });
    versions.onMixed = (service) => this.recordOwn(service);
  }

  /** Records where a stream of a route began. */
  begin(stream: string, origin: StreamOrigin, route: Route): void {
    if (!isPossibleId(stream)) {
      return;
    }
    const entry = { stream, ...origin };
    this.own.record(entry);
    const single = this.singleOrigin(route);
    if (single?.service !== origin.service || single.version !== origin.version) {
      this.options.client.record(entry);
    }
  }

  /** Forgets a stream that was delivered to its end. */
  end(stream: string): void {
    this.own.forget(stream);
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
    if (!isPossibleId(stream)) {
      done(this.findSingle(route));
      return;
    }
    const own = this.own.find(stream);
    if (own !== undefined) {
      done({ origin: own, source: 'own' });
      return;
    }
    const isSingle = this.singleOrigin(route) !== undefined;
    this.options.client.find(stream, remainingMilliseconds, isSingle, (origin) =>
      done(origin === undefined ? this.findSingle(route) : { origin, source: 'record' }),
    );
  }

  /**
   * Whether a stream that its client doesn't name may be resumed. Only clients for which no two versions of a service serve
   * at a time don't name their streams, so that they are refused only if a second version is known.
   */
  mayResumeUnnamed({ services }: Route): boolean {
    const { versions } = this.options;
    return !services.some(({ service }) => versions.isMixed(service));
  }

  /** Returns the origin that unnamed streams of a route have in common; undefined if it is split or no runner is known. */
  findListed(route: Route): FoundOrigin | undefined {
    const origin = originOf(route, (service) => this.options.versions.knownVersion(service));
    return origin === undefined ? undefined : { origin, source: 'listed' };
  }

  /** Returns the origin that all streams of a route have in common; undefined if they may differ. */
  private findSingle(route: Route): FoundOrigin | undefined {
    const origin = this.singleOrigin(route);
    return origin === undefined ? undefined : { origin, source: 'single' };
  }

  private singleOrigin(route: Route): StreamOrigin | undefined {
    return originOf(route, (service) => this.options.versions.soleVersion(service));
  }

  private recordOwn(service: string): void {
    const entries: StreamOriginEntry[] = this.own.ofService(service);
    entries.forEach((entry) => this.options.client.record(entry));
  }
}

/** Returns the origin that follows from a route with one service and the only version of it. */
function originOf(
  { services }: Route,
  versionOf: (service: string) => string | undefined,
): StreamOrigin | undefined {
  const service = services.length === 1 ? services[0]!.service : undefined;
  const version = service === undefined ? undefined : versionOf(service);
  return service === undefined || version === undefined ? undefined : { service, version };
}

function isPossibleId(stream: string): boolean {
  return stream !== '' && stream.length <= MAXIMUM_ID_LENGTH;
}
