/**
 * Simulation of cold runners in virtual time: gateways learn at different moments that some of the runners of a
 * service turned cold, and prefer cold runners to warm ones wherever their limits allow it. What gateways publish
 * reaches the others some hundred milliseconds later.
 */
import { AggregateRegistry } from '../../src/peers/aggregate-registry.js';
import { sumAggregates } from '../../src/peers/aggregates.js';
import type { Aggregate } from '../../src/peers/aggregates.js';
import { ColdQueue } from '../../src/relay/admission/cold-queue.js';
import { ColdLimits } from '../../src/relay/runners/cold-limits.js';
import type { ColdLimitsOptions } from '../../src/relay/runners/cold-limits.js';
import { ColdPeriods } from '../../src/relay/runners/cold-periods.js';
import { GatewayPositions } from '../../src/relay/runners/gateway-positions.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

/** Parameters of a simulation. */
export interface ColdScenario {
  readonly seed: number;
  readonly gateways: number;
  readonly runners: number;
  readonly coldRunners: number;
  readonly requestsPerSecond: number;
  /** Requests per second that one warm runner takes. */
  readonly warmPerSecond: number;
  /** Restarts of randomly chosen gateways per second. */
  readonly restartsPerSecond: number;
  /** Time from which a network partition splits the gateways into two halves; the runners turn cold at 3 s. */
  readonly partitionAtMilliseconds: number;
  /** Time for which the paths to the first cold runner are interrupted; requests sent meanwhile arrive later. */
  readonly stallMilliseconds: number;
  /** Whether gateways take requests for arrived once they are sent. */
  readonly assumesArrival?: boolean;
  /** Replaces options of the limiter, to show what the simulation detects. */
  readonly limiterOptions?: Partial<ColdLimitsOptions>;
}

interface SimulatedGateway {
  readonly process: SimulatedProcess;
  readonly half: number;
  periods: ColdPeriods;
  limits: ColdLimits;
  queue: ColdQueue;
  aggregates: AggregateRegistry;
  /** What the gateway published in the last rounds, newest last. */
  published: Aggregate[][];
}

const SERVICE = 'workers';
const RATE = 24;
const ALLOWANCE = { factor: 1.5, slack: 5 };
/** Requests that a cold runner may get in any second. */
export const COLD_LIMIT = 41;
/** Time at which the runners turn cold, and for how long. */
const COLD_AT = 3_000;
const COLD_MILLISECONDS = 5_000;
/** Longest time until a gateway knows that a runner turned cold, and until a restarted gateway knows it. */
const MAXIMUM_NOTICE_MILLISECONDS = 800;
const RESTART_MILLISECONDS = 400;
/** Interval and delay with which gateways learn what the others publish. */
const EXCHANGE_MILLISECONDS = 150;
const EXCHANGE_DELAY_ROUNDS = 2;
const EXCHANGE_LOSS = 0.02;
const PATIENCE_MILLISECONDS = 1_040;
const CONNECT_MILLISECONDS = 2;
const ONE_WAY_MILLISECONDS = 0.9;
const MEAN_DELAY_JITTER_MILLISECONDS = 4;
const MAXIMUM_DELAY_JITTER_MILLISECONDS = 35;
/** Shortest and longest time from the arrival of a request to the first byte of its answer. */
const ANSWER_MILLISECONDS: readonly [number, number] = [60, 120];
/** Time at which the paths to a runner are interrupted. */
const STALL_FROM = 4_500;
const WINDOW_MILLISECONDS = 1_000;
/** Time after the runners turned cold from which their use is measured. */
const RAMP_UP_MILLISECONDS = 1_000;

/** Runs one scenario. */
export class ColdSimulation {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly gateways: SimulatedGateway[];
  private readonly runners: Runner[];
  /** Arrival times at each cold runner. */
  private readonly arrivals = new Map<string, number[]>();
  /** Requests that the warm runners can take now. */
  private warmPermits = 0;
  /** Sums of the last rounds for each half, oldest first. */
  private rounds: (readonly Aggregate[][])[][] = [];
  refused = 0;

  constructor(private readonly scenario: ColdScenario) {
    this.random = createRandom(scenario.seed, 'cold');
    this.runners = Array.from({ length: scenario.runners }, (_, index) => ({
      id: `r${index}`,
      startedAt: 1,
      service: SERVICE,
      host: '10.0.0.1',
      port: 80,
      zone: 'z',
      slots: 6,
      ready: true,
    }));
    this.gateways = Array.from({ length: scenario.gateways }, (_, index) => {
      const name = `10.${scenario.seed}.${index >> 8}.${index & 255}`;
      const process = new SimulatedProcess(name, this.clock, this.random);
      return { process, half: index % 2, published: [], ...this.componentsOf(process) };
    });
  }

