/** Record of a run as callers and back ends observed it: the only input of the checkers. Times are in milliseconds. */
import type { ChatMessage } from '../model/chat.js';
import type { CallError } from '../model/verdict.js';
import type { Execution } from '../emulator/emulated-back-end.js';

/** One attempt of a call, as its caller observed it. */
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
  /** Node to whose gateway the attempt was sent. */
  readonly node: string;
  readonly sentAt: number;
  /** Concatenated text of the streamed pieces. */
  streamed: string;
  readonly streaming: boolean;
  result: RecordedResult;
  endedAt: number;
}

/** Outcome of an attempt. */
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

/** A configuration change that was reported as accepted. */
export interface RecordedChange {
  readonly statement: string;
  readonly revision: number;
  /** Time at which the operator sent the command. */
  readonly issuedAt: number;
  /** Time at which the change was reported as accepted. */
  readonly at: number;
  /** Back end that this change drains, or empty. */
  readonly drains: string;
  /** Back end that this change resumes, or empty. */
  readonly resumes: string;
}

/** A configuration revision that came into force at a node. */
export interface RecordedRevision {
  readonly node: string;
  readonly revision: number;
  readonly at: number;
}

/** A planned stop of a node; `endedAt` is the time at which its process had ended. */
export interface RecordedStop {
  readonly node: string;
  readonly beganAt: number;
  endedAt: number;
  /** Whether the process was killed before the stop was complete. */
  interrupted: boolean;
}

/** Token account of a group at the end of a run. */
export interface RecordedAccount {
  readonly group: string;
  readonly budget: number;
  /** Tokens that the ledger has granted. */
  readonly granted: number;
  readonly spent: number;
  readonly reserved: number;
}

/** Prompt memory that an engine holds for a program at the end of a run. */
export interface RecordedHold {
  readonly engine: string;
  readonly program: string;
}

/** All records of one run. */
export interface RecordedRun {
  readonly calls: RecordedCall[];
  readonly executions: Execution[];
  readonly histories: RecordedHistory[];
  readonly changes: RecordedChange[];
  readonly revisions: RecordedRevision[];
  readonly stops: RecordedStop[];
  readonly accounts: RecordedAccount[];
  readonly holds: RecordedHold[];
  /** Programs whose end was acknowledged. */
  readonly endedPrograms: string[];
  /** Programs whose histories could not be read. */
  readonly unreadablePrograms: string[];
  /** Nodes that were running at the end. */
  readonly livingNodes: string[];
  /** Periods in which a fault was active. */
  readonly faultIntervals: { readonly from: number; readonly until: number }[];
  endedAt: number;
}

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
