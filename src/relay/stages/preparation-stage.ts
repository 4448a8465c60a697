/**
 * What a turn needs before it may run: the chain that it goes on from, and a reservation in its
 * program's token account. Both need the replicas; requests without them pass at once. What was reserved
 * beyond the tokens handed out is given back when the request is over.
 */
import { budgetExhausted, turnNotFound, dependencyUnavailable } from '../answers/local-answers.js';
import { tenantScopedId } from '../request/tenant.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

/** Longest time for a reservation or a chain, in milliseconds: the rest of its time is for the runner. */
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

/** Puts the earlier turns before the new input, then reserves. */
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
  const { id: turn, program, maximumOutputTokens: mostTokens, tenant } = request;
  const budgetTokens = program?.budgetTokens;
  if (requestState.isFinished || program === undefined || budgetTokens === undefined) {
    resume(GO_ON);
    return;
  }
  const account = tenantScopedId(tenant, program.program);
  const reservation = { program: account, turn, mostTokens, budgetTokens };
  context.turns.reserve(reservation, replicaTimeoutMilliseconds(requestState), (outcome) => {
    if (outcome === 'spent') {
      resume(refuseWith(budgetExhausted()));
      return;
    }
    // Without an answer it may stand at some replicas all the same.
    requestState.onFinish((used) => context.turns.settle(account, turn, mostTokens, used));
    resume(outcome === 'granted' ? GO_ON : refuseUnreachable(requestState, 'account'));
  });
}

/** See the head of this file. */
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
