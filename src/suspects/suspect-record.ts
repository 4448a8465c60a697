/**
 * What became of the runners that met one request, as far as is known over all gateways. Records of two gateways merge
 * without counting a runner twice: for each runner the later state holds.
 */

/**
 * States of an encounter, in order: the request was sent and its outcome is unknown; the runner lives; it ended; it was
 * presumed to have ended, and answered. The index is the wire format, so the list is append-only.
 */
export const ENCOUNTER_STATES = ['open', 'over', 'lost', 'withdrawn'] as const;

export type EncounterState = (typeof ENCOUNTER_STATES)[number];

/** One runner that met the request. */
export interface Encounter {
  /** Hash of the runner's incarnation, 32 bits. */
  readonly runnerHash: number;
  readonly state: EncounterState;
  /** Local time at which it came into the state, in milliseconds. */
  readonly at: number;
  /** Number of ends that counted when the request was sent, as its sender knew. */
  readonly round: number;
  /** Whether the same request had been answered in full shortly before. */
  readonly isCommon: boolean;
  /** Whether the request had been given up before, so that the runner may not have worked on it any more. */
  readonly isGivenUp: boolean;
  /** Whether another runner had ended under an earlier send of the same call. */
  readonly isRepeated: boolean;
}

/** Time after which an open encounter no longer counts, in milliseconds. */
const OPEN_TIMEOUT_MILLISECONDS = 30_000;
/** Largest number of encounters of one request. */
const MAXIMUM_ENCOUNTERS = 16;
/** Time after which a runner that outlived a request can be reported as having got it again, in milliseconds. */
const REOPEN_MILLISECONDS = 200;
/** Difference of the reported times of one send, in milliseconds. */
const SAME_SEND_MILLISECONDS = 30;
/** Difference of two reported times up to which they may be the same, in milliseconds. */
const CLOCK_TOLERANCE_MILLISECONDS = 100;

function isPopular(encounters: readonly Encounter[]): boolean {
  return encounters.some(({ isCommon }) => isCommon);
}

/**
 * Rank of a state among those of a runner. An end under a request that was still waited for tells more than one after it was
 * given up, and a runner that outlived a given-up request tells more than one that may never have got it.
 */
function rankOf({ state, isGivenUp }: Encounter): number {
  const tellsMore = state === 'over' ? isGivenUp : !isGivenUp;
  return 2 * ENCOUNTER_STATES.indexOf(state) + (tellsMore ? 1 : 0);
}

/** Whether an encounter takes the place of the known one of its runner. */
function isLater(encounter: Encounter, known: Encounter): boolean {
  if (known.state === 'over' && encounter.state === 'open') {
    return encounter.at > known.at + REOPEN_MILLISECONDS;
  }
  if (known.state === 'open' && encounter.state === 'over') {
    // A report may be of an earlier send to the runner.
    return encounter.at > known.at - CLOCK_TOLERANCE_MILLISECONDS;
  }
  return rankOf(encounter) > rankOf(known);
}

/** Whether one report is of a send that is under way, and the known one of a later announcement to the same runner. */
function isEarlierSend(other: Encounter, known: Encounter): boolean {
  const areOpen = other.state === 'open' && known.state === 'open';
  return areOpen && other.at < known.at - SAME_SEND_MILLISECONDS;
}

/** Merges what is known of a runner with another report; returns the known one if that tells nothing new. */
function mergeEncounters(known: Encounter, other: Encounter): Encounter {
  if (isEarlierSend(other, known)) {
    return { ...known, at: other.at };
  }
  const later = isLater(other, known) ? other : known;
  const isRepetition = other.state === known.state && other.isRepeated && !known.isRepeated;
  if (later === known && !isRepetition) {
    return known;
  }
  return {
    ...later,
    round: Math.max(known.round, other.round),
    isCommon: known.isCommon || other.isCommon,
    isRepeated: known.isRepeated || other.isRepeated,
  };
}

/** The encounters of one request. */
export class SuspectRecord {
  /** Local time of the last change, in milliseconds. */
  changedAt = -Infinity;
  private readonly encounters = new Map<number, Encounter>();
  private answered = -Infinity;

