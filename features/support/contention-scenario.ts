/** Types of the admission simulation: its scenario, what a gateway knows, and the outcomes. */
import type { ProgramKind } from './contention-programs.js';

/** Parameters of one simulation. */
export interface SimulationScenario {
  readonly kinds: readonly ProgramKind[];
  readonly seed: number;
  readonly loadAgeMilliseconds: number;
  /** Load of a kind at a time, relative to the usual load. */
  readonly factor: (kind: ProgramKind, second: number) => number;
  /** Second from which a network partition splits the gateways into two halves. @default none does */
  readonly partitionedFromSecond?: number;
  /** Factor by which one engine is slower than the others. @default 1 */
  readonly slowEngine?: number;
  /** Number of engines that fail, and the second at which they do. */
  readonly lostEngines?: { readonly engines: number; readonly second: number };
}

/** A turn as a gateway sees it. */
export interface SimulatedTurn {
  readonly program: string;
  readonly kind: ProgramKind;
  /** Time until the program's deadline, in milliseconds. */
  readonly programRemainingMilliseconds: number;
  /** Time until the timeout of this request, in milliseconds. */
  readonly requestRemainingMilliseconds: number;
  readonly isSubAgent: boolean;
}

/** Load of the engines as a gateway knows it. */
export interface SimulatedLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly runners: number;
  /** Returns the number of requests that are less urgent than a rank. */
  readonly countLessUrgent: (rank: number) => number;
}

/**
 * Admission policy of one gateway: returns a retry delay in milliseconds, or undefined to admit the
 * turn.
 */
export type DecideAdmission = (turn: SimulatedTurn, load: SimulatedLoad) => number | undefined;

/** Load of one engine as a gateway knows it. */
export interface SimulatedEngineLoad {
  readonly inFlight: number;
  readonly slots: number;
}

/**
 * Called when a turn is sent, with the load of all engines and that of the chosen one; the returned
 * function gets the turn's wait at the engine, in milliseconds.
 */
export type ExpectWait = (
  turn: SimulatedTurn,
  load: SimulatedLoad,
  engine: SimulatedEngineLoad,
) => (waitMilliseconds: number) => void;

/** Admission control of one gateway. */
export interface SimulatedAdmission {
  readonly decide: DecideAdmission;
  readonly expectWait?: ExpectWait;
}

/** Outcomes of the programs of one kind. */
export interface KindOutcome {
  programs: number;
  inTime: number;
  late: number;
  tooLate: number;
  refused: number;
  refusals: number;
  refusalsInProgress: number;
  /** Value earned by the programs, as a share of the possible value. */
  earned: number;
}
