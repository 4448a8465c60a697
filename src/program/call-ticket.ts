/** Builds the tickets that describe waiting calls to the pool scheduler. */
import { countTokens, digestConversation } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import type { CallRequest } from '../model/call.js';
import type { CallTicket, PromptPrefix } from '../wire/messages.js';
import type { LiveCall } from './live-call.js';
import type { ProgramRecord } from './program-record.js';
import { rootOf } from './program-name.js';
import type { ShardState } from './shard-state.js';

/**
 * Estimates the prompt tokens of a call: the program's history, the new messages, and the payload
 * at four characters per token.
 */
export function promptTokensOf(program: ProgramRecord | undefined, request: CallRequest): number {
  return (program?.historyTokens ?? 0) + countTokens(request.messages) + request.payload.length / 4;
}

/** Estimated upper bound of a call's tokens, reserved from the budget on acceptance. */
export function worstCaseTokens(program: ProgramRecord | undefined, request: CallRequest): number {
  return Math.ceil(promptTokensOf(program, request)) + request.maximumTokens;
}

/** Returns the history and the new messages, as sent to the engine; empty for a tool call. */
export function conversationOf(program: ProgramRecord, request: CallRequest): ChatMessage[] {
  return request.messages.length === 0 ? [] : [...program.history, ...request.messages];
}

/** Lists the prefixes that engines may have cached: the history, then the system message. */
function prefixesOf(program: ProgramRecord, request: CallRequest): PromptPrefix[] {
  const prefixes: PromptPrefix[] = [];
  if (program.historyTokens > 0) {
    prefixes.push({ name: program.program, tokens: program.historyTokens });
  }
  const first = program.history[0] ?? request.messages[0];
  if (first?.role === 'system') {
    const name = `system:${digestConversation([first])}`;
    prefixes.push({ name, tokens: countTokens([first]) });
  }
  return prefixes;
}

/** Tokens computed for the program and, if it is a sub-agent, for its root program. */
function attainedServiceWithRoot(state: ShardState, program: ProgramRecord): number {
  const root = state.programs.get(rootOf(program.program));
  return program.attainedService + (root === program ? 0 : (root?.attainedService ?? 0));
}

/**
 * Builds the ticket of a program's next call.
 *
 * @param now monotonic milliseconds
 * @param wallTime milliseconds since 1970
 */
export function createTicket(
  state: ShardState,
  program: ProgramRecord,
  call: LiveCall,
  now: number,
  wallTime: number,
): CallTicket {
  const { request } = call;
  const root = state.programs.get(rootOf(program.program)) ?? program;
  return {
    call: request.call,
    program: program.program,
    group: program.group,
    callClass: request.callClass,
    repeatable: request.repeatable,
    promptTokens: Math.ceil(promptTokensOf(program, request)),
    maximumTokens: request.maximumTokens,
    turn: call.sequence,
    attainedService: attainedServiceWithRoot(state, program),
    programAge: Math.max(0, wallTime - root.openedAt),
    waited: now - call.addedAt,
    deadlineIn: Math.max(0, call.addedAt + request.timeoutMilliseconds - now),
    prefixes: prefixesOf(program, request),
    endsProgram: request.endsProgram,
    avoidEngine: call.avoidEngine,
  };
}
