/** Injects the faults of configuration histories into the store, its clients, the gateways and their links. */
import { hashToNumber } from '../runtime/hashing.js';
import type { RandomSource } from '../runtime/random.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';
import type {
  ConfigurationFault,
  ConfigurationFaultKind,
  PlannedChange,
} from './configuration-plan.js';
import type { HistoryGateway } from './history-gateway.js';
import type { HistoryStore } from './history-store.js';

/** Dependencies of a `ConfigurationFaultInjector`. */
export interface ConfigurationFaultInjectorOptions {
  readonly clock: VirtualClock;
  readonly store: HistoryStore;
  readonly gateways: readonly HistoryGateway[];
  readonly random: RandomSource;
  /** Exempts a gateway from checks for some milliseconds. */
  readonly exempt: (gateway: HistoryGateway, milliseconds: number) => void;
  /** Applies a change, at once or when the store accepts writes again. */
  readonly applyChange: (change: PlannedChange) => void;
  /** Called when the store accepts writes again. */
  readonly onStoreWritable: () => void;
}

/** Probabilities that a datagram is lost. */
const BASELINE_LOSS_PROBABILITY = 0.005;
const FAULT_LOSS_PROBABILITY = 0.15;
/** Time for which watches report no changes before the history is compacted. */
const MISSED_WATCH_MILLISECONDS = 1_000;
const MAXIMUM_STALE_LIST_MILLISECONDS = 3_000;
const MAXIMUM_FREEZE_MILLISECONDS = 3_000;
const RESTART_DELAY_MILLISECONDS = 400;
const EXTRA_LATENCY_MILLISECONDS = 200;

/** Starts faults; each ends by itself after its duration. */
export class ConfigurationFaultInjector {
  /** Hosts that exchange no messages with other gateways. */
  readonly isolatedHosts = new Set<string>();
  storeAcceptsWrites = true;
  /** Current probability that a datagram is lost. */
  lossProbability = BASELINE_LOSS_PROBABILITY;

  constructor(readonly options: ConfigurationFaultInjectorOptions) {}

  inject(fault: ConfigurationFault): void {
    HANDLERS[fault.kind](this, fault);
  }

  /** Makes the store silent or refusing for all gateways; it accepts no writes meanwhile. */
  disruptStore(mode: 'silent' | 'refusing', durationMilliseconds: number): void {
    this.storeAcceptsWrites = false;
    this.disruptClients(this.options.gateways, mode, durationMilliseconds);
    this.later(durationMilliseconds, () => {
      this.storeAcceptsWrites = true;
      this.options.onStoreWritable();
    });
  }

  /** Makes the store silent or refusing for some gateways and drops their connections. */
  disruptClients(
    gateways: readonly HistoryGateway[],
    mode: 'silent' | 'refusing',
    durationMilliseconds: number,
  ): void {
    for (const gateway of gateways) {
      this.options.exempt(gateway, durationMilliseconds);
      gateway.storeClient.mode = mode;
      gateway.storeClient.dropConnections();
      this.later(durationMilliseconds, () => (gateway.storeClient.mode = 'well'));
    }
  }

  /** Delays each reply of the store. */
  slowStore(durationMilliseconds: number): void {
    this.options.store.extraLatencyMilliseconds = EXTRA_LATENCY_MILLISECONDS;
    this.exemptAll(durationMilliseconds);
    this.later(durationMilliseconds, () => (this.options.store.extraLatencyMilliseconds = 0));
  }

  /** Drops all open connections to the store; calls on them time out. */
  dropAllConnections(): void {
    this.exemptAll(0);
    this.options.gateways.forEach(({ storeClient }) => storeClient.dropConnections());
  }

  /** Hides a change from watches, then compacts the history and cuts the watches, while stale lists lack the change. */
  compactHistory(): void {
    this.exemptAll(MISSED_WATCH_MILLISECONDS);
    this.options.store.suppressesWatches = true;
    this.options.store.freezeStaleLists();
    this.options.applyChange({ at: this.options.clock.now, what: 'configuration' });
    this.later(MISSED_WATCH_MILLISECONDS, () => {
      this.options.store.compact();
      this.options.store.suppressesWatches = false;
    });
    this.later(MAXIMUM_STALE_LIST_MILLISECONDS, () => this.options.store.thawStaleLists());
  }

  /** Freezes stale lists; no gateway is exempt from checks. */
  serveStaleLists(durationMilliseconds: number): void {
    this.options.store.freezeStaleLists();
    this.later(Math.min(durationMilliseconds, MAXIMUM_STALE_LIST_MILLISECONDS), () =>
      this.options.store.thawStaleLists(),
    );
  }