  /** Local time of the last answer in full, in milliseconds; -Infinity if there was none. */
  get answeredAt(): number {
    return this.answered;
  }

  /** All encounters, those with an end first. */
  get all(): Encounter[] {
    return [...this.encounters.values()].sort((left, right) => rankOf(right) - rankOf(left));
  }

  /** Runners that ended since the last answer in full. */
  get lost(): readonly Encounter[] {
    return this.since('lost');
  }

  /**
   * Number of ends that count. If the request was answered in full shortly before, the ends of a round count once: sends that
   * were under way at the same time may have lost their runners to one cause. Ends after the request was given up count as
   * far as they outnumber the runners that outlived it then.
   */
  get lossCount(): number {
    const { lost } = this;
    const awaited = lost.filter(({ isGivenUp }) => !isGivenUp);
    if (isPopular(lost)) {
      return new Set(awaited.map(({ round }) => round)).size;
    }
    const outlived = this.since('over').filter(({ isGivenUp }) => isGivenUp).length;
    return awaited.length + Math.max(0, lost.length - awaited.length - outlived);
  }

  /** Whether the request was answered in full shortly before runners ended, or may have ended, under it. */
  get isPopular(): boolean {
    return isPopular(this.lost) || isPopular(this.since('open'));
  }

  /** Returns the number of runners that ended since a time under calls that had lost one before, whatever was answered. */
  repeatedLossesSince(time: number): number {
    return [...this.encounters.values()].filter(
      ({ state, at, isRepeated }) => state === 'lost' && isRepeated && at > time,
    ).length;
  }

  /** Returns the sends of which the outcome is unknown. */
  openAt(now: number): readonly Encounter[] {
    return this.since('open').filter(({ at }) => now - at < OPEN_TIMEOUT_MILLISECONDS);
  }

  /** Takes the runners of sends whose outcome never became known for alive; returns their hashes. */
  expireOpen(now: number): number[] {
    const expired = [...this.encounters.values()].filter(
      ({ state, at }) => state === 'open' && now - at >= OPEN_TIMEOUT_MILLISECONDS,
    );
    expired.forEach((encounter) =>
      this.encounters.set(encounter.runnerHash, { ...encounter, state: 'over', at: now }),
    );
    return expired.map(({ runnerHash }) => runnerHash);
  }

  /** Returns what is known of a runner. */
  find(runnerHash: number): Encounter | undefined {
    return this.encounters.get(runnerHash);
  }

  /** Whether a report that the request may be at a runner, made at a local time, would be news. */
  canReopen(runnerHash: number, at: number): boolean {
    const known = this.encounters.get(runnerHash);
    return known?.state !== 'over' || at > known.at + REOPEN_MILLISECONDS;
  }

  /** Records an encounter; returns whether it is news. */
  note(encounter: Encounter): boolean {
    const known = this.encounters.get(encounter.runnerHash);
    const merged = known === undefined ? encounter : mergeEncounters(known, encounter);
    if (merged === known) {
      return false;
    }
    if (known === undefined && this.encounters.size >= MAXIMUM_ENCOUNTERS) {
      this.dropLeast();
    }
    this.encounters.set(encounter.runnerHash, merged);
    return true;
  }

  /** Records an answer in full, which speaks for the request. */
  noteAnswered(at: number): void {
    this.answered = Math.max(this.answered, at);
  }

  /** Records an answer in full that another gateway reports; returns whether it is news. */
  learnAnswered(at: number): boolean {
    // Each report adds the time that it took, which must not look like another answer.
    if (at <= this.answered + CLOCK_TOLERANCE_MILLISECONDS) {
      return false;
    }
    this.answered = at;
    return true;
  }

  private since(state: EncounterState): Encounter[] {
    return [...this.encounters.values()].filter(
      (encounter) => encounter.state === state && encounter.at > this.answered,
    );
  }

  /** Drops the oldest of the encounters that count least. */
  private dropLeast(): void {
    const [least] = [...this.encounters.values()].sort((left, right) => {
      const weight = ({ state }: Encounter): number =>
        state === 'lost' ? 2 : state === 'open' ? 1 : 0;
      return weight(left) - weight(right) || left.at - right.at;
    });
    this.encounters.delete(least!.runnerHash);
  }
}
