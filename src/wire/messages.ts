/** Every message one node sends another, as a tagged union. Fields are plain data, never changed. */
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

/** Leader to follower: entries after a known point; empty as a heartbeat. */
export interface AppendEntries {
  readonly type: 'appendEntries';
  readonly shard: ShardId;
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly commitIndex: number;
  /** Leader's monotonic milliseconds, echoed by the reply; basis of its lease. */
  readonly sentAt: number;
  readonly entries: readonly LogEntry[];
}

/** Follower to leader: how far its log now agrees. */
export interface AppendReply {
  readonly type: 'appendReply';
  readonly shard: ShardId;
  readonly term: number;
  readonly success: boolean;
  /** Last index known to agree; on a refusal, where to try next. */
  readonly matchIndex: number;
  readonly sentAt: number;
}

/** Candidate to voter. */
export interface VoteRequest {
  readonly type: 'voteRequest';
  readonly shard: ShardId;
  readonly term: number;
  /** A pre-vote asks whether an election could be won and changes no state. */
  readonly preVote: boolean;
  /** True when the leader itself asked for the election (leadership transfer). */
  readonly transfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Voter to candidate. */
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

/** Gateway to a shard's leader: run this call; may be repeated with the same call identifier. */
export interface SubmitCall {
  readonly type: 'submitCall';
  readonly shard: ShardId;
  readonly request: CallRequest;
}

/** Owner to gateway: one event of a call. */
export interface CallEventMessage {
  readonly type: 'callEvent';
  readonly call: CallId;
  readonly event: CallEvent;
}

/** The asked node does not lead the shard; the hint may be empty. */
export interface NotLeader {
  readonly type: 'notLeader';
  readonly shard: ShardId;
  readonly call: CallId;
  readonly hint: NodeId;
}

/** Gateway to an owner: do you still know these calls? Sent about once a second. */
export interface CallProbe {
  readonly type: 'callProbe';
  readonly calls: readonly CallId[];
}

/** Owner to gateway: of the probed calls, those it does not know. */
export interface CallProbeReply {
  readonly type: 'callProbeReply';
  readonly probed: readonly CallId[];
  readonly unknown: readonly CallId[];
}

/** What can be asked of a shard's leader about a program. */
export type ProgramAction = 'open' | 'describe' | 'history' | 'end' | 'stop' | 'findCall';
/** Every program action, in wire order; append only. */
export const PROGRAM_ACTIONS: readonly ProgramAction[] = [
  'open',
  'describe',
  'history',
  'end',
  'stop',
  'findCall',
];

/** Gateway to a shard's leader: act on, or read, one program. `call` names this request. */
export interface ProgramRequest {
  readonly type: 'programRequest';
  readonly shard: ShardId;
  readonly call: CallId;
  readonly action: ProgramAction;
  /** The program; for `findCall`, the call that is looked for. */
  readonly program: ProgramId;
  /** Group of the asker; empty for an operator. */
  readonly group: GroupName;
}

/** Reply to a program request: an HTTP-like status and a JSON body. */
export interface ProgramReply {
  readonly type: 'programReply';
  readonly call: CallId;
  readonly status: number;
  readonly body: string;
}

/** One call waiting for a back end, as the pool scheduler needs to see it. */
export interface CallTicket {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly callClass: CallClass;
  readonly repeatable: boolean;
  readonly promptTokens: number;
  readonly maximumTokens: number;
  /** Turns the program has finished. */
  readonly turn: number;
  /** Cost units the program has been served so far, with its children. */
  readonly attainedService: number;
  /** Milliseconds since the program's first call. */
  readonly programAge: number;
  /** Milliseconds since this call was accepted. */
  readonly waited: number;
  /** Milliseconds left until the caller gives up. */
  readonly deadlineIn: number;
  /** Names of the prefixes this prompt starts with, longest first, with their tokens. */
  readonly prefixes: readonly PromptPrefix[];
  /** True when the program ends with this call. */
  readonly endsProgram: boolean;
  /** Engine the call must not go to again, or empty. */
  readonly avoidEngine: EngineId;
}

/** A prefix of a prompt that an engine may still hold. */
export interface PromptPrefix {
  readonly name: string;
  readonly tokens: number;
}

/** A call that runs on an engine, as its owner sees it. */
export interface RunningCall {
  readonly call: CallId;
  readonly engine: EngineId;
  readonly program: ProgramId;
  readonly group: GroupName;
}

/** Owner to pool scheduler: everything this owner has in the pool; also how a call is enqueued. */
export interface PoolReport {
  readonly type: 'poolReport';
  readonly service: ServiceName;
  /** The pool's shard. */
  readonly shard: ShardId;
  /** The shard whose calls these are. */
  readonly from: ShardId;
  /** True when calls not listed are no longer this owner's. */
  readonly complete: boolean;
  readonly waiting: readonly CallTicket[];
  readonly running: readonly RunningCall[];
}

/** Pool scheduler to owner: a whole report of this shard has come. */
export interface PoolAcknowledgement {
  readonly type: 'poolAcknowledgement';
  /** The pool's shard. */
  readonly shard: ShardId;
}

/** Pool scheduler to owner: send this call to this engine now. */
export interface PoolAssignment {
  readonly type: 'poolAssignment';
  readonly service: ServiceName;
  readonly call: CallId;
  readonly engine: EngineId;
  /** Shard and term of the scheduler; the engine refuses lower terms. */
  readonly shard: ShardId;
  readonly term: number;
}

/** Pool scheduler to owner: this call cannot be served; final. */
export interface PoolRefusal {
  readonly type: 'poolRefusal';
  readonly service: ServiceName;
  readonly call: CallId;
  readonly detail: string;
  readonly retryAfterSeconds: number;
}

/** How a call left its engine. */
export type FinishOutcome = 'answered' | 'failed' | 'cancelled' | 'refused';
/** Every outcome, in wire order; append only. */
export const FINISH_OUTCOMES: readonly FinishOutcome[] = [
  'answered',
  'failed',
  'cancelled',
  'refused',
];

/** Owner to pool scheduler: the call left its engine. */
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

/** Owner to every pool scheduler that may hold memory for it: the program is over. */
export interface ProgramGone {
  readonly type: 'programGone';
  readonly program: ProgramId;
}

/** Pool scheduler to a shard's leader: which of these programs are over? */
export interface HoldCheck {
  readonly type: 'holdCheck';
  readonly shard: ShardId;
  readonly programs: readonly ProgramId[];
}

/** Program shard to ledger shard: slice `number` of the holder, asked again until answered. */
export interface SliceRequest {
  readonly type: 'sliceRequest';
  readonly ledgerShard: ShardId;
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Ledger shard to program shard. */
export interface SliceReply {
  readonly type: 'sliceReply';
  readonly holder: ShardId;
  readonly group: GroupName;
  readonly number: number;
  readonly granted: number;
}

/** Program shard to ledger shard: unused part of its slices, sent again until settled. */
export interface SliceReturn {
  readonly type: 'sliceReturn';
  readonly ledgerShard: ShardId;
  readonly group: GroupName;
  readonly holder: ShardId;
  readonly number: number;
  readonly amount: number;
}

/** Ledger shard to program shard: the return is booked. */
export interface SliceReturnSettled {
  readonly type: 'sliceReturnSettled';
  readonly holder: ShardId;
  readonly group: GroupName;
  readonly number: number;
}

/** Gossip: the newest configuration revision the sender has in force. */
export interface ConfigurationAnnounce {
  readonly type: 'configurationAnnounce';
  readonly revision: number;
  /** True when the receiver should answer with its own revision. */
  readonly wantsReply: boolean;
}

/** Asks for everything newer than a revision. */
export interface ConfigurationFetch {
  readonly type: 'configurationFetch';
  readonly revision: number;
}

/** The whole accepted configuration at one revision, as JSON. */
export interface ConfigurationTransfer {
  readonly type: 'configurationTransfer';
  readonly revision: number;
  readonly documents: string;
}

/**
 * What changed in the accepted configuration, as JSON lists. Applies to any revision from
 * `fromRevision` on, since documents are whole.
 */
export interface ConfigurationChanges {
  readonly type: 'configurationChanges';
  readonly fromRevision: number;
  readonly revision: number;
  /** Documents as they are now. */
  readonly documents: string;
  /** Kinds and names of documents that are gone. */
  readonly removed: string;
}

/** Operator's query, one statement, sent to every node and merged by the asker. */
export interface RowsRequest {
  readonly type: 'rowsRequest';
  readonly query: string;
  readonly table: string;
}

/** Rows of one node, as a JSON array. */
export interface RowsReply {
  readonly type: 'rowsReply';
  readonly query: string;
  readonly rows: string;
}

/** Everything that travels between nodes. */
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

/** Carries messages between nodes; may lose, delay or reorder them, never changes them. */
export interface Transport {
  /** Sends without waiting; a message to an unknown or dead node is lost. */
  send(to: NodeId, message: Message): void;
}
