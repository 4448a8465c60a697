/**
 * Learns how many turns a program of each kind has, and how many parts the prompt of its first turn
 * has. A gateway that did not see the start of a program can thus tell from a request that the
 * program has run before: a turn that continues another one names it, and the prompt of a sub-agent
 * has more parts than that of a program's first turn.
 */

/** Turns and programs assumed before any was seen. */
const PRIOR_TURNS = 16;
const PRIOR_PROGRAMS = 4;
/** Number of programs after which the counts are halved, so that older programs weigh less. */
const DECAY_AFTER_PROGRAMS = 200;
/** Maximum number of kinds to remember; the least recently used are evicted. */
const MAXIMUM_KINDS = 2_000;
/**
 * Maximum of the expected turns: a larger value would leave each turn next to no acceptable wait,
 * and no new program would be admitted.
 */
const MAXIMUM_TURNS = 64;
/** Maximum of the counted prompt parts; a longer prompt counts as one of this length. */
const MAXIMUM_PARTS = 32;
/**
 * Number of first turns after which the counts are halved, so that the statistics follow changes of
 * the clients.
 */
const DECAY_AFTER_FIRST_TURNS = 200;
/**
 * Share of first turns, those with the fewest parts, that is ignored: some clients report fewer
 * parts than others of their kind.
 */
const OUTLIER_SHARE = 0.1;
/**
 * Minimum number of first turns for telling sub-agents apart: a single one may be of a client that
 * reports fewer parts.
 */
const MINIMUM_FIRST_TURNS = 5;

interface KindStats {
  turns: number;
  programs: number;
  /** Number of first turns by the number of parts of their prompts. */
  readonly firstTurnsByParts: number[];
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

/**
 * Returns the minimum number of prompt parts of first turns, with outliers ignored; infinite while
 * too few first turns were seen.
 */
function minimumUsualParts(countsByParts: readonly number[]): number {
  const total = sumOf(countsByParts);
  if (total < MINIMUM_FIRST_TURNS) {
    return Infinity;
  }
  let countSoFar = 0;
  return countsByParts.findIndex((count) => (countSoFar += count) > total * OUTLIER_SHARE);
}

/** Statistics of turns and prompt parts by kind of program. */
export class ProgramStats {
  private readonly byKind = new Map<string, KindStats>();

  /** Number of kinds remembered. */
  get kindCount(): number {
    return this.byKind.size;
  }

  /** Records an admitted turn. */
  recordTurn(kind: string, isNewProgram: boolean): void {
    const stats = this.statsOf(kind);
    stats.turns += 1;
    stats.programs += isNewProgram ? 1 : 0;
    if (stats.programs > DECAY_AFTER_PROGRAMS) {
      stats.turns /= 2;
      stats.programs /= 2;
    }
  }

  /** Returns the expected number of turns of a program of a kind. */
  expectedTurns(kind: string): number {
    const { turns, programs } = this.statsOf(kind);
    return Math.min(MAXIMUM_TURNS, turns / programs);
  }

  /** Whether a prompt with this number of parts is that of a sub-agent. */
  isSubAgent(kind: string, parts: number): boolean {
    return parts > minimumUsualParts(this.statsOf(kind).firstTurnsByParts);
  }

  /**
   * Records the number of prompt parts of a program's first turn; 0 means not reported and is
   * ignored.
   */
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
