/**
 * The software versions that were listed for each service recently. Determines whether a stream can have begun at only one
 * version.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { ORIGIN_RETENTION_MILLISECONDS } from '../../turns/stream-origins.js';

/** A version of a service, and the time since it was last listed, in milliseconds. */
export interface ListedVersion {
  readonly service: string;
  readonly version: string;
  readonly ageMilliseconds: number;
}

/** What a gateway knows of the versions of the runners. */
export interface VersionReport {
  /** Time for which it knows all versions that were listed, in milliseconds; at most the retention time. */
  readonly knownMilliseconds: number;
  readonly versions: readonly ListedVersion[];
}

interface VersionState {
  /** Runners of this version that are listed. */
  listed: number;
  /** Local time at which the last of them was listed, in milliseconds; applies while none is. */
  lastListedAt: number;
}

/** Largest number of reports that are merged after a start: peers that started at the same time add nothing. */
const MAXIMUM_MERGED_REPORTS = 12;

/** Tracks the versions that are listed, and those that were. */
export class VersionHistory {
  /** Whether the list of runners is proved to be recent. */
  isListProven: () => boolean = () => true;
  /** Whether another gateway has seen several versions of a service. */
  isMixedElsewhere: (service: string) => boolean = () => false;
  /** Called when a service gets a second version. */
  onMixed: (service: string) => void = () => undefined;
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
  }

  /** Records that a runner of a version is no longer listed. */
  noteUnlisted(service: string, version: string): void {
    const state = this.stateOf(service, version);
    state.listed -= 1;
    state.lastListedAt = this.runtime.now();
  }

  /** The only version at which a stream of a service that can still be resumed can have begun; undefined if unknown. */
  soleVersion(service: string): string | undefined {
    return this.isPastKnown && this.isListProven() ? this.knownVersion(service) : undefined;
  }

  /** Whether this gateway or another one knows several recent versions of a service. */
  isMixed(service: string): boolean {
    return this.recentVersions(service).length > 1 || this.isMixedElsewhere(service);
  }

  /** The only version of a service that is known; undefined if none is, or several are. */
  knownVersion(service: string): string | undefined {
    return this.isMixed(service) ? undefined : this.recentVersions(service)[0];
  }

  /** Returns the services of which this gateway has lately seen several versions. */
  mixedServices(): string[] {
    return [...this.services.keys()].filter((service) => this.recentVersions(service).length > 1);
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
    const now = this.runtime.now();
    this.startKnowing();
    const knownMilliseconds = Math.min(ORIGIN_RETENTION_MILLISECONDS, now - this.knownSince);
    const versions = [...this.services.keys()].flatMap((service) =>
      this.recentVersions(service).map((version) => {
        const { listed, lastListedAt } = this.stateOf(service, version);
        const ageMilliseconds = listed > 0 ? 0 : now - lastListedAt;
        return { service, version, ageMilliseconds };
      }),
    );
    return { knownMilliseconds, versions };
  }

  /** Adds what a peer knows; its list, which came with the report, was proved to be recent. */
  merge({ knownMilliseconds, versions }: VersionReport): void {
    const now = this.runtime.now();
    this.mergedReports += 1;
    this.knownSince = Math.min(this.knownSince, now - knownMilliseconds);
    for (const { service, version, ageMilliseconds } of versions) {
      const state = this.stateOf(service, version);
      state.lastListedAt = Math.max(state.lastListedAt, now - ageMilliseconds);
      this.noteSeen(service, state);
    }
  }

  /** Whether the versions of the whole retention time are known. */
  private get isPastKnown(): boolean {
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
