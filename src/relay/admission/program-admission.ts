/**
 * Lets new programs in as long as they can be over while their callers wait, and tells the others when room is
 * expected. A turn that has to wait does so at its runner, behind whatever is more urgent, so a program that is let
 * in costs those under way no more than what they too can bear; one that is refused for a place that would have
 * come costs its caller everything. Programs under way keep their place at every gateway.
 */
import type { RandomSource } from '../../runtime/random.js';
import { waitLimit, predictWait } from './predicted-wait.js';
import type { AdmissionInputs } from './predicted-wait.js';
import { computeRetryDelay } from './retry-delay.js';

/** Programs remembered; the longest unused go first. */
const MAXIMUM_PROGRAMS = 20_000;

/** What is asked for one request of a program. */
export interface AdmissionRequest {
  readonly program: string;
  /** Whether the request itself shows that its program has run before; asked only where it decides. */
  readonly hasRunBefore: () => boolean;
  readonly inputs: () => AdmissionInputs;
}

/** Why a request was let in or not. */
export type AdmissionCause = 'known' | 'shown' | 'bearable' | 'unbearable';

/** What is decided, and by what. */
export interface AdmissionDecision {
  readonly cause: AdmissionCause;
  /** Pause until the client should come back, in milliseconds; undefined where the request is let in. */
  readonly retryDelayMilliseconds: number | undefined;
  /** What decided; undefined for programs known here. */
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

/** See the head of this file. */
export class ProgramAdmission {
  private readonly admittedPrograms = new Set<string>();

  constructor(private readonly random: RandomSource) {}

  /** Decides on a request of a program; a program that was let in once always is. */
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

  /** Programs remembered. */
  get programCount(): number {
    return this.admittedPrograms.size;
  }

  /** Whether a program was let in here before. */
  isAdmitted(program: string): boolean {
    return this.admittedPrograms.has(program);
  }

  /** Takes back that a program was let in: it could not begin for another reason. */
  forget(program: string): void {
    this.admittedPrograms.delete(program);
  }

  private evaluate(request: AdmissionRequest): AdmissionDecision {
    const inputs = request.inputs();
    const predictedWaitMilliseconds = predictWait(inputs);
    const waitLimitMilliseconds = waitLimit(inputs);
    const estimates = {
      inputs: inputs,
      predictedWaitMilliseconds: predictedWaitMilliseconds,
      waitLimitMilliseconds: waitLimitMilliseconds,
    };
    if (predictedWaitMilliseconds <= waitLimitMilliseconds) {
      return { ...estimates, cause: 'bearable', retryDelayMilliseconds: undefined };
    }
    if (request.hasRunBefore()) {
      return { ...estimates, cause: 'shown', retryDelayMilliseconds: undefined };
    }
    const excessMilliseconds = predictedWaitMilliseconds - waitLimitMilliseconds;
    const retryDelayMilliseconds = computeRetryDelay(
      excessMilliseconds,
      inputs.requestRemainingMilliseconds,
      this.random.uniform(),
    );
    return { ...estimates, cause: 'unbearable', retryDelayMilliseconds: retryDelayMilliseconds };
  }

  private remember(program: string): void {
    this.admittedPrograms.add(program);
    if (this.admittedPrograms.size > MAXIMUM_PROGRAMS) {
      this.admittedPrograms.delete(this.admittedPrograms.values().next().value!);
    }
  }
}
