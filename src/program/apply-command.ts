/** Applies commands to a shard's state. The result depends only on the state and the command. */
import { hashText } from '../runtime/hashing.js';
import { chainDigest, countMessageTokens, EMPTY_HISTORY_DIGEST } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import type { CallRequest, Usage } from '../model/call.js';
import { NO_USAGE } from '../model/call.js';
import type { CallError } from '../model/verdict.js';
import { notRun } from '../model/verdict.js';
import {
  bookReturn,
  emptyLedger,
  emptySlice,
  grantSlice,
  reserveTokens,
  settleReservation,
} from '../budget/slices.js';
import type { LedgerState, SliceState } from '../budget/slices.js';
import type {
  AcceptCallCommand,
  AnswerCallCommand,
  Command,
  EndProgramCommand,
  FailCallCommand,
  IntendCallCommand,
  OpenProgramCommand,
  WithdrawIntentCommand,
} from './commands.js';
import { depthOf, isWithin, parentOf } from './program-name.js';
import { hasEnded } from './program-record.js';
import type { CallRecord, ProgramRecord } from './program-record.js';
import type { ShardState } from './shard-state.js';

/** Result of applying a command, passed to its proposer. */
export type CommandOutcome =
  | { readonly type: 'done' }
  /** The command was late or a duplicate and changed nothing. */
  | { readonly type: 'ignored' }
  | { readonly type: 'accepted'; readonly record: CallRecord }
  /** The call was accepted before; this is its record. */
  | { readonly type: 'repeated'; readonly record: CallRecord }
  | { readonly type: 'refused'; readonly error: CallError }
  /** Tokens of the granted slice. */
  | { readonly type: 'granted'; readonly granted: number };

const DONE: CommandOutcome = { type: 'done' };
const IGNORED: CommandOutcome = { type: 'ignored' };

/** Tokens charged for a call: prompt tokens, cached or not, and generated tokens. */
export function chargedTokens(usage: Usage): number {
  return usage.promptTokens + usage.completionTokens;
}

/** Digest of the parts of a request that are equal in a call and its duplicates. */
export function digestRequest(request: CallRequest): string {
  const { service, payload, messages, maximumTokens, repeatable } = request;
  return hashText(JSON.stringify([service, payload, messages, maximumTokens, repeatable]));
}

/** Returns the slice of a group, creating it if needed. */
export function sliceOf(state: ShardState, group: string): SliceState {
  let slice = state.slices.get(group);
  if (slice === undefined) {
    slice = emptySlice();
    state.slices.set(group, slice);
  }
  return slice;
}

function ledgerOf(state: ShardState, group: string): LedgerState {
  let ledger = state.ledgers.get(group);
  if (ledger === undefined) {
    ledger = emptyLedger();
    state.ledgers.set(group, ledger);
  }
  return ledger;
}

/** Applies a command to the state in place. */
export function applyCommand(state: ShardState, command: Command): CommandOutcome {
  switch (command.type) {
    case 'noop':
    case 'changeVoters':
      return DONE;
    case 'openProgram':
      return openProgram(state, command);
    case 'acceptCall':
      return acceptCall(state, command);
    case 'intendCall':
      return intendCall(state, command);
    case 'withdrawIntent':
      return withdrawIntent(state, command);
    case 'answerCall':
      return answerCall(state, command);
    case 'failCall':
      return failCall(state, command);
    case 'endProgram':
      return endProgram(state, command);
    case 'forgetProgram':
      return forgetProgram(state, command.program);
    case 'grantSlice': {
      const { group, holder, number, amount, budget } = command;
      const granted = grantSlice(ledgerOf(state, group), holder, number, amount, budget);
      return { type: 'granted', granted };
    }
    case 'bookReturn':
      bookReturn(ledgerOf(state, command.group), command.holder, command.number, command.amount);
      return DONE;
    default:
      return applyToSlice(sliceOf(state, command.group), command);
  }
}