  /** Kills gateways; each restarts after a delay. */
  killGateways(gateways: readonly HistoryGateway[]): void {
    for (const gateway of gateways) {
      this.options.exempt(gateway, RESTART_DELAY_MILLISECONDS);
      gateway.kill();
      this.later(RESTART_DELAY_MILLISECONDS, () => {
        if (!gateway.process.isAlive) {
          gateway.start(0);
        }
      });
    }
  }

  /** Pauses the processes of gateways. */
  freezeGateways(gateways: readonly HistoryGateway[], durationMilliseconds: number): void {
    const milliseconds = Math.min(durationMilliseconds, MAXIMUM_FREEZE_MILLISECONDS);
    for (const gateway of gateways) {
      this.options.exempt(gateway, milliseconds);
      gateway.process.pause();
      this.later(milliseconds, () => gateway.process.resume());
    }
  }

  /** Cuts gateways off from all other gateways. */
  isolateGateways(gateways: readonly HistoryGateway[], durationMilliseconds: number): void {
    for (const gateway of gateways) {
      this.options.exempt(gateway, durationMilliseconds);
      this.isolatedHosts.add(gateway.host);
      this.later(durationMilliseconds, () => this.isolatedHosts.delete(gateway.host));
    }
  }

  /** Raises the loss of datagrams; no gateway is exempt from checks. */
  dropDatagrams(durationMilliseconds: number): void {
    this.lossProbability = FAULT_LOSS_PROBABILITY;
    this.later(durationMilliseconds, () => (this.lossProbability = BASELINE_LOSS_PROBABILITY));
  }

  private exemptAll(milliseconds: number): void {
    this.options.gateways.forEach((gateway) => this.options.exempt(gateway, milliseconds));
  }

  /** Draws the gateways that a fault affects, at least one. */
  pickGateways({ share }: ConfigurationFault): HistoryGateway[] {
    const remaining = [...this.options.gateways];
    const count = Math.max(1, Math.round(share * remaining.length));
    return Array.from({ length: count }, () => {
      const [gateway] = remaining.splice(this.options.random.integer(0, remaining.length - 1), 1);
      return gateway!;
    });
  }

  /** Returns a share of the gateways of each zone, those that rank first, at least one of each. */
  firstRankedGateways({ share }: ConfigurationFault): HistoryGateway[] {
    const byZone = new Map<string, HistoryGateway[]>();
    for (const gateway of this.options.gateways) {
      byZone.set(gateway.zone, [...(byZone.get(gateway.zone) ?? []), gateway]);
    }
    return [...byZone.values()].flatMap((gateways) =>
      gateways
        .sort((left, right) => hashToNumber(left.host) - hashToNumber(right.host))
        .slice(0, Math.max(1, Math.round(share * gateways.length))),
    );
  }

  private later(milliseconds: number, action: () => void): void {
    this.options.clock.schedule(milliseconds, action);
  }
}

/** The action of each kind of fault. */
const HANDLERS: Readonly<
  Record<
    ConfigurationFaultKind,
    (injector: ConfigurationFaultInjector, fault: ConfigurationFault) => void
  >
> = {
  storeSilent: (injector, { lasts }) => injector.disruptStore('silent', lasts),
  storeRefuses: (injector, { lasts }) => injector.disruptStore('refusing', lasts),
  storeSlow: (injector, { lasts }) => injector.slowStore(lasts),
  pathsSilent: (injector, fault) =>
    injector.disruptClients(injector.pickGateways(fault), 'silent', fault.lasts),
  pathsRefused: (injector, fault) =>
    injector.disruptClients(injector.pickGateways(fault), 'refusing', fault.lasts),
  connectionsDie: (injector) => injector.dropAllConnections(),
  historyLost: (injector) => injector.compactHistory(),
  oldLists: (injector, { lasts }) => injector.serveStaleLists(lasts),
  gatewaysKilled: (injector, fault) => injector.killGateways(injector.pickGateways(fault)),
  gatewaysFrozen: (injector, fault) =>
    injector.freezeGateways(injector.pickGateways(fault), fault.lasts),
  gatewaysCut: (injector, fault) =>
    injector.isolateGateways(injector.pickGateways(fault), fault.lasts),
  firstRankedFrozen: (injector, fault) =>
    injector.freezeGateways(injector.firstRankedGateways(fault), fault.lasts),
  firstRankedCut: (injector, fault) =>
    injector.isolateGateways(injector.firstRankedGateways(fault), fault.lasts),
  messagesLost: (injector, { lasts }) => injector.dropDatagrams(lasts),
  allKilled: (injector) => injector.killGateways(injector.options.gateways),
};
