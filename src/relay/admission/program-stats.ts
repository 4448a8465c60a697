/**
 * Learns of each kind of program how many turns it has, and tells from a request whether its program has run
 * before, for the gateway that didn't see that: a turn that goes on from another names it, and a sub-agent's
 * prompt has more parts than that of a program's first turn.
 */

/** Turns and programs that count before any was seen. */
const PRIOR_TURNS = 16;
const PRIOR_PROGRAMS = 4;
/** Programs after which older ones count half. */
const DECAY_AFTER_PROGRAMS = 200;
/** Kinds remembered; the longest unused go first. */
const MAXIMUM_KINDS = 2_000;
/** Most turns that a program is believed to have: more would leave it next to no wait, and no new one begins. */
const MAXIMUM_TURNS = 64;
/** Numbers of parts told apart; a longer prompt counts as one of the last. */
const MAXIMUM_PARTS = 32;
/** First turns after which older ones count half: kinds change with their clients. */
const DECAY_AFTER_FIRST_TURNS = 200;
/** Share of first turns with fewer parts that is passed over: clients that tell less than the others of their kind. */
const OUTLIER_SHARE = 0.1;
/** First turns below which nothing is told of parts: one alone may be of a client that tells less. */
const MINIMUM_FIRST_TURNS = 5;

interface KindStats {
  turns: number;
  programs: number;
  /** First turns by the number of parts of their prompts. */
  readonly firstTurnsByParts: number[];
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Parts that prompts of first turns have at least, but for a few of them; infinite while too few were seen. */
function minimumUsualParts(countsByParts: readonly number[]): number {
  const total = sumOf(countsByParts);
  if (total < MINIMUM_FIRST_TURNS) {
    return Infinity;
  }
  let countSoFar = 0;
  return countsByParts.findIndex((count) => (countSoFar += count) > total * OUTLIER_SHARE);
}

/** See the head of this file. */
export class ProgramStats {
  private readonly byKind = new Map<string, KindStats>();

  /** Kinds remembered. */
  get kindCount(): number {
    return this.byKind.size;
  }

  /** Notes a turn that is let in. */
  recordTurn(kind: string, isNewProgram: boolean): void {
    const stats = this.statsOf(kind);
    stats.turns += 1;
    stats.programs += isNewProgram ? 1 : 0;
    if (stats.programs > DECAY_AFTER_PROGRAMS) {
      stats.turns /= 2;
      stats.programs /= 2;
    }
  }

  /** Turns that a program of a kind usually has. */
  expectedTurns(kind: string): number {
    const { turns, programs } = this.statsOf(kind);
    return Math.min(MAXIMUM_TURNS, turns / programs);
  }

  /** Whether a prompt of so many parts is a sub-agent's. */
  isSubAgent(kind: string, parts: number): boolean {
    return parts > minimumUsualParts(this.statsOf(kind).firstTurnsByParts);
  }

  /** Notes the number of parts of the prompt of a program's first turn; 0 stands for not told. */
  recordFirstTurn(kind: string, parts: number): void {
    if (parts <= 0) {
      return;
    }
    const { firstTurnsByParts: firstTurns } = this.statsOf(kind);
    const bucket = Math.min(MAXIMUM_PARTS, parts);
    firstTurns[bucket] = (firstTurns[bucket] ?? 0) + 1;
    if (sumOf(firstTurns) > DECAY_AFTER_FIRST_TURNS) {
      firstTurns.forEach((count, at) => {
        firstTurns[at] = count / 2;
      });
    }
  }

  private statsOf(kind: string): KindStats {
    const known = this.byKind.get(kind);
    if (known !== undefined) {
      this.byKind.delete(kind);
      this.byKind.set(kind, known);
      return known;
    }
    const stats: KindStats = {
      turns: PRIOR_TURNS,
      programs: PRIOR_PROGRAMS,
      firstTurnsByParts: new Array<number>(MAXIMUM_PARTS + 1).fill(0),
    };
    this.byKind.set(kind, stats);
    if (this.byKind.size > MAXIMUM_KINDS) {
      this.byKind.delete(this.byKind.keys().next().value!);
    }
    return stats;
  }
}
