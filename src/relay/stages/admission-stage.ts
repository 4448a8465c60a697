/** Programs under way go on; new ones begin as long as they can bear the wait that they would meet. */
import { overloaded } from '../answers/own-answers.js';
import type { AdmissionVerdict } from '../admission/program-admission.js';
import { demandAhead } from '../admission/outlook.js';
import type { AdmissionOutlook } from '../admission/predicted-wait.js';
import { isLate, rankInTime, urgencyOf } from '../request/urgency.js';
import type { RunnerLife } from '../runners/runner.js';
import type { Passage } from './passage.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

const NO_RUNNERS: ReadonlySet<RunnerLife> = new Set();

/** Time until the program should be over, in milliseconds; undefined where none is told. */
function leftOf({ context, request }: Passage): number | undefined {
  const { programDeadlineAt } = request;
  return programDeadlineAt === undefined
    ? undefined
    : Math.max(0, programDeadlineAt - context.runtime.now());
}

function outlookOf(passage: Passage, service: string, rank: number): AdmissionOutlook {
  const { context, request } = passage;
  const { book, demand, shapes } = context;
  const { inFlight, slots, runners } = book.loadOf(service);
  const ranked = {
    inFlight,
    behind: demand.behind(service, rank),
    equal: demand.at(service, rank),
    late: demand.late(service, rank),
  };
  return {
    ...demandAhead(ranked),
    slots,
    turnMilliseconds: book.engineCosts(service).streamMilliseconds(slots / Math.max(1, runners)),
    turns: shapes.turns(request.route.name),
    leftMilliseconds: leftOf(passage),
    requestMilliseconds: passage.remainingMilliseconds,
  };
}

/**
 * Whether a runner is believed to keep something of the prompt's last part, which only earlier turns of the same
 * session can have put there.
 */
function isPromptKnown({ context, request }: Passage, service: string): boolean {
  const { promptParts } = request;
  const shared = promptParts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  const views = context.book.candidates(service, promptParts, NO_RUNNERS);
  return views.some(({ cachedTokens }) => cachedTokens > shared);
}

/** Whether the request itself shows that its program has run before. */
function namesEarlierTurn({ context, request }: Passage): boolean {
  const { route, previousTurn, promptParts } = request;
  return previousTurn !== undefined || context.shapes.isOfSubAgent(route.name, promptParts.length);
}

/** Whether a program has run before, though not through this gateway, as far as that can be told. */
function isUnderWay(passage: Passage, service: string): boolean {
  const { context, request } = passage;
  const hasNoTime = isLate(request, context.runtime.now());
  return hasNoTime || namesEarlierTurn(passage) || isPromptKnown(passage, service);
}

/**
 * Tells the tenant's limit that a program unknown here has run before, so that it isn't counted once more with all its
 * requests. What runners keep is looked up only for tenants that have a limit.
 */
function noteUnderWay(passage: Passage, service: string, { cause }: AdmissionVerdict): void {
  const { beginsProgram, request } = passage;
  if (!beginsProgram) {
    return;
  }
  const hasLimit = request.tenant?.quota !== undefined;
  if (cause === 'shown' || (hasLimit && isUnderWay(passage, service))) {
    passage.noteUnderWay();
  }
}

function logDecision({ context, request }: Passage, verdict: AdmissionVerdict): void {
  const { runtime, book, metrics } = context;
  const { cause, outlook, waitMilliseconds, bearableMilliseconds, pauseMilliseconds } = verdict;
  metrics.count('ivyloom_relay_admissions_total', `cause="${cause}"`);
  if (outlook === undefined || waitMilliseconds <= 0) {
    return;
  }
  // Without places the wait has no end, which would spoil the metric's sum for good.
  if (Number.isFinite(waitMilliseconds)) {
    metrics.observe('ivyloom_relay_expected_wait_milliseconds', waitMilliseconds);
  }
  runtime.log('info', 'admission decided', {
    event: 'relay.admission',
    request: request.id,
    program: request.program?.program ?? '',
    tenant: request.tenant?.id ?? '',
    route: request.route.name,
    cause,
    wait: Math.round(waitMilliseconds),
    bearable: Math.round(bearableMilliseconds),
    ahead: Math.round(outlook.ahead),
    moreUrgent: Math.round(outlook.moreUrgent),
    slots: outlook.slots,
    turn: Math.round(outlook.turnMilliseconds),
    turns: Number(outlook.turns.toFixed(1)),
    left: Math.round(outlook.leftMilliseconds ?? -1),
    pause: Math.round(pauseMilliseconds ?? -1),
    age: Math.round(book.loadAgeMilliseconds()),
  });
}

/** See the head of this file. */
export const ADMISSION_STAGE: RequestStage = {
  name: 'admission',
  decide: (passage) => {
    const { context, request, service } = passage;
    const { route, program, promptParts } = request;
    if (route.kind !== 'stream' || program === undefined || service === undefined) {
      return GO_ON;
    }
    const rank = urgencyOf(request, context.runtime.now());
    const { admission, shapes, demand } = context;
    const isNew = !admission.knows(program.program);
    const verdict = admission.decide({
      program: program.program,
      isUnderWay: () => isUnderWay(passage, service),
      outlook: () => outlookOf(passage, service, rank),
    });
    logDecision(passage, verdict);
    if (verdict.pauseMilliseconds !== undefined) {
      return refuseWith(overloaded(verdict.pauseMilliseconds));
    }
    shapes.note(route.name, isNew && verdict.cause !== 'shown' && !namesEarlierTurn(passage));
    // Prompts with more parts count too: else a kind whose prompts grow would be taken for sub-agents for good.
    if (isNew && verdict.cause === 'bearable' && request.previousTurn === undefined) {
      shapes.noteFirstTurn(route.name, promptParts.length);
    }
    noteUnderWay(passage, service, verdict);
    const inTime = isLate(request, context.runtime.now()) ? rankInTime(request) : undefined;
    passage.onOver(demand.begin(service, rank, inTime));
    return GO_ON;
  },
};
