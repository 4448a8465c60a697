/** A bounded buffer of calls that arrived before earlier calls of their programs. */
import type { CallId, NodeId, ProgramId } from '../model/identifiers.js';
import type { CallRequest } from '../model/call.js';

/** A call that waits for an earlier sequence of its program. */
export interface OutOfOrderCall {
  readonly from: NodeId;
  readonly request: CallRequest;
  /** Monotonic time in milliseconds until which the call waits. */
  readonly expiresAt: number;
}

/** The out-of-order calls of one shard's programs. */
export class OutOfOrderCalls {
  private readonly byProgram = new Map<ProgramId, OutOfOrderCall[]>();

  constructor(private readonly maximumPerProgram: number) {}

  /** True if the buffer contains the call. */
  has(call: CallId): boolean {
    for (const waiting of this.byProgram.values()) {
      if (waiting.some((entry) => entry.request.call === call)) {
        return true;
      }
    }
    return false;
  }

  /** Adds a call; returns false if the buffer of its program is full. */
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

  /** Removes and returns a call whose sequence is due. */
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

  /** Removes and returns the calls that have expired. */
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

  /** Removes all calls. */
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
