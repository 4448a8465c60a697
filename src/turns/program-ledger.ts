/**
 * The programs in progress of one tenant, at the home of the tenant, and what they are expected to need until they end.
 * A program is identified by its requests: the end of one is not reported, so it counts as ended when it has been silent
 * for longer than programs of its tenant pause.
 */
import { ProgramSizesByKind } from './program-sizes-by-kind.js';
import type { ProgramNeed } from './program-sizes-by-kind.js';

/** Silence after which a program counts as ended, in milliseconds. */
const IDLE_MILLISECONDS = 3_000;
/** Maximum number of programs in progress per tenant; the longest silent are evicted. */
const MAXIMUM_PROGRAMS = 2_000;
/** Minimum time over which the remaining requests of a program are spread, in milliseconds. */
const MINIMUM_SPREAD_MILLISECONDS = 300;

interface ProgramInProgress {
  readonly kind: string;
  readonly startedAt: number;
  /** Whether the first request was seen here. */
  readonly isComplete: boolean;
  readonly assumedRequests: number;
  usedRequests: number;
  lastAt: number;
}

/** Accounts for the programs of one tenant. */
export class ProgramLedger {
  /** By program, ordered by the last request. */
  private readonly programs = new Map<number, ProgramInProgress>();
  private readonly sizes = new ProgramSizesByKind();

  /** Number of programs in progress. */
  programCount(now: number): number {
    this.endIdle(now);
    return this.programs.size;
  }

  /** Whether a program is in progress. */
  has(program: number, now: number): boolean {
    this.endIdle(now);
    return this.programs.has(program);
  }

  /** Returns what a new program of a kind needs. */
  needOf(kind: string, assumedRequests: number): ProgramNeed {
    return this.sizes.remaining(kind, 0, assumedRequests);
  }

  /** Records the first request of an admitted program. */
  begin(program: number, kind: string, assumedRequests: number, now: number): void {
    const started = { kind, startedAt: now, assumedRequests, isComplete: true };
    this.programs.set(program, { ...started, usedRequests: 1, lastAt: now });
    if (this.programs.size > MAXIMUM_PROGRAMS) {
      this.programs.delete(this.programs.keys().next().value!);
    }
  }

  /** Records a further request of a program, which may have started elsewhere. */
  use(program: number, kind: string, now: number): void {
    const known = this.programs.get(program);
    if (known === undefined) {
      const started = { kind, startedAt: now, assumedRequests: 1, isComplete: false };
      this.programs.set(program, { ...started, usedRequests: 1, lastAt: now });
      return;
    }
    this.programs.delete(program);
    this.programs.set(program, known);
    known.usedRequests += 1;
    known.lastAt = now;
  }

  /** Removes a program that was refused; what it has used says nothing about its size. */
  drop(program: number): void {
    this.programs.delete(program);
  }

  /** Returns what each program in progress still needs. */
  outstanding(now: number): ProgramNeed[] {
    this.endIdle(now);
    return Array.from(this.programs.values(), (program) => {
      const { kind, usedRequests, assumedRequests, lastAt } = program;
      const { requests, milliseconds } = this.sizes.remaining(kind, usedRequests, assumedRequests);
      const likelihood = 1 - Math.max(0, now - lastAt) / IDLE_MILLISECONDS;
      return {
        requests: requests * likelihood,
        milliseconds: Math.max(MINIMUM_SPREAD_MILLISECONDS, milliseconds),
      };
    });
  }

  private endIdle(now: number): void {
    for (const [id, program] of this.programs) {
      if (now - program.lastAt < IDLE_MILLISECONDS) {
        return;
      }
      this.programs.delete(id);
      if (program.isComplete) {
        const { kind, usedRequests, startedAt, lastAt } = program;
        this.sizes.record(kind, { requests: usedRequests, milliseconds: lastAt - startedAt });
      }
    }
  }
}
