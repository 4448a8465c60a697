/** The messages between nodes, as a tagged union of immutable plain data. */
import type {
  CallId,
  EngineId,
  GroupName,
  NodeId,
  ProgramId,
  ServiceName,
  ShardId,
} from '../model/identifiers.js';
import type { CallClass, CallEvent, CallRequest, Usage } from '../model/call.js';
import type { LogEntry } from '../replication/log-entry.js';

/** Leader to follower: the entries after `previousIndex`; none in a heartbeat. */
export interface AppendEntries {
  readonly type: 'appendEntries';
  readonly shard: ShardId;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  /** Send time in milliseconds on the leader's monotonic clock; echoed by the reply, extends the lease. */
  readonly sentAt: number;
  readonly entries: readonly LogEntry[];
}

/** Follower to leader: how far its log matches the leader's. */
export interface AppendReply {
  readonly type: 'appendReply';
  readonly shard: ShardId;
  readonly term: number;
  readonly success: boolean;
  /** Highest index known to match; on failure, the index after which the leader should retry. */
  readonly matchIndex: number;
  readonly sentAt: number;
}

/** Candidate to voter: requests a vote. */
export interface VoteRequest {
  readonly type: 'voteRequest';
  readonly shard: ShardId;
  readonly term: number;
  /** True for a pre-vote, which asks whether an election could be won and changes no state. */
  readonly preVote: boolean;
  /** True when the leader itself asked for the election (leadership transfer). */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Voter to candidate: grants or denies a vote. */
export interface VoteReply {
  readonly type: 'voteReply';
  readonly shard: ShardId;
  readonly term: number;
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Leader to a follower whose missing entries are no longer in the log. */
export interface InstallSnapshot {
  readonly type: 'installSnapshot';
  readonly shard: ShardId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly voters: readonly NodeId[];
  readonly state: string;
  readonly sentAt: number;
}

/** Leader to the follower that should take over at once. */
export interface TimeoutNow {
  readonly type: 'timeoutNow';
  readonly shard: ShardId;
  readonly term: number;
}

/** Gateway to a shard's leader: runs a call; may be sent again with the same call identifier. */
export interface SubmitCall {
  readonly type: 'submitCall';
  readonly shard: ShardId;
  readonly request: CallRequest;
}

/** Shard owner to gateway: one event of a call. */
export interface CallEventMessage {
  readonly type: 'callEvent';
  readonly call: CallId;
  readonly event: CallEvent;
}

/** Reply of a node that does not lead the shard; `hint` is the node believed to lead, or empty. */
export interface NotLeader {
  readonly type: 'notLeader';
  readonly shard: ShardId;
  readonly call: CallId;
  readonly hint: NodeId;
}

/** Gateway to shard owner: asks which of its calls the owner still tracks. Sent about once a second. */
export interface CallProbe {
  readonly type: 'callProbe';
  readonly calls: readonly CallId[];
}

/** Shard owner to gateway: which of the probed calls it does not track. */
export interface CallProbeReply {
  readonly type: 'callProbeReply';
  readonly probed: readonly CallId[];
  readonly unknown: readonly CallId[];
}

/** Actions on a program that a gateway can request from the shard's leader. */
export type ProgramAction = 'open' | 'describe' | 'history' | 'end' | 'stop' | 'findCall';
/** Every program action, in wire order; append-only. */
export const PROGRAM_ACTIONS: readonly ProgramAction[] = [
  'open',
  'describe',
  'history',
  'end',
  'stop',
  'findCall',
];

/** Gateway to a shard's leader: reads or changes one program. `call` identifies the request. */
export interface ProgramRequest {
  readonly type: 'programRequest';
  readonly shard: ShardId;
  readonly call: CallId;
  readonly action: ProgramAction;
  /** The program; for `findCall`, the call to look up. */
  readonly program: ProgramId;
  /** Group of the caller; empty for an operator. */
  readonly group: GroupName;
}

/** Reply to a program request: an HTTP-like status and a JSON body. */
export interface ProgramReply {
  readonly type: 'programReply';
  readonly call: CallId;
  readonly status: number;
  readonly body: string;
}

/** A call that waits for an engine, with the properties that scheduling depends on. */
export interface CallTicket {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly callClass: CallClass;
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Number of turns that the program has finished. */
  readonly turn: number;
  /** Cost units spent so far on the program and its sub-agents. */
  readonly attainedService: number;
  /** Milliseconds since the program's first call. */
  readonly programAge: number;
  /** Milliseconds since this call was accepted. */
  readonly waited: number;
  /** Milliseconds left until the call's deadline. */
  readonly deadlineIn: number;
  /** Prefixes of the prompt, longest first. */
  readonly prefixes: readonly PromptPrefix[];
  /** True when the program ends with this call. */
  readonly endsProgram: boolean;
  /** Engine that must not get the call again; empty for none. */
  readonly avoidEngine: EngineId;
}

/** A prefix of a prompt, which an engine may have cached. */
export interface PromptPrefix {
  readonly name: string;
  readonly tokens: number;
}

/** A call that runs on an engine according to its shard owner. */
export interface RunningCall {
  readonly call: CallId;
  readonly engine: EngineId;
  readonly program: ProgramId;
  readonly group: GroupName;
}

/** Shard owner to pool scheduler: the owner's calls in the pool. Also enqueues new calls. */
export interface PoolReport {
  readonly type: 'poolReport';
  readonly service: ServiceName;
  /** The pool's shard. */
  readonly shard: ShardId;
  /** Shard that owns the calls. */
  readonly from: ShardId;
  /** True when the report lists all calls of the owner; the scheduler drops its others. */
  readonly complete: boolean;
  readonly waiting: readonly CallTicket[];
  readonly running: readonly RunningCall[];
}

/** Pool scheduler to shard owner: acknowledges a complete report. */
export interface PoolAcknowledgement {
  readonly type: 'poolAcknowledgement';
  /** The pool's shard. */
  readonly shard: ShardId;
}

/** Pool scheduler to shard owner: sends a call to an engine. */
export interface PoolAssignment {
  readonly type: 'poolAssignment';
  readonly service: ServiceName;
  readonly call: CallId;
  readonly engine: EngineId;
  /** Shard of the scheduler; with its term, the fencing token by which engines refuse older schedulers. */
  readonly shard: ShardId;
  readonly term: number;
}

/** Pool scheduler to shard owner: finally refuses a call. */
export interface PoolRefusal {
  readonly type: 'poolRefusal';
  readonly service: ServiceName;
  readonly call: CallId;
  readonly detail: string;
  readonly retryAfterSeconds: number;
}

/** How a call ended on its engine. */
export type FinishOutcome = 'answered' | 'failed' | 'cancelled' | 'refused';
/** Every outcome, in wire order; append-only. */
export const FINISH_OUTCOMES: readonly FinishOutcome[] = [
  'answered',
  'failed',
  'cancelled',
  'refused',
];

/** Shard owner to pool scheduler: a call has ended on its engine. */
export interface PoolFinished {
  readonly type: 'poolFinished';
  readonly service: ServiceName;
  readonly call: CallId;
  readonly program: ProgramId;
  readonly engine: EngineId;
  readonly outcome: FinishOutcome;
  readonly usage: Usage;
  readonly serviceMilliseconds: number;
}

/** To the pool schedulers that may hold memory for a program: the program has ended. */
export interface ProgramGone {
  readonly type: 'programGone';
  readonly program: ProgramId;
}

/** Pool scheduler to a shard's leader: asks which programs have ended; answered by `ProgramGone`. */
export interface HoldCheck {
  readonly type: 'holdCheck';
  readonly shard: ShardId;
  readonly programs: readonly ProgramId[];
}

/** Program shard to ledger shard: requests slice `number` for the holder; resent until answered. */
export interface SliceRequest {
  readonly type: 'sliceRequest';
  readonly ledgerShard: ShardId;
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Ledger shard to program shard: the amount granted for a slice. */
export interface SliceReply {
  readonly type: 'sliceReply';
  readonly holder: ShardId;
  readonly group: GroupName;
  readonly number: number;
  readonly granted: number;
}

/** Program shard to ledger shard: returns the unused part of its slices; resent until settled. */
export interface SliceReturn {
  readonly type: 'sliceReturn';
  readonly ledgerShard: ShardId;
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Ledger shard to program shard: the return has been recorded. */
export interface SliceReturnSettled {
  readonly type: 'sliceReturnSettled';
  readonly holder: ShardId;
  readonly group: GroupName;
  readonly number: number;
}

/** Gossip: the configuration revision that is in force at the sender. */
export interface ConfigurationAnnounce {
  readonly type: 'configurationAnnounce';
  readonly revision: number;
  /** True when the receiver should answer with its own revision. */
  readonly wantsReply: boolean;
}

/** Requests the configuration changes after a revision. */
export interface ConfigurationFetch {
  readonly type: 'configurationFetch';
  readonly revision: number;
}

/** The complete configuration at one revision, as JSON. */
export interface ConfigurationTransfer {
  readonly type: 'configurationTransfer';
  readonly revision: number;
  readonly documents: string;
}

/**
 * Changes of the configuration, as JSON lists. Can be applied to any revision from `fromRevision` on,
 * since each listed document is complete.
 */
export interface ConfigurationChanges {
  readonly type: 'configurationChanges';
  readonly fromRevision: number;
  readonly revision: number;
  /** Documents that were added or changed, with their new contents. */
  readonly documents: string;
  /** Kinds and names of removed documents. */
  readonly removed: string;
}

/** Requests a node's rows of one table for an operator's query; the sender merges the replies. */
export interface RowsRequest {
  readonly type: 'rowsRequest';
  readonly query: string;
  readonly table: string;
}

/** Rows of one node for a query, as a JSON array. */
export interface RowsReply {
  readonly type: 'rowsReply';
  readonly query: string;
  readonly rows: string;
}

/** Any message between nodes. */
export type Message =
  | ReplicationMessage
  | AccountingMessage
  | SubmitCall
  | CallEventMessage
  | NotLeader
  | CallProbe
  | CallProbeReply
  | ProgramRequest
  | ProgramReply
  | ConfigurationAnnounce
  | ConfigurationFetch
  | ConfigurationTransfer
  | ConfigurationChanges
  | RowsRequest
  | RowsReply;

/** Messages between owners, pool schedulers and ledgers. */
export type AccountingMessage =
  | PoolReport
  | PoolAcknowledgement
  | PoolAssignment
  | PoolRefusal
  | PoolFinished
  | ProgramGone
  | HoldCheck
  | SliceRequest
  | SliceReply
  | SliceReturn
  | SliceReturnSettled;

/** Messages handled by a shard's replica. */
export type ReplicationMessage =
  AppendEntries | AppendReply | VoteRequest | VoteReply | InstallSnapshot | TimeoutNow;

/** Sends messages between nodes; may lose, delay or reorder them, but never alters them. */
export interface Transport {
  /** Sends without waiting; a message to an unknown or dead node is lost. */
  send(to: NodeId, message: Message): void;
}
