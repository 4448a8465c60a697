/** A day of the laboratory of admission, what a gateway sees in it, and what became of its programs. */
import type { LabKind } from './contention-programs.js';

/** A day in the laboratory. */
export interface LabDay {
  readonly kinds: readonly LabKind[];
  readonly seed: number;
  readonly ageMilliseconds: number;
  /** Requests of a kind at a time, against usual. */
  readonly factor: (kind: LabKind, second: number) => number;
  /** Whether gateways are cut in two halves, each of which hears its own alone. */
  readonly isCut?: boolean;
  /** Engines lost, from a second on. */
  readonly lost?: { readonly engines: number; readonly second: number };
}

/** A turn as a gateway sees it. */
export interface LabTurn {
  readonly program: string;
  readonly kind: LabKind;
  /** Time until the program should be over, in milliseconds. */
  readonly leftMilliseconds: number;
  /** Time that the client waits for this send, in milliseconds. */
  readonly requestMilliseconds: number;
  readonly isSubAgent: boolean;
}

/** What a gateway believes of the engines. */
export interface LabLoad {
  readonly inFlight: number;
  readonly slots: number;
  readonly runners: number;
  /** Requests that wait behind one of a rank. */
  readonly behind: (rank: number) => number;
}

/** Admission at one gateway: a pause in milliseconds, or undefined to let the turn in. */
export type LabAdmission = (turn: LabTurn, load: LabLoad) => number | undefined;

/** What became of the programs of a kind. */
export interface LabOutcome {
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
