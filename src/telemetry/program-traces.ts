/** Reconstructs programs from the log lines that gateways write at the end of each request. */
import type { LogLine } from './log-lines.js';

/** Outcome of a program, derived from its last request. */
export type ProgramOutcome =
  /** The last request was answered before the program's deadline. */
  | 'in time'
  /** The last request was answered after the program's deadline. */
  | 'late'
  /** The last request was aborted, lost, abandoned by its client or refused for another reason than below. */
  | 'failed'
  /** The tenant's budget is spent, or the turn that the request continues does not exist. */
  | 'stopped';

/** One request of a program; times in milliseconds since 1970. */
export interface RequestTrace {
  readonly route: string;
  readonly arrivedAt: number;
  /** First time at which the request was sent to a runner; undefined if it never was. */
  readonly sentAt: number | undefined;
  /** First byte sent to the client; undefined if there was none. */
  readonly firstByteAt: number | undefined;
  readonly endedAt: number;
  readonly outcome: string;
  readonly status: number;
  readonly tries: number;
  /** Events of a streamed answer; 0 for other answers. */
  readonly events: number;
  /** The gateway's estimate of the prefill time of the uncached part of the prompt. */
  readonly prefillMilliseconds: number;
}

/** One program; times in milliseconds since 1970. */
export interface ProgramTrace {
  readonly program: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly deadlineAt: number;
  readonly outcome: ProgramOutcome;
  /** Requests by arrival. */
  readonly requests: readonly RequestTrace[];
}

const END_EVENT = 'relay.end';
const STATUS_BUDGET_SPENT = 402;
const STATUS_NO_SUCH_TURN = 404;
const FIRST_SERVER_ERROR = 500;

function fieldNumber(line: LogLine, field: string): number {
  return Number(line.fields[field] ?? -1);
}

function traceRequest(line: LogLine): RequestTrace {
  const arrivedAt = line.time - fieldNumber(line, 'total');
  const after = (milliseconds: number): number | undefined =>
    milliseconds < 0 ? undefined : arrivedAt + milliseconds;
  return {
    route: String(line.fields['route'] ?? ''),
    arrivedAt,
    sentAt: after(fieldNumber(line, 'beforeDispatch')),
    firstByteAt: after(fieldNumber(line, 'firstByte')),
    endedAt: line.time,
    outcome: String(line.fields['outcome'] ?? ''),
    status: fieldNumber(line, 'status'),
    tries: fieldNumber(line, 'tries'),
    events: fieldNumber(line, 'events'),
    prefillMilliseconds: Math.max(0, fieldNumber(line, 'reading')),
  };
}

function outcomeOf(last: RequestTrace, deadlineAt: number): ProgramOutcome {
  if (last.status === STATUS_BUDGET_SPENT || last.status === STATUS_NO_SUCH_TURN) {
    return 'stopped';
  }
  if (last.outcome !== 'answered' || last.status >= FIRST_SERVER_ERROR) {
    return 'failed';
  }
  return last.endedAt > deadlineAt ? 'late' : 'in time';
}

/** Traces of the programs that have a deadline, by start. */
export function tracePrograms(lines: readonly LogLine[]): ProgramTrace[] {
  const byProgram = new Map<string, LogLine[]>();
  for (const line of lines) {
    const program = String(line.fields['program'] ?? '');
    if (line.event === END_EVENT && program !== '' && fieldNumber(line, 'deadline') >= 0) {
      byProgram.set(program, [...(byProgram.get(program) ?? []), line]);
    }
  }
  const traces = [...byProgram].map(([program, programLines]) =>
    traceProgram(program, programLines),
  );
  return traces.sort((left, right) => left.startedAt - right.startedAt);
}

function traceProgram(program: string, lines: readonly LogLine[]): ProgramTrace {
  const pairs = lines.map((line) => ({ line, trace: traceRequest(line) }));
  pairs.sort((left, right) => left.trace.arrivedAt - right.trace.arrivedAt);
  const requests = pairs.map(({ trace }) => trace);
  const first = pairs[0]!;
  const last = requests.reduce((left, right) => (right.endedAt >= left.endedAt ? right : left));
  const deadlineAt = first.trace.arrivedAt + fieldNumber(first.line, 'deadline');
  return {
    program,
    startedAt: first.trace.arrivedAt,
    endedAt: last.endedAt,
    deadlineAt,
    outcome: outcomeOf(last, deadlineAt),
    requests,
  };
}