  /** Runs the simulation to the end of the cold periods. */
  run(): this {
    this.exchange();
    this.refillWarmRunners();
    this.clock.schedule(COLD_AT, () => {
      this.gateways.forEach((gateway) => this.noticeCold(gateway, MAXIMUM_NOTICE_MILLISECONDS));
      this.scheduleRequest();
      this.scheduleRestart();
    });
    this.clock.runUntil(COLD_AT + COLD_MILLISECONDS);
    return this;
  }

  /** Largest number of arrivals at one cold runner in any second. */
  get maximumArrivals(): number {
    let maximum = 0;
    for (const unsorted of this.arrivals.values()) {
      const times = [...unsorted].sort((left, right) => left - right);
      let first = 0;
      times.forEach((at, last) => {
        while (times[first]! <= at - WINDOW_MILLISECONDS) {
          first += 1;
        }
        maximum = Math.max(maximum, last - first + 1);
      });
    }
    return maximum;
  }

  /** Arrivals at the cold runners as a share of those that the limit allows. */
  get usedShare(): number {
    const from = COLD_AT + RAMP_UP_MILLISECONDS;
    const to = COLD_AT + COLD_MILLISECONDS;
    const used = [...this.arrivals.values()].flat().filter((at) => at >= from && at < to).length;
    const allowed = (COLD_LIMIT * (to - from)) / WINDOW_MILLISECONDS;
    return used / (allowed * this.scenario.coldRunners);
  }

  private componentsOf(
    process: SimulatedProcess,
  ): Pick<SimulatedGateway, 'periods' | 'limits' | 'queue' | 'aggregates'> {
    const runtime = process.start();
    const periods = new ColdPeriods(runtime);
    const aggregates = new AggregateRegistry();
    const positions = new GatewayPositions({
      runtime,
      name: process.name,
      aggregates,
      isEnabled: () => true,
      isNeeded: () => periods.coldCount > 0,
      knownGateways: () => 1,
      expectsPeers: () => true,
    });
    const limits = new ColdLimits({
      runtime,
      allowance: ALLOWANCE,
      requestsPerSecond: () => RATE,
      isCold: (runner) => periods.isCold(runner),
      rankFor: (hash) => positions.rankFor(hash),
      isSettled: () => positions.isSettled,
      onWithheld: () => undefined,
      ...this.scenario.limiterOptions,
    });
    return {
      periods,
      limits,
      queue: new ColdQueue(runtime, (service) => limits.coldSendCount(service)),
      aggregates,
    };
  }

  /** Collects what all gateways publish and delivers earlier rounds. */
  private exchange(): void {
    const isSplit = this.clock.now >= this.scenario.partitionAtMilliseconds;
    const halves: Aggregate[][][] = [[], []];
    for (const gateway of this.gateways) {
      const own = gateway.process.isAlive ? gateway.aggregates.collectOwn() : [];
      gateway.published = [...gateway.published, own].slice(-1 - EXCHANGE_DELAY_ROUNDS);
      if (this.random.uniform() >= EXCHANGE_LOSS) {
        halves[isSplit ? gateway.half : 0]!.push(own);
      }
    }
    this.rounds = [...this.rounds, halves].slice(-1 - EXCHANGE_DELAY_ROUNDS);
    const sums = this.rounds[0]!.map((messages) =>
      sumAggregates(messages.flat().map((each) => [each])),
    );
    for (const gateway of this.gateways) {
      const sum = sums[isSplit ? gateway.half : 0]!;
      const own = sumAggregates([gateway.published[0]!]);
      gateway.aggregates.ofOthers = (topic) => {
        const others = new Map(sum.get(topic));
        for (const [key, amounts] of own.get(topic) ?? []) {
          const row = [...(others.get(key) ?? [])];
          amounts.forEach((amount, index) => (row[index] = (row[index] ?? 0) - amount));
          others.set(key, row);
        }
        return others;
      };
    }
    this.clock.schedule(EXCHANGE_MILLISECONDS, () => this.exchange());
  }

