/**
 * One seeded history of configuration and runners under troubles: an operator changes the
 * configuration, runners come and leave, and gateways must hold in force, within the bound, what the
 * store has acknowledged, and never go back. Checked at every gateway that is in touch.
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
  ConfigurationTroubleKind,
  PlannedChange,
} from './configuration-plan.js';
import { CONFIGURATION_KEY, HistoryGateway, RUNNER_PREFIX } from './history-gateway.js';
import type { HistoryLinks } from './history-gateway.js';
import { HistoryStore } from './history-store.js';
import { HistoryTroubles } from './history-troubles.js';

/** Faults planted to show that the checks find them. */
export type PlantedConfigurationFault =
  /** An open watch is believed: nobody reads proofs. */
  | 'watchBelieved'
  /** Short reads answer from the past. */
  | 'oldReads'
  /** Times are far longer than the bound. */
  | 'boundIgnored'
  /** A version in force is replaced by the one before it. */
  | 'goesBack';

/** How a history is played. */
export interface ConfigurationHistoryOptions {
  readonly gateways: number;
  readonly plan?: ConfigurationPlan;
  readonly planted?: PlantedConfigurationFault;
  readonly log?: LogFunction;
}

/** What a history showed. */
export interface ConfigurationHistoryResult {
  readonly seed: number;
  readonly violations: readonly string[];
  readonly troubles: readonly ConfigurationTroubleKind[];
  readonly changes: number;
  /** Looks at gateways that were in touch. */
  readonly looks: number;
  readonly storeCalls: number;
}

/** Time within which a change must be in force, and after a trouble in which nothing is owed, in milliseconds. */
const APPLY_MILLISECONDS = 2_000;
const CONTACT_MILLISECONDS = 3_000;
const LOOK_MILLISECONDS = 50;
const LINK_MILLISECONDS = 1.4;
const ZONES = 3;
const SEEDS = 3;
const FETCH_LOST_MILLISECONDS = 600;
const FIRST_PATIENCE_MILLISECONDS = 2_500;
const MOST_VIOLATIONS = 5;
/** Age that lists reach where short reads answer from the past, in milliseconds. */
const PAST_MILLISECONDS = 4_000;
/** Times that ignore the bound. */
const SLOW_TIMINGS: FreshnessTimings = {
  proofIntervalMilliseconds: 4_000,
  watchDeadlineMilliseconds: 2_000,
  hedgeDelayMilliseconds: 3_000,
};

/** A change that the store acknowledged. */
interface Acknowledged {
  readonly at: number;
  /** Version of the configuration, or the key of a runner. */
  readonly version: number | undefined;
  readonly runner: string | undefined;
  readonly listed: boolean;
}

/** See the head of this file. */
class ConfigurationHistory {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly store: HistoryStore;
  private readonly gateways: HistoryGateway[] = [];
  private readonly byHost = new Map<string, HistoryGateway>();
  /** Local time until which a gateway is out of touch, by host. */
  private readonly outOfTouchUntil = new Map<string, number>();
  private readonly acknowledged: Acknowledged[] = [];
  private readonly violations: string[] = [];
  private readonly plan: ConfigurationPlan;
  private readonly troubles: HistoryTroubles;
  /** Changes that wait for the store to take writes again. */
  private waiting: PlannedChange[] = [];
  private version = 0;
  private runnerCount = 0;
  private looks = 0;

  constructor(
    private readonly seed: number,
    private readonly options: ConfigurationHistoryOptions,
  ) {
    this.random = createRandom(seed, 'configuration history');
    this.store = new HistoryStore(this.clock);
    this.plan = options.plan ?? planConfigurationHistory(seed);
    this.troubles = new HistoryTroubles({
      clock: this.clock,
      store: this.store,
      gateways: this.gateways,
      random: this.random,
      excuse: (gateway, milliseconds) => this.excuse(gateway, milliseconds),
      change: (change) => this.change(change),
      onStoreOpen: () => this.waiting.splice(0).forEach((change) => this.write(change)),
    });
  }

  run(): ConfigurationHistoryResult {
    this.write({ at: 0, what: 'configuration' });
    this.write({ at: 0, what: 'runnerComes' });
    this.startAll();
    if (this.options.planted === 'oldReads') {
      this.keepListsOld();
    }
    const { changes, troubles } = this.plan;
    changes.forEach((change) => this.clock.schedule(change.at, () => this.change(change)));
    troubles.forEach((trouble) =>
      this.clock.schedule(trouble.at, () => this.troubles.strike(trouble)),
    );
    const end = endOfPlan(this.plan);
    this.lookUntil(end);
    this.clock.runUntil(end);
    const regressions = this.gateways.flatMap((gateway) => gateway.regressions);
    const storeCalls = this.gateways.reduce((sum, { path }) => sum + path.callCount, 0);
    return {
      seed: this.seed,
      violations: [...this.violations, ...regressions].slice(0, MOST_VIOLATIONS),
      troubles: troubles.map(({ kind }) => kind),
      changes: this.acknowledged.length,
      looks: this.looks,
      storeCalls,
    };
  }

