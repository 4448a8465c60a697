/** Checkers of the ten invariants. Each reads only a recorded run and describes every violation in it. */
import { digestConversation } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import { expectedAnswer, expectedToolResult } from '../emulator/answer-text.js';
import type { RecordedCall, RecordedHistory, RecordedRun } from './recorded-events.js';

/** A violation of an invariant by a run. */
export interface Violation {
  readonly condition: InvariantName;
  readonly detail: string;
}

export type InvariantName =
  | 'order'
  | 'history'
  | 'budget'
  | 'memory'
  | 'answer'
  | 'not-run'
  | 'at-most-once'
  | 'leaving-back-end'
  | 'planned-stop'
  | 'configuration';

/** Checks one invariant and returns a description of each violation. */
export type Checker = (run: RecordedRun) => string[];

/** Time after the drain command from which a back end must receive no new work. */
const DRAIN_DEADLINE_MILLISECONDS = 5_000;
/** Time within which an accepted change must be in force at every node. */
const APPLY_DEADLINE_MILLISECONDS = 12_000;

function groupByProgram<Item extends { readonly program: string }>(
  items: readonly Item[],
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(item.program);
    if (group === undefined) {
      groups.set(item.program, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}

/** The calls of a program run in the order of their sequence numbers. */
export const checkOrder: Checker = (run) => {
  const sequences = new Map(run.calls.map((call) => [call.call, call.sequence]));
  const violations: string[] = [];
  for (const [program, executions] of groupByProgram(run.executions)) {
    let newest = 0;
    for (const execution of [...executions].sort((left, right) => left.at - right.at)) {
      const sequence = sequences.get(execution.call) ?? 0;
      if (sequence < newest) {
        violations.push(`${program}: call ${sequence} ran after call ${newest}`);
      }
      newest = Math.max(newest, sequence);
    }
  }
  return violations;
};

function findAnsweredCall(
  calls: readonly RecordedCall[],
  sequence: number,
): RecordedCall | undefined {
  return calls.find((call) => call.sequence === sequence && call.result.type === 'answered');
}

/** Whether the messages, followed by an answer, stand in the history at an offset. */
function continuesWith(
  history: readonly ChatMessage[],
  offset: number,
  messages: readonly ChatMessage[],
): boolean {
  const actual = history.slice(offset, offset + messages.length);
  const isSame = actual.every(
    (message, index) =>
      message.role === messages[index]?.role && message.content === messages[index]?.content,
  );
  const answer = history[offset + messages.length];
  return isSame && actual.length === messages.length && answer?.role === 'assistant';
}

function checkProgramHistory(recorded: RecordedHistory, calls: readonly RecordedCall[]): string[] {
  const { program, history, historyDigest } = recorded;
  if (digestConversation(history) !== historyDigest) {
    return [`${program}: the digest does not match the history`];
  }
  const violations: string[] = [];
  const chats = calls.filter((call) => call.kind === 'chat');
  const lastSequence = Math.max(0, ...chats.map((call) => call.sequence));
  let offset = 0;
  for (let sequence = 1; sequence <= lastSequence; sequence += 1) {
    const attempts = chats.filter((call) => call.sequence === sequence);
    const first = attempts[0];
    if (first === undefined) {
      continue;
    }
    const isPresent = continuesWith(history, offset, first.messages);
    const answered = findAnsweredCall(chats, sequence);
    if (answered !== undefined && !isPresent) {
      violations.push(`${program}: call ${sequence} was answered and is not in the history`);
    }
    if (isPresent) {
      const answer = history[offset + first.messages.length]?.content;
      const { result } = answered ?? first;
      if (result.type === 'answered' && result.text !== answer) {
        violations.push(`${program}: the history has another answer to call ${sequence}`);
      }
      offset += first.messages.length + 1;
    }
  }
  if (offset !== history.length) {
    violations.push(`${program}: ${history.length - offset} messages belong to no call of it`);
  }
  return violations;
}

/** The history of a program is never lost and never mixed with that of another. */
export const checkHistory: Checker = (run) => {
  const calls = groupByProgram(run.calls);
  const lost = run.unreadablePrograms.map((program) => `${program}: the history could not be read`);
  const wrong = run.histories.flatMap((history) =>
    checkProgramHistory(history, calls.get(history.program) ?? []),
  );
  return [...lost, ...wrong];
};

/** No group exceeds its token budget, and every answered token is accounted for. */
export const checkBudget: Checker = (run) =>
  run.accounts.flatMap((account) => {
    const { group, budget, granted, spent, reserved } = account;
    const answered = run.calls.filter((call) => call.group === group);
    const used = new Map<string, number>();
    for (const call of answered) {
      if (call.result.type === 'answered') {
        used.set(`${call.program}:${call.sequence}`, call.result.tokens);
      }
    }
    const total = [...used.values()].reduce((sum, tokens) => sum + tokens, 0);
    const violations: string[] = [];
    if (total > budget) {
      violations.push(`${group}: ${total} tokens answered, budget ${budget}`);
    }
    if (granted > budget) {
      violations.push(`${group}: ${granted} tokens granted, budget ${budget}`);
    }
    if (spent + reserved > granted) {
      violations.push(`${group}: ${spent} spent and ${reserved} reserved of ${granted} granted`);
    }
    if (spent < total) {
      violations.push(`${group}: ${total} tokens answered, only ${spent} accounted for`);
    }
    return violations;
  });

/** Engines release the memory that they held for programs that have ended. */
export const checkMemory: Checker = (run) => {
  const ended = new Set(run.endedPrograms);
  return run.holds
    .filter((hold) => ended.has(hold.program))
    .map((hold) => `${hold.engine} still holds memory of ${hold.program}`);
};

/** A caller receives the complete answer to its own request. */
export const checkAnswer: Checker = (run) => {
  const violations: string[] = [];
  for (const [program, calls] of groupByProgram(run.calls)) {
    const history = run.histories.find((recorded) => recorded.program === program)?.history;
    const chats = calls.filter((call) => call.kind === 'chat');
    for (const call of calls) {
      if (call.result.type !== 'answered') {
        continue;
      }
      if (call.streaming && call.streamed !== call.result.text) {
        violations.push(`${program}: the stream of call ${call.sequence} is not its answer`);
      }
      const expected =
        call.kind === 'tool'
          ? expectedToolResult(call.payload)
          : expectedChatAnswer(call, chats, history);
      if (expected !== undefined && expected !== call.result.text) {
        violations.push(`${program}: call ${call.sequence} got an answer to something else`);
      }
    }
  }
  return violations;
};

/** The answer that the emulator gives to the recorded conversation up to a call; undefined if the history lacks the call. */
function expectedChatAnswer(
  call: RecordedCall,
  chats: readonly RecordedCall[],
  history: readonly ChatMessage[] | undefined,
): string | undefined {
  const first = call.messages[0];
  const position = history?.findIndex((message) => message.content === first?.content) ?? -1;
  if (history === undefined || position < 0 || chats.length === 0) {
    return undefined;
  }
  const conversation = history.slice(0, position + call.messages.length);
  return expectedAnswer(conversation, call.maximumTokens);
}

/** A call that is reported as "not run" was not executed. */
export const checkNotRun: Checker = (run) => {
  const executedCalls = new Set(run.executions.map((execution) => execution.call));
  return run.calls
    .filter((call) => call.result.type === 'failed' && call.result.error.verdict === 'NotRun')
    .filter((call) => executedCalls.has(call.call))
    .map((call) => `${call.program}: call ${call.sequence} was reported as not run, yet it ran`);
};

/** A call that is not repeatable runs at most once over all of its attempts. */
export const checkAtMostOnce: Checker = (run) => {
  const calls = new Map(run.calls.map((call) => [call.call, call]));
  const executionCounts = new Map<string, number>();
  for (const execution of run.executions) {
    const call = calls.get(execution.call);
    if (call !== undefined && !call.repeatable) {
      const key = `${call.program}:${call.sequence}`;
      executionCounts.set(key, (executionCounts.get(key) ?? 0) + 1);
    }
  }
  return [...executionCounts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} is not repeatable and ran ${count} times`);
};

/** A draining back end receives no new work from the deadline until it is resumed. */
export const checkLeavingBackEnd: Checker = (run) =>
  run.changes.flatMap((change) => {
    if (change.drains === '') {
      return [];
    }
    const resumed = run.changes.find(
      (other) => other.resumes === change.drains && other.revision > change.revision,
    );
    const from = change.at + DRAIN_DEADLINE_MILLISECONDS;
    const until = resumed?.issuedAt ?? Infinity;
    return run.executions
      .filter((execution) => execution.engine === change.drains)
      .filter((execution) => execution.at > from && execution.at < until)
      .map((execution) => `${change.drains} got ${execution.call} while it was leaving`);
  });

/** A planned stop breaks no call in flight. */
export const checkPlannedStop: Checker = (run) =>
  run.stops
    .filter((stop) => !stop.interrupted)
    .flatMap((stop) =>
      run.calls
        .filter((call) => call.node === stop.node && call.result.type === 'broken')
        .filter((call) => call.sentAt <= stop.endedAt && call.endedAt >= stop.beganAt)
        .map(
          (call) => `${call.program}: call ${call.sequence} was cut by the stop of ${stop.node}`,
        ),
    );

/** An accepted configuration is in force at every live node by the deadline and is never reverted. */
export const checkConfiguration: Checker = (run) => {
  const violations: string[] = [];
  for (const node of new Set(run.revisions.map((revision) => revision.node))) {
    const seen = run.revisions.filter((revision) => revision.node === node);
    seen.forEach((revision, index) => {
      const before = seen[index - 1];
      if (before !== undefined && revision.revision < before.revision) {
        violations.push(`${node} went from revision ${before.revision} to ${revision.revision}`);
      }
    });
    if (run.livingNodes.includes(node)) {
      violations.push(...findLateChanges(run, node));
    }
  }
  return violations;
};

function findLateChanges(run: RecordedRun, node: string): string[] {
  const faultsEndedAt = Math.max(0, ...run.faultIntervals.map((interval) => interval.until));
  return run.changes.flatMap((change) => {
    const deadline = Math.max(change.at, faultsEndedAt) + APPLY_DEADLINE_MILLISECONDS;
    const inForce = run.revisions.find(
      (revision) => revision.node === node && revision.revision >= change.revision,
    );
    const isLate = deadline < run.endedAt && (inForce === undefined || inForce.at > deadline);
    return isLate ? [`${node} had revision ${change.revision} not in force in time`] : [];
  });
}

/** The checker of each invariant. */
export const CHECKERS: Readonly<Record<InvariantName, Checker>> = {
  order: checkOrder,
  history: checkHistory,
  budget: checkBudget,
  memory: checkMemory,
  answer: checkAnswer,
  'not-run': checkNotRun,
  'at-most-once': checkAtMostOnce,
  'leaving-back-end': checkLeavingBackEnd,
  'planned-stop': checkPlannedStop,
  configuration: checkConfiguration,
};

/** Runs all checkers on a recorded run. */
export function checkRun(run: RecordedRun): Violation[] {
  return Object.entries(CHECKERS).flatMap(([condition, check]) =>
    check(run).map((detail) => ({ condition: condition as InvariantName, detail })),
  );
}
