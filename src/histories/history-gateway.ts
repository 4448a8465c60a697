/**
 * Gateway of a configuration history: runs the production store synchronization and gossip over simulated
 * links, through any number of restarts, and records the version in force and every regression of it.
 */
import type { KeySpaceChanges } from '../mirror/key-space-copy.js';
import type { FreshnessTimings } from '../mirror/freshness-timings.js';
import type { KeySpacePort, StoredItem } from '../mirror/key-space-port.js';
import type { DatagramListener, DatagramPort } from '../peers/datagram-port.js';
import { startStoreSync } from '../peers/store-sync.js';
import type { StoreSync } from '../peers/store-sync.js';
import { EvacuatedZones } from '../relay/runners/evacuated-zones.js';
import type { RandomSource } from '../runtime/random.js';
import type { LogFunction, Runtime } from '../runtime/runtime.js';
import { SimulatedProcess } from '../simulation/simulated-process.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';
import { StoreClient } from './history-store.js';
import type { HistoryStore } from './history-store.js';

/** Key of the operator's configuration; its value is the version as a decimal number. */
export const CONFIGURATION_KEY = 'configuration';
/** Prefix of the keys of evacuated zones. */
export const EVACUATION_PREFIX = 'evacuated/';
/** Prefix of the keys of registered runners. */
export const RUNNER_PREFIX = 'runners/';

/** Simulated links between gateways. */
export interface HistoryLinks {
  sendDatagram(bytes: Uint8Array, from: string, to: string): void;
  /** Fetches from the host `of` the changes after a revision; `done` gets undefined when no reply arrives. */
  fetchChanges(
    from: string,
    of: string,
    revision: number,
    done: (changes: KeySpaceChanges | undefined) => void,
  ): void;
}

/** Identity and dependencies of a `HistoryGateway`. */
export interface HistoryGatewayOptions {
  readonly host: string;
  readonly zone: string;
  readonly seeds: readonly string[];
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  readonly store: HistoryStore;
  readonly links: HistoryLinks;
  readonly timings: FreshnessTimings;
  readonly log?: LogFunction;
}

/** A simulated gateway that keeps its host name and store client across restarts. */
export class HistoryGateway {
  readonly host: string;
  readonly zone: string;
  readonly storeClient: StoreClient;
  readonly process: SimulatedProcess;
  /** Configuration version in force since the last start; 0 until the first is applied. */
  version = 0;
  /** Descriptions of updates that did not raise the version in force, or that took back a change of an evacuation. */
  readonly regressions: string[] = [];
  /** Injected fault: the gateway reads no proofs of freshness. */
  skipsProofs = false;
  /** Injected fault: delay of evacuations, in milliseconds. */
  evacuationDelayMilliseconds = 0;
  /** Revision of the last change of each evacuation since the last start. */
  private readonly evacuationRevisions = new Map<string, number>();
  private storeSync: StoreSync | undefined;
  private evacuatedZones: EvacuatedZones | undefined;
  private listener: DatagramListener = () => undefined;

  constructor(private readonly options: HistoryGatewayOptions) {
    const { host, zone, clock, random, store, log } = options;
    this.host = host;
    this.zone = zone;
    this.storeClient = new StoreClient(store);
    const processLog: LogFunction | undefined =
      log === undefined
        ? undefined
        : (level, message, fields) => log(level, message, { node: host, at: clock.now, ...fields });
    this.process = new SimulatedProcess(host, clock, random, processLog);
  }

  /** Starts a new process, which follows the store after the start delay. */
  start(startDelayMilliseconds: number): void {
    const { host, zone, seeds, timings, links } = this.options;
    const runtime = this.process.start();
    this.version = 0;
    const evacuatedZones = new EvacuatedZones(runtime);
    this.evacuatedZones = evacuatedZones;
    this.evacuationRevisions.clear();
    this.storeSync = startStoreSync({
      runtime,
      port: this.createStorePort(runtime),
      timings,
      proofKey: CONFIGURATION_KEY,
      onPut: (item) => this.applyItem(item, runtime, evacuatedZones),
      onRemoved: (key, _grace, revision) => this.applyRemoval(key, revision),
      gossip: {
        host,
        zone,
        datagrams: this.datagramPort(),
        seeds: () => seeds,
        ownLoads: () => new Map(),
        reachesReplicas: () => true,
        ownPlaces: () => [],
        ownAggregates: () => [],
        onPlaces: () => undefined,
      },
      fetch: (target, done) =>
        links.fetchChanges(host, target, this.storeSync!.mirror.completeRevision, (changes) =>
          runtime.setTimer(0, () => {
            if (changes !== undefined) {
              this.storeSync!.mirror.applyChanges(changes);
            }
            done();
          }),
        ),
      startDelayMilliseconds,
    });
    if (this.skipsProofs) {
      this.storeSync.freshness.close();
    }
  }

