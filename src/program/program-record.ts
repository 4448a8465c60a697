/** What a shard remembers of one program and of its calls. */
import type { CallId, EngineId, GroupName, ProgramId } from '../model/identifiers.js';
import type { ChatMessage } from '../model/chat.js';
import type { CallRequest, Usage } from '../model/call.js';
import type { CallError } from '../model/verdict.js';
import type { ProgramEnd } from './commands.js';

/** Where a call stands, as the log knows it. */
export type CallStatus = 'accepted' | 'intended' | 'answered' | 'failed';

/** One call of a program. */
export interface CallRecord {
  readonly call: CallId;
  readonly sequence: number;
  readonly status: CallStatus;
  readonly acceptedAt: number;
  /** The request, until the call has ended. */
  readonly request?: CallRequest;
  /** Digest of what was asked, to tell a repeat from a different request. */
  readonly requestDigest: string;
  readonly idempotencyKey: string;
  /** Tokens reserved from the group's slice while the call has not ended. */
  readonly reserved: number;
  readonly engine?: EngineId;
  readonly text?: string;
  readonly usage?: Usage;
  readonly error?: CallError;
}

/** One program. Changed only by applying commands. */
export interface ProgramRecord {
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly openedAt: number;
  lastActivityAt: number;
  /** Undefined while the program is open. */
  end?: ProgramEnd;
  nextSequence: number;
  readonly history: ChatMessage[];
  /** Hash chain over the history; detects loss and mixing. */
  historyDigest: string;
  historyTokens: number;
  /** Tokens served to the program so far: uncached prompt and completion. */
  attainedService: number;
  readonly calls: Map<number, CallRecord>;
}

/** True when a call has its final result. */
export function hasEnded(record: CallRecord): boolean {
  return record.status === 'answered' || record.status === 'failed';
}

/** The first call in the program's order that has not ended, if any. */
export function firstUnfinishedCall(program: ProgramRecord): CallRecord | undefined {
  for (let sequence = program.nextSequence - 1; sequence >= 1; sequence -= 1) {
    const record = program.calls.get(sequence);
    if (record === undefined || hasEnded(record)) {
      return program.calls.get(sequence + 1);
    }
  }
  return program.calls.get(1);
}
