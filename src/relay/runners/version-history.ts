/**
 * The software versions that were listed for each service recently, and the services of each route. Determines whether a stream
 * can have begun at only one version of one service.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../../turns/stream-origins.js';
import type { StreamOrigin } from '../../turns/stream-origins.js';
import type { VersionReporter } from '../../turns/version-exchange.js';
import {
  MAXIMUM_LISTED_MILLISECONDS,
  REPORT_INTERVAL_MILLISECONDS,
} from '../../turns/version-reports.js';
import type { ListedVersion, VersionReport } from '../../turns/version-reports.js';
import type { Route } from '../request/routing-table.js';

/** A listed version as peers report it; older builds don't report for how long it has been listed. */
type ReportedVersion = Omit<ListedVersion, 'listedMilliseconds'> & Partial<ListedVersion>;

/** What a peer knows of the versions of the runners. */
interface PeerReport {
  readonly knownMilliseconds: number;
  readonly versions: readonly ReportedVersion[];
}

interface VersionState {
  /** Runners of this version, or routes, that are listed. */
  listed: number;
  /** Local time at which the last of them was listed, in milliseconds; applies while none is. */
  lastListedAt: number;
  /** Local time since which it has been listed without a break, in milliseconds, as far as known. */
  firstListedAt: number;
  /** Whether this gateway has listed it, and not only others. */
  wasListedHere: boolean;
  /** Local time at which this gateway listed it last, in milliseconds; applies while it doesn't. */
  unlistedAt: number;
}

/** Largest number of reports that are merged after a start: peers that started at the same time add nothing. */
const MAXIMUM_MERGED_REPORTS = 12;
/** Age that is reported at least for what is not listed any more, in milliseconds. */
const MINIMUM_AGE_MILLISECONDS = 1;

/** Time by which a list that is proved to be recent may be behind those of other gateways, in milliseconds. */
const MAXIMUM_LIST_LAG_MILLISECONDS = 2_000;

/** Returns the name under which the services of a route are kept, like the versions of a service. */
function keyOf({ host, pathPrefix }: Route): string {
  return `//${host.toLowerCase()}${pathPrefix}`;
}

/** Name under which a change of the routes is reported to {@link VersionHistory.onMixed}. */
const MOVED_ROUTES = '//';

function isRouteKey(service: string): boolean {
  return service.startsWith('//');
}

/** Tracks the versions that are listed, and those that were. */
export class VersionHistory implements VersionReporter {
  /** Whether the list of runners is proved to be recent. */
  isListProven: () => boolean = () => true;
  /** Whether another gateway has seen several versions of a service. */
  isMixedElsewhere: (service: string) => boolean = () => false;
  /** Called when a service gets a second version, or a route a second service. */
  onMixed: (service: string) => void = () => undefined;
  /** Called when a route is listed that was not before, or a version that was not lately. */
  onListed: () => void = () => undefined;
  private routes: readonly Route[] = [];
  private readonly services = new Map<string, Map<string, VersionState>>();
  /** Local time since which all versions that were listed are known, in milliseconds. */
  private knownSince = -Infinity;
  private mergedReports = 0;
  /** Whether the knowledge of the members was added since this process forgot the past. */
  private hasAskedMembers = false;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {}

  /** Records that other versions may have been listed before this process started. */
  forgetPast(): void {
    this.knownSince = Infinity;
    this.hasAskedMembers = false;
  }

  /** Records that one more runner of a version is listed. */
  noteListed(service: string, version: string): void {
    const state = this.stateOf(service, version);
    const wasRecent = this.isRecent(state);
    state.wasListedHere = true;
    state.listed += 1;
    if (state.listed === 1) {
      const now = this.runtime.now();
      state.firstListedAt = now;
      // What was gone for less than the time between two reports is still known as listed when the next one is due.
      if (isRouteKey(service) || now - state.unlistedAt > REPORT_INTERVAL_MILLISECONDS) {
        this.onListed();
      }
    }
    this.noteSeen(service, wasRecent);
  }

