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

/** Fills the log of a new leader's term. */
export interface NoopCommand {
  readonly type: 'noop';
}

/** Replaces the shard's voters; takes effect when it is appended. */
export interface ChangeVotersCommand {
  readonly type: 'changeVoters';
  readonly voters: readonly NodeId[];
}

/** Opens a program, or does nothing when it is open already. */
export interface OpenProgramCommand {
  readonly type: 'openProgram';
  /** Milliseconds since 1970 at the proposer. */
  readonly at: number;
  readonly program: ProgramId;
  readonly group: GroupName;
}

/** Takes a call into its program's order and reserves its worst cost. */
export interface AcceptCallCommand {
  readonly type: 'acceptCall';
  readonly at: number;
  readonly request: CallRequest;
  /** Tokens taken from the group's slice until the call ends. */
  readonly reserve: number;
  readonly limits: ProgramLimits;
}

/** Bounds that end a program's loop; 0 in no field means unlimited. */
export interface ProgramLimits {
  /** Most calls of one program. */
  readonly maximumTurns: number;
  /** Most tokens of one program's history. */
  readonly maximumHistoryTokens: number;
  /** Deepest nesting of sub-agents. */
  readonly maximumDepth: number;
  /** Longest life of a program, in milliseconds. */
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

/** Takes an intent back: the engine provably refused the order, so the call may go elsewhere. */
export interface WithdrawIntentCommand {
  readonly type: 'withdrawIntent';
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly engine: EngineId;
}

/** Ends a call with its answer; its messages and the answer join the history. */
export interface AnswerCallCommand {
  readonly type: 'answerCall';
  readonly at: number;
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly text: string;
  readonly usage: Usage;
}

/** Ends a call without an answer; the history stays as it was. */
export interface FailCallCommand {
  readonly type: 'failCall';
  readonly at: number;
  readonly program: ProgramId;
  readonly sequence: number;
  readonly call: CallId;
  readonly error: CallError;
  readonly usage: Usage;
}

/** Why a program is over. */
export type ProgramEnd = 'finished' | 'stopped' | 'expired';
/** Every reason, in wire order; append only. */
export const PROGRAM_ENDS: readonly ProgramEnd[] = ['finished', 'stopped', 'expired'];

/** Ends a program; it takes no further calls. */
export interface EndProgramCommand {
  readonly type: 'endProgram';
  readonly at: number;
  readonly program: ProgramId;
  readonly reason: ProgramEnd;
}

/** Forgets a program that ended long ago. */
export interface ForgetProgramCommand {
  readonly type: 'forgetProgram';
  readonly program: ProgramId;
}

/** Program shard: decides to ask the ledger for slice `number`; the amount is fixed from here on. */
export interface RequestSliceCommand {
  readonly type: 'requestSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly amount: number;
}

/** Program shard: the ledger's answer to slice `number`. */
export interface ReceiveSliceCommand {
  readonly type: 'receiveSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly granted: number;
}

/** Program shard: takes unused tokens out of its slice, to be booked by the ledger. */
export interface ReturnSliceCommand {
  readonly type: 'returnSlice';
  readonly group: GroupName;
  readonly number: number;
  readonly amount: number;
}

/** Program shard: the ledger has booked return `number`. */
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
  /** The group's whole budget, in tokens, as configured when this was proposed. */
  readonly budget: number;
}

/** Ledger shard: books a returned part, once for each (holder, number). */
export interface BookReturnCommand {
  readonly type: 'bookReturn';
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Everything a shard's log may hold. */
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
