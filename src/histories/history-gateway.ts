/**
 * A gateway of a configuration history: the real parts that follow the store, over simulated links,
 * through any number of lives. Notes what it holds in force and what it took back.
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

/** The operator's configuration, whose value is its version. */
export const CONFIGURATION_KEY = 'configuration';
/** Entries of runners. */
export const RUNNER_PREFIX = 'runners/';

/** Bytes and changes on their way between gateways. */
export interface HistoryLinks {
  /** Sends a datagram from one host to another. */
  sendDatagram(bytes: Uint8Array, from: string, to: string): void;
  /** Asks another host for what one complete up to a revision lacks; undefined when nothing comes. */
  fetchChanges(
    from: string,
    of: string,
    revision: number,
    done: (changes: KeySpaceChanges | undefined) => void,
  ): void;
}

/** What a gateway of a history is made with. */
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

/** See the head of this file. */
export class HistoryGateway {
  readonly host: string;
  readonly storeClient: StoreClient;
  readonly process: SimulatedProcess;
  /** Version in force in this life; 0 before the first. */
  version = 0;
  /** Times that a version older than the one in force came into force. */
  readonly regressions: string[] = [];
  /** Whether it reads no proofs; a planted fault. */
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

  /** Begins a life. */
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

  /** Ends the life at once. */
  kill(): void {
    this.process.kill();
    this.listener = () => undefined;
    this.storeSync = undefined;
  }

  /** Hands over a datagram, unless the process stands still: then it is lost. */
  receive(bytes: Uint8Array, from: string): void {
    if (this.process.isAlive && !this.process.isPaused) {
      this.listener(bytes, from);
    }
  }

  /** What one complete up to a revision lacks; undefined when nobody answers. */
  changesSince(revision: number): KeySpaceChanges | undefined {
    const isResponsive = this.process.isAlive && !this.process.isPaused;
    return isResponsive ? this.storeSync?.mirror.changesSince(revision) : undefined;
  }

  /** Runners that are listed here. */
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

  /** Answers come to a life that stands still when it goes on, and never to a later one. */
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
