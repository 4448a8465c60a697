/** Calls that came before an earlier one of their program; they wait, bounded, for their turn. */
import type { CallId, NodeId, ProgramId } from '../model/identifiers.js';
import type { CallRequest } from '../model/call.js';

/** A call that waits for an earlier sequence. */
export interface EarlyCall {
  readonly from: NodeId;
  readonly request: CallRequest;
  /** Monotonic milliseconds until which it waits. */
  readonly until: number;
}

/** Early calls of one shard's programs. */
export class EarlyCalls {
  private readonly byProgram = new Map<ProgramId, EarlyCall[]>();

  constructor(private readonly mostPerProgram: number) {}

  /** True when a call waits here. */
  has(call: CallId): boolean {
    for (const waiting of this.byProgram.values()) {
      if (waiting.some((early) => early.request.call === call)) {
        return true;
      }
    }
    return false;
  }

  /** Keeps a call; false when too many of its program wait already. */
  add(early: EarlyCall): boolean {
    const { program, call } = early.request;
    const waiting = this.byProgram.get(program) ?? [];
    if (waiting.some((other) => other.request.call === call)) {
      return true;
    }
    if (waiting.length >= this.mostPerProgram) {
      return false;
    }
    this.byProgram.set(program, [...waiting, early]);
    return true;
  }

  /** Takes out a call whose turn has come. */
  takeReady(program: ProgramId, nextSequence: number): EarlyCall | undefined {
    const waiting = this.byProgram.get(program) ?? [];
    const ready = waiting.find((early) => early.request.sequence <= nextSequence);
    if (ready !== undefined) {
      this.keep(
        program,
        waiting.filter((early) => early !== ready),
      );
    }
    return ready;
  }

  /** Takes out the calls that have waited too long. */
  takeStale(now: number): EarlyCall[] {
    const stale: EarlyCall[] = [];
    for (const [program, waiting] of [...this.byProgram]) {
      stale.push(...waiting.filter((early) => early.until <= now));
      this.keep(
        program,
        waiting.filter((early) => early.until > now),
      );
    }
    return stale;
  }

  /** Forgets everything. */
  clear(): void {
    this.byProgram.clear();
  }

  private keep(program: ProgramId, waiting: EarlyCall[]): void {
    if (waiting.length === 0) {
      this.byProgram.delete(program);
    } else {
      this.byProgram.set(program, waiting);
    }
  }
}