  /** Records the routes of a new configuration; nothing is kept of those whose streams can't be resumed. */
  noteRoutes(allRoutes: readonly Route[]): void {
    const routes = allRoutes.filter(({ resumable }) => resumable);
    const before = this.routes;
    this.routes = routes;
    // At the first start of the system no stream can have begun on another route.
    const isFirst = before.length === 0 && this.knownSince === -Infinity;
    for (const route of routes) {
      for (const { service } of route.services) {
        this.noteListed(keyOf(route), service);
        if (isFirst) {
          this.stateOf(keyOf(route), service).firstListedAt = -Infinity;
        }
      }
    }
    // Only now, so that a route that stays is listed without a break.
    for (const route of before) {
      route.services.forEach(({ service }) => this.noteUnlisted(keyOf(route), service));
    }
    const keys = new Set([...before, ...routes].map(keyOf));
    if (before.length > 0 && (keys.size > routes.length || keys.size > before.length)) {
      this.onMixed(MOVED_ROUTES);
    }
  }

  /** The only origin that a stream of a route that can still be resumed can have; undefined if unknown. */
  soleOrigin(route: Route): StreamOrigin | undefined {
    const [first, ...others] = route.services;
    if (first === undefined || others.length > 0) {
      return undefined;
    }
    const { service } = first;
    const isOther = (key: string): boolean =>
      this.recentVersions(key).some((each) => each !== service) || this.isMixedElsewhere(key);
    if (this.routesOfPastStreams(route, service).some(isOther)) {
      return undefined;
    }
    const version = this.soleVersion(service);
    return version === undefined ? undefined : { service, version };
  }

  /**
   * Returns the routes at which streams may have begun that now resume at this one: itself, those below it that are gone, and, unless
   * it has been listed for as long as streams may be resumed, those above it.
   */
  private routesOfPastStreams(route: Route, service: string): string[] {
    const key = keyOf(route);
    const { firstListedAt } = this.stateOf(key, service);
    const isSettled = firstListedAt < this.runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
    return [...this.services.keys()].filter((other) => {
      const isBelow = other.startsWith(key) && !this.isListed(other);
      return other === key || isBelow || (!isSettled && key.startsWith(other));
    });
  }

  /** Whether this gateway knows that what it lists was not listed before. */
  private sawListing({ listed, firstListedAt }: VersionState): boolean {
    return listed > 0 && this.knownSince < firstListedAt;
  }

  /** Whether runners of the version that began a stream are listed here. */
  lists({ service, version }: StreamOrigin): boolean {
    return (this.services.get(service)?.get(version)?.listed ?? 0) > 0;
  }

  private isListed(key: string): boolean {
    return [...(this.services.get(key)?.values() ?? [])].some(({ listed }) => listed > 0);
  }

  /** Records that a runner of a version is no longer listed. */
  noteUnlisted(service: string, version: string): void {
    const state = this.stateOf(service, version);
    state.listed -= 1;
    state.lastListedAt = this.runtime.now();
    state.unlistedAt = state.lastListedAt;
  }

  /** Whether a version that others began to list just now may be listed here soon: the list of this gateway may be behind theirs. */
  mayBeListedSoon({ service, version }: StreamOrigin): boolean {
    const state = this.services.get(service)?.get(version);
    if (state === undefined || state.wasListedHere) {
      return false;
    }
    const listedFor = this.runtime.now() - state.firstListedAt;
    const isNew = listedFor >= 0 && listedFor <= MAXIMUM_LIST_LAG_MILLISECONDS;
    return isNew || !this.isListProven();
  }

  /** Whether a service that others list for a route may be listed here soon: the configuration may be behind theirs. */
  mayBeServedSoon(route: Route, service: string): boolean {
    return this.mayBeListedSoon({ service: keyOf(route), version: service });
  }

  /** The only version at which a stream of a service that can still be resumed can have begun; undefined if unknown. */
  private soleVersion(service: string): string | undefined {
    const [version, ...others] = this.recentVersions(service);
    const isMixed = others.length > 0 || this.isMixedElsewhere(service);
    return this.isPastKnown && this.isListProven() && !isMixed ? version : undefined;
  }

