/**
 * Prepares a turn: reads the chain of turns that it continues, and reserves tokens in the account
 * of its program. Both require the replicas; requests that need neither pass at once. Reserved
 * tokens that were not delivered are returned when the request finishes.
 */
import { budgetExhausted, turnNotFound, dependencyUnavailable } from '../answers/local-answers.js';
import { tenantScopedId } from '../request/tenant.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

/**
 * Timeout of a reservation or of reading a chain, in milliseconds; the rest of the request's time
 * is for the runner.
 */
const REPLICA_TIMEOUT_MILLISECONDS = 700;

type Resume = (outcome: StageOutcome) => void;

function replicaTimeoutMilliseconds(requestState: RequestState): number {
  return Math.min(REPLICA_TIMEOUT_MILLISECONDS, requestState.remainingMilliseconds);
}

function refuseUnreachable({ context }: RequestState, what: 'turns' | 'account'): StageOutcome {
  return refuseWith(dependencyUnavailable(what, context.turns.isReachable));
}

function needsChain({ request }: RequestState): boolean {
  return request.route.retained && request.previousTurn !== undefined;
}

function needsReservation({ request }: RequestState): boolean {
  return request.route.kind === 'stream' && request.program?.budgetTokens !== undefined;
}

/** Prepends the earlier turns to the body, then reserves tokens. */
function readChain(requestState: RequestState, resume: Resume): void {
  const { request, context } = requestState;
  const turn = tenantScopedId(request.tenant, request.previousTurn ?? '');
  context.turns.readChain(turn, replicaTimeoutMilliseconds(requestState), (chain) => {
    switch (chain.tag) {
      case 'found':
        requestState.replaceBody(Buffer.concat([chain.body, request.body]));
        if (needsReservation(requestState)) {
          reserve(requestState, resume);
        } else {
          resume(GO_ON);
        }
        return;
      case 'missing':
        resume(refuseWith(turnNotFound()));
        return;
      case 'unsure':
        resume(refuseUnreachable(requestState, 'turns'));
    }
  });
}

function reserve(requestState: RequestState, resume: Resume): void {
  const { request, context } = requestState;
  const { id, program, maximumOutputTokens: mostTokens, tenant } = request;
  const budgetTokens = program?.budgetTokens;
  if (requestState.isFinished || program === undefined || budgetTokens === undefined) {
    resume(GO_ON);
    return;
  }
  const account = tenantScopedId(tenant, program.program);
  // The name under which the turn is stored: replicas retain the account for as long as its turns.
  const turn = tenantScopedId(tenant, id);
  const reservation = { program: account, turn, mostTokens, budgetTokens };
  context.turns.reserve(reservation, replicaTimeoutMilliseconds(requestState), (outcome) => {
    if (outcome === 'spent') {
      resume(refuseWith(budgetExhausted()));
      return;
    }
    // Without an answer, some replicas may have recorded the reservation all the same.
    requestState.onFinish((used) => context.turns.settle(account, turn, mostTokens, used));
    resume(outcome === 'granted' ? GO_ON : refuseUnreachable(requestState, 'account'));
  });
}

/** Reads the earlier turns of a request and reserves its tokens. */
export const PREPARATION_STAGE: RequestStage = {
  name: 'preparation',
  decide: (requestState) => {
    if (needsChain(requestState)) {
      return { tag: 'Wait', begin: (resume) => readChain(requestState, resume) };
    }
    if (needsReservation(requestState)) {
      return { tag: 'Wait', begin: (resume) => reserve(requestState, resume) };
    }
    return GO_ON;
  },
};
