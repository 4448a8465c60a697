/**
 * A laboratory of admission: clients run programs through many gateways at engines that are too few, in virtual
 * time, with loads that are told late. Clients do what they are told: they come back after the pause, for a third of
 * the time they have left at most, and try each turn a few times.
 */
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { LabEngine } from './contention-engines.js';
import type { EngineRun } from './contention-engines.js';
import type { LabAdmission, LabDay, LabLoad, LabOutcome, LabTurn } from './contention-day.js';
import { drawLine, idleTimeOf, WAY_MILLISECONDS } from './contention-programs.js';
import type { LabKind, PlannedLine } from './contention-programs.js';

/** Ranks that a late program falls behind. */
export const LATE_RANKS_AT_RUNNERS = 3;
const ENGINES = 34;
const PLACES = 6;
const GATEWAYS = 52;
const SPEEDS = [1, 1, 1.3];
const RANKS = 10;
const DAY_MILLISECONDS = 24_000;
const SETTLE_MILLISECONDS = 16_000;
const TELL_MILLISECONDS = 50;
const REQUEST_MILLISECONDS = 3_000;
const SENDS = 3;
const ATTEMPTS = 2;
const OTHER_GATEWAY_SHARE = 0.2;

interface Told {
  readonly loads: readonly (readonly number[])[];
  readonly ranks: readonly (readonly number[])[];
}

interface Program {
  readonly id: string;
  readonly kind: LabKind;
  readonly aimAt: number;
  readonly endsAt: number;
  began: boolean;
  failed: boolean;
}

interface Line {
  readonly program: Program;
  readonly isSubAgent: boolean;
  readonly plan: PlannedLine;
  gateway: number;
  turnsDone: number;
  readonly over: () => void;
}

/** See the head of this file. */
export class ContentionLab {
  readonly outcomes = new Map<string, LabOutcome>();
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  /** Programs and their sizes: the same whatever is decided. */
  private readonly demand: RandomSource;
  private readonly engines: LabEngine[];
  private readonly loads: number[][];
  private readonly ranks: number[][];
  private told: Told[] = [];
  private readonly admissions: LabAdmission[];
  private made = 0;
  private readonly lostRuns = new Map<EngineRun, () => void>();

  constructor(
    private readonly day: LabDay,
    admissionOf: (random: RandomSource) => LabAdmission,
  ) {
    this.random = createRandom(day.seed);
    this.demand = createRandom(day.seed, 'demand');
    this.engines = Array.from(
      { length: ENGINES },
      (_, index) => new LabEngine(this.clock, PLACES, SPEEDS[index % SPEEDS.length]!),
    );
    this.loads = this.engines.map(() => new Array<number>(GATEWAYS).fill(0));
    this.ranks = Array.from({ length: GATEWAYS }, () => new Array<number>(RANKS).fill(0));
    this.admissions = this.ranks.map(() => admissionOf(this.random));
  }

  /** Plays the day. */
  run(): this {
    this.tell();
    this.day.kinds.forEach((kind) => {
      this.outcomes.set(kind.name, {
        programs: 0,
        inTime: 0,
        late: 0,
        tooLate: 0,
        refused: 0,
        refusals: 0,
        refusalsUnderWay: 0,
        earned: 0,
      });
      this.comeNext(kind);
    });
    const { lost } = this.day;
    if (lost !== undefined) {
      this.clock.schedule(lost.second * 1_000, () => this.lose(lost.engines));
    }
    this.clock.runUntil(DAY_MILLISECONDS + SETTLE_MILLISECONDS);
    this.outcomes.forEach((outcome) => (outcome.earned /= outcome.programs));
    return this;
  }

  /** Share of the worth of all kinds that was earned. */
  get worth(): number {
    let earned = 0;
    let owed = 0;
    for (const kind of this.day.kinds) {
      const outcome = this.outcomes.get(kind.name)!;
      earned += outcome.earned * outcome.programs * kind.worth;
      owed += outcome.programs * kind.worth;
    }
    return earned / owed;
  }

  private lose(count: number): void {
    for (const engine of this.engines.slice(0, count)) {
      engine.lose().forEach((run) => this.lostRuns.get(run)?.());
    }
  }

