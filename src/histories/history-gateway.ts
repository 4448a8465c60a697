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
import type { RandomSource } from '../runtime/random.js';
import type { LogFunction, Runtime } from '../runtime/runtime.js';
import { SimulatedProcess } from '../simulation/simulated-process.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';
import { StoreClient } from './history-store.js';
import type { HistoryStore } from './history-store.js';

/** Key of the operator's configuration; its value is the version as a decimal number. */
export const CONFIGURATION_KEY = 'configuration';
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
  readonly storeClient: StoreClient;
  readonly process: SimulatedProcess;
  /** Configuration version in force since the last start; 0 until the first is applied. */
  version = 0;
  /** Descriptions of updates that did not raise the version in force. */
  readonly regressions: string[] = [];
  /** Injected fault: the gateway reads no proofs of freshness. */
  skipsProofs = false;
  private storeSync: StoreSync | undefined;
  private listener: DatagramListener = () => undefined;

  constructor(private readonly options: HistoryGatewayOptions) {
    const { host, clock, random, store, log } = options;
    this.host = host;
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
    this.storeSync = startStoreSync({
      runtime,
      port: this.createStorePort(runtime),
      timings,
      proofKey: CONFIGURATION_KEY,
      onPut: (item) => this.applyItem(item),
      onRemoved: () => undefined,
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

  private applyItem({ key, value }: StoredItem): void {
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