  /** Kills the process at once. */
  kill(): void {
    this.process.kill();
    this.listener = () => undefined;
    this.storeSync = undefined;
  }

  /** Delivers a datagram; it is lost if the process is dead or paused. */
  receive(bytes: Uint8Array, from: string): void {
    if (this.process.isAlive && !this.process.isPaused) {
      this.listener(bytes, from);
    }
  }

  /** Changes after a revision; undefined if the gateway cannot answer. */
  changesSince(revision: number): KeySpaceChanges | undefined {
    const isResponsive = this.process.isAlive && !this.process.isPaused;
    return isResponsive ? this.storeSync?.mirror.changesSince(revision) : undefined;
  }

  /** Keys of the runners that this gateway lists. */
  get runners(): ReadonlySet<string> {
    const items = this.storeSync?.mirror.list() ?? [];
    const keys = items.map(({ key }) => key);
    return new Set(keys.filter((key) => key.startsWith(RUNNER_PREFIX)));
  }

  /** Whether the gateway sends no requests to runners of a zone. */
  isEvacuated(zone: string): boolean {
    return this.evacuatedZones?.has(zone) ?? false;
  }

  private applyItem(
    { key, value, revision }: StoredItem,
    runtime: Runtime,
    evacuatedZones: EvacuatedZones,
  ): void {
    if (key.startsWith(EVACUATION_PREFIX)) {
      this.noteEvacuationChange(key, revision);
      const zone = key.slice(EVACUATION_PREFIX.length);
      const { evacuationDelayMilliseconds: delay } = this;
      if (delay > 0) {
        runtime.setTimer(delay, () => evacuatedZones.evacuate(zone, revision));
      } else {
        evacuatedZones.evacuate(zone, revision);
      }
      return;
    }
    if (key !== CONFIGURATION_KEY) {
      return;
    }
    const version = Number(value);
    if (version <= this.version) {
      const { now } = this.options.clock;
      this.regressions.push(`${this.host} took ${version} after ${this.version} at ${now} ms`);
    }
    this.version = version;
  }

  private applyRemoval(key: string, revision: number): void {
    if (key.startsWith(EVACUATION_PREFIX)) {
      this.noteEvacuationChange(key, revision);
      this.evacuatedZones?.restore(key.slice(EVACUATION_PREFIX.length), revision);
    }
  }

  /** Records a regression if a change of an evacuation is older than the one before. */
  private noteEvacuationChange(key: string, revision: number): void {
    const before = this.evacuationRevisions.get(key) ?? 0;
    if (revision < before) {
      const { now } = this.options.clock;
      this.regressions.push(`${this.host} took ${key} of ${revision} after ${before} at ${now} ms`);
    }
    this.evacuationRevisions.set(key, revision);
  }

  private datagramPort(): DatagramPort {
    return {
      onDatagram: (listener) => {
        this.listener = listener;
      },
      send: (bytes, target) => this.options.links.sendDatagram(bytes, this.host, target),
      close: () => undefined,
    };
  }

  /** Passes replies through a timer of the process: a paused process gets them when it resumes, a later one never. */
  private createStorePort(runtime: Runtime): KeySpacePort {
    const { storeClient } = this;
    return {
      list: (prefix, listener) =>
        storeClient.list(prefix, (result) => void runtime.setTimer(0, () => listener(result))),
      listStale: (prefix, listener) =>
        storeClient.listStale(prefix, (result) => void runtime.setTimer(0, () => listener(result))),
      watch: (prefix, after, wait, listener) =>
        storeClient.watch(
          prefix,
          after,
          wait,
          (result) => void runtime.setTimer(0, () => listener(result)),
        ),
    };
  }
}