  private startAll(): void {
    const seeds = Array.from({ length: SEEDS }, (_, index) => `10.0.0.${index}`);
    const isIgnored = this.options.planted === 'boundIgnored';
    const timings = isIgnored ? SLOW_TIMINGS : freshnessTimingsFor(APPLY_MILLISECONDS);
    for (let index = 0; index < this.options.gateways; index += 1) {
      const host = `10.0.0.${index}`;
      const { log } = this.options;
      const gateway = new HistoryGateway({
        host,
        zone: `z${index % ZONES}`,
        seeds,
        clock: this.clock,
        random: createRandom(this.seed, host),
        store: this.store,
        links: this.links(),
        timings,
        ...(log === undefined ? {} : { log }),
      });
      gateway.believesWatches = this.options.planted === 'watchBelieved';
      gateway.path.readsOld = this.options.planted === 'oldReads';
      this.gateways.push(gateway);
      this.byHost.set(host, gateway);
      const patience = FIRST_PATIENCE_MILLISECONDS * (1 + this.random.uniform());
      gateway.start(index < SEEDS ? 0 : patience);
      this.excuse(gateway, 2 * FIRST_PATIENCE_MILLISECONDS);
    }
  }

  private keepListsOld(): void {
    this.store.freezeOldLists();
    this.later(PAST_MILLISECONDS, () => this.keepListsOld());
  }

  private links(): HistoryLinks {
    const isCut = (from: string, to: string): boolean =>
      this.troubles.cutHosts.has(from) || this.troubles.cutHosts.has(to);
    return {
      sendDatagram: (bytes, from, to) => {
        if (!isCut(from, to) && this.random.uniform() >= this.troubles.loss) {
          this.clock.schedule(LINK_MILLISECONDS, () => this.byHost.get(to)?.receive(bytes, from));
        }
      },
      fetchChanges: (from, of, revision, done) => {
        this.clock.schedule(LINK_MILLISECONDS, () => {
          const gateway = this.byHost.get(of);
          const changes: KeySpaceChanges | undefined = isCut(from, of)
            ? undefined
            : gateway?.changesSince(revision);
          const pause = changes === undefined ? FETCH_LOST_MILLISECONDS : LINK_MILLISECONDS;
          this.clock.schedule(pause, () => done(changes));
        });
      },
    };
  }

  private change(change: PlannedChange): void {
    if (this.troubles.storeTakesWrites) {
      this.write(change);
    } else {
      this.waiting.push(change);
    }
  }

  private write({ what }: PlannedChange): void {
    const at = this.clock.now;
    if (what === 'configuration') {
      this.version += 1;
      this.store.put(CONFIGURATION_KEY, String(this.version));
      this.acknowledged.push({ at, version: this.version, runner: undefined, listed: true });
      this.goBackIfPlanted();
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

  private goBackIfPlanted(): void {
    if (this.options.planted === 'goesBack' && this.version % 5 === 0) {
      this.version -= 1;
      this.store.put(CONFIGURATION_KEY, String(this.version));
    }
  }

  /** Notes that a gateway owes nothing for some milliseconds and the time of contact after them. */
  private excuse({ host }: HistoryGateway, milliseconds: number): void {
    const until = this.clock.now + milliseconds + CONTACT_MILLISECONDS;
    this.outOfTouchUntil.set(host, Math.max(until, this.outOfTouchUntil.get(host) ?? 0));
  }

  private later(milliseconds: number, action: () => void): void {
    this.clock.schedule(milliseconds, action);
  }

  private lookUntil(end: number): void {
    this.later(LOOK_MILLISECONDS, () => {
      this.look();
      if (this.clock.now < end) {
        this.lookUntil(end);
      }
    });
  }

  private look(): void {
    const { now } = this.clock;
    const owed = this.acknowledged.filter(({ at }) => at <= now - APPLY_MILLISECONDS);
    const version = Math.max(0, ...owed.map((change) => change.version ?? 0));
    for (const gateway of this.gateways) {
      if (now < (this.outOfTouchUntil.get(gateway.host) ?? 0) || !gateway.process.isAlive) {
        continue;
      }
      this.looks += 1;
      if (gateway.version < version) {
        this.violate(`${gateway.host} holds ${gateway.version} at ${now} ms, ${version} is owed`);
      }
      this.lookAtRunners(gateway, owed);
    }
  }

  private lookAtRunners(gateway: HistoryGateway, owed: readonly Acknowledged[]): void {
    const { now } = this.clock;
    const { runners } = gateway;
    for (const { runner, listed } of owed) {
      if (runner === undefined) {
        continue;
      }
      if (!listed && runners.has(runner)) {
        this.violate(`${gateway.host} still lists ${runner} at ${now} ms`);
      }
      if (listed && !runners.has(runner) && this.store.items.has(runner)) {
        this.violate(`${gateway.host} does not list ${runner} at ${now} ms`);
      }
    }
  }

  private violate(detail: string): void {
    if (this.violations.length < MOST_VIOLATIONS) {
      this.violations.push(detail);
    }
  }
}

/** Plays one history. */
export function runConfigurationHistory(
  seed: number,
  options: ConfigurationHistoryOptions,
): ConfigurationHistoryResult {
  return new ConfigurationHistory(seed, options).run();
}
