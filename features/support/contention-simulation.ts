/**
 * Simulation of admission control in virtual time: clients run programs through many gateways on
 * too few engines, and the gateways' load figures are delayed. Refused clients retry after the
 * delay they are given, limited to a third of the time they have left, and send each turn a few
 * times.
 */
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { SimulatedEngine } from './contention-engines.js';
import type { EngineRun } from './contention-engines.js';
import type {
  SimulatedAdmission,
  SimulationScenario,
  SimulatedLoad,
  KindOutcome,
  SimulatedTurn,
} from './contention-scenario.js';
import { drawSequence, idleTimeOf, ONE_WAY_MILLISECONDS } from './contention-programs.js';
import type { ProgramKind, PlannedSequence } from './contention-programs.js';

/** Number of ranks by which a late program is less urgent. */
export const LATE_RANKS_AT_RUNNERS = 3;
const ENGINES = 34;
const SLOTS_PER_ENGINE = 6;
const GATEWAYS = 52;
/** Relative speeds, assigned to the engines in turn. */
const SPEEDS = [1, 1, 1.3];
const RANKS = 10;
/** Time in which programs arrive. */
const SIMULATION_MILLISECONDS = 24_000;
/** Time after the last arrival in which programs can end. */
const SETTLE_MILLISECONDS = 16_000;
/** Time between two load reports of the gateways. */
const PUBLISH_INTERVAL_MILLISECONDS = 50;
/** Time that a client allows for one send of a turn, its attempts included. */
const REQUEST_MILLISECONDS = 3_000;
/** Number of times that a client sends a turn before its program fails. */
const SENDS = 3;
/** Maximum number of attempts within one send; a refused attempt is repeated at a random gateway. */
const ATTEMPTS = 2;
/** Share of turns for which a program switches to a random gateway. */
const OTHER_GATEWAY_SHARE = 0.2;

/** Requests in flight as all gateways published them at one time. */
interface LoadReport {
  /** Number by engine and gateway. */
  readonly loads: readonly (readonly number[])[];
  /** Number by gateway and rank. */
  readonly ranks: readonly (readonly number[])[];
}

interface Program {
  readonly id: string;
  readonly kind: ProgramKind;
  readonly deadlineAt: number;
  readonly clientWaitsUntil: number;
  began: boolean;
  failed: boolean;
}

interface TurnSequence {
  readonly program: Program;
  readonly isSubAgent: boolean;
  readonly plan: PlannedSequence;
  gateway: number;
  turnsDone: number;
  readonly onEnd: () => void;
}

/** Runs one scenario under an admission policy. */
export class ContentionSimulation {
  readonly outcomes = new Map<string, KindOutcome>();
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  /** Source of the arrivals and sizes of programs, which don't depend on the policy. */
  private readonly demand: RandomSource;
  private readonly engines: SimulatedEngine[];
  /** Current number of requests in flight, by engine and gateway. */
  private readonly loads: number[][];
  /** Current number of requests in flight, by gateway and rank. */
  private readonly ranks: number[][];
  /** Latest reports, the oldest first; the oldest is the one that gateways know. */
  private loadReports: LoadReport[] = [];
  private readonly admissions: SimulatedAdmission[];
  private programCount = 0;
  /** Callbacks of the runs in progress, called when their engine fails. */
  private readonly lossListeners = new Map<EngineRun, () => void>();

  constructor(
    private readonly scenario: SimulationScenario,
    admissionOf: (
      random: RandomSource,
      clock: VirtualClock,
      loadAgeMilliseconds: number,
    ) => SimulatedAdmission,
  ) {
    this.random = createRandom(scenario.seed);
    this.demand = createRandom(scenario.seed, 'demand');
    this.engines = Array.from(
      { length: ENGINES },
      (_, index) => new SimulatedEngine(this.clock, SLOTS_PER_ENGINE, this.slownessOf(index)),
    );
    this.loads = this.engines.map(() => new Array<number>(GATEWAYS).fill(0));
    this.ranks = Array.from({ length: GATEWAYS }, () => new Array<number>(RANKS).fill(0));
    this.admissions = this.ranks.map(() =>
      admissionOf(this.random, this.clock, scenario.loadAgeMilliseconds),
    );
  }

