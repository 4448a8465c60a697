/**
 * How long a turn would wait at the runners of a service, and whether a program can bear that in each of its turns.
 * A program's aim is never shorter than its time on idle runners, so waits that together take a share of the aim
 * make it late by no more than that share, while its caller still waits.
 */

/** What a new program would meet. */
export interface AdmissionInputs {
  /** Requests at the runners that go before a turn of the program. */
  readonly ahead: number;
  /** Of those, the ones that are more urgent: as they go, others like them take their places. */
  readonly moreUrgent: number;
  /** Requests that can run at the same time. */
  readonly slots: number;
  /** Time that a turn takes once it runs, in milliseconds. */
  readonly turnMilliseconds: number;
  /** Turns that a program of this kind usually has. */
  readonly turns: number;
  /** Time left until the program should be over, in milliseconds; undefined where none is told. */
  readonly programRemainingMilliseconds: number | undefined;
  /** Time for which the client waits for this very request, in milliseconds. */
  readonly requestRemainingMilliseconds: number;
}

/** Share of a request's time that may pass before it runs: the rest is for running, and a runner that fails. */
const REQUEST_WAIT_SHARE = 0.5;

/**
 * Share of a program's time that its turns may wait together by what is known when it begins. Callers wait for about
 * twice that time; the rest of it is for what can't be known then: load grows before it is told, and late programs
 * fall behind others.
 */
const PROGRAM_WAIT_SHARE = 0.25;
/** Places that are never left to the more urgent alone, as a share: urgent work swings, and the rest must go on. */
const MINIMUM_AVAILABLE_SHARE = 0.1;

/** Time that a turn would wait for a place, in milliseconds. */
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

/** Longest wait of a turn at which its program is still over while its caller waits, in milliseconds. */
export function waitLimit(inputs: AdmissionInputs): number {
  const {
    programRemainingMilliseconds: programRemainingMilliseconds,
    turns,
    requestRemainingMilliseconds: requestRemainingMilliseconds,
  } = inputs;
  const requestLimit = requestRemainingMilliseconds * REQUEST_WAIT_SHARE;
  if (programRemainingMilliseconds === undefined || Number.isNaN(programRemainingMilliseconds)) {
    return requestLimit;
  }
  return Math.min(
    requestLimit,
    (programRemainingMilliseconds * PROGRAM_WAIT_SHARE) / Math.max(1, turns),
  );
}
