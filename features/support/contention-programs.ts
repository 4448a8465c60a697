/** Programs of the laboratory of admission, drawn ahead: nobody but the laboratory knows them. */
import type { RandomSource } from '../../src/runtime/random.js';

/** One kind of programs. */
export interface ProgramKind {
  readonly name: string;
  readonly rank: number;
  readonly programsPerSecond: number;
  readonly turns: number;
  /** Share of turns after which sub-agents run. */
  readonly fanOutShare: number;
  /** A program's aim: its time on idle engines so many times, and some milliseconds. */
  readonly deadlineFactor: number;
  readonly deadlineExtraMilliseconds: number;
  readonly value: number;
  readonly lateValue: number;
}

/** One turn of a program, drawn ahead: nobody but the laboratory knows it. */
export interface PlannedTurn {
  readonly workMilliseconds: number;
  readonly thinkMilliseconds: number;
  /** Sub-agents that run before the next turn. */
  readonly agents: readonly PlannedSequence[];
}

/** Turns that come one after another. */
export type PlannedSequence = readonly PlannedTurn[];

/** The way to a gateway, one way, in milliseconds. */
export const ONE_WAY_MILLISECONDS = 12;
const THINK_MILLISECONDS = 60;
const STEP_MILLISECONDS = 3.15;
const STEPS_PER_EVENT = 15;
const EVENTS = 4.87;
/** What a turn takes on an idle engine, in milliseconds. */
export const TURN_MILLISECONDS = EVENTS * STEPS_PER_EVENT * STEP_MILLISECONDS + 4;
/** Spread of the work of turns, about the mean above. */
const WORK_SIGMA = 0.5;
const MEDIAN_TO_MEAN = 0.88;
const SUB_AGENTS = 5;
const SUB_AGENT_TURNS = 2;

/** Time of a line of turns on idle engines, in milliseconds. */
export function idleTimeOf(plan: PlannedSequence): number {
  return plan.reduce((sum, { workMilliseconds, thinkMilliseconds, agents }) => {
    const slowest = Math.max(0, ...agents.map(idleTimeOf));
    return sum + workMilliseconds + thinkMilliseconds + 2 * ONE_WAY_MILLISECONDS + slowest;
  }, 0);
}

/** Draws a line of turns; after a share of them sub-agents run. */
export function drawSequence(
  random: RandomSource,
  turns: number,
  fanOutShare: number,
): PlannedSequence {
  return Array.from({ length: turns }, (_, index) => {
    const fans = index + 1 < turns && random.uniform() < fanOutShare;
    const agents = fans ? SUB_AGENTS : 0;
    return {
      workMilliseconds: random.logNormal(1, WORK_SIGMA) * TURN_MILLISECONDS * MEDIAN_TO_MEAN,
      thinkMilliseconds: random.exponential(THINK_MILLISECONDS),
      agents: Array.from({ length: agents }, () => drawSequence(random, SUB_AGENT_TURNS, 0)),
    };
  });
}