type SliceCommand = Extract<
  Command,
  { type: 'requestSlice' | 'receiveSlice' | 'returnSlice' | 'settleReturn' }
>;

function applyToSlice(slice: SliceState, command: SliceCommand): CommandOutcome {
  switch (command.type) {
    case 'requestSlice':
      if (slice.requestAmount > 0 || command.number !== slice.requestNumber + 1) {
        return IGNORED;
      }
      slice.requestNumber = command.number;
      slice.requestAmount = command.amount;
      return DONE;
    case 'receiveSlice':
      if (slice.requestAmount === 0 || command.number !== slice.requestNumber) {
        return IGNORED;
      }
      slice.requestAmount = 0;
      slice.lastGranted = command.granted;
      slice.available += command.granted;
      return DONE;
    case 'returnSlice':
      if (slice.returnAmount > 0 || command.number !== slice.returnNumber + 1) {
        return IGNORED;
      }
      return startReturn(slice, command.number, command.amount);
    case 'settleReturn':
      if (command.number === slice.returnNumber) {
        slice.returnAmount = 0;
      }
      return DONE;
  }
}

function startReturn(slice: SliceState, number: number, amount: number): CommandOutcome {
  const returned = Math.min(amount, slice.available);
  if (returned === 0) {
    return IGNORED;
  }
  slice.available -= returned;
  slice.returnNumber = number;
  slice.returnAmount = returned;
  return DONE;
}

function newProgram(program: string, group: string, at: number): ProgramRecord {
  return {
    program,
    group,
    openedAt: at,
    lastActivityAt: at,
    nextSequence: 1,
    history: [],
    historyDigest: EMPTY_HISTORY_DIGEST,
    historyTokens: 0,
    attainedService: 0,
    calls: new Map(),
  };
}

function openProgram(state: ShardState, command: OpenProgramCommand): CommandOutcome {
  const known = state.programs.get(command.program);
  if (known !== undefined) {
    return known.group === command.group ? DONE : refuseOtherGroup();
  }
  const refusal = checkParent(state, command.program, command.group);
  if (refusal !== undefined) {
    return refuse(refusal);
  }
  state.programs.set(command.program, newProgram(command.program, command.group, command.at));
  return DONE;
}

function checkParent(state: ShardState, program: string, group: string): CallError | undefined {
  const parent = state.programs.get(parentOf(program));
  if (parent === undefined) {
    return undefined;
  }
  if (parent.group !== group) {
    return notRun('Forbidden', 'The parent program belongs to another group.');
  }
  return parent.end === undefined
    ? undefined
    : notRun('Stopped', `The parent program is over: ${parent.end}.`);
}

function refuse(error: CallError): CommandOutcome {
  return { type: 'refused', error };
}

function refuseOtherGroup(): CommandOutcome {
  return refuse(notRun('Forbidden', 'This program belongs to another group.'));
}

function acceptCall(state: ShardState, command: AcceptCallCommand): CommandOutcome {
  const { request } = command;
  const known = state.programs.get(request.program);
  // A new program is stored only if its first call is accepted.
  const program = known ?? newProgram(request.program, request.group, command.at);
  if (program.group !== request.group) {
    return refuseOtherGroup();
  }
  const earlier = findDuplicate(program, request);
  if (earlier !== undefined && !mayReplaceFailedCall(program, earlier, request)) {
    return resolveDuplicate(earlier, request);
  }
  const refusal =
    checkProgram(program, command) ?? checkParent(state, request.program, request.group);
  if (refusal !== undefined) {
    return refuse(refusal);
  }
  if (!reserveTokens(sliceOf(state, request.group), command.reserve)) {
    return refuse(notRun('BudgetSpent', `The budget of group ${request.group} is used up.`));
  }
  state.programs.set(program.program, program);
  return { type: 'accepted', record: recordCall(state, program, command) };
}

