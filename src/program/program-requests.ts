/** Handles requests to open, read and end programs at the shard owner. */
import type { GroupName, ProgramId } from '../model/identifiers.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';
import { httpStatusOf } from '../model/verdict.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { ProgramRequest } from '../wire/messages.js';
import type { Runtime } from '../runtime/runtime.js';
import type { CallRecord, ProgramRecord } from './program-record.js';
import type { ShardOwner } from './shard-owner.js';

/** An HTTP response that the gateway forwards to the client. */
export interface ProgramAnswer {
  readonly status: number;
  readonly body: string;
}

/**
 * Receives the answer, at most once. It is not called if leadership is lost; the gateway retries
 * then.
 */
export type ProgramAnswerListener = (answer: ProgramAnswer) => void;

/** A program as returned to callers and operators. */
export interface ProgramView {
  readonly program: ProgramId;
  readonly group: GroupName;
  readonly state: string;
  readonly turns: number;
  readonly historyTokens: number;
  readonly historyDigest: string;
  /** Milliseconds since 1970. */
  readonly openedAt: number;
  /** Milliseconds since 1970. */
  readonly lastActivityAt: number;
  readonly attainedTokens: number;
  readonly calls: readonly CallView[];
}

/** A call as returned to callers and operators. */
export interface CallView {
  readonly call: string;
  readonly sequence: number;
  readonly state: string;
  readonly engine: string;
  readonly text: string | null;
  readonly usage: CallRecord['usage'] | null;
  readonly error: CallError | null;
}

function viewCall(record: CallRecord): CallView {
  return {
    call: record.call,
    sequence: record.sequence,
    state: record.status,
    engine: record.engine ?? '',
    text: record.text ?? null,
    usage: record.usage ?? null,
    error: record.error ?? null,
  };
}

export function viewProgram(program: ProgramRecord): ProgramView {
  return {
    program: program.program,
    group: program.group,
    state: program.end ?? 'open',
    turns: program.nextSequence - 1,
    historyTokens: program.historyTokens,
    historyDigest: program.historyDigest,
    openedAt: program.openedAt,
    lastActivityAt: program.lastActivityAt,
    attainedTokens: program.attainedService,
    calls: [...program.calls.values()].map(viewCall),
  };
}

function errorAnswer(error: CallError): ProgramAnswer {
  return { status: httpStatusOf(error), body: JSON.stringify({ error }) };
}

/** Handles one request. The caller has checked that this node leads the shard. */
export function answerProgramRequest(
  host: ShardHost,
  owner: ShardOwner,
  runtime: Runtime,
  request: ProgramRequest,
  answer: ProgramAnswerListener,
): void {
  const { action, program: name, group } = request;
  if (action === 'open') {
    openProgram(host, runtime, request, answer);
    return;
  }
  if (action === 'findCall') {
    answer(findCall(host, name, group));
    return;
  }
  const program = host.state.programs.get(name);
  if (program === undefined || (group !== '' && program.group !== group)) {
    answer(errorAnswer(notRun('NotFound', `There is no program ${name} in this group.`)));
    return;
  }
  switch (action) {
    case 'describe':
      answer({ status: 200, body: JSON.stringify(viewProgram(program)) });
      return;
    case 'history': {
      const { history, historyDigest } = program;
      answer({ status: 200, body: JSON.stringify({ program: name, historyDigest, history }) });
      return;
    }
    case 'end':
    case 'stop':
      owner.endProgram(name, action === 'end' ? 'finished' : 'stopped', () => {
        // The program may have been ended by another proposal, so check the state, not the result.
        if (program.end !== undefined && host.canServe()) {
          answer({ status: 200, body: JSON.stringify(viewProgram(program)) });
        }
      });
  }
}

function findCall(host: ShardHost, call: string, group: GroupName): ProgramAnswer {
  const location = host.state.callIndex.get(call);
  const program = location === undefined ? undefined : host.state.programs.get(location.program);
  const record = location === undefined ? undefined : program?.calls.get(location.sequence);
  if (record === undefined || (group !== '' && program?.group !== group)) {
    return errorAnswer(notRun('NotFound', `There is no call ${call} in this group.`));
  }
  return { status: 200, body: JSON.stringify({ ...viewCall(record), program: location?.program }) };
}

function openProgram(
  host: ShardHost,
  runtime: Runtime,
  request: ProgramRequest,
  answer: ProgramAnswerListener,
): void {
  const { program, group } = request;
  host.propose({ type: 'openProgram', at: runtime.wallTime(), program, group }, (result) => {
    if (result.type !== 'committed') {
      return;
    }
    const record = host.state.programs.get(program);
    if (result.outcome.type === 'refused') {
      answer(errorAnswer(result.outcome.error));
    } else if (record !== undefined) {
      answer({ status: 201, body: JSON.stringify(viewProgram(record)) });
    }
  });
}
