/** Calls that came before an earlier one of their program; they wait, bounded, for their turn. */
import type { CallId, NodeId, ProgramId } from '../model/identifiers.js';
import type { CallRequest } from '../model/call.js';

/** A call that waits for an earlier sequence. */
export interface OutOfOrderCall {
  readonly from: NodeId;
  readonly request: CallRequest;
  /** Monotonic milliseconds until which it waits. */
  readonly expiresAt: number;
}

/** Early calls of one shard's programs. */
export class OutOfOrderCalls {
  private readonly byProgram = new Map<ProgramId, OutOfOrderCall[]>();

  constructor(private readonly maximumPerProgram: number) {}

  /** True when a call waits here. */
  has(call: CallId): boolean {
    for (const waiting of this.byProgram.values()) {
      if (waiting.some((entry) => entry.request.call === call)) {
        return true;
      }
    }
    return false;
  }

  /** Keeps a call; false when too many of its program wait already. */
  add(entry: OutOfOrderCall): boolean {
    const { program, call } = entry.request;
    const waiting = this.byProgram.get(program) ?? [];
    if (waiting.some((other) => other.request.call === call)) {
      return true;
    }
    if (waiting.length >= this.maximumPerProgram) {
      return false;
    }
    this.byProgram.set(program, [...waiting, entry]);
    return true;
  }

  /** Takes out a call whose turn has come. */
  takeReady(program: ProgramId, nextSequence: number): OutOfOrderCall | undefined {
    const waiting = this.byProgram.get(program) ?? [];
    const ready = waiting.find((entry) => entry.request.sequence <= nextSequence);
    if (ready !== undefined) {
      this.replaceEntries(
        program,
        waiting.filter((entry) => entry !== ready),
      );
    }
    return ready;
  }

  /** Takes out the calls that have waited too long. */
  takeExpired(now: number): OutOfOrderCall[] {
    const expired: OutOfOrderCall[] = [];
    for (const [program, waiting] of [...this.byProgram]) {
      expired.push(...waiting.filter((entry) => entry.expiresAt <= now));
      this.replaceEntries(
        program,
        waiting.filter((entry) => entry.expiresAt > now),
      );
    }
    return expired;
  }

  /** Forgets everything. */
  clear(): void {
    this.byProgram.clear();
  }

  private replaceEntries(program: ProgramId, waiting: OutOfOrderCall[]): void {
    if (waiting.length === 0) {
      this.byProgram.delete(program);
    } else {
      this.byProgram.set(program, waiting);
    }
  }
}
