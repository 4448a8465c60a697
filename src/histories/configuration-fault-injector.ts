/** The injector of configuration histories: what each does to the store, its paths, gateways and links. */
import type { RandomSource } from '../runtime/random.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';
import type {
  ConfigurationFault,
  ConfigurationFaultKind,
  PlannedChange,
} from './configuration-plan.js';
import type { HistoryGateway } from './history-gateway.js';
import type { HistoryStore } from './history-store.js';

/** What injector act on. */
export interface ConfigurationFaultInjectorOptions {
  readonly clock: VirtualClock;
  readonly store: HistoryStore;
  readonly gateways: readonly HistoryGateway[];
  readonly random: RandomSource;
  /** Notes that a gateway owes nothing for some milliseconds. */
  readonly exempt: (gateway: HistoryGateway, milliseconds: number) => void;
  /** Makes a change, at once or when the store takes writes again. */
  readonly applyChange: (change: PlannedChange) => void;
  /** The store takes writes again. */
  readonly onStoreWritable: () => void;
}

/** Parts of datagrams that are lost. */
const BASELINE_LOSS_PROBABILITY = 0.005;
const FAULT_LOSS_PROBABILITY = 0.15;
/** Times in milliseconds. */
const MISSED_WATCH_MILLISECONDS = 1_000;
const MAXIMUM_STALE_LIST_MILLISECONDS = 3_000;
const MAXIMUM_FREEZE_MILLISECONDS = 3_000;
const RESTART_DELAY_MILLISECONDS = 400;
const EXTRA_LATENCY_MILLISECONDS = 200;

/** See the head of this file. */
export class ConfigurationFaultInjector {
  /** Hosts that hear no others and are not heard. */
  readonly isolatedHosts = new Set<string>();
  storeAcceptsWrites = true;
  /** Part of the datagrams that are lost now. */
  lossProbability = BASELINE_LOSS_PROBABILITY;

  constructor(readonly options: ConfigurationFaultInjectorOptions) {}

  /** Lets a fault begin; its end follows by itself. */
  inject(fault: ConfigurationFault): void {
    HANDLERS[fault.kind](this, fault);
  }

  /** The store does something to all paths, and takes no writes meanwhile. */
  disruptStore(mode: 'silent' | 'refusing', lasts: number): void {
    this.storeAcceptsWrites = false;
    this.disruptClients(this.options.gateways, mode, lasts);
    this.later(lasts, () => {
      this.storeAcceptsWrites = true;
      this.options.onStoreWritable();
    });
  }

  /** Some paths to the store do something. */
  disruptClients(
    gateways: readonly HistoryGateway[],
    mode: 'silent' | 'refusing',
    lasts: number,
  ): void {
    for (const gateway of gateways) {
      this.options.exempt(gateway, lasts);
      gateway.storeClient.mode = mode;
      gateway.storeClient.dropConnections();
      this.later(lasts, () => (gateway.storeClient.mode = 'well'));
    }
  }

  /** Each answer of the store takes longer. */
  slowStore(lasts: number): void {
    this.options.store.extraLatencyMilliseconds = EXTRA_LATENCY_MILLISECONDS;
    this.exemptAll(lasts);
    this.later(lasts, () => (this.options.store.extraLatencyMilliseconds = 0));
  }

  /** Open connections to the store go silent for good. */
  dropAllConnections(): void {
    this.exemptAll(0);
    this.options.gateways.forEach(({ storeClient }) => storeClient.dropConnections());
  }

  /** Watches hear nothing while a change is made; then its past is gone, they are cut, and cheap lists are old. */
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

  /** Cheap lists are old; no excuse for anybody. */
  serveStaleLists(lasts: number): void {
    this.options.store.freezeStaleLists();
    this.later(Math.min(lasts, MAXIMUM_STALE_LIST_MILLISECONDS), () =>
      this.options.store.thawStaleLists(),
    );
  }

  /** Kills gateways, which start again soon. */
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

  /** Gateways stand still. */
  freezeGateways(gateways: readonly HistoryGateway[], lasts: number): void {
    const milliseconds = Math.min(lasts, MAXIMUM_FREEZE_MILLISECONDS);
    for (const gateway of gateways) {
      this.options.exempt(gateway, milliseconds);
      gateway.process.pause();
      this.later(milliseconds, () => gateway.process.resume());
    }
  }

  /** Gateways hear no others and are not heard. */
  isolateGateways(gateways: readonly HistoryGateway[], lasts: number): void {
    for (const gateway of gateways) {
      this.options.exempt(gateway, lasts);
      this.isolatedHosts.add(gateway.host);
      this.later(lasts, () => this.isolatedHosts.delete(gateway.host));
    }
  }

  /** More datagrams are lost than usual; no excuse for anybody. */
  dropDatagrams(lasts: number): void {
    this.lossProbability = FAULT_LOSS_PROBABILITY;
    this.later(lasts, () => (this.lossProbability = BASELINE_LOSS_PROBABILITY));
  }

  private exemptAll(milliseconds: number): void {
    this.options.gateways.forEach((gateway) => this.options.exempt(gateway, milliseconds));
  }

  /** Gateways that a fault strikes, drawn. */
  pickGateways({ share }: ConfigurationFault): HistoryGateway[] {
    const remaining = [...this.options.gateways];
    const count = Math.max(1, Math.round(share * remaining.length));
    return Array.from({ length: count }, () => {
      const [gateway] = remaining.splice(this.options.random.integer(0, remaining.length - 1), 1);
      return gateway!;
    });
  }

  private later(milliseconds: number, action: () => void): void {
    this.options.clock.schedule(milliseconds, action);
  }
}

/** What each fault does. */
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
  messagesLost: (injector, { lasts }) => injector.dropDatagrams(lasts),
  allKilled: (injector) => injector.killGateways(injector.options.gateways),
};
