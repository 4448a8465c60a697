/**
 * Admission control for programs. A new program is admitted if its turns can be expected to wait no
 * longer than acceptable, and is otherwise refused with a retry delay. An admitted turn queues at
 * its runner behind more urgent requests, so it delays programs in progress no more than is
 * acceptable for them too, whereas a program refused although a slot would have become free is lost
 * to its caller. Programs in progress are admitted by every gateway.
 */
import type { RandomSource } from '../../runtime/random.js';
import { waitLimit, predictWait } from './predicted-wait.js';
import type { AdmissionInputs } from './predicted-wait.js';
import { computeProgramRetryDelay } from './retry-delay.js';

/** Maximum number of admitted programs to remember; the least recently used are evicted. */
const MAXIMUM_PROGRAMS = 20_000;

/** Input of the decision on one request of a program. */
export interface AdmissionRequest {
  readonly program: string;
  /**
   * Returns whether the request itself shows that its program has run before; called only if the
   * decision depends on it.
   */
  readonly hasRunBefore: () => boolean;
  readonly inputs: () => AdmissionInputs;
}

/**
 * Reason for a decision: the program was admitted here before (`known`), the request shows that the
 * program has run before (`shown`), or the predicted wait is within the limit (`bearable`) or above
 * it (`unbearable`). A metric label and a log field.
 */
export type AdmissionCause = 'known' | 'shown' | 'bearable' | 'unbearable';

/** An admission decision and the figures that it is based on. */
export interface AdmissionDecision {
  readonly cause: AdmissionCause;
  /**
   * Delay after which the client should retry, in milliseconds; undefined if the request is
   * admitted.
   */
  readonly retryDelayMilliseconds: number | undefined;
  /** Inputs of the decision; undefined for programs admitted here before. */
  readonly inputs: AdmissionInputs | undefined;
  readonly predictedWaitMilliseconds: number;
  readonly waitLimitMilliseconds: number;
}

const ALREADY_ADMITTED: AdmissionDecision = {
  cause: 'known',
  retryDelayMilliseconds: undefined,
  inputs: undefined,
  predictedWaitMilliseconds: 0,
  waitLimitMilliseconds: 0,
};

/** Decides which programs may start, and remembers those it admitted. */
export class ProgramAdmission {
  private readonly admittedPrograms = new Set<string>();

  constructor(private readonly random: RandomSource) {}

  /** Decides on a request of a program; a program that was admitted once always is. */
  decide(request: AdmissionRequest): AdmissionDecision {
    const { program } = request;
    if (this.admittedPrograms.delete(program)) {
      this.remember(program);
      return ALREADY_ADMITTED;
    }
    const decision = this.evaluate(request);
    if (decision.retryDelayMilliseconds === undefined) {
      this.remember(program);
    }
    return decision;
  }

  /** Number of programs remembered. */
  get programCount(): number {
    return this.admittedPrograms.size;
  }

  /** Whether a program was admitted here before. */
  isAdmitted(program: string): boolean {
    return this.admittedPrograms.has(program);
  }

  /** Revokes the admission of a program that could not start for another reason. */
  forget(program: string): void {
    this.admittedPrograms.delete(program);
  }

  private evaluate(request: AdmissionRequest): AdmissionDecision {
    const inputs = request.inputs();
    const predictedWaitMilliseconds = predictWait(inputs);
    const waitLimitMilliseconds = waitLimit(inputs);
    const estimates = {
      inputs,
      predictedWaitMilliseconds,
      waitLimitMilliseconds,
    };
    if (predictedWaitMilliseconds <= waitLimitMilliseconds) {
      return { ...estimates, cause: 'bearable', retryDelayMilliseconds: undefined };
    }
    if (request.hasRunBefore()) {
      return { ...estimates, cause: 'shown', retryDelayMilliseconds: undefined };
    }
    const excessMilliseconds = predictedWaitMilliseconds - waitLimitMilliseconds;
    const retryDelayMilliseconds = computeProgramRetryDelay(
      excessMilliseconds,
      inputs.requestRemainingMilliseconds,
      this.random.uniform(),
    );
    return { ...estimates, cause: 'unbearable', retryDelayMilliseconds };
  }

  private remember(program: string): void {
    this.admittedPrograms.add(program);
    if (this.admittedPrograms.size > MAXIMUM_PROGRAMS) {
      this.admittedPrograms.delete(this.admittedPrograms.values().next().value!);
    }
  }
}