  /** Runs the simulation. */
  run(): this {
    this.publishLoads();
    this.scenario.kinds.forEach((kind) => {
      this.outcomes.set(kind.name, {
        programs: 0,
        inTime: 0,
        late: 0,
        tooLate: 0,
        refused: 0,
        refusals: 0,
        refusalsInProgress: 0,
        earned: 0,
      });
      this.scheduleNextArrival(kind);
    });
    const { lostEngines } = this.scenario;
    if (lostEngines !== undefined) {
      this.clock.schedule(lostEngines.second * 1_000, () => this.failEngines(lostEngines.engines));
    }
    this.clock.runUntil(SIMULATION_MILLISECONDS + SETTLE_MILLISECONDS);
    this.outcomes.forEach((outcome) => (outcome.earned /= outcome.programs));
    return this;
  }

  /** Share of the possible value of all programs that was earned. */
  get earnedShare(): number {
    let earned = 0;
    let possible = 0;
    for (const kind of this.scenario.kinds) {
      const outcome = this.outcomes.get(kind.name)!;
      earned += outcome.earned * outcome.programs * kind.value;
      possible += outcome.programs * kind.value;
    }
    return earned / possible;
  }

  private slownessOf(engine: number): number {
    const { slowEngine } = this.scenario;
    const factor = engine === 0 && slowEngine !== undefined ? slowEngine : 1;
    return SPEEDS[engine % SPEEDS.length]! * factor;
  }

  private failEngines(count: number): void {
    for (const engine of this.engines.slice(0, count)) {
      engine.fail().forEach((run) => this.lossListeners.get(run)?.());
    }
  }

  private publishLoads(): void {
    this.loadReports.push({
      loads: this.loads.map((byGateway) => [...byGateway]),
      ranks: this.ranks.map((byRank) => [...byRank]),
    });
    const kept = Math.max(
      1,
      Math.round(this.scenario.loadAgeMilliseconds / PUBLISH_INTERVAL_MILLISECONDS),
    );
    this.loadReports = this.loadReports.slice(-kept);
    this.clock.schedule(PUBLISH_INTERVAL_MILLISECONDS, () => this.publishLoads());
  }

  private scheduleNextArrival(kind: ProgramKind): void {
    const factor = this.scenario.factor(kind, this.clock.now / 1_000);
    const pause = this.demand.exponential(1_000 / (kind.programsPerSecond * factor));
    this.clock.schedule(pause, () => {
      if (this.clock.now < SIMULATION_MILLISECONDS) {
        this.startProgram(kind);
        this.scheduleNextArrival(kind);
      }
    });
  }

  private startProgram(kind: ProgramKind): void {
    const turns = Math.max(1, Math.round(this.demand.logNormal(kind.turns, 0.35)));
    const plan = drawSequence(this.demand, turns, kind.fanOutShare);
    const timeToDeadline = kind.deadlineFactor * idleTimeOf(plan) + kind.deadlineExtraMilliseconds;
    const now = this.clock.now;
    const outcome = this.outcomes.get(kind.name)!;
    outcome.programs += 1;
    this.programCount += 1;
    const program: Program = {
      id: `p${this.programCount}`,
      kind,
      deadlineAt: now + timeToDeadline,
      clientWaitsUntil: now + 2 * timeToDeadline,
      began: false,
      failed: false,
    };
    const onEnd = (): void => this.endProgram(program);
    this.nextTurn({
      program,
      isSubAgent: false,
      gateway: this.randomGateway(),
      plan,
      turnsDone: 0,
      onEnd,
    });
  }

