/** What a run records of itself, as callers and back ends saw it; the checkers read nothing else. */
import type { ChatMessage } from '../model/chat.js';
import type { CallError } from '../model/verdict.js';
import type { Execution } from '../emulator/emulated-back-end.js';

/** One try of a call, as its caller made it. */
export interface RecordedCall {
  readonly call: string;
  readonly program: string;
  readonly group: string;
  readonly sequence: number;
  readonly service: string;
  readonly kind: 'chat' | 'tool';
  readonly repeatable: boolean;
  readonly messages: readonly ChatMessage[];
  readonly payload: string;
  readonly maximumTokens: number;
  /** Node whose gateway took it. */
  readonly node: string;
  readonly sentAt: number;
  /** Text of the pieces received, joined. */
  streamed: string;
  readonly streaming: boolean;
  result: RecordedResult;
  endedAt: number;
}

/** How a try ended. */
export type RecordedResult =
  | { readonly type: 'pending' }
  | { readonly type: 'answered'; readonly text: string; readonly tokens: number }
  | { readonly type: 'failed'; readonly error: CallError }
  /** The connection to the gateway broke. */
  | { readonly type: 'broken' };

/** A program's history, as read back at the end of the run. */
export interface RecordedHistory {
  readonly program: string;
  readonly history: readonly ChatMessage[];
  readonly historyDigest: string;
}

/** A change of configuration that was reported as accepted. */
export interface RecordedChange {
  readonly statement: string;
  readonly revision: number;
  /** When the operator sent it, and when it was reported as done. */
  readonly issuedAt: number;
  readonly at: number;
  /** Back end that is leaving by this change, or empty. */
  readonly drains: string;
  readonly resumes: string;
}

/** Configuration revisions that a node had in force, in the order of time. */
export interface RecordedRevision {
  readonly node: string;
  readonly revision: number;
  readonly at: number;
}

/** A planned stop and the time at which the process was gone. */
export interface RecordedStop {
  readonly node: string;
  readonly beganAt: number;
  endedAt: number;
  /** True when the process died before the stop was complete. */
  interrupted: boolean;
}

/** A group's account at the end of a run. */
export interface RecordedAccount {
  readonly group: string;
  readonly budget: number;
  /** Tokens handed out by the ledger. */
  readonly granted: number;
  readonly spent: number;
  readonly reserved: number;
}

/** Prompt memory held at the end of a run. */
export interface RecordedHold {
  readonly engine: string;
  readonly program: string;
}

/** Everything recorded of one run. */
export interface RecordedRun {
  readonly calls: RecordedCall[];
  readonly executions: Execution[];
  readonly histories: RecordedHistory[];
  readonly changes: RecordedChange[];
  readonly revisions: RecordedRevision[];
  readonly stops: RecordedStop[];
  readonly accounts: RecordedAccount[];
  readonly holds: RecordedHold[];
  /** Programs that were ended before the end of the run. */
  readonly endedPrograms: string[];
  /** Programs whose histories could not be read. */
  readonly unreadablePrograms: string[];
  /** Nodes alive at the end. */
  readonly livingNodes: string[];
  /** Times between which something was broken: processes, links, the key-value service. */
  readonly faultIntervals: { readonly from: number; readonly until: number }[];
  endedAt: number;
}

/** A run with nothing recorded yet. */
export function createEmptyRun(): RecordedRun {
  return {
    calls: [],
    executions: [],
    histories: [],
    changes: [],
    revisions: [],
    stops: [],
    accounts: [],
    holds: [],
    endedPrograms: [],
    unreadablePrograms: [],
    livingNodes: [],
    faultIntervals: [],
    endedAt: 0,
  };
}
