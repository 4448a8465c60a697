/** A day of the laboratory of admission, what a gateway sees in it, and what became of its programs. */
import type { ProgramKind } from './contention-programs.js';

/** A day in the laboratory. */
export interface SimulationScenario {
  readonly kinds: readonly ProgramKind[];
  readonly seed: number;
  readonly loadAgeMilliseconds: number;
  /** Requests of a kind at a time, against usual. */
  readonly factor: (kind: ProgramKind, second: number) => number;
  /** Whether gateways are cut in two halves, each of which hears its own alone. */
  readonly isPartitioned?: boolean;
  /** Engines lost, from a second on. */
  readonly lostEngines?: { readonly engines: number; readonly second: number };
}

/** A turn as a gateway sees it. */
export interface SimulatedTurn {
  readonly program: string;
  readonly kind: ProgramKind;
  /** Time until the program should be over, in milliseconds. */
  readonly programRemainingMilliseconds: number;
  /** Time that the client waits for this send, in milliseconds. */
  readonly requestRemainingMilliseconds: number;
  readonly isSubAgent: boolean;
}

/** What a gateway believes of the engines. */
export interface SimulatedLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly runners: number;
  /** Requests that wait behind one of a rank. */
  readonly countLessUrgent: (rank: number) => number;
}

/** Admission at one gateway: a pause in milliseconds, or undefined to let the turn in. */
export type SimulatedAdmission = (turn: SimulatedTurn, load: SimulatedLoad) => number | undefined;

/** What became of the programs of a kind. */
export interface KindOutcome {
  programs: number;
  inTime: number;
  late: number;
  tooLate: number;
  refused: number;
  refusals: number;
  refusalsUnderWay: number;
  /** Share of what the programs were worth. */
  earned: number;
}
