/**
 * Simulates one seeded history of configuration changes, runner registrations and evacuations under faults.
 * Every gateway must apply each acknowledged change within a deadline, unless a recent fault exempts it, and
 * must never return to an older version or an older state of an evacuation.
 */
import { freshnessTimingsFor } from '../mirror/freshness-timings.js';
import type { FreshnessTimings } from '../mirror/freshness-timings.js';
import type { KeySpaceChanges } from '../mirror/key-space-copy.js';
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import type { LogFunction } from '../runtime/runtime.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import { endOfPlan, planConfigurationHistory } from './configuration-plan.js';
import type {
  ConfigurationPlan,
  ConfigurationFaultKind,
  PlannedChange,
} from './configuration-plan.js';
import {
  CONFIGURATION_KEY,
  EVACUATION_PREFIX,
  HistoryGateway,
  RUNNER_PREFIX,
} from './history-gateway.js';
import type { HistoryLinks } from './history-gateway.js';
import { HistoryStore } from './history-store.js';
import { ConfigurationFaultInjector } from './configuration-fault-injector.js';

/** Defects built into the system under test to show that the checks detect them. */
export type InjectedConfigurationFault =
  /** Gateways rely on open watches alone and read no proofs of freshness. */
  | 'watchBelieved'
  /** Reads that serve as proofs return stale data. */
  | 'oldReads'
  /** Gateways use timings far above the freshness bound. */
  | 'boundIgnored'
  /** The store replaces a version by the one before it. */
  | 'goesBack'
  /** Gateways apply evacuations late. */
  | 'evacuationsDelayed';

/** Options of a configuration history. */
export interface ConfigurationHistoryOptions {
  readonly gateways: number;
  readonly plan?: ConfigurationPlan;
  readonly injectedFault?: InjectedConfigurationFault;
  readonly log?: LogFunction;
}

/** Result of a configuration history. */
export interface ConfigurationHistoryResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly faults: readonly ConfigurationFaultKind[];
  readonly changes: number;
  /** Number of checks of single gateways; exempt gateways are not counted. */
  readonly looks: number;
  readonly storeCalls: number;
}

/** Time within which an acknowledged change must be in force. */
const APPLY_DEADLINE_MILLISECONDS = 2_000;
/** Time after a fault for which the gateways that it affected are exempt from checks. */
const RECOVERY_GRACE_MILLISECONDS = 3_000;
const CHECK_INTERVAL_MILLISECONDS = 50;
const LINK_DELAY_MILLISECONDS = 1.4;
const ZONE_COUNT = 3;
const SEED_HOST_COUNT = 3;
/** Delay of evacuations with the injected fault 'evacuationsDelayed'. */
const EVACUATION_DELAY_MILLISECONDS = 3_000;
const FETCH_TIMEOUT_MILLISECONDS = 600;
const MINIMUM_START_DELAY_MILLISECONDS = 2_500;
const MAXIMUM_VIOLATIONS = 5;
/** Age that stale lists reach with the injected fault 'oldReads'. */
const MAXIMUM_STALE_LIST_AGE_MILLISECONDS = 4_000;
/** Timings far above the bound, for the injected fault 'boundIgnored'. */
const SLOW_TIMINGS: FreshnessTimings = {
  proofIntervalMilliseconds: 4_000,
  watchDeadlineMilliseconds: 2_000,
  hedgeDelayMilliseconds: 3_000,
  maximumAgeMilliseconds: 10_000,
};

/** A change that the store acknowledged. */
interface AcknowledgedChange {
  readonly at: number;
  /** Version of the configuration; undefined for a change of a runner. */
  readonly version: number | undefined;
  /** Key of the runner; undefined for a change of the configuration. */
  readonly runner: string | undefined;
  /** Whether the runner is registered after the change. */
  readonly listed: boolean;
}

/** Runs a plan against simulated gateways and checks them at a fixed interval. */
class ConfigurationHistory {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly evacuationRandom: RandomSource;
  private readonly store: HistoryStore;
  private readonly gateways: HistoryGateway[] = [];
  private readonly gatewaysByHost = new Map<string, HistoryGateway>();
  /** Virtual time until which a gateway is not checked, by host. */
  private readonly exemptUntil = new Map<string, number>();
  private readonly acknowledged: AcknowledgedChange[] = [];
  /** Time of the last acknowledged change of each zone's evacuation. */
  private readonly evacuationChangedAt = new Map<string, number>();
  private evacuationChanges = 0;
  private readonly violations: string[] = [];
  private readonly plan: ConfigurationPlan;
  private readonly faultInjector: ConfigurationFaultInjector;
  /** Changes queued until the store accepts writes again. */
  private pendingChanges: PlannedChange[] = [];
  private version = 0;
  private runnerCount = 0;
  private checkCount = 0;

