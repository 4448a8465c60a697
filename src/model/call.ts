/** Types of a call: its request, its events and its answer. */
import type { CallId, GroupName, ProgramId, ServiceName } from './identifiers.js';
import type { ChatMessage } from './chat.js';
import type { CallError } from './verdict.js';

/** Scheduling class of a call; urgent precedes interactive, interactive precedes batch. */
export type CallClass = 'urgent' | 'interactive' | 'batch';

/** All classes, most urgent first, in the order of the wire format. */
export const CALL_CLASSES: readonly CallClass[] = ['urgent', 'interactive', 'batch'];

/** A validated and authenticated call, as the shard owner receives it. */
export interface CallRequest {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly service: ServiceName;
  readonly callClass: CallClass;
  /** Sequence number in the program, from 1; 0 takes the next one. */
  readonly sequence: number;
  /** Empty when the caller set none. */
  readonly idempotencyKey: string;
  /** False for a request that must run at most once, such as a payment. */
  readonly repeatable: boolean;
  /** New messages only; the shard owner holds the history. Empty for a tool call. */
  readonly messages: readonly ChatMessage[];
  /** Body of a tool call; empty for a chat call. */
  readonly payload: string;
  /** Upper bound of the tokens of the answer. */
  readonly maximumTokens: number;
  /** Time for which the caller waits, from the receipt of the request. */
  readonly timeoutMilliseconds: number;
  /** True when the program ends with this call's answer. */
  readonly endsProgram: boolean;
  /** Text that the caller received from a previous shard owner, which has failed. */
  readonly receivedText: string;
}

/** Tokens used by a call, as counted by the back end. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** The complete answer of a call. */
export interface Answer {
  readonly call: CallId;
  readonly sequence: number;
  readonly text: string;
  readonly usage: Usage;
}

/** Events of a call: any number of pieces, then exactly one `answered` or `failed`. */
export type CallEvent =
  | { readonly type: 'piece'; readonly offset: number; readonly text: string }
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'failed'; readonly error: CallError };

/** Receives the events of one call. */
export type CallListener = (event: CallEvent) => void;

/** Usage of a call that did not reach a back end. */
export const NO_USAGE: Usage = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