/** Finds an earlier call by the request's sequence; without one, by call id or idempotency key. */
function findDuplicate(program: ProgramRecord, request: CallRequest): CallRecord | undefined {
  if (request.sequence > 0) {
    return program.calls.get(request.sequence);
  }
  for (const record of program.calls.values()) {
    const sameKey =
      request.idempotencyKey !== '' && record.idempotencyKey === request.idempotencyKey;
    if (record.call === request.call || sameKey) {
      return record;
    }
  }
  return undefined;
}

/**
 * True if a request may replace an earlier call of the same sequence: one that provably did not run
 * and has no successor. A duplicate delivery of the earlier call itself is never accepted again,
 * since its caller may already have received the `NotRun` error.
 */
function mayReplaceFailedCall(
  program: ProgramRecord,
  earlier: CallRecord,
  request: CallRequest,
): boolean {
  const isLast = earlier.sequence === program.nextSequence - 1;
  const neverRan = earlier.status === 'failed' && earlier.error?.verdict === 'NotRun';
  return isLast && neverRan && earlier.call !== request.call && program.end === undefined;
}

function resolveDuplicate(earlier: CallRecord, request: CallRequest): CommandOutcome {
  if (earlier.requestDigest === digestRequest(request)) {
    return { type: 'repeated', record: earlier };
  }
  const detail = `Sequence ${earlier.sequence} was used by a different request.`;
  return refuse(notRun('Conflict', detail));
}

function checkProgram(program: ProgramRecord, command: AcceptCallCommand): CallError | undefined {
  const { request, limits, at } = command;
  if (program.end !== undefined) {
    return notRun('Stopped', `The program is over: ${program.end}.`);
  }
  if (request.sequence > program.nextSequence) {
    return notRun('Conflict', `Sequence ${program.nextSequence} comes first.`, 1);
  }
  if (program.nextSequence > limits.maximumTurns) {
    return notRun('LimitReached', `A program may have ${limits.maximumTurns} calls.`);
  }
  if (program.historyTokens > limits.maximumHistoryTokens) {
    return notRun('LimitReached', `A history may have ${limits.maximumHistoryTokens} tokens.`);
  }
  if (depthOf(program.program) > limits.maximumDepth) {
    return notRun('LimitReached', `Sub-agents may be nested ${limits.maximumDepth} deep.`);
  }
  if (at - program.openedAt > limits.maximumLifeMilliseconds) {
    return notRun('LimitReached', 'The program has reached its longest life.');
  }
  return undefined;
}

function recordCall(
  state: ShardState,
  program: ProgramRecord,
  command: AcceptCallCommand,
): CallRecord {
  const earlier = findDuplicate(program, command.request);
  const sequence = earlier?.sequence ?? program.nextSequence;
  const request: CallRequest = { ...command.request, sequence, receivedText: '' };
  const record: CallRecord = {
    call: request.call,
    sequence,
    status: 'accepted',
    acceptedAt: command.at,
    request,
    requestDigest: digestRequest(request),
    idempotencyKey: request.idempotencyKey,
    reserved: command.reserve,
  };
  program.nextSequence = sequence + 1;
  program.lastActivityAt = command.at;
  program.calls.set(sequence, record);
  state.callIndex.set(record.call, { program: program.program, sequence });
  return record;
}

function findUnfinished(
  state: ShardState,
  command: IntendCallCommand | WithdrawIntentCommand | AnswerCallCommand | FailCallCommand,
): { program: ProgramRecord; record: CallRecord } | undefined {
  const program = state.programs.get(command.program);
  const record = program?.calls.get(command.sequence);
  if (program === undefined || record === undefined || hasEnded(record)) {
    return undefined;
  }
  return record.call === command.call ? { program, record } : undefined;
}

function intendCall(state: ShardState, command: IntendCallCommand): CommandOutcome {
  const found = findUnfinished(state, command);
  if (found === undefined) {
    return IGNORED;
  }
  const { program, record } = found;
  const repeatable = record.request?.repeatable ?? false;
  // A second intent of a non-repeatable call would allow a second run.
  if (record.status === 'intended' && !repeatable) {
    return IGNORED;
  }
  program.calls.set(record.sequence, { ...record, status: 'intended', engine: command.engine });
  return DONE;
}

