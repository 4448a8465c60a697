/**
 * Admission stage: programs in progress continue, and new ones start if their predicted wait is
 * acceptable.
 */
import { overloaded } from '../answers/local-answers.js';
import type { AdmissionDecision } from '../admission/program-admission.js';
import { demandAhead } from '../admission/demand-ahead.js';
import type { DemandAhead } from '../admission/demand-ahead.js';
import { predictWait } from '../admission/predicted-wait.js';
import type { AdmissionInputs } from '../admission/predicted-wait.js';
import { isResumption } from '../request/relay-request.js';
import { isLate, baseRankOf, rankOf } from '../request/request-rank.js';
import type { RunnerIncarnation } from '../runners/runner.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

const NO_RUNNERS: ReadonlySet<RunnerIncarnation> = new Set();

/** Returns the time until the program's deadline, in milliseconds; undefined if it has none. */
function programRemaining({ context, request }: RequestState): number | undefined {
  const { programDeadlineAt } = request;
  return programDeadlineAt === undefined
    ? undefined
    : Math.max(0, programDeadlineAt - context.runtime.now());
}

function admissionInputs(
  requestState: RequestState,
  service: string,
  rank: number,
): AdmissionInputs & DemandAhead {
  const { context, request } = requestState;
  const { registry, demand, kindStats, exclusions, loadCorrection } = context;
  const { inFlight, slots, runners } = registry.loadOf(
    service,
    (runner) => exclusions.reasonAgainstAll(runner) === undefined,
  );
  const loadFactor = loadCorrection.factorOf(service);
  const demandByRank = {
    inFlight: inFlight * loadFactor,
    lessUrgent: demand.countLessUrgent(service, rank) * loadFactor,
    sameRank: demand.countAtRank(service, rank) * loadFactor,
    lateSameRank: demand.countLate(service, rank) * loadFactor,
  };
  return {
    ...demandAhead(demandByRank),
    slots,
    turnMilliseconds: registry
      .engineCosts(service)
      .streamMilliseconds(slots / Math.max(1, runners)),
    turns: kindStats.expectedTurns(request.route.name),
    programRemainingMilliseconds: programRemaining(requestState),
    requestRemainingMilliseconds: requestState.remainingMilliseconds,
  };
}

/**
 * Whether a runner is believed to cache some of the prompt's last part, which only earlier turns of
 * the same session can have put there. Excluded runners count too: their programs continue
 * elsewhere.
 */
function isPromptCached({ context, request }: RequestState, service: string): boolean {
  const { promptParts } = request;
  const sharedTokens = promptParts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  const views = context.registry.candidates(service, promptParts, NO_RUNNERS);
  return views.some(({ cachedTokens }) => cachedTokens > sharedTokens);
}

/** Whether the request itself shows that its program has run before. */
function isFollowUpTurn({ context, request }: RequestState): boolean {
  const { route, previousTurn, promptParts } = request;
  return (
    previousTurn !== undefined ||
    isResumption(request) ||
    context.kindStats.isSubAgent(route.name, promptParts.length)
  );
}

/** Whether the program appears to have run before, through another gateway. */
function hasRunBefore(requestState: RequestState, service: string): boolean {
  const { context, request } = requestState;
  const isProgramLate = isLate(request, context.runtime.now());
  return isProgramLate || isFollowUpTurn(requestState) || isPromptCached(requestState, service);
}

/**
 * Marks a program that is unknown here but has run before as started, so that the tenant's quota is
 * not charged for the whole program again. The estimated prompt caches are searched here only for
 * tenants that have a quota.
 */
function markIfStartedElsewhere(
  requestState: RequestState,
  service: string,
  { cause }: AdmissionDecision,
): void {
  const { startsProgram, request } = requestState;
  if (!startsProgram) {
    return;
  }
  const hasLimit = request.tenant?.quota !== undefined;
  if (cause === 'shown' || (hasLimit && hasRunBefore(requestState, service))) {
    requestState.markProgramStarted();
  }
}

function logDecision(
  { context, request }: RequestState,
  service: string,
  decision: AdmissionDecision,
): void {
  const { runtime, registry, metrics, loadCorrection } = context;
  const {
    cause,
    inputs,
    predictedWaitMilliseconds,
    waitLimitMilliseconds,
    retryDelayMilliseconds,
  } = decision;
  metrics.count('ivyloom_relay_admissions_total', `cause="${cause}"`);
  if (inputs === undefined || predictedWaitMilliseconds <= 0) {
    return;
  }
  // Without slots the wait is infinite, which would make the metric's sum infinite for good.
  if (Number.isFinite(predictedWaitMilliseconds)) {
    metrics.observe('ivyloom_relay_expected_wait_milliseconds', predictedWaitMilliseconds);
  }
  runtime.log('info', 'admission decided', {
    event: 'relay.admission',
    request: request.id,
    program: request.program?.program ?? '',
    tenant: request.tenant?.id ?? '',
    route: request.route.name,
    cause,
    wait: Math.round(predictedWaitMilliseconds),
    bearable: Math.round(waitLimitMilliseconds),
    ahead: Math.round(inputs.ahead),
    moreUrgent: Math.round(inputs.moreUrgent),
    slots: inputs.slots,
    turn: Math.round(inputs.turnMilliseconds),
    turns: Number(inputs.turns.toFixed(1)),
    left: Math.round(inputs.programRemainingMilliseconds ?? -1),
    pause: Math.round(retryDelayMilliseconds ?? -1),
    age: Math.round(registry.loadAgeMilliseconds()),
    loadFactor: Number(loadCorrection.factorOf(service).toFixed(2)),
  });
}

/** Refuses new programs whose predicted wait is too long. */
export const ADMISSION_STAGE: RequestStage = {
  name: 'admission',
  decide: (requestState) => {
    const { context, request, service } = requestState;
    const { route, program, promptParts } = request;
    if (route.kind !== 'stream' || program === undefined || service === undefined) {
      return GO_ON;
    }
    const rank = rankOf(request, context.runtime.now());
    const { admission, kindStats, demand } = context;
    const isNew = !admission.isAdmitted(program.program);
    const inputs = admissionInputs(requestState, service, rank);
    const decision = admission.decide({
      program: program.program,
      hasRunBefore: () => hasRunBefore(requestState, service),
      inputs: () => inputs,
    });
    logDecision(requestState, service, decision);
    if (decision.retryDelayMilliseconds !== undefined) {
      return refuseWith(overloaded(decision.retryDelayMilliseconds));
    }
    requestState.predictedWait = {
      waitMilliseconds: predictWait(inputs),
      turnMilliseconds: inputs.turnMilliseconds,
      aheadShare: inputs.aheadShare,
    };
    kindStats.recordTurn(
      route.name,
      isNew && decision.cause !== 'shown' && !isFollowUpTurn(requestState),
    );
    // Longer prompts count too: otherwise a kind whose prompts grow would be taken for sub-agents
    // for good.
    if (isNew && decision.cause === 'bearable' && request.previousTurn === undefined) {
      kindStats.recordFirstTurn(route.name, promptParts.length);
    }
    markIfStartedElsewhere(requestState, service, decision);
    const baseRankOfLate = isLate(request, context.runtime.now()) ? baseRankOf(request) : undefined;
    requestState.onFinish(demand.begin(service, rank, baseRankOfLate));
    return GO_ON;
  },
};