  constructor(
    private readonly seed: number,
    private readonly options: ConfigurationHistoryOptions,
  ) {
    this.random = createRandom(seed, 'configuration history');
    this.evacuationRandom = createRandom(seed, 'evacuated zones');
    this.store = new HistoryStore(this.clock);
    this.plan = options.plan ?? planConfigurationHistory(seed);
    this.store.pageItems = this.plan.pageItems;
    this.faultInjector = new ConfigurationFaultInjector({
      clock: this.clock,
      store: this.store,
      gateways: this.gateways,
      random: this.random,
      exempt: (gateway, milliseconds) => this.exempt(gateway, milliseconds),
      applyChange: (change) => this.applyOrQueue(change),
      onStoreWritable: () => this.pendingChanges.splice(0).forEach((change) => this.write(change)),
    });
  }

  run(): ConfigurationHistoryResult {
    this.write({ at: 0, what: 'configuration' });
    this.write({ at: 0, what: 'runnerComes' });
    this.startGateways();
    if (this.options.injectedFault === 'oldReads') {
      this.refreshStaleLists();
    }
    const { changes, faults } = this.plan;
    changes.forEach((change) => this.clock.schedule(change.at, () => this.applyOrQueue(change)));
    faults.forEach((fault) =>
      this.clock.schedule(fault.at, () => this.faultInjector.inject(fault)),
    );
    const end = endOfPlan(this.plan);
    this.checkUntil(end);
    this.clock.runUntil(end);
    const regressions = this.gateways.flatMap((gateway) => gateway.regressions);
    const storeCalls = this.gateways.reduce(
      (sum, { storeClient }) => sum + storeClient.callCount,
      0,
    );
    return {
      seed: this.seed,
      violations: [...this.violations, ...regressions].slice(0, MAXIMUM_VIOLATIONS),
      faults: faults.map(({ kind }) => kind),
      changes: this.acknowledged.length + this.evacuationChanges,
      looks: this.checkCount,
      storeCalls,
    };
  }

  private startGateways(): void {
    const seeds = Array.from({ length: SEED_HOST_COUNT }, (_, index) => `10.0.0.${index}`);
    const isBoundIgnored = this.options.injectedFault === 'boundIgnored';
    const timings = isBoundIgnored
      ? SLOW_TIMINGS
      : freshnessTimingsFor(APPLY_DEADLINE_MILLISECONDS);
    for (let index = 0; index < this.options.gateways; index += 1) {
      const host = `10.0.0.${index}`;
      const { log } = this.options;
      const gateway = new HistoryGateway({
        host,
        zone: `z${index % ZONE_COUNT}`,
        seeds,
        clock: this.clock,
        random: createRandom(this.seed, host),
        store: this.store,
        links: this.links(),
        timings,
        ...(log === undefined ? {} : { log }),
      });
      gateway.skipsProofs = this.options.injectedFault === 'watchBelieved';
      gateway.evacuationDelayMilliseconds =
        this.options.injectedFault === 'evacuationsDelayed' ? EVACUATION_DELAY_MILLISECONDS : 0;
      gateway.storeClient.readsStale = this.options.injectedFault === 'oldReads';
      this.gateways.push(gateway);
      this.gatewaysByHost.set(host, gateway);
      const startDelayMilliseconds = MINIMUM_START_DELAY_MILLISECONDS * (1 + this.random.uniform());
      gateway.start(index < SEED_HOST_COUNT ? 0 : startDelayMilliseconds);
      this.exempt(gateway, 2 * MINIMUM_START_DELAY_MILLISECONDS);
    }
  }

  private refreshStaleLists(): void {
    this.store.freezeStaleLists();
    this.later(MAXIMUM_STALE_LIST_AGE_MILLISECONDS, () => this.refreshStaleLists());
  }

  private links(): HistoryLinks {
    const isCut = (from: string, to: string): boolean =>
      this.faultInjector.isolatedHosts.has(from) || this.faultInjector.isolatedHosts.has(to);
    return {
      sendDatagram: (bytes, from, to) => {
        if (!isCut(from, to) && this.random.uniform() >= this.faultInjector.lossProbability) {
          this.clock.schedule(LINK_DELAY_MILLISECONDS, () =>
            this.gatewaysByHost.get(to)?.receive(bytes, from),
          );
        }
      },
      fetchChanges: (from, of, revision, done) => {
        this.clock.schedule(LINK_DELAY_MILLISECONDS, () => {
          const gateway = this.gatewaysByHost.get(of);
          const changes: KeySpaceChanges | undefined = isCut(from, of)
            ? undefined
            : gateway?.changesSince(revision);
          const pause =
            changes === undefined ? FETCH_TIMEOUT_MILLISECONDS : LINK_DELAY_MILLISECONDS;
          this.clock.schedule(pause, () => done(changes));
        });
      },
    };
  }

