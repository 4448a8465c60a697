/** Replicated records of programs and their calls. */
import type { CallId, EngineId, GroupName, ProgramId } from '../model/identifiers.js';
import type { ChatMessage } from '../model/chat.js';
import type { CallRequest, Usage } from '../model/call.js';
import type { CallError } from '../model/verdict.js';
import type { ProgramEnd } from './commands.js';

/** Status of a call in the replicated log. */
export type CallStatus = 'accepted' | 'intended' | 'answered' | 'failed';

/** A call of a program. */
export interface CallRecord {
  readonly call: CallId;
  readonly sequence: number;
  readonly status: CallStatus;
  /** Milliseconds since 1970. */
  readonly acceptedAt: number;
  /** Present until the call has ended. */
  readonly request?: CallRequest;
  /** Tells a duplicate from a different request with the same sequence. */
  readonly requestDigest: string;
  readonly idempotencyKey: string;
  /** Tokens reserved from the group's slice; 0 once the call has ended. */
  readonly reserved: number;
  readonly engine?: EngineId;
  readonly text?: string;
  readonly usage?: Usage;
  readonly error?: CallError;
}

/** A program. Changed only by applying commands. */
export interface ProgramRecord {
  readonly program: ProgramId;
  readonly group: GroupName;
  /** Milliseconds since 1970. */
  readonly openedAt: number;
  /** Milliseconds since 1970. */
  lastActivityAt: number;
  /** Undefined while the program is open. */
  end?: ProgramEnd;
  nextSequence: number;
  readonly history: ChatMessage[];
  /** Hash chain over the history; detects missing or foreign messages. */
  historyDigest: string;
  historyTokens: number;
  /** Tokens computed for the program so far: uncached prompt and completion. */
  attainedService: number;
  readonly calls: Map<number, CallRecord>;
}

/** True if a call has its final result. */
export function hasEnded(record: CallRecord): boolean {
  return record.status === 'answered' || record.status === 'failed';
}

/** Returns the first call in sequence order that has not ended, if any. */
export function firstUnfinishedCall(program: ProgramRecord): CallRecord | undefined {
  for (let sequence = program.nextSequence - 1; sequence >= 1; sequence -= 1) {
    const record = program.calls.get(sequence);
    if (record === undefined || hasEnded(record)) {
      return program.calls.get(sequence + 1);
    }
  }
  return program.calls.get(1);
}
