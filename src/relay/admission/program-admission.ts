/**
 * Lets new programs in as long as they can be over while their callers wait, and tells the others when room is
 * expected. A turn that has to wait does so at its runner, behind whatever is more urgent, so a program that is let
 * in costs those under way no more than what they too can bear; one that is refused for a place that would have
 * come costs its caller everything. Programs under way keep their place at every gateway.
 */
import type { RandomSource } from '../../runtime/random.js';
import { bearableWait, waitOf } from './predicted-wait.js';
import type { AdmissionOutlook } from './predicted-wait.js';
import { pauseUntilRoom } from './return-pause.js';

/** Programs remembered; the longest unused go first. */
const MAXIMUM_PROGRAMS = 20_000;

/** What is asked for one request of a program. */
export interface AdmissionQuestion {
  readonly program: string;
  /** Whether the request itself shows that its program has run before; asked only where it decides. */
  readonly isUnderWay: () => boolean;
  readonly outlook: () => AdmissionOutlook;
}

/** Why a request was let in or not. */
export type AdmissionCause = 'known' | 'shown' | 'bearable' | 'unbearable';

/** What is decided, and by what. */
export interface AdmissionVerdict {
  readonly cause: AdmissionCause;
  /** Pause until the client should come back, in milliseconds; undefined where the request is let in. */
  readonly pauseMilliseconds: number | undefined;
  /** What decided; undefined for programs known here. */
  readonly outlook: AdmissionOutlook | undefined;
  readonly waitMilliseconds: number;
  readonly bearableMilliseconds: number;
}

const KNOWN: AdmissionVerdict = {
  cause: 'known',
  pauseMilliseconds: undefined,
  outlook: undefined,
  waitMilliseconds: 0,
  bearableMilliseconds: 0,
};

/** See the head of this file. */
export class ProgramAdmission {
  private readonly underWay = new Set<string>();

  constructor(private readonly random: RandomSource) {}

  /** Decides on a request of a program; a program that was let in once always is. */
  decide(question: AdmissionQuestion): AdmissionVerdict {
    const { program } = question;
    if (this.underWay.delete(program)) {
      this.remember(program);
      return KNOWN;
    }
    const verdict = this.judge(question);
    if (verdict.pauseMilliseconds === undefined) {
      this.remember(program);
    }
    return verdict;
  }

  /** Programs remembered. */
  get programCount(): number {
    return this.underWay.size;
  }

  /** Whether a program was let in here before. */
  knows(program: string): boolean {
    return this.underWay.has(program);
  }

  /** Takes back that a program was let in: it could not begin for another reason. */
  forget(program: string): void {
    this.underWay.delete(program);
  }

  private judge(question: AdmissionQuestion): AdmissionVerdict {
    const outlook = question.outlook();
    const waitMilliseconds = waitOf(outlook);
    const bearableMilliseconds = bearableWait(outlook);
    const figures = { outlook, waitMilliseconds, bearableMilliseconds };
    if (waitMilliseconds <= bearableMilliseconds) {
      return { ...figures, cause: 'bearable', pauseMilliseconds: undefined };
    }
    if (question.isUnderWay()) {
      return { ...figures, cause: 'shown', pauseMilliseconds: undefined };
    }
    const excess = waitMilliseconds - bearableMilliseconds;
    const pauseMilliseconds = pauseUntilRoom(
      excess,
      outlook.requestMilliseconds,
      this.random.uniform(),
    );
    return { ...figures, cause: 'unbearable', pauseMilliseconds };
  }

  private remember(program: string): void {
    this.underWay.add(program);
    if (this.underWay.size > MAXIMUM_PROGRAMS) {
      this.underWay.delete(this.underWay.values().next().value!);
    }
  }
}