  private tell(): void {
    this.told.push({
      loads: this.loads.map((byGateway) => [...byGateway]),
      ranks: this.ranks.map((byRank) => [...byRank]),
    });
    const kept = Math.max(1, Math.round(this.day.ageMilliseconds / TELL_MILLISECONDS));
    this.told = this.told.slice(-kept);
    this.clock.schedule(TELL_MILLISECONDS, () => this.tell());
  }

  private comeNext(kind: LabKind): void {
    const factor = this.day.factor(kind, this.clock.now / 1_000);
    const pause = this.demand.exponential(1_000 / (kind.programsPerSecond * factor));
    this.clock.schedule(pause, () => {
      if (this.clock.now < DAY_MILLISECONDS) {
        this.begin(kind);
        this.comeNext(kind);
      }
    });
  }

  private begin(kind: LabKind): void {
    const turns = Math.max(1, Math.round(this.demand.logNormal(kind.turns, 0.35)));
    const plan = drawLine(this.demand, turns, kind.fan);
    const aim = kind.aimFactor * idleTimeOf(plan) + kind.aimMilliseconds;
    const now = this.clock.now;
    const outcome = this.outcomes.get(kind.name)!;
    outcome.programs += 1;
    this.made += 1;
    const program: Program = {
      id: `p${this.made}`,
      kind,
      aimAt: now + aim,
      endsAt: now + 2 * aim,
      began: false,
      failed: false,
    };
    const over = (): void => this.end(program);
    this.nextTurn({
      program,
      isSubAgent: false,
      gateway: this.anyGateway(),
      plan,
      turnsDone: 0,
      over,
    });
  }

  private end(program: Program): void {
    const outcome = this.outcomes.get(program.kind.name)!;
    const { kind, aimAt, endsAt } = program;
    if (program.failed) {
      outcome.refused += 1;
    } else if (this.clock.now <= aimAt) {
      outcome.inTime += 1;
      outcome.earned += 1;
    } else if (this.clock.now <= endsAt) {
      outcome.late += 1;
      outcome.earned += kind.lateWorth / kind.worth;
    } else {
      outcome.tooLate += 1;
    }
  }

  private anyGateway(): number {
    return this.random.integer(0, GATEWAYS - 1);
  }

  private nextTurn(line: Line): void {
    if (line.turnsDone === line.plan.length || line.program.failed) {
      line.over();
      return;
    }
    if (this.random.uniform() < OTHER_GATEWAY_SHARE) {
      line.gateway = this.anyGateway();
    }
    this.send(line, 1);
  }

  private send(line: Line, send: number): void {
    const deadlineAt = this.clock.now + REQUEST_MILLISECONDS;
    this.attempt(line, send, 1, deadlineAt);
  }

  private attempt(line: Line, send: number, attempt: number, deadlineAt: number): void {
    const gateway = attempt === 1 && send === 1 ? line.gateway : this.anyGateway();
    const pause = this.tryAt(line, gateway, deadlineAt, () => this.failSend(line, send));
    if (pause === undefined) {
      return;
    }
    if (attempt === ATTEMPTS) {
      this.failSend(line, send);
      return;
    }
    const waited = Math.min(pause, (deadlineAt - this.clock.now) / 3);
    this.clock.schedule(waited, () => this.attempt(line, send, attempt + 1, deadlineAt));
  }

  private failSend(line: Line, send: number): void {
    if (send === SENDS) {
      line.program.failed = true;
      line.over();
      return;
    }
    this.clock.schedule(this.random.integer(100, 400), () => this.send(line, send + 1));
  }

  /** Sends a turn; the pause where it is refused. */
  private tryAt(
    line: Line,
    gateway: number,
    deadlineAt: number,
    failed: () => void,
  ): number | undefined {
    const { program, isSubAgent } = line;
    const { kind } = program;
    const now = this.clock.now;
    const turn: LabTurn = {
      program: program.id,
      kind,
      leftMilliseconds: Math.max(0, program.aimAt - now),
      requestMilliseconds: deadlineAt - now,
      isSubAgent,
    };
    const refusal = this.admissions[gateway]!(turn, this.loadSeenBy(gateway));
    const outcome = this.outcomes.get(kind.name)!;
    if (refusal !== undefined) {
      outcome.refusals += 1;
      outcome.refusalsUnderWay += program.began ? 1 : 0;
      return refusal;
    }
    program.began = true;
    return this.place(line, gateway, deadlineAt, failed) ? undefined : 100;
  }