  private applyOrQueue(change: PlannedChange): void {
    if (this.faultInjector.storeAcceptsWrites) {
      this.write(change);
    } else {
      this.pendingChanges.push(change);
    }
  }

  private write({ what }: PlannedChange): void {
    const at = this.clock.now;
    if (what === 'evacuation') {
      this.toggleEvacuation(at);
      return;
    }
    if (what === 'configuration') {
      this.version += 1;
      this.store.put(CONFIGURATION_KEY, String(this.version));
      this.acknowledged.push({ at, version: this.version, runner: undefined, listed: true });
      this.injectRevert();
      return;
    }
    const listed = [...this.store.items.keys()].filter((key) => key.startsWith(RUNNER_PREFIX));
    if (what === 'runnerComes' || listed.length === 0) {
      this.runnerCount += 1;
      const runner = `${RUNNER_PREFIX}r${this.runnerCount}`;
      this.store.put(runner, 'ready');
      this.acknowledged.push({ at, version: undefined, runner, listed: true });
    } else {
      const runner = this.random.pick(listed);
      this.store.remove(runner);
      this.acknowledged.push({ at, version: undefined, runner, listed: false });
    }
  }

  /** Evacuates a zone, or restores it if it is evacuated. */
  private toggleEvacuation(at: number): void {
    this.evacuationChanges += 1;
    const zone = `z${this.evacuationRandom.integer(0, ZONE_COUNT - 1)}`;
    const key = EVACUATION_PREFIX + zone;
    if (this.store.items.has(key)) {
      this.store.remove(key);
    } else {
      this.store.put(key, '');
    }
    this.evacuationChangedAt.set(zone, at);
  }

  private injectRevert(): void {
    if (this.options.injectedFault === 'goesBack' && this.version % 5 === 0) {
      this.version -= 1;
      this.store.put(CONFIGURATION_KEY, String(this.version));
    }
  }

  /** Exempts a gateway from checks for a time plus the grace period after it. */
  private exempt({ host }: HistoryGateway, milliseconds: number): void {
    const until = this.clock.now + milliseconds + RECOVERY_GRACE_MILLISECONDS;
    this.exemptUntil.set(host, Math.max(until, this.exemptUntil.get(host) ?? 0));
  }

  private later(milliseconds: number, action: () => void): void {
    this.clock.schedule(milliseconds, action);
  }

  private checkUntil(end: number): void {
    this.later(CHECK_INTERVAL_MILLISECONDS, () => {
      this.checkGateways();
      if (this.clock.now < end) {
        this.checkUntil(end);
      }
    });
  }

  private checkGateways(): void {
    const { now } = this.clock;
    const dueChanges = this.acknowledged.filter(
      ({ at }) => at <= now - APPLY_DEADLINE_MILLISECONDS,
    );
    const version = Math.max(0, ...dueChanges.map((change) => change.version ?? 0));
    for (const gateway of this.gateways) {
      if (now < (this.exemptUntil.get(gateway.host) ?? 0) || !gateway.process.isAlive) {
        continue;
      }
      this.checkCount += 1;
      if (gateway.version < version) {
        this.recordViolation(
          `${gateway.host} holds ${gateway.version} at ${now} ms, ${version} is owed`,
        );
      }
      this.checkRunners(gateway, dueChanges);
      this.checkEvacuations(gateway);
    }
  }

  private checkEvacuations(gateway: HistoryGateway): void {
    const { now } = this.clock;
    for (const [zone, changedAt] of this.evacuationChangedAt) {
      const isEvacuated = this.store.items.has(EVACUATION_PREFIX + zone);
      const isDue = changedAt <= now - APPLY_DEADLINE_MILLISECONDS;
      if (isDue && gateway.isEvacuated(zone) !== isEvacuated) {
        const state = isEvacuated ? 'evacuated' : 'restored';
        this.recordViolation(`${gateway.host} does not know at ${now} ms that ${zone} is ${state}`);
      }
    }
  }

  private checkRunners(gateway: HistoryGateway, dueChanges: readonly AcknowledgedChange[]): void {
    const { now } = this.clock;
    const { runners } = gateway;
    for (const { runner, listed } of dueChanges) {
      if (runner === undefined) {
        continue;
      }
      if (!listed && runners.has(runner)) {
        this.recordViolation(`${gateway.host} still lists ${runner} at ${now} ms`);
      }
      if (listed && !runners.has(runner) && this.store.items.has(runner)) {
        this.recordViolation(`${gateway.host} does not list ${runner} at ${now} ms`);
      }
    }
  }

  private recordViolation(detail: string): void {
    if (this.violations.length < MAXIMUM_VIOLATIONS) {
      this.violations.push(detail);
    }
  }
}

/** Runs the history of a seed, with its own plan or a given one. */
export function runConfigurationHistory(
  seed: number,
  options: ConfigurationHistoryOptions,
): ConfigurationHistoryResult {
  return new ConfigurationHistory(seed, options).run();
}