  private noticeCold(gateway: SimulatedGateway, maximumDelay: number): void {
    const { periods, process } = gateway;
    for (const runner of this.coldRunners) {
      this.clock.schedule(this.random.uniform() * maximumDelay, () => {
        if (process.isAlive && gateway.periods === periods) {
          periods.update({ ...runner, coldMilliseconds: COLD_MILLISECONDS }, 1);
        }
      });
    }
  }

  private get coldRunners(): readonly Runner[] {
    return this.runners.slice(0, this.scenario.coldRunners);
  }

  private refillWarmRunners(): void {
    const { runners, coldRunners, warmPerSecond } = this.scenario;
    const perRound = ((runners - coldRunners) * warmPerSecond * EXCHANGE_MILLISECONDS) / 1_000;
    this.warmPermits = Math.min(2 * perRound, this.warmPermits + perRound);
    this.clock.schedule(EXCHANGE_MILLISECONDS, () => this.refillWarmRunners());
  }

  private scheduleRestart(): void {
    const { restartsPerSecond } = this.scenario;
    if (restartsPerSecond === 0) {
      return;
    }
    this.clock.schedule(this.random.exponential(1_000 / restartsPerSecond), () => {
      const gateway = this.random.pick(this.gateways);
      gateway.process.kill();
      this.clock.schedule(RESTART_MILLISECONDS, () => {
        if (!gateway.process.isAlive) {
          Object.assign(gateway, this.componentsOf(gateway.process));
          this.noticeCold(gateway, RESTART_MILLISECONDS);
        }
      });
      this.scheduleRestart();
    });
  }

  private scheduleRequest(): void {
    this.clock.schedule(this.random.exponential(1_000 / this.scenario.requestsPerSecond), () => {
      const gateway = this.random.pick(this.gateways);
      if (gateway.process.isAlive) {
        this.startRequest(gateway);
      }
      this.scheduleRequest();
    });
  }

  /** Sends a request to a cold runner if possible, else to a warm one, else queues it. */
  private startRequest(gateway: SimulatedGateway): void {
    const known = this.coldRunners.filter((runner) => gateway.periods.isCold(runner));
    const { queue, limits } = gateway;
    let isOver = false;
    queue.enter({
      service: SERVICE,
      patienceMilliseconds: PATIENCE_MILLISECONDS,
      isCancelled: () => isOver || !gateway.process.isAlive || gateway.queue !== queue,
      outlook: () => ({
        hasOtherRunner: this.warmPermits >= 1 && !known.some((runner) => !limits.excludes(runner)),
        permitDelays: limits.permitDelays(known),
      }),
      done: ({ tag }) => {
        if (tag === 'GoOn') {
          this.place(gateway, known, () => (isOver = true));
        } else {
          this.refused += 1;
        }
      },
    });
  }

  /** Time before which no request arrives at a runner that is sent now. */
  private stallEnd({ id }: Runner): number {
    const { now } = this.clock;
    const endsAt = STALL_FROM + this.scenario.stallMilliseconds;
    const isStalled = now >= STALL_FROM && now < endsAt && id === this.coldRunners[0]!.id;
    return isStalled ? endsAt : -Infinity;
  }

  private place(gateway: SimulatedGateway, known: readonly Runner[], onDropped: () => void): void {
    const { limits, process } = gateway;
    const permitted = known.filter((runner) => !limits.excludes(runner));
    if (permitted.length === 0) {
      this.warmPermits = Math.max(0, this.warmPermits - 1);
      onDropped();
      return;
    }
    const runner = this.random.pick(permitted);
    this.clock.schedule(CONNECT_MILLISECONDS, () => {
      if (!process.isAlive || gateway.limits !== limits || limits.excludes(runner)) {
        this.refused += 1;
        onDropped();
        return;
      }
      limits.recordSend(runner);
      const jitter = this.random.exponential(MEAN_DELAY_JITTER_MILLISECONDS);
      const delay = ONE_WAY_MILLISECONDS + Math.min(MAXIMUM_DELAY_JITTER_MILLISECONDS, jitter);
      const times = this.arrivals.get(runner.id) ?? [];
      this.arrivals.set(runner.id, times);
      const arrivesAt = Math.max(this.clock.now + delay, this.stallEnd(runner));
      times.push(arrivesAt);
      const answersIn = this.random.integer(...ANSWER_MILLISECONDS);
      const isAssumed = this.scenario.assumesArrival === true;
      this.clock.schedule(isAssumed ? 0 : arrivesAt - this.clock.now + answersIn, () =>
        limits.noteActivity(runner),
      );
    });
  }
}