  private place(line: Line, gateway: number, deadlineAt: number, failed: () => void): boolean {
    const { kind, aimAt } = line.program;
    const rank = Math.min(
      RANKS - 1,
      kind.rank + (aimAt <= this.clock.now ? LATE_RANKS_AT_RUNNERS : 0),
    );
    const { workMilliseconds } = line.plan[line.turnsDone]!;
    for (const index of this.drawn(gateway)) {
      const engine = this.engines[index]!;
      const finish = (): void => {
        cancel();
        this.lostRuns.delete(run);
        this.loads[index]![gateway]! -= 1;
        this.ranks[gateway]![rank]! -= 1;
      };
      const run: EngineRun = {
        rank,
        workMilliseconds,
        done: () => {
          finish();
          this.takeAnswer(line);
        },
      };
      const cancel = this.clock.schedule(deadlineAt - this.clock.now, () => {
        engine.drop(run);
        finish();
        failed();
      });
      if (engine.take(run)) {
        this.loads[index]![gateway]! += 1;
        this.ranks[gateway]![rank]! += 1;
        this.lostRuns.set(run, () => {
          finish();
          this.clock.schedule(1, failed);
        });
        return true;
      }
      cancel();
    }
    return false;
  }

  private takeAnswer(line: Line): void {
    const { thinkMilliseconds, agents } = line.plan[line.turnsDone]!;
    line.turnsDone += 1;
    this.clock.schedule(2 * WAY_MILLISECONDS + thinkMilliseconds, () => {
      if (agents.length > 0) {
        this.fanOut(line, agents);
      } else {
        this.nextTurn(line);
      }
    });
  }

  private fanOut(line: Line, agents: readonly PlannedLine[]): void {
    let open = agents.length;
    const over = (): void => {
      open -= 1;
      if (open === 0) {
        this.nextTurn(line);
      }
    };
    const { program } = line;
    for (const plan of agents) {
      const gateway = this.anyGateway();
      this.nextTurn({ program, isSubAgent: true, plan, gateway, turnsDone: 0, over });
    }
  }

  /** Engines in the order in which a gateway asks them: of two that are drawn the less busy, then others. */
  private drawn(gateway: number): number[] {
    const up = this.engines.flatMap((engine, index) => (engine.isUp ? [index] : []));
    const picked = Array.from({ length: 3 }, () => this.random.pick(up));
    const [first, second, third] = picked as [number, number, number];
    const isFirstLess = this.believed(first, gateway) <= this.believed(second, gateway);
    return isFirstLess ? [first, second, third] : [second, first, third];
  }

  private believed(index: number, gateway: number): number {
    const told = this.told[0]!.loads[index]!;
    const own = this.loads[index]![gateway]!;
    return told.reduce(
      (sum, count, other) => sum + (this.hears(gateway, other) ? count : 0),
      own - told[gateway]!,
    );
  }

  private hears(gateway: number, other: number): boolean {
    return this.day.isCut !== true || gateway % 2 === other % 2;
  }

  private loadSeenBy(gateway: number): LabLoad {
    const up = this.engines.flatMap((engine, index) => (engine.isUp ? [index] : []));
    const inFlight = up.reduce((sum, index) => sum + this.believed(index, gateway), 0);
    const { ranks } = this.told[0]!;
    const behind = (rank: number): number => {
      let sum = 0;
      ranks.forEach((told, other) => {
        if (!this.hears(gateway, other)) {
          return;
        }
        const byRank = other === gateway ? this.ranks[gateway]! : told;
        sum += byRank.slice(rank + 1).reduce((all, count) => all + count, 0);
      });
      return sum;
    };
    return { inFlight, slots: up.length * PLACES, runners: up.length, behind };
  }
}
