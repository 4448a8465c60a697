/** Runners of several software versions and services, behind routes whose streams clients resume. */
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { StandInStore } from '../platform/stand-in/store-server.js';
import { RUNNER_PREFIX } from '../platform/store-keys.js';
import { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_APPLY_MILLISECONDS } from './platform-process.js';

/** Service whose software versions are released one after another, so that two serve most of the time. */
export const VERSIONED_SERVICE = 'minds';
/** Services of one software version each, which is replaced at once. */
export const CALM_SERVICES = ['calm-a', 'calm-b'] as const;
/** Route to the service with releases. */
export const RESUMABLE_ROUTE = 'resumable';
/** Route that moves between the services of one version. */
export const MOVABLE_ROUTE = 'movable';
/** Events of each stream. */
export const RESUMABLE_EVENTS = 12;
const VERSIONS = ['v1', 'v2', 'v3'];
const RUNNERS_PER_VERSION = 3;
const RUNNER_PORT = 18081;
/** Addresses that are used in turn, beyond those of the other runners. */
const FIRST_ADDRESS = 100;
const ADDRESSES = 100;
const EVENT_MILLISECONDS = 20;
const RELEASE_MILLISECONDS = 4_000;
/** Time from the last runner of a new version to the first that leaves, and from its notice to its end. */
const OVERLAP_MILLISECONDS = 1_500;
const DRAIN_MILLISECONDS = 3_000;
/** Time for which runners serve on after their entries were removed. */
const UNLISTED_MILLISECONDS = 2_500;

/** Dependencies of the runners. */
export interface VersionedRunnersOptions {
  readonly random: RandomSource;
  readonly zones: readonly string[];
  readonly store: StandInStore;
  /** Returns the address of a runner. */
  readonly addressOf: (number: number) => string;
}

/** A runner with its entry. */
export interface VersionedRunner {
  readonly runner: RelayRunner;
  readonly service: string;
  readonly version: string;
  /** Service and version, as the text of its events names them. */
  readonly origin: string;
  readonly host: string;
  readonly zone: string;
  /** Local time since which all gateways in contact use it; Infinity once it leaves. */
  usableSince: number;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts, releases and replaces runners of several versions. */
export class VersionedRunners {
  private readonly runners: VersionedRunner[] = [];
  private readonly releases = new Map<string, number>();
  private startedRunners = 0;

  constructor(private readonly options: VersionedRunnersOptions) {}

  /** Starts the runners of two versions of the service with releases, and of one version of each other service. */
  async start(): Promise<void> {
    await this.startNext(VERSIONED_SERVICE);
    await this.startNext(VERSIONED_SERVICE);
    for (const service of CALM_SERVICES) {
      await this.startNext(service);
    }
  }

  /** Runners of a service that are listed as ready. */
  servingAt(service: string): VersionedRunner[] {
    return this.runners.filter(
      (runner) => runner.service === service && runner.usableSince !== Infinity,
    );
  }

  /** Runners that have not ended. */
  get live(): readonly VersionedRunner[] {
    return this.runners;
  }

  /** Releases versions until `isOver` returns true: starts the next one, then lets the oldest of several leave. */
  async release(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await sleep(RELEASE_MILLISECONDS);
      await this.startNext(VERSIONED_SERVICE);
      await sleep(OVERLAP_MILLISECONDS);
      const leaving = this.oldestOf(VERSIONED_SERVICE);
      for (const runner of leaving) {
        runner.usableSince = Infinity;
        this.list(runner, 'draining');
      }
      await sleep(DRAIN_MILLISECONDS);
      await this.end(leaving);
    }
  }

  /** Removes the entries of the oldest of several versions, whose runners serve on for some time; false if one serves. */
  removeOldest(): boolean {
    const leaving = this.oldestOf(VERSIONED_SERVICE);
    for (const runner of leaving) {
      runner.usableSince = Infinity;
      this.options.store.remove(RUNNER_PREFIX + runner.runner.id);
    }
    void sleep(UNLISTED_MILLISECONDS).then(() => this.end(leaving));
    return leaving.length > 0;
  }

  /** Replaces all runners of a service by runners of the next version. */
  async replace(service: string): Promise<void> {
    const leaving = this.servingAt(service);
    leaving.forEach((runner) => (runner.usableSince = Infinity));
    await this.startNext(service);
    await this.end(leaving);
  }

  /** Stops all runners. */
  async stop(): Promise<void> {
    await this.end([...this.runners]);
  }

  /** Runners of the version that has served longest; none if one version serves. */
  private oldestOf(service: string): VersionedRunner[] {
    const serving = this.servingAt(service);
    const versions = new Set(serving.map(({ version }) => version));
    return versions.size < 2
      ? []
      : serving.filter(({ version }) => version === serving[0]!.version);
  }

  private async end(leaving: readonly VersionedRunner[]): Promise<void> {
    const ending = leaving.filter((runner) => this.runners.includes(runner));
    for (const runner of ending) {
      this.runners.splice(this.runners.indexOf(runner), 1);
      this.options.store.remove(RUNNER_PREFIX + runner.runner.id);
    }
    await Promise.all(ending.map(({ runner }) => runner.crash()));
  }

  private async startNext(service: string): Promise<void> {
    const release = this.releases.get(service) ?? 0;
    this.releases.set(service, release + 1);
    const version = VERSIONS[release % VERSIONS.length]!;
    const { zones, addressOf } = this.options;
    for (let index = 0; index < RUNNERS_PER_VERSION; index += 1) {
      const number = FIRST_ADDRESS + (this.startedRunners % ADDRESSES);
      this.startedRunners += 1;
      const origin = `${version}@${service}`;
      const runner = new RelayRunner({
        id: `${service}-${this.startedRunners}`,
        names: NAMES,
        softwareVersion: origin,
        eventCount: RESUMABLE_EVENTS,
        pauseMilliseconds: EVENT_MILLISECONDS,
      });
      const host = addressOf(number);
      await runner.listen(RUNNER_PORT, host);
      const usableSince = performance.now() + SOAK_APPLY_MILLISECONDS;
      const zone = zones[index % zones.length]!;
      const versioned = { runner, service, version, origin, host, zone, usableSince };
      this.runners.push(versioned);
      this.list(versioned, 'ready');
    }
  }

  private list({ runner, service, version, host, zone }: VersionedRunner, state: string): void {
    this.options.store.put(RUNNER_PREFIX + runner.id, {
      Service: service,
      Address: `${host}:${RUNNER_PORT}`,
      Zone: zone,
      Version: version,
      Slots: 8,
      State: state,
    });
  }
}
