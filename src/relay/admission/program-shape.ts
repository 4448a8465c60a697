/**
 * Learns of each kind of program how many turns it has, and tells from a request whether its program has run
 * before, for the gateway that didn't see that: a turn that goes on from another names it, and a sub-agent's
 * prompt has more parts than that of a program's first turn.
 */

/** Turns and programs that count before any was seen. */
const PRIOR_TURNS = 16;
const PRIOR_PROGRAMS = 4;
/** Programs after which older ones count half. */
const REMEMBERED_PROGRAMS = 200;
/** Kinds remembered; the longest unused go first. */
const MAXIMUM_KINDS = 2_000;
/** Most turns that a program is believed to have: more would leave it next to no wait, and no new one begins. */
const MOST_TURNS = 64;
/** Numbers of parts told apart; a longer prompt counts as one of the last. */
const MOST_PARTS = 32;
/** First turns after which older ones count half: kinds change with their clients. */
const REMEMBERED_FIRST_TURNS = 200;
/** Share of first turns with fewer parts that is passed over: clients that tell less than the others of their kind. */
const PASSED_OVER_SHARE = 0.1;
/** First turns below which nothing is told of parts: one alone may be of a client that tells less. */
const LEAST_FIRST_TURNS = 5;

interface Shape {
  turns: number;
  programs: number;
  /** First turns by the number of parts of their prompts. */
  readonly firstTurns: number[];
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Parts that prompts of first turns have at least, but for a few of them; infinite while too few were seen. */
function usualParts(firstTurns: readonly number[]): number {
  const all = sumOf(firstTurns);
  if (all < LEAST_FIRST_TURNS) {
    return Infinity;
  }
  let seen = 0;
  return firstTurns.findIndex((count) => (seen += count) > all * PASSED_OVER_SHARE);
}

/** See the head of this file. */
export class ProgramShapes {
  private readonly byKind = new Map<string, Shape>();

  /** Kinds remembered. */
  get kindCount(): number {
    return this.byKind.size;
  }

  /** Notes a turn that is let in. */
  note(kind: string, isNewProgram: boolean): void {
    const shape = this.shapeOf(kind);
    shape.turns += 1;
    shape.programs += isNewProgram ? 1 : 0;
    if (shape.programs > REMEMBERED_PROGRAMS) {
      shape.turns /= 2;
      shape.programs /= 2;
    }
  }

  /** Turns that a program of a kind usually has. */
  turns(kind: string): number {
    const { turns, programs } = this.shapeOf(kind);
    return Math.min(MOST_TURNS, turns / programs);
  }

  /** Whether a prompt of so many parts is a sub-agent's. */
  isOfSubAgent(kind: string, parts: number): boolean {
    return parts > usualParts(this.shapeOf(kind).firstTurns);
  }

  /** Notes the number of parts of the prompt of a program's first turn; 0 stands for not told. */
  noteFirstTurn(kind: string, parts: number): void {
    if (parts <= 0) {
      return;
    }
    const { firstTurns } = this.shapeOf(kind);
    const place = Math.min(MOST_PARTS, parts);
    firstTurns[place] = (firstTurns[place] ?? 0) + 1;
    if (sumOf(firstTurns) > REMEMBERED_FIRST_TURNS) {
      firstTurns.forEach((count, at) => {
        firstTurns[at] = count / 2;
      });
    }
  }

  private shapeOf(kind: string): Shape {
    const known = this.byKind.get(kind);
    if (known !== undefined) {
      this.byKind.delete(kind);
      this.byKind.set(kind, known);
      return known;
    }
    const shape: Shape = {
      turns: PRIOR_TURNS,
      programs: PRIOR_PROGRAMS,
      firstTurns: new Array<number>(MOST_PARTS + 1).fill(0),
    };
    this.byKind.set(kind, shape);
    if (this.byKind.size > MAXIMUM_KINDS) {
      this.byKind.delete(this.byKind.keys().next().value!);
    }
    return shape;
  }
}
