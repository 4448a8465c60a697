/** What the pool scheduler is told of a waiting call. */
import { countTokens, digestConversation } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import type { CallRequest } from '../model/call.js';
import type { CallTicket, PromptPrefix } from '../wire/messages.js';
import type { LiveCall } from './live-call.js';
import type { ProgramRecord } from './program-record.js';
import { rootOf } from './program-name.js';
import type { ShardState } from './shard-state.js';

/** Tokens a call's prompt has: the program's history and the new messages. */
export function promptTokensOf(program: ProgramRecord | undefined, request: CallRequest): number {
  return (program?.historyTokens ?? 0) + countTokens(request.messages) + request.payload.length / 4;
}

/** Worst cost of a call in tokens, reserved before it is taken. */
export function worstCaseTokens(program: ProgramRecord | undefined, request: CallRequest): number {
  return Math.ceil(promptTokensOf(program, request)) + request.maximumTokens;
}

/** The conversation a call is answered from. */
export function conversationOf(program: ProgramRecord, request: CallRequest): ChatMessage[] {
  return request.messages.length === 0 ? [] : [...program.history, ...request.messages];
}

/** Names what an engine may already hold of a prompt: the history, then the leading instructions. */
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

/** Service attained by the whole program, sub-agents included, in tokens. */
function attainedServiceWithRoot(state: ShardState, program: ProgramRecord): number {
  const root = state.programs.get(rootOf(program.program));
  return program.attainedService + (root === program ? 0 : (root?.attainedService ?? 0));
}

/** Builds the ticket of a call that is next in its program's order. */
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
