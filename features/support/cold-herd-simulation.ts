/**
 * Simulation of the end of a cold period in virtual time: a third of the runners become warm while they are idle and
 * the others are busy, and gateways place requests by loads that are reported late.
 */
import { chooseRunner } from '../../src/relay/placement/choose-runner.js';
import { chargesWithout } from '../../src/relay/placement/placement-charges.js';
import type {
  PlacementCharge,
  PlacementNeed,
} from '../../src/relay/placement/placement-charges.js';
import { sampleCandidates } from '../../src/relay/placement/sample-candidates.js';
import { ColdPeriods } from '../../src/relay/runners/cold-periods.js';
import type { Runner } from '../../src/relay/runners/runner.js';
import type { LoadView } from '../../src/relay/runners/runner-view.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const GATEWAYS = 72;
const RUNNERS = 12;
const COLD_RUNNERS = 4;
const SLOTS = 6;
const REQUESTS_PER_SECOND = 300;
const REQUEST_MILLISECONDS = 150;
const AGE_MILLISECONDS = 300;
const PERIOD_MILLISECONDS = 100;
/** End of the cold periods, and the time after it in which the herd would arrive. */
const WARM_AT = 2_000;
const HERD_MILLISECONDS = 1_000;
const NEED: PlacementNeed = {
  zone: 'z',
  promptTokens: 2_000,
  bodyBytes: 2_000,
  affinityHash: 1,
  engine: { millisecondsPerToken: 1 / 100, eventMillisecondsPerRequest: 0.5, meanEvents: 8 },
};

/** Runs the end of a cold period with some placement charges switched off. */
export class ColdHerdSimulation {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly charges: readonly PlacementCharge[];
  private readonly periods: ColdPeriods[];
  private readonly runners: Runner[];
  /** Requests at each runner, by the gateway that sent them. */
  private readonly loads = Array.from({ length: RUNNERS }, () =>
    new Array<number>(GATEWAYS).fill(0),
  );
  private published: number[][][] = [];
  /** Requests sent to the formerly cold runners within the first second after their cold periods. */
  herdRequests = 0;
  /** Of these, the sum of requests beyond the slots that each one found in front of it. */
  excess = 0;
  /** Requests sent to them in the last second. */
  lateRequests = 0;

  constructor(
    seed: number,
    off: readonly string[],
    private readonly endMilliseconds: number,
  ) {
    this.random = createRandom(seed, 'herd');
    this.charges = chargesWithout(new Set(off));
    this.runners = Array.from({ length: RUNNERS }, (_, index) => ({
      id: String(index),
      service: 's',
      host: '10.0.0.1',
      port: 80,
      zone: 'z',
      slots: SLOTS,
      ready: true,
    }));
    this.periods = Array.from({ length: GATEWAYS }, (_, index) => {
      const process = new SimulatedProcess(`g${index}`, this.clock, this.random);
      const periods = new ColdPeriods(process.start());
      this.runners
        .slice(0, COLD_RUNNERS)
        .forEach((runner) => periods.update({ ...runner, coldMilliseconds: WARM_AT }));
      return periods;
    });
  }

  run(): this {
    this.publish();
    this.sendNext();
    this.clock.runUntil(this.endMilliseconds);
    return this;
  }

  private publish(): void {
    this.published.push(this.loads.map((byGateway) => [...byGateway]));
    this.published = this.published.slice(-1 - AGE_MILLISECONDS / PERIOD_MILLISECONDS);
    this.clock.schedule(PERIOD_MILLISECONDS, () => this.publish());
  }

  private sendNext(): void {
    const { clock } = this;
    const gateway = this.random.integer(0, GATEWAYS - 1);
    // Before their end, the limits keep nearly all requests away from the cold runners.
    const first = clock.now < WARM_AT ? COLD_RUNNERS : 0;
    const views = this.runners.slice(first).map((runner) => this.viewOf(runner, gateway));
    const drawn = sampleCandidates(views, AGE_MILLISECONDS, this.random);
    const index = Number(chooseRunner(drawn, NEED, this.charges)!.id);
    const byGateway = this.loads[index]!;
    byGateway[gateway]! += 1;
    if (index < COLD_RUNNERS) {
      this.count(byGateway.reduce((sum, each) => sum + each, 0));
    }
    clock.schedule(this.random.exponential(REQUEST_MILLISECONDS), () => {
      byGateway[gateway]! -= 1;
    });
    clock.schedule(this.random.exponential(1_000 / REQUESTS_PER_SECOND), () => this.sendNext());
  }

  private count(load: number): void {
    const { now } = this.clock;
    if (now < WARM_AT + HERD_MILLISECONDS) {
      this.herdRequests += 1;
      this.excess += Math.max(0, load - SLOTS);
    }
    if (now >= this.endMilliseconds - HERD_MILLISECONDS) {
      this.lateRequests += 1;
    }
  }

  private viewOf(runner: Runner, gateway: number): LoadView {
    const index = Number(runner.id);
    const others = this.published[0]![index]!.reduce(
      (sum, count, from) => sum + (from === gateway ? 0 : count),
      0,
    );
    return {
      id: runner.id,
      hash: index,
      zone: runner.zone,
      slots: SLOTS,
      inFlight: this.loads[index]![gateway]! + others,
      inFlightOfOthers: others,
      meanMilliseconds: REQUEST_MILLISECONDS,
      cachedTokens: 0,
      coldness: this.periods[gateway]!.coldnessOf(runner),
      hasIdleConnection: true,
    };
  }
}
