/**
 * Simulation of placement in several regions: 67 gateways in 3 regions of 2 zones, 24 engines with 6 slots, and
 * conversations that read their prompts again unless they stay at their engine. The load of one region changes in steps
 * from 0.5 to 1.3 of its capacity.
 */
import { chooseRunner } from '../../src/relay/placement/choose-runner.js';
import { chargesWithout } from '../../src/relay/placement/placement-charges.js';
import type { PlacementNeed } from '../../src/relay/placement/placement-charges.js';
import { compareInRegions, sampleCandidates } from '../../src/relay/placement/sample-candidates.js';
import type { LoadView } from '../../src/relay/runners/runner-view.js';
import { createRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { ZoneDistances } from '../../src/topology/zone-distances.js';
import { linkMilliseconds, THREE_REGIONS } from './region-state.js';

/** How a gateway places requests. */
export type RegionPolicy = 'by region' | 'previous' | 'own region only' | 'region-blind';

const GATEWAYS = 67;
const ENGINES = 24;
const SLOTS = 6;
const ZONES = THREE_REGIONS.zones;
/** Time between two copies of the loads, and their age in the own region and from other regions, in milliseconds. */
const PUBLISH_MILLISECONDS = 100;
const AGE_MILLISECONDS = 300;
const FAR_AGE_MILLISECONDS = 800;
const MILLISECONDS_PER_TOKEN = 1 / 187;
const EVENTS = 8;
const EVENT_MILLISECONDS = 20;
const THINK_MILLISECONDS = 100;
const FIRST_TOKENS = 3_000;
const TURN_TOKENS = 800;
const BODY_BYTES = 3_000;
const TURNS = [7, 4];
const MEMORY_TOKENS = 77_282;
/** Load of the first region relative to its capacity, by steps, and of the others. */
const STEPS = [0.5, 0.9, 1.3, 1.1, 0.7];
const STEP_MILLISECONDS = 4_000;
const OTHER_LOADS = [0.6, 0.4];
/** Mean work of a turn, for which the arrival rates are set, in milliseconds. */
const MEAN_TURN_MILLISECONDS = 175;
const CHARGES = chargesWithout(new Set());
const BLIND_CHARGES = chargesWithout(new Set(['zone']));

interface Program {
  readonly region: string;
  readonly startedAt: number;
  turnsLeft: number;
  tokens: number;
  /** Engine that has the prompt in its cache, and how much of it. */
  engine: number | undefined;
  cachedTokens: number;
}

/** Engine with a queue and a cache of the prompts that it read last. */
class CachingEngine {
  running = 0;
  private readonly waiting: (() => void)[] = [];
  private readonly cache = new Map<Program, number>();

  constructor(private readonly clock: VirtualClock) {}

  run(program: Program, done: () => void): void {
    if (this.running >= SLOTS) {
      this.waiting.push(() => this.start(program, done));
    } else {
      this.start(program, done);
    }
  }

  cachedTokens(program: Program): number {
    return this.cache.get(program) ?? 0;
  }

  private start(program: Program, done: () => void): void {
    this.running += 1;
    const unread = program.tokens - this.cachedTokens(program);
    this.keep(program);
    const work = unread * MILLISECONDS_PER_TOKEN + EVENTS * EVENT_MILLISECONDS;
    this.clock.schedule(work, () => {
      this.running -= 1;
      this.waiting.shift()?.();
      done();
    });
  }

  private keep(program: Program): void {
    this.cache.delete(program);
    this.cache.set(program, program.tokens);
    let sum = [...this.cache.values()].reduce((all, tokens) => all + tokens, 0);
    for (const [oldest, tokens] of this.cache) {
      if (sum <= MEMORY_TOKENS) {
        return;
      }
      this.cache.delete(oldest);
      sum -= tokens;
    }
  }
}

/** Runs one seed under one policy. */
export class RegionPlacement {
  /** Sum and number of the times of programs. */
  milliseconds = 0;
  programs = 0;
  /** Requests sent to another region, by the regions. */
  readonly sentBetween = new Map<string, number>();
  /** Seconds in which two regions sent each other more than a few requests. */
  exchanges = 0;
  private readonly clock = new VirtualClock();
  private readonly random;
  private readonly demand;
  private readonly engines: CachingEngine[];
  /** Requests by engine and gateway: now, and as published, newest last. */
  private readonly loads: number[][];
  private published: number[][][] = [];
  private readonly distances: readonly ZoneDistances[];

  constructor(
    seed: number,
    private readonly policy: RegionPolicy,
  ) {
    this.random = createRandom(seed, 'policy');
    this.demand = createRandom(seed, 'demand');
    this.engines = Array.from({ length: ENGINES }, () => new CachingEngine(this.clock));
    this.loads = this.engines.map(() => new Array<number>(GATEWAYS).fill(0));
    const runtime = { now: () => this.clock.now };
    this.distances = ZONES.map(
      (zone) => new ZoneDistances({ runtime, topology: THREE_REGIONS, zone }),
    );
  }

  /** Runs the simulation until all programs have ended. */
  run(): this {
    this.publish();
    this.countExchanges();
    [...THREE_REGIONS.regions].forEach((region, index) => this.arrive(region, index));
    this.clock.runUntil(STEPS.length * STEP_MILLISECONDS + 60_000);
    return this;
  }

  get meanMilliseconds(): number {
    return this.milliseconds / this.programs;
  }

  private publish(): void {
    this.published.push(this.loads.map((byGateway) => [...byGateway]));
    this.published = this.published.slice(-1 - FAR_AGE_MILLISECONDS / PUBLISH_MILLISECONDS);
    this.clock.schedule(PUBLISH_MILLISECONDS, () => this.publish());
  }

  private countExchanges(): void {
    const few = 3;
    for (const [pair, count] of this.sentBetween) {
      const back = this.sentBetween.get([...pair].reverse().join('')) ?? 0;
      this.exchanges += pair[0]! < pair.at(-1)! && count > few && back > few ? 1 : 0;
    }
    this.sentBetween.clear();
    this.clock.schedule(1_000, () => this.countExchanges());
  }

  private arrive(region: string, index: number): void {
    const step = STEPS[Math.floor(this.clock.now / STEP_MILLISECONDS)];
    if (step === undefined) {
      return;
    }
    const load = index === 0 ? step : OTHER_LOADS[index - 1]!;
    const turns = TURNS.reduce((sum, each) => sum + each, 0) / TURNS.length;
    const slots = (ENGINES / THREE_REGIONS.regions.size) * SLOTS;
    this.clock.schedule(
      this.demand.exponential((MEAN_TURN_MILLISECONDS * turns) / (slots * load)),
      () => {
        const program: Program = {
          region,
          startedAt: this.clock.now,
          turnsLeft: this.demand.pick(TURNS),
          tokens: this.demand.logNormal(FIRST_TOKENS, 0.4),
          engine: undefined,
          cachedTokens: 0,
        };
        this.nextTurn(program);
        this.arrive(region, index);
      },
    );
  }

  private nextTurn(program: Program): void {
    const gateways = Array.from({ length: GATEWAYS }, (_, index) => index).filter(
      (index) => THREE_REGIONS.regionOf(zoneOfGateway(index)) === program.region,
    );
    const gateway = this.random.pick(gateways);
    const engine = this.place(program, gateway);
    const zone = zoneOfEngine(engine);
    const link = linkMilliseconds(zoneOfGateway(gateway), zone);
    const region = THREE_REGIONS.regionOf(zone);
    if (region !== program.region) {
      const pair = `${program.region} ${region}`;
      this.sentBetween.set(pair, (this.sentBetween.get(pair) ?? 0) + 1);
    }
    this.loads[engine]![gateway]! += 1;
    this.clock.schedule(link, () =>
      this.engines[engine]!.run(program, () =>
        this.clock.schedule(link, () => {
          this.loads[engine]![gateway]! -= 1;
          this.endTurn(program);
        }),
      ),
    );
  }

  private endTurn(program: Program): void {
    program.turnsLeft -= 1;
    program.tokens += TURN_TOKENS;
    if (program.turnsLeft > 0) {
      this.clock.schedule(this.random.exponential(THINK_MILLISECONDS), () =>
        this.nextTurn(program),
      );
    } else {
      this.milliseconds += this.clock.now - program.startedAt;
      this.programs += 1;
    }
  }

  private place(program: Program, gateway: number): number {
    const zone = zoneOfGateway(gateway);
    const views = this.engines.map((_, index) => this.viewOf(program, index, gateway));
    const need: PlacementNeed = {
      zone,
      promptTokens: program.tokens,
      bodyBytes: BODY_BYTES,
      affinityHash: program.startedAt,
      engine: {
        millisecondsPerToken: MILLISECONDS_PER_TOKEN,
        eventMillisecondsPerRequest: 0,
        meanEvents: EVENTS,
      },
    };
    if (this.policy === 'by region') {
      const distances = this.distances[ZONES.indexOf(zone)]!;
      const compared = compareInRegions(views, distances, AGE_MILLISECONDS, this.random);
      return Number(chooseRunner(compared, { ...need, distances }, CHARGES)!.id);
    }
    const region = THREE_REGIONS.regionOf(zone);
    const eligible =
      this.policy === 'own region only'
        ? views.filter((view) => THREE_REGIONS.regionOf(view.zone) === region)
        : views;
    const compared = sampleCandidates(eligible, AGE_MILLISECONDS, this.random);
    const charges = this.policy === 'region-blind' ? BLIND_CHARGES : CHARGES;
    return Number(chooseRunner(compared, need, charges)!.id);
  }

  private viewOf(program: Program, index: number, gateway: number): LoadView {
    const region = THREE_REGIONS.regionOf(zoneOfGateway(gateway));
    const near = this.published.at(-1 - AGE_MILLISECONDS / PUBLISH_MILLISECONDS) ?? this.loads;
    const far = this.policy === 'by region' ? this.published[0]! : near;
    let others = 0;
    for (let other = 0; other < GATEWAYS; other += 1) {
      const isNear = THREE_REGIONS.regionOf(zoneOfGateway(other)) === region;
      others += other === gateway ? 0 : (isNear ? near : far)[index]![other]!;
    }
    return {
      id: String(index),
      hash: index,
      zone: zoneOfEngine(index),
      slots: SLOTS,
      inFlight: this.loads[index]![gateway]! + others,
      inFlightOfOthers: others,
      meanMilliseconds: MEAN_TURN_MILLISECONDS,
      cachedTokens: this.engines[index]!.cachedTokens(program),
      hasIdleConnection: true,
    };
  }
}

function zoneOfGateway(gateway: number): string {
  return ZONES[gateway % ZONES.length]!;
}

function zoneOfEngine(engine: number): string {
  return ZONES[engine % ZONES.length]!;
}