  private endProgram(program: Program): void {
    const outcome = this.outcomes.get(program.kind.name)!;
    const { kind, deadlineAt, clientWaitsUntil } = program;
    if (program.failed) {
      outcome.refused += 1;
    } else if (this.clock.now <= deadlineAt) {
      outcome.inTime += 1;
      outcome.earned += 1;
    } else if (this.clock.now <= clientWaitsUntil) {
      outcome.late += 1;
      outcome.earned += kind.lateValue / kind.value;
    } else {
      outcome.tooLate += 1;
    }
  }

  private randomGateway(): number {
    return this.random.integer(0, GATEWAYS - 1);
  }

  private nextTurn(sequence: TurnSequence): void {
    if (sequence.turnsDone === sequence.plan.length || sequence.program.failed) {
      sequence.onEnd();
      return;
    }
    if (this.random.uniform() < OTHER_GATEWAY_SHARE) {
      sequence.gateway = this.randomGateway();
    }
    this.send(sequence, 1);
  }

  private send(sequence: TurnSequence, send: number): void {
    const deadlineAt = this.clock.now + REQUEST_MILLISECONDS;
    this.attempt(sequence, send, 1, deadlineAt);
  }

  private attempt(sequence: TurnSequence, send: number, attempt: number, deadlineAt: number): void {
    const gateway = attempt === 1 && send === 1 ? sequence.gateway : this.randomGateway();
    const pause = this.sendTo(sequence, gateway, deadlineAt, () => this.failSend(sequence, send));
    if (pause === undefined) {
      return;
    }
    if (attempt === ATTEMPTS) {
      this.failSend(sequence, send);
      return;
    }
    const waited = Math.min(pause, (deadlineAt - this.clock.now) / 3);
    this.clock.schedule(waited, () => this.attempt(sequence, send, attempt + 1, deadlineAt));
  }

  private failSend(sequence: TurnSequence, send: number): void {
    if (send === SENDS) {
      sequence.program.failed = true;
      sequence.onEnd();
      return;
    }
    this.clock.schedule(this.random.integer(100, 400), () => this.send(sequence, send + 1));
  }

  /** Sends a turn to a gateway; returns the retry delay in milliseconds if it is refused. */
  private sendTo(
    sequence: TurnSequence,
    gateway: number,
    deadlineAt: number,
    failed: () => void,
  ): number | undefined {
    const { program, isSubAgent } = sequence;
    const { kind } = program;
    const now = this.clock.now;
    const turn: SimulatedTurn = {
      program: program.id,
      kind,
      programRemainingMilliseconds: Math.max(0, program.deadlineAt - now),
      requestRemainingMilliseconds: deadlineAt - now,
      isSubAgent,
    };
    const refusal = this.admissions[gateway]!.decide(turn, this.loadAt(gateway));
    const outcome = this.outcomes.get(kind.name)!;
    if (refusal !== undefined) {
      outcome.refusals += 1;
      outcome.refusalsInProgress += program.began ? 1 : 0;
      return refusal;
    }
    program.began = true;
    return this.placeTurn(sequence, turn, gateway, deadlineAt, failed) ? undefined : 100;
  }