function withdrawIntent(state: ShardState, command: WithdrawIntentCommand): CommandOutcome {
  const found = findUnfinished(state, command);
  if (found === undefined || found.record.engine !== command.engine) {
    return IGNORED;
  }
  const { engine: _engine, ...rest } = found.record;
  found.program.calls.set(rest.sequence, { ...rest, status: 'accepted' });
  return DONE;
}

function endCall(
  state: ShardState,
  program: ProgramRecord,
  record: CallRecord,
  usage: Usage,
  at: number,
): CallRecord {
  settleReservation(sliceOf(state, program.group), record.reserved, chargedTokens(usage));
  program.lastActivityAt = at;
  program.attainedService += usage.promptTokens - usage.cachedTokens + usage.completionTokens;
  const { request: _request, ...rest } = record;
  return { ...rest, reserved: 0, usage };
}

function appendHistory(program: ProgramRecord, message: ChatMessage): void {
  program.history.push(message);
  program.historyDigest = chainDigest(program.historyDigest, message);
  program.historyTokens += countMessageTokens(message);
}

function answerCall(state: ShardState, command: AnswerCallCommand): CommandOutcome {
  const found = findUnfinished(state, command);
  if (found === undefined) {
    return IGNORED;
  }
  const { program, record } = found;
  const ended = endCall(state, program, record, command.usage, command.at);
  program.calls.set(record.sequence, { ...ended, status: 'answered', text: command.text });
  const messages = record.request?.messages ?? [];
  for (const message of messages) {
    appendHistory(program, message);
  }
  if (messages.length > 0) {
    appendHistory(program, { role: 'assistant', content: command.text });
  }
  if (record.request?.endsProgram === true) {
    program.end = 'finished';
  }
  return DONE;
}

function failCall(state: ShardState, command: FailCallCommand): CommandOutcome {
  const found = findUnfinished(state, command);
  if (found === undefined) {
    return IGNORED;
  }
  const { program, record } = found;
  const ended = endCall(state, program, record, command.usage, command.at);
  program.calls.set(record.sequence, { ...ended, status: 'failed', error: command.error });
  return DONE;
}

function endProgram(state: ShardState, command: EndProgramCommand): CommandOutcome {
  const program = state.programs.get(command.program);
  if (program === undefined || program.end !== undefined) {
    return IGNORED;
  }
  for (const member of state.programs.values()) {
    if (isWithin(member.program, program.program) && member.end === undefined) {
      endOneProgram(state, member, command);
    }
  }
  return DONE;
}

function endOneProgram(
  state: ShardState,
  program: ProgramRecord,
  command: EndProgramCommand,
): void {
  program.end = command.reason;
  program.lastActivityAt = command.at;
  for (const record of [...program.calls.values()]) {
    if (!hasEnded(record)) {
      stopCall(state, program, record, command.at);
    }
  }
}

function stopCall(state: ShardState, program: ProgramRecord, record: CallRecord, at: number): void {
  const verdict = record.status === 'intended' ? 'MayHaveRun' : 'NotRun';
  const error: CallError = {
    tag: 'Stopped',
    verdict,
    detail: 'The program was ended before this call had its answer.',
    retryAfterSeconds: 0,
  };
  // A call that may have run is charged its whole reservation.
  const usage = verdict === 'NotRun' ? NO_USAGE : { ...NO_USAGE, promptTokens: record.reserved };
  const ended = endCall(state, program, record, usage, at);
  program.calls.set(record.sequence, { ...ended, status: 'failed', error });
}

function forgetProgram(state: ShardState, name: string): CommandOutcome {
  const program = state.programs.get(name);
  if (program === undefined || program.end === undefined) {
    return IGNORED;
  }
  for (const record of program.calls.values()) {
    state.callIndex.delete(record.call);
  }
  state.programs.delete(name);
  return DONE;
}
