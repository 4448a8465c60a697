/** One call of a program: what its caller asks and what comes back. */
import type { CallId, GroupName, ProgramId, ServiceName } from './identifiers.js';
import type { ChatMessage } from './chat.js';
import type { CallError } from './verdict.js';

/** Urgency of a call: urgent before interactive before batch. */
export type CallClass = 'urgent' | 'interactive' | 'batch';

/** Every class, most urgent first; the order is that of the wire format. */
export const CALL_CLASSES: readonly CallClass[] = ['urgent', 'interactive', 'batch'];

/** A call as its owner receives it, checked and authenticated. */
export interface CallRequest {
  readonly call: CallId;
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly service: ServiceName;
  readonly callClass: CallClass;
  /** Place in the program's order, from 1; 0 takes the next one. */
  readonly sequence: number;
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string;
  /** False for a request that may run at most once, such as posting an order. */
  readonly repeatable: boolean;
  /** New messages only; the owner holds the history. Empty for a tool call. */
  readonly messages: readonly ChatMessage[];
  /** Body of a tool call; empty for a chat call. */
  readonly payload: string;
  /** Most tokens the answer may have. */
  readonly maximumTokens: number;
  /** Milliseconds the caller is willing to wait from now. */
  readonly timeoutMilliseconds: number;
  /** True when the program ends with this call's answer. */
  readonly endsProgram: boolean;
  /** Text the caller has already been sent by an owner that was lost. */
  readonly receivedText: string;
}

/** Tokens a call used, as the back end counted them. */
export interface Usage {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly completionTokens: number;
}

/** The whole answer of a call. */
export interface Answer {
  readonly call: CallId;
  readonly sequence: number;
  readonly text: string;
  readonly usage: Usage;
}

/** What a caller hears of its call, in order: pieces, then exactly one end. */
export type CallEvent =
  | { readonly type: 'piece'; readonly offset: number; readonly text: string }
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'failed'; readonly error: CallError };

/** Receives the events of one call. */
export type CallListener = (event: CallEvent) => void;

/** Usage of a call that reached no back end. */
export const NO_USAGE: Usage = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
