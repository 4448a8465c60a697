/** Random programs of the admission simulation, generated ahead and unknown to the gateways. */
import type { RandomSource } from '../../src/runtime/random.js';

/** A kind of program. */
export interface ProgramKind {
  readonly name: string;
  readonly rank: number;
  readonly programsPerSecond: number;
  readonly turns: number;
  /** Share of turns that are followed by sub-agents. */
  readonly fanOutShare: number;
  /**
   * Time to a program's deadline: this factor of its time on idle engines, plus some milliseconds.
   */
  readonly deadlineFactor: number;
  readonly deadlineExtraMilliseconds: number;
  readonly value: number;
  readonly lateValue: number;
}

/** A turn of a program. */
export interface PlannedTurn {
  readonly workMilliseconds: number;
  readonly thinkMilliseconds: number;
  /** Turns of the sub-agents that run before the next turn. */
  readonly agents: readonly PlannedSequence[];
}

/** Turns that run one after another. */
export type PlannedSequence = readonly PlannedTurn[];

/** One-way network delay to a gateway, in milliseconds. */
export const ONE_WAY_MILLISECONDS = 12;
const THINK_MILLISECONDS = 60;
const STEP_MILLISECONDS = 3.15;
const STEPS_PER_EVENT = 15;
const EVENTS = 4.87;
/** Mean duration of a turn on an idle engine, in milliseconds. */
export const TURN_MILLISECONDS = EVENTS * STEPS_PER_EVENT * STEP_MILLISECONDS + 4;
/** Standard deviation of the logarithm of a turn's work. */
const WORK_SIGMA = 0.5;
const MEDIAN_TO_MEAN = 0.88;
const SUB_AGENTS = 5;
const SUB_AGENT_TURNS = 2;

/** Returns the time that a sequence of turns takes on idle engines, in milliseconds. */
export function idleTimeOf(plan: PlannedSequence): number {
  return plan.reduce((sum, { workMilliseconds, thinkMilliseconds, agents }) => {
    const slowest = Math.max(0, ...agents.map(idleTimeOf));
    return sum + workMilliseconds + thinkMilliseconds + 2 * ONE_WAY_MILLISECONDS + slowest;
  }, 0);
}

/** Generates a sequence of turns, a share of which are followed by sub-agents. */
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
