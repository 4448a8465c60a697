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
/** Requests of a kind after which its least number of parts is learned anew. */
const PARTS_LEARNED_ANEW = 1_000;

interface Shape {
  turns: number;
  programs: number;
  leastParts: number;
  /** Least number of parts since it was last learned anew. */
  leastPartsAnew: number;
  requests: number;
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
    return turns / programs;
  }

  /** Whether a prompt of so many parts is a sub-agent's. */
  isOfSubAgent(kind: string, parts: number): boolean {
    return parts > this.shapeOf(kind).leastParts;
  }

  /** Notes the number of parts of a prompt. */
  noteParts(kind: string, parts: number): void {
    const shape = this.shapeOf(kind);
    shape.requests += 1;
    shape.leastParts = Math.min(shape.leastParts, parts);
    shape.leastPartsAnew = Math.min(shape.leastPartsAnew, parts);
    if (shape.requests >= PARTS_LEARNED_ANEW) {
      shape.leastParts = shape.leastPartsAnew;
      shape.leastPartsAnew = Infinity;
      shape.requests = 0;
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
      leastParts: Infinity,
      leastPartsAnew: Infinity,
      requests: 0,
    };
    this.byKind.set(kind, shape);
    if (this.byKind.size > MAXIMUM_KINDS) {
      this.byKind.delete(this.byKind.keys().next().value!);
    }
    return shape;
  }
}
