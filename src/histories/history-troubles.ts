/** The troubles of configuration histories: what each does to the store, its paths, gateways and links. */
import type { RandomSource } from '../runtime/random.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';
import type {
  ConfigurationTrouble,
  ConfigurationTroubleKind,
  PlannedChange,
} from './configuration-plan.js';
import type { HistoryGateway } from './history-gateway.js';
import type { HistoryStore } from './history-store.js';

/** What troubles act on. */
export interface HistoryTroublesOptions {
  readonly clock: VirtualClock;
  readonly store: HistoryStore;
  readonly gateways: readonly HistoryGateway[];
  readonly random: RandomSource;
  /** Notes that a gateway owes nothing for some milliseconds. */
  readonly excuse: (gateway: HistoryGateway, milliseconds: number) => void;
  /** Makes a change, at once or when the store takes writes again. */
  readonly change: (change: PlannedChange) => void;
  /** The store takes writes again. */
  readonly onStoreOpen: () => void;
}

/** Parts of datagrams that are lost. */
const USUAL_LOSS = 0.005;
const TROUBLED_LOSS = 0.15;
/** Times in milliseconds. */
const DEAF_MILLISECONDS = 1_000;
const OLD_LIST_MILLISECONDS = 3_000;
const LONGEST_FREEZE_MILLISECONDS = 3_000;
const RESTART_MILLISECONDS = 400;
const SLOW_MILLISECONDS = 200;

/** See the head of this file. */
export class HistoryTroubles {
  /** Hosts that hear no others and are not heard. */
  readonly cutHosts = new Set<string>();
  storeTakesWrites = true;
  /** Part of the datagrams that are lost now. */
  loss = USUAL_LOSS;

  constructor(readonly options: HistoryTroublesOptions) {}

  /** Lets a trouble begin; its end follows by itself. */
  strike(trouble: ConfigurationTrouble): void {
    HANDLERS[trouble.kind](this, trouble);
  }

  /** The store does something to all paths, and takes no writes meanwhile. */
  closeStore(mode: 'silent' | 'refusing', lasts: number): void {
    this.storeTakesWrites = false;
    this.setPaths(this.options.gateways, mode, lasts);
    this.later(lasts, () => {
      this.storeTakesWrites = true;
      this.options.onStoreOpen();
    });
  }

  /** Some paths to the store do something. */
  setPaths(gateways: readonly HistoryGateway[], mode: 'silent' | 'refusing', lasts: number): void {
    for (const gateway of gateways) {
      this.options.excuse(gateway, lasts);
      gateway.path.mode = mode;
      gateway.path.loseConnections();
      this.later(lasts, () => (gateway.path.mode = 'well'));
    }
  }

  /** Each answer of the store takes longer. */
  slowStore(lasts: number): void {
    this.options.store.slowMilliseconds = SLOW_MILLISECONDS;
    this.excuseAll(lasts);
    this.later(lasts, () => (this.options.store.slowMilliseconds = 0));
  }

  /** Open connections to the store go silent for good. */
  loseAllConnections(): void {
    this.excuseAll(0);
    this.options.gateways.forEach(({ path }) => path.loseConnections());
  }

  /** Watches hear nothing while a change is made; then its past is gone, they are cut, and cheap lists are old. */
  forgetHistory(): void {
    this.excuseAll(DEAF_MILLISECONDS);
    this.options.store.watchesDeaf = true;
    this.options.store.freezeOldLists();
    this.options.change({ at: this.options.clock.now, what: 'configuration' });
    this.later(DEAF_MILLISECONDS, () => {
      this.options.store.forget();
      this.options.store.watchesDeaf = false;
    });
    this.later(OLD_LIST_MILLISECONDS, () => this.options.store.thawOldLists());
  }

  /** Cheap lists are old; no excuse for anybody. */
  ageLists(lasts: number): void {
    this.options.store.freezeOldLists();
    this.later(Math.min(lasts, OLD_LIST_MILLISECONDS), () => this.options.store.thawOldLists());
  }

  /** Kills gateways, which start again soon. */
  killGateways(gateways: readonly HistoryGateway[]): void {
    for (const gateway of gateways) {
      this.options.excuse(gateway, RESTART_MILLISECONDS);
      gateway.kill();
      this.later(RESTART_MILLISECONDS, () => {
        if (!gateway.process.isAlive) {
          gateway.start(0);
        }
      });
    }
  }

  /** Gateways stand still. */
  freezeGateways(gateways: readonly HistoryGateway[], lasts: number): void {
    const milliseconds = Math.min(lasts, LONGEST_FREEZE_MILLISECONDS);
    for (const gateway of gateways) {
      this.options.excuse(gateway, milliseconds);
      gateway.process.pause();
      this.later(milliseconds, () => gateway.process.resume());
    }
  }

  /** Gateways hear no others and are not heard. */
  cutGateways(gateways: readonly HistoryGateway[], lasts: number): void {
    for (const gateway of gateways) {
      this.options.excuse(gateway, lasts);
      this.cutHosts.add(gateway.host);
      this.later(lasts, () => this.cutHosts.delete(gateway.host));
    }
  }

  /** More datagrams are lost than usual; no excuse for anybody. */
  loseMessages(lasts: number): void {
    this.loss = TROUBLED_LOSS;
    this.later(lasts, () => (this.loss = USUAL_LOSS));
  }

  private excuseAll(milliseconds: number): void {
    this.options.gateways.forEach((gateway) => this.options.excuse(gateway, milliseconds));
  }

  /** Gateways that a trouble strikes, drawn. */
  struckBy({ share }: ConfigurationTrouble): HistoryGateway[] {
    const left = [...this.options.gateways];
    const count = Math.max(1, Math.round(share * left.length));
    return Array.from({ length: count }, () => {
      const [gateway] = left.splice(this.options.random.integer(0, left.length - 1), 1);
      return gateway!;
    });
  }

  private later(milliseconds: number, action: () => void): void {
    this.options.clock.schedule(milliseconds, action);
  }
}

/** What each trouble does. */
const HANDLERS: Readonly<
  Record<
    ConfigurationTroubleKind,
    (troubles: HistoryTroubles, trouble: ConfigurationTrouble) => void
  >
> = {
  storeSilent: (troubles, { lasts }) => troubles.closeStore('silent', lasts),
  storeRefuses: (troubles, { lasts }) => troubles.closeStore('refusing', lasts),
  storeSlow: (troubles, { lasts }) => troubles.slowStore(lasts),
  pathsSilent: (troubles, trouble) =>
    troubles.setPaths(troubles.struckBy(trouble), 'silent', trouble.lasts),
  pathsRefused: (troubles, trouble) =>
    troubles.setPaths(troubles.struckBy(trouble), 'refusing', trouble.lasts),
  connectionsDie: (troubles) => troubles.loseAllConnections(),
  historyLost: (troubles) => troubles.forgetHistory(),
  oldLists: (troubles, { lasts }) => troubles.ageLists(lasts),
  gatewaysKilled: (troubles, trouble) => troubles.killGateways(troubles.struckBy(trouble)),
  gatewaysFrozen: (troubles, trouble) =>
    troubles.freezeGateways(troubles.struckBy(trouble), trouble.lasts),
  gatewaysCut: (troubles, trouble) =>
    troubles.cutGateways(troubles.struckBy(trouble), trouble.lasts),
  messagesLost: (troubles, { lasts }) => troubles.loseMessages(lasts),
  allKilled: (troubles) => troubles.killGateways(troubles.options.gateways),
};
