/**
 * Attributes the time of programs to causes. Each interval between a program's first request and its
 * last answer counts for one cause, along the critical path: of several concurrent requests, the one
 * that ends last is the one that the program waits for.
 */
import type { ProgramTrace, RequestTrace } from './program-traces.js';

/** Causes in the order of their columns in reports. */
export const TIME_CAUSES = [
  'before the first try',
  'tried again',
  'waiting at the runner',
  'reading',
  'generating',
  'tool calls',
  'refused',
  'answers lost',
  'client pauses',
] as const;

/** Cause to which an interval is attributed. */
export type TimeCause = (typeof TIME_CAUSES)[number];

/** Milliseconds by cause. */
export type TimeSplit = Readonly<Record<TimeCause, number>>;

interface Phase {
  readonly from: number;
  readonly until: number;
  readonly cause: TimeCause;
}

/** Phases of one request, consecutive from its arrival to its end. */
function phasesOf(request: RequestTrace): Phase[] {
  const { arrivedAt, sentAt, firstByteAt, endedAt } = request;
  if (request.outcome === 'refused') {
    return [{ from: arrivedAt, until: endedAt, cause: 'refused' }];
  }
  if (request.outcome !== 'answered' || sentAt === undefined) {
    return [{ from: arrivedAt, until: endedAt, cause: 'answers lost' }];
  }
  const before: Phase = { from: arrivedAt, until: sentAt, cause: 'before the first try' };
  const answeredAt = firstByteAt ?? endedAt;
  if (request.tries > 1) {
    const retries: Phase = { from: sentAt, until: answeredAt, cause: 'tried again' };
    return [before, retries, { from: answeredAt, until: endedAt, cause: answerCause(request) }];
  }
  if (request.events <= 0) {
    return [before, { from: sentAt, until: endedAt, cause: 'tool calls' }];
  }
  const prefillStartedAt = Math.max(sentAt, answeredAt - request.prefillMilliseconds);
  return [
    before,
    { from: sentAt, until: prefillStartedAt, cause: 'waiting at the runner' },
    { from: prefillStartedAt, until: answeredAt, cause: 'reading' },
    { from: answeredAt, until: endedAt, cause: 'generating' },
  ];
}

function answerCause(request: RequestTrace): TimeCause {
  return request.events > 0 ? 'generating' : 'tool calls';
}

function emptySplit(): Record<TimeCause, number> {
  return Object.fromEntries(TIME_CAUSES.map((cause) => [cause, 0])) as Record<TimeCause, number>;
}

/** Splits one program's time by cause; the parts add up to the time from its start to its end. */
export function splitTime(program: ProgramTrace): TimeSplit {
  const split = emptySplit();
  let now = program.startedAt;
  while (now < program.endedAt) {
    const active = program.requests.filter((one) => one.arrivedAt <= now && one.endedAt > now);
    const upcoming = program.requests.filter((one) => one.arrivedAt > now);
    const nextArrival = Math.min(program.endedAt, ...upcoming.map((one) => one.arrivedAt));
    if (active.length === 0) {
      split['client pauses'] += nextArrival - now;
      now = nextArrival;
      continue;
    }
    const latest = active.reduce((left, right) => (right.endedAt > left.endedAt ? right : left));
    const phase = phasesOf(latest).find((one) => one.until > now)!;
    const phaseEnd = Math.min(phase.until, nextArrival > now ? nextArrival : phase.until);
    split[phase.cause] += phaseEnd - now;
    now = phaseEnd;
  }
  return split;
}

/** Mean times of the programs of one kind and outcome. */
export interface LossRow {
  /** Route of the program's first request. */
  readonly kind: string;
  readonly outcome: string;
  readonly programs: number;
  /** Mean milliseconds by cause. */
  readonly mean: TimeSplit;
}

/** Groups programs by kind and outcome, the most frequent group first. */
export function lossRows(programs: readonly ProgramTrace[]): LossRow[] {
  const groups = new Map<string, ProgramTrace[]>();
  for (const program of programs) {
    const key = `${program.requests[0]!.route}\n${program.outcome}`;
    groups.set(key, [...(groups.get(key) ?? []), program]);
  }
  const rows = [...groups].map(([key, members]) => {
    const [kind, outcome] = key.split('\n');
    return { kind: kind!, outcome: outcome!, programs: members.length, mean: meanSplit(members) };
  });
  return rows.sort((left, right) => right.programs - left.programs);
}

function meanSplit(programs: readonly ProgramTrace[]): TimeSplit {
  const mean = emptySplit();
  for (const split of programs.map(splitTime)) {
    TIME_CAUSES.forEach((cause) => {
      mean[cause] += split[cause] / programs.length;
    });
  }
  return mean;
}

/** Counts of the programs that started within one time window. */
export interface LossWindow {
  /** Start of the window, in seconds since the start of the first program. */
  readonly second: number;
  readonly begun: number;
  readonly late: number;
  readonly failed: number;
  /** Cause with the largest mean time among late and failed programs; empty when there are none. */
  readonly mainCause: string;
}

const MILLISECONDS_IN_SECOND = 1_000;

/** Counts programs by the window in which they started. */
export function lossWindows(programs: readonly ProgramTrace[], seconds: number): LossWindow[] {
  const first = programs[0]?.startedAt ?? 0;
  const windows = new Map<number, ProgramTrace[]>();
  for (const program of programs) {
    const passed = (program.startedAt - first) / MILLISECONDS_IN_SECOND;
    const second = Math.floor(passed / seconds) * seconds;
    windows.set(second, [...(windows.get(second) ?? []), program]);
  }
  return [...windows].map(([second, members]) => windowOf(second, members));
}

function windowOf(second: number, members: readonly ProgramTrace[]): LossWindow {
  const late = members.filter(({ outcome }) => outcome === 'late');
  const failed = members.filter(({ outcome }) => outcome === 'failed');
  const unsuccessful = [...late, ...failed];
  const mean = meanSplit(unsuccessful);
  const largest = TIME_CAUSES.reduce((left, right) => (mean[right] > mean[left] ? right : left));
  return {
    second,
    begun: members.length,
    late: late.length,
    failed: failed.length,
    mainCause: unsuccessful.length > 0 ? largest : '',
  };
}
