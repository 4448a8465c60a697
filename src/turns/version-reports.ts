/** What processes know of the origins that streams can have had lately: versions of services, and services of routes. */
import type { Runtime } from '../runtime/runtime.js';
import { ORIGIN_RETENTION_MILLISECONDS } from './stream-origins.js';

/** A version of a service, or a service of a route. */
export interface ListedVersion {
  readonly service: string;
  readonly version: string;
  /** Time since it was last listed, in milliseconds; 0 only while it is. */
  readonly ageMilliseconds: number;
  /** Time for which it is known to have been listed without a break, in milliseconds, up to {@link MAXIMUM_LISTED_MILLISECONDS}. */
  readonly listedMilliseconds: number;
}

/** What a process knows of the versions that were listed. */
export interface VersionReport {
  /** Time for which it knows all versions that were listed, in milliseconds; at most the retention time. */
  readonly knownMilliseconds: number;
  readonly versions: readonly ListedVersion[];
}

/** Longest time of being listed that is reported, in milliseconds: more than that for which streams may be resumed. */
export const MAXIMUM_LISTED_MILLISECONDS = 2 * ORIGIN_RETENTION_MILLISECONDS;
/** Interval at which gateways report to the members, in milliseconds. */
export const REPORT_INTERVAL_MILLISECONDS = 10_000;
/** Time without any report after which a member no longer counts as knowing what was listed, in milliseconds. */
const MAXIMUM_GAP_MILLISECONDS = 3 * REPORT_INTERVAL_MILLISECONDS;
/** Age that is reported at least for a version that is not known to be listed, in milliseconds. */
const MINIMUM_AGE_MILLISECONDS = 1;
/** Time that is reported at least for a version that may be listed, in milliseconds. */
const MINIMUM_LISTED_MILLISECONDS = 1;

interface KnownVersion {
  readonly service: string;
  readonly version: string;
  /** Local time at which a gateway listed it, as far as reported, in milliseconds. */
  seenAt: number;
  /** Local time until which it may have been listed, in milliseconds. */
  lastListedAt: number;
  /** Local time since which it has been listed without a break, in milliseconds. */
  firstListedAt: number;
}

/** Keeps at a member what gateways report, for gateways that start when no other one runs. */
export class VersionReports {
  private readonly versions = new Map<string, KnownVersion>();
  /** Local time since which all versions that were listed are known, in milliseconds. */
  private knownSince = Infinity;
  private lastReportAt = -Infinity;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {}

  /** Adds what a gateway knows. */
  merge({ knownMilliseconds, versions }: VersionReport): void {
    const now = this.runtime.now();
    if (now - this.lastReportAt > MAXIMUM_GAP_MILLISECONDS) {
      this.knownSince = Infinity;
    }
    this.lastReportAt = now;
    this.knownSince = Math.min(this.knownSince, now - knownMilliseconds);
    versions.forEach((listed) => this.add(listed, now - knownMilliseconds));
  }

  /** @param reporterKnowsSince local time since which the gateway that reports knows all versions, in milliseconds */
  private add(
    { service, version, ageMilliseconds, listedMilliseconds }: ListedVersion,
    reporterKnowsSince: number,
  ): void {
    const now = this.runtime.now();
    const key = JSON.stringify([service, version]);
    // What is listed may remain so for as long as this member counts as knowing without another report.
    const untilNext = ageMilliseconds === 0 ? MAXIMUM_GAP_MILLISECONDS : 0;
    const seenAt = now - ageMilliseconds;
    const lastListedAt = seenAt + untilNext;
    const firstListedAt = now - listedMilliseconds;
    const known = this.versions.get(key);
    if (known === undefined) {
      this.versions.set(key, { service, version, seenAt, lastListedAt, firstListedAt });
      return;
    }
    if (ageMilliseconds === 0) {
      // A gateway that has started since doesn't know that the version was listed before.
      const isAfterBreak = known.seenAt < firstListedAt && reporterKnowsSince <= known.seenAt;
      const isNewer = isAfterBreak || known.lastListedAt < firstListedAt;
      known.firstListedAt = isNewer ? firstListedAt : Math.min(known.firstListedAt, firstListedAt);
    }
    known.lastListedAt = Math.max(known.lastListedAt, lastListedAt);
    known.seenAt = Math.max(known.seenAt, seenAt);
  }

  /** Returns what all gateways have reported. */
  report(): VersionReport {
    const now = this.runtime.now();
    const versions: ListedVersion[] = [];
    for (const [key, { service, version, lastListedAt, firstListedAt }] of this.versions) {
      if (now - lastListedAt > ORIGIN_RETENTION_MILLISECONDS) {
        this.versions.delete(key);
      } else {
        const ageMilliseconds = Math.max(MINIMUM_AGE_MILLISECONDS, now - lastListedAt);
        const listedFor = Math.max(MINIMUM_LISTED_MILLISECONDS, now - firstListedAt);
        const listed = Math.min(MAXIMUM_LISTED_MILLISECONDS, listedFor);
        const listedMilliseconds = lastListedAt >= now ? listed : 0;
        versions.push({ service, version, ageMilliseconds, listedMilliseconds });
      }
    }
    const isInContact = now - this.lastReportAt <= MAXIMUM_GAP_MILLISECONDS;
    const known = isInContact ? Math.min(ORIGIN_RETENTION_MILLISECONDS, now - this.knownSince) : 0;
    return { knownMilliseconds: Math.max(0, known), versions };
  }
}
