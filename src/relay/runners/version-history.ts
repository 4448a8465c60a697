/**
 * The software versions that were listed for each service recently, and the services of each route. Determines whether a stream
 * can have begun at only one version of one service.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../../turns/stream-origins.js';
import type { StreamOrigin } from '../../turns/stream-origins.js';
import type { VersionReporter } from '../../turns/version-exchange.js';
import type { ListedVersion, VersionReport } from '../../turns/version-reports.js';
import type { Route } from '../request/routing-table.js';

interface VersionState {
  /** Runners of this version, or routes, that are listed. */
  listed: number;
  /** Local time at which the last of them was listed, in milliseconds; applies while none is. */
  lastListedAt: number;
}

/** Largest number of reports that are merged after a start: peers that started at the same time add nothing. */
const MAXIMUM_MERGED_REPORTS = 12;
/** Age that is reported at least for what is not listed any more, in milliseconds. */
const MINIMUM_AGE_MILLISECONDS = 1;

/** Returns the name under which the services of a route are kept, like the versions of a service. */
function keyOf({ host, pathPrefix }: Route): string {
  return `//${host}${pathPrefix}`;
}

function isRouteKey(service: string): boolean {
  return service.startsWith('//');
}

/** Returns the route that gets the requests of another one where that other one is not listed. */
function fallbackOf({ host, pathPrefix }: Route, routes: readonly Route[]): Route | undefined {
  return routes
    .filter((each) => each.host === host && pathPrefix.startsWith(each.pathPrefix))
    .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0];
}

/** Tracks the versions that are listed, and those that were. */
export class VersionHistory implements VersionReporter {
  /** Whether the list of runners is proved to be recent. */
  isListProven: () => boolean = () => true;
  /** Whether another gateway has seen several versions of a service. */
  isMixedElsewhere: (service: string) => boolean = () => false;
  /** Called when a service gets a second version, or a route a second service. */
  onMixed: (service: string) => void = () => undefined;
  /** Called when a version or a route is listed that was not before. */
  onListed: () => void = () => undefined;
  private routes: readonly Route[] = [];
  private readonly services = new Map<string, Map<string, VersionState>>();
  /** Local time since which all versions that were listed are known, in milliseconds. */
  private knownSince = -Infinity;
  private mergedReports = 0;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {}

  /** Records that other versions may have been listed before this process started. */
  forgetPast(): void {
    this.knownSince = Infinity;
  }

  /** Records that one more runner of a version is listed. */
  noteListed(service: string, version: string): void {
    const state = this.stateOf(service, version);
    state.listed += 1;
    this.noteSeen(service, state);
    if (state.listed === 1) {
      this.onListed();
    }
  }

  /**
   * Records the routes of a new configuration. Streams of a route that comes or goes may have begun, or be resumed, on the one that
   * otherwise gets its requests.
   */
  noteRoutes(routes: readonly Route[]): void {
    const before = this.routes;
    this.routes = routes;
    const keysBefore = new Set(before.map(keyOf));
    const keys = new Set(routes.map(keyOf));
    const added =
      before.length === 0 ? [] : routes.filter((route) => !keysBefore.has(keyOf(route)));
    const removed = before.filter((route) => !keys.has(keyOf(route)));
    for (const route of routes) {
      route.services.forEach(({ service }) => this.noteListed(keyOf(route), service));
    }
    for (const route of before) {
      route.services.forEach(({ service }) => this.noteUnlisted(keyOf(route), service));
    }
    added.forEach((route) => this.noteServed(route, fallbackOf(route, before)));
    removed.forEach((route) => this.noteServed(fallbackOf(route, routes), route));
  }

  /** Records that streams of a route may have begun at the services of another one. */
  private noteServed(route: Route | undefined, other: Route | undefined): void {
    if (route === undefined || other === undefined) {
      return;
    }
    for (const { service } of other.services) {
      const state = this.stateOf(keyOf(route), service);
      state.lastListedAt = this.runtime.now();
      this.noteSeen(keyOf(route), state);
    }
  }

  /** The only origin that a stream of a route that can still be resumed can have; undefined if unknown. */
  soleOrigin(route: Route): StreamOrigin | undefined {
    const [first, ...others] = route.services;
    const key = keyOf(route);
    const earlier = this.recentVersions(key).some((service) => service !== first?.service);
    if (first === undefined || others.length > 0 || earlier || this.isMixedElsewhere(key)) {
      return undefined;
    }
    const version = this.soleVersion(first.service);
    return version === undefined ? undefined : { service: first.service, version };
  }

  /** Records that a runner of a version is no longer listed. */
  noteUnlisted(service: string, version: string): void {
    const state = this.stateOf(service, version);
    state.listed -= 1;
    state.lastListedAt = this.runtime.now();
  }