  /** Returns the services of which this gateway has lately seen several versions, and the routes that had other services. */
  mixedServices(): string[] {
    const mixed: string[] = [];
    // Asked with each message to other gateways, and nearly all services have one version.
    for (const [service, states] of this.services) {
      if (states.size > 1 && this.recentVersions(service).length > 1) {
        // All gateways know the present services of a route.
        const isKnown =
          isRouteKey(service) && [...states.values()].every(({ listed }) => listed > 0);
        if (!isKnown) {
          mixed.push(service);
        }
      }
    }
    return mixed;
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

  /** Whether members may know more of the past. Once they have told what they know, only reports of other gateways add to it. */
  get needsMembers(): boolean {
    return !this.hasAskedMembers && !this.isPastKnown;
  }

  /** Adds what a peer knows; its list, which came with the report, was proved to be recent. */
  merge({ knownMilliseconds, versions }: PeerReport): void {
    this.mergedReports += 1;
    this.addVersions(versions);
    this.knownSince = Math.min(this.knownSince, this.runtime.now() - knownMilliseconds);
  }

  /** Adds that all versions that were listed within some time, in milliseconds, are known. */
  extendKnown(milliseconds: number): void {
    // Before the list is proved, versions may be listed after the report that are not known here.
    if (this.isListProven()) {
      this.startKnowing();
      this.hasAskedMembers = true;
      this.knownSince = Math.min(this.knownSince, this.runtime.now() - milliseconds);
    }
  }

  /** Adds versions that others have listed. */
  addVersions(versions: readonly ReportedVersion[]): void {
    const now = this.runtime.now();
    for (const { service, version, ageMilliseconds, listedMilliseconds = 0 } of versions) {
      const state = this.stateOf(service, version);
      const wasRecent = this.isRecent(state);
      state.lastListedAt = Math.max(state.lastListedAt, now - ageMilliseconds);
      if (listedMilliseconds > 0 && !this.sawListing(state)) {
        state.firstListedAt = Math.min(state.firstListedAt, now - listedMilliseconds);
      }
      this.noteSeen(service, wasRecent || !this.isRecent(state));
    }
  }

  private listVersions(): ListedVersion[] {
    const now = this.runtime.now();
    return [...this.services.keys()].flatMap((service) =>
      this.recentVersions(service).map((version) => {
        const { listed, lastListedAt, firstListedAt } = this.stateOf(service, version);
        const age = Math.max(MINIMUM_AGE_MILLISECONDS, now - lastListedAt);
        const ageMilliseconds = listed > 0 ? 0 : age;
        const listedFor = Math.min(MAXIMUM_LISTED_MILLISECONDS, now - firstListedAt);
        const listedMilliseconds = listed > 0 ? listedFor : 0;
        return { service, version, ageMilliseconds, listedMilliseconds };
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
    const versions = this.services.get(service) ?? new Map<string, VersionState>();
    const recent: string[] = [];
    for (const [version, state] of versions) {
      if (this.isRecent(state)) {
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

  private isRecent({ listed, lastListedAt }: VersionState): boolean {
    return listed > 0 || lastListedAt >= this.runtime.now() - ORIGIN_RETENTION_MILLISECONDS;
  }

  /** Streams are recorded as long as a service is mixed, so only a version that was not recent before matters. */
  private noteSeen(service: string, wasRecent: boolean): void {
    if (!wasRecent && this.recentVersions(service).length > 1) {
      this.onMixed(service);
    }
  }

  private stateOf(service: string, version: string): VersionState {
    const versions = this.services.get(service) ?? new Map<string, VersionState>();
    this.services.set(service, versions);
    const state = versions.get(version) ?? {
      listed: 0,
      lastListedAt: -Infinity,
      firstListedAt: Infinity,
      wasListedHere: false,
      unlistedAt: -Infinity,
    };
    versions.set(version, state);
    return state;
  }
}
