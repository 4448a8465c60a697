/**
 * Predicts how long a turn would wait at the runners of a service, and how long it may wait.
 * Deadlines are assumed to allow at least a program's time on idle runners. Waits that add up to a
 * share of the time to the deadline then make the program late by at most that share, while its
 * caller still waits.
 */

/** Load and time limits that the admission of a program depends on. */
export interface AdmissionInputs {
  /** Requests at the runners that are served before a turn of the program. */
  readonly ahead: number;
  /**
   * Those of `ahead` that are more urgent; as they finish, others like them are assumed to arrive.
   */
  readonly moreUrgent: number;
  /** Requests that can run at the same time. */
  readonly slots: number;
  /** Expected duration of a turn while all slots are taken, in milliseconds. */
  readonly turnMilliseconds: number;
  /** Expected number of turns of a program of this kind. */
  readonly turns: number;
  /** Time until the program's deadline, in milliseconds; undefined if it has none. */
  readonly programRemainingMilliseconds: number | undefined;
  /** Time until the request's own timeout, in milliseconds. */
  readonly requestRemainingMilliseconds: number;
}

/**
 * Share of a request's time that it may wait; the rest is for running, and for a retry after a
 * runner failed.
 */
const REQUEST_WAIT_SHARE = 0.5;

/**
 * Share of the time to a program's deadline that its turns may wait in total, as predicted when the
 * program starts. Callers wait for about twice the time to the deadline; the remainder covers what
 * is unknown at the start: load that gossip has not reported yet, and the lower rank of programs
 * that become late.
 */
const PROGRAM_WAIT_SHARE = 0.25;
/**
 * Share of the slots that is always assumed to be available to less urgent programs: urgent load
 * varies, and the rest must make progress.
 */
const MINIMUM_AVAILABLE_SHARE = 0.1;

/** Returns the predicted wait of a turn for a slot, in milliseconds; infinite without slots. */
export function predictWait({
  ahead,
  moreUrgent,
  slots,
  turnMilliseconds,
}: AdmissionInputs): number {
  if (slots <= 0) {
    return Infinity;
  }
  const availableSlots = Math.max(slots * MINIMUM_AVAILABLE_SHARE, slots - moreUrgent);
  return (Math.max(0, ahead + 1 - slots) * turnMilliseconds) / availableSlots;
}

/**
 * Returns the wait for a slot of one runner, in milliseconds, if all its requests go first.
 * @param inFlight requests on the runner
 * @param turnMilliseconds expected duration of a turn while all slots are taken
 */
export function waitAtRunner(inFlight: number, slots: number, turnMilliseconds: number): number {
  return (Math.max(0, inFlight + 1 - slots) * turnMilliseconds) / Math.max(1, slots);
}

/**
 * Returns the longest acceptable wait of a turn, in milliseconds: the program still ends while its
 * caller waits.
 */
export function waitLimit(inputs: AdmissionInputs): number {
  const { programRemainingMilliseconds, turns, requestRemainingMilliseconds } = inputs;
  const requestLimit = requestRemainingMilliseconds * REQUEST_WAIT_SHARE;
  if (programRemainingMilliseconds === undefined || Number.isNaN(programRemainingMilliseconds)) {
    return requestLimit;
  }
  return Math.min(
    requestLimit,
    (programRemainingMilliseconds * PROGRAM_WAIT_SHARE) / Math.max(1, turns),
  );
}