  /** The only version at which a stream of a service that can still be resumed can have begun; undefined if unknown. */
  private soleVersion(service: string): string | undefined {
    const [version, ...others] = this.recentVersions(service);
    const isMixed = others.length > 0 || this.isMixedElsewhere(service);
    return this.isPastKnown && this.isListProven() && !isMixed ? version : undefined;
  }

  /** Returns the services of which this gateway has lately seen several versions, and the routes that had other services. */
  mixedServices(): string[] {
    return [...this.services].flatMap(([service, states]) => {
      const isMixed = this.recentVersions(service).length > 1;
      // All gateways know the present services of a route.
      const isKnown = isRouteKey(service) && [...states.values()].every(({ listed }) => listed > 0);
      return isMixed && !isKnown ? [service] : [];
    });
  }

  /** Whether reports of peers may extend what is known. */
  get needsReports(): boolean {
    return !this.isPastKnown && this.mergedReports < MAXIMUM_MERGED_REPORTS;
  }

  /** What this gateway knows; undefined while its list is not proved to be recent. */
  report(): VersionReport | undefined {
    if (!this.isListProven()) {
      return undefined;
    }
    this.startKnowing();
    const knownFor = this.runtime.now() - this.knownSince;
    const knownMilliseconds = Math.min(ORIGIN_RETENTION_MILLISECONDS, knownFor);
    return { knownMilliseconds, versions: this.listVersions() };
  }

  /** What this gateway knows; while its list is not proved to be recent, all versions may not be known. */
  reportToMembers(): VersionReport {
    return this.report() ?? { knownMilliseconds: 0, versions: this.listVersions() };
  }

  /** Whether members may know more of the past. */
  get needsMembers(): boolean {
    return !this.isPastKnown;
  }

  /** Adds what a peer knows; its list, which came with the report, was proved to be recent. */
  merge({ knownMilliseconds, versions }: VersionReport): void {
    this.mergedReports += 1;
    this.addVersions(versions);
    this.knownSince = Math.min(this.knownSince, this.runtime.now() - knownMilliseconds);
  }

  /** Adds that all versions that were listed within some time, in milliseconds, are known. */
  extendKnown(milliseconds: number): void {
    // Before the list is proved, versions may be listed after the report that are not known here.
    if (this.isListProven()) {
      this.startKnowing();
      this.knownSince = Math.min(this.knownSince, this.runtime.now() - milliseconds);
    }
  }

  /** Adds versions that others have listed. */
  addVersions(versions: readonly ListedVersion[]): void {
    const now = this.runtime.now();
    for (const { service, version, ageMilliseconds } of versions) {
      const state = this.stateOf(service, version);
      state.lastListedAt = Math.max(state.lastListedAt, now - ageMilliseconds);
      this.noteSeen(service, state);
    }
  }

  private listVersions(): ListedVersion[] {
    const now = this.runtime.now();
    return [...this.services.keys()].flatMap((service) =>
      this.recentVersions(service).map((version) => {
        const { listed, lastListedAt } = this.stateOf(service, version);
        const age = Math.max(MINIMUM_AGE_MILLISECONDS, now - lastListedAt);
        return { service, version, ageMilliseconds: listed > 0 ? 0 : age };
      }),
    );
  }

  /** Whether the versions of the whole retention time are known. */
  get isPastKnown(): boolean {
    this.startKnowing();
    return this.knownSince <= this.runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
  }

  /** After a start, the versions are known from the first time at which the list is proved to be recent. */
  private startKnowing(): void {
    if (this.knownSince === Infinity && this.isListProven()) {
      this.knownSince = this.runtime.now();
    }
  }

  private recentVersions(service: string): string[] {
    const since = this.runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
    const versions = this.services.get(service) ?? new Map<string, VersionState>();
    const recent: string[] = [];
    for (const [version, { listed, lastListedAt }] of versions) {
      if (listed > 0 || lastListedAt >= since) {
        recent.push(version);
      } else {
        versions.delete(version);
      }
    }
    if (versions.size === 0) {
      this.services.delete(service);
    }
    return recent;
  }

  private noteSeen(service: string, state: VersionState): void {
    const wasRecent = state.lastListedAt >= this.runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
    const isNew = state.listed === 1 || (state.listed === 0 && wasRecent);
    if (isNew && this.recentVersions(service).length > 1) {
      this.onMixed(service);
    }
  }

  private stateOf(service: string, version: string): VersionState {
    const versions = this.services.get(service) ?? new Map<string, VersionState>();
    this.services.set(service, versions);
    const state = versions.get(version) ?? { listed: 0, lastListedAt: -Infinity };
    versions.set(version, state);
    return state;
  }
}
