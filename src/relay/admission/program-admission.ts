/**
 * Under overload, keeps new programs out so that those under way finish in time: a program that is
 * late for want of places has cost as much as one in time. Which programs are under way is known
 * from their requests that this gateway has let in before.
 */
import type { ServiceLoad } from '../runners/runner-view.js';

/** Programs remembered; the longest unused go first. */
const MAXIMUM_PROGRAMS = 20_000;
/** Load in requests a slot at which routine programs are kept out: where it starts and its bounds. */
const FIRST_LIMIT = 0.7;
const LEAST_LIMIT = 0.5;
const LARGEST_LIMIT = 1.2;
/** Added for programs of the most urgent routes. */
const URGENT_MARGIN = 0.4;
/** Fall of the limit with each turn of a late program, and rise with each other turn. */
const LATE_STEP = 0.015;
const TIMELY_STEP = 0.002;

/** Whether a new program may begin under a load and a limit in requests a slot. */
export function mayBegin(load: ServiceLoad, limit: number, routePriority: number): boolean {
  const margin = routePriority === 0 ? URGENT_MARGIN : 0;
  return load.inFlight < load.slots * (limit + margin);
}

/** See the head of this file. */
export class ProgramAdmission {
  private readonly underWay = new Set<string>();
  private limit = FIRST_LIMIT;

  /**
   * Whether a request of a program is let in; one that was let in once always is. Turns of programs
   * that are late lower the limit, those of others raise it: how full the runners may be depends on
   * how much time programs have, which nobody tells.
   */
  admit(program: string, late: boolean, load: () => ServiceLoad, routePriority: number): boolean {
    const known = this.underWay.delete(program);
    if (known) {
      this.learn(late);
    } else if (!mayBegin(load(), this.limit, routePriority)) {
      return false;
    }
    this.underWay.add(program);
    if (this.underWay.size > MAXIMUM_PROGRAMS) {
      this.underWay.delete(this.underWay.values().next().value!);
    }
    return true;
  }

  /** Whether a program was let in here before. */
  knows(program: string): boolean {
    return this.underWay.has(program);
  }

  /** Takes back that a program was let in: it could not begin for another reason. */
  forget(program: string): void {
    this.underWay.delete(program);
  }

  private learn(late: boolean): void {
    const next = this.limit + (late ? -LATE_STEP : TIMELY_STEP);
    this.limit = Math.min(LARGEST_LIMIT, Math.max(LEAST_LIMIT, next));
  }
}
