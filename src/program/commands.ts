/** Commands of a shard's replicated log. Every replica applies the same ones in the same order. */
import type {
  CallId,
  EngineId,
  GroupName,
  NodeId,
  ProgramId,
  ShardId,
} from '../model/identifiers.js';
import type { CallRequest, Usage } from '../model/call.js';
import type { CallError } from '../model/verdict.js';

/** Appended by a new leader, so that entries of earlier terms can be committed. */
export interface NoopCommand {
  readonly type: 'noop';
}

/** Replaces the shard's voters; takes effect when it is appended. */
export interface ChangeVotersCommand {
  readonly type: 'changeVoters';
  readonly voters: readonly NodeId[];
}

/** Opens a program; does nothing if it exists already in the same group. */
export interface OpenProgramCommand {
  readonly type: 'openProgram';
  /** Wall time of the proposer, in milliseconds since 1970. */
  readonly at: number;
  readonly program: ProgramId;
  readonly group: GroupName;
}

/** Accepts a call as the next of its program and reserves its worst-case tokens. */
export interface AcceptCallCommand {
  readonly type: 'acceptCall';
  readonly at: number;
  readonly request: CallRequest;
  /** Tokens reserved from the group's slice until the call ends. */
  readonly reserve: number;
  readonly limits: ProgramLimits;
}

/** Limits of a program, which stop runaway loops. 0 does not mean unlimited. */
export interface ProgramLimits {
  /** Maximum number of calls of a program. */
  readonly maximumTurns: number;
  /** Maximum number of tokens in a program's history. */
  readonly maximumHistoryTokens: number;
  /** Maximum nesting depth of sub-agents. */
  readonly maximumDepth: number;
  /** Maximum age of a program, in milliseconds. */
  readonly maximumLifeMilliseconds: number;
}

/** Records that a call is about to be sent to an engine. */
export interface IntendCallCommand {
  readonly type: 'intendCall';
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly engine: EngineId;
}

/** Withdraws an intent after the engine provably refused the call, so that it may be reassigned. */
export interface WithdrawIntentCommand {
  readonly type: 'withdrawIntent';
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly engine: EngineId;
}

/** Ends a call with its answer and appends its messages and the answer to the history. */
export interface AnswerCallCommand {
  readonly type: 'answerCall';
  readonly at: number;
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly text: string;
  readonly usage: Usage;
}

/** Ends a call with an error; the history is unchanged. */
export interface FailCallCommand {
  readonly type: 'failCall';
  readonly at: number;
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly error: CallError;
  readonly usage: Usage;
}

/** Why a program has ended. */
export type ProgramEnd = 'finished' | 'stopped' | 'expired';
/** All reasons, in wire order; append only. */
export const PROGRAM_ENDS: readonly ProgramEnd[] = ['finished', 'stopped', 'expired'];

/** Ends a program and its descendants; they accept no further calls. */
export interface EndProgramCommand {
  readonly type: 'endProgram';
  readonly at: number;
  readonly program: ProgramId;
  readonly reason: ProgramEnd;
}

/** Deletes an ended program and its calls. */
export interface ForgetProgramCommand {
  readonly type: 'forgetProgram';
  readonly program: ProgramId;
}

/** Program shard: starts request `number` to the ledger and fixes its amount. */
export interface RequestSliceCommand {
  readonly type: 'requestSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly amount: number;
}

/** Program shard: records the ledger's reply to request `number`. */
export interface ReceiveSliceCommand {
  readonly type: 'receiveSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly granted: number;
}

/** Program shard: starts return `number` of available tokens to the ledger. */
export interface ReturnSliceCommand {
  readonly type: 'returnSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly amount: number;
}

/** Program shard: records that the ledger has booked return `number`. */
export interface SettleReturnCommand {
  readonly type: 'settleReturn';
  readonly group: GroupName;
  readonly number: number;
}

/** Ledger shard: grants a slice, once for each (holder, number). */
export interface GrantSliceCommand {
  readonly type: 'grantSlice';
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
  /** The group's whole budget in tokens, as configured at the time of the proposal. */
  readonly budget: number;
}

/** Ledger shard: books returned tokens, once for each (holder, number). */
export interface BookReturnCommand {
  readonly type: 'bookReturn';
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Any command of a shard's log. */
export type Command =
  | NoopCommand
  | ChangeVotersCommand
  | OpenProgramCommand
  | AcceptCallCommand
  | IntendCallCommand
  | WithdrawIntentCommand
  | AnswerCallCommand
  | FailCallCommand
  | EndProgramCommand
  | ForgetProgramCommand
  | RequestSliceCommand
  | ReceiveSliceCommand
  | ReturnSliceCommand
  | SettleReturnCommand
  | GrantSliceCommand
  | BookReturnCommand;