  private placeTurn(
    sequence: TurnSequence,
    turn: SimulatedTurn,
    gateway: number,
    deadlineAt: number,
    failed: () => void,
  ): boolean {
    const { kind, deadlineAt: programDeadlineAt } = sequence.program;
    const rank = Math.min(
      RANKS - 1,
      kind.rank + (programDeadlineAt <= this.clock.now ? LATE_RANKS_AT_RUNNERS : 0),
    );
    const { workMilliseconds } = sequence.plan[sequence.turnsDone]!;
    for (const index of this.drawEngines(gateway)) {
      const engine = this.engines[index]!;
      const finish = (): void => {
        cancel();
        this.lossListeners.delete(run);
        this.loads[index]![gateway]! -= 1;
        this.ranks[gateway]![rank]! -= 1;
      };
      const submittedAt = this.clock.now;
      const engineLoad = {
        inFlight: this.estimatedLoad(index, gateway),
        slots: SLOTS_PER_ENGINE,
      };
      let observeWait = this.admissions[gateway]!.expectWait?.(
        turn,
        this.loadAt(gateway),
        engineLoad,
      );
      const run: EngineRun = {
        rank,
        started: () => {
          observeWait?.(this.clock.now - submittedAt);
          observeWait = undefined;
        },
        workMilliseconds,
        done: () => {
          finish();
          this.handleAnswer(sequence);
        },
      };
      const cancel = this.clock.schedule(deadlineAt - this.clock.now, () => {
        engine.cancel(run);
        finish();
        failed();
      });
      if (engine.submit(run)) {
        this.loads[index]![gateway]! += 1;
        this.ranks[gateway]![rank]! += 1;
        this.lossListeners.set(run, () => {
          finish();
          this.clock.schedule(1, failed);
        });
        return true;
      }
      cancel();
    }
    return false;
  }

  private handleAnswer(sequence: TurnSequence): void {
    const { thinkMilliseconds, agents } = sequence.plan[sequence.turnsDone]!;
    sequence.turnsDone += 1;
    this.clock.schedule(2 * ONE_WAY_MILLISECONDS + thinkMilliseconds, () => {
      if (agents.length > 0) {
        this.fanOut(sequence, agents);
      } else {
        this.nextTurn(sequence);
      }
    });
  }

  private fanOut(sequence: TurnSequence, agents: readonly PlannedSequence[]): void {
    let open = agents.length;
    const onEnd = (): void => {
      open -= 1;
      if (open === 0) {
        this.nextTurn(sequence);
      }
    };
    const { program } = sequence;
    for (const plan of agents) {
      const gateway = this.randomGateway();
      this.nextTurn({ program, isSubAgent: true, plan, gateway, turnsDone: 0, onEnd });
    }
  }

  /**
   * Returns the engines in the order in which a gateway tries them: the less loaded of two random
   * ones, the other, and a third.
   */
  private drawEngines(gateway: number): number[] {
    const up = this.engines.flatMap((engine, index) => (engine.isUp ? [index] : []));
    const picked = Array.from({ length: 3 }, () => this.random.pick(up));
    const [first, second, third] = picked as [number, number, number];
    const isFirstLess = this.estimatedLoad(first, gateway) <= this.estimatedLoad(second, gateway);
    return isFirstLess ? [first, second, third] : [second, first, third];
  }

  private estimatedLoad(index: number, gateway: number): number {
    const reported = this.loadReports[0]!.loads[index]!;
    const own = this.loads[index]![gateway]!;
    return reported.reduce(
      (sum, count, other) => sum + (this.receivesFrom(gateway, other) ? count : 0),
      own - reported[gateway]!,
    );
  }

  private receivesFrom(gateway: number, other: number): boolean {
    const { partitionedFromSecond = Infinity } = this.scenario;
    const isPartitioned = this.clock.now >= partitionedFromSecond * 1_000;
    return !isPartitioned || gateway % 2 === other % 2;
  }

  private loadAt(gateway: number): SimulatedLoad {
    const up = this.engines.flatMap((engine, index) => (engine.isUp ? [index] : []));
    const inFlight = up.reduce((sum, index) => sum + this.estimatedLoad(index, gateway), 0);
    const { ranks } = this.loadReports[0]!;
    const countLessUrgent = (rank: number): number => {
      let sum = 0;
      ranks.forEach((reported, other) => {
        if (!this.receivesFrom(gateway, other)) {
          return;
        }
        const byRank = other === gateway ? this.ranks[gateway]! : reported;
        sum += byRank.slice(rank + 1).reduce((all, count) => all + count, 0);
      });
      return sum;
    };
    return {
      inFlight,
      slots: up.length * SLOTS_PER_ENGINE,
      runners: up.length,
      countLessUrgent,
    };
  }
}
