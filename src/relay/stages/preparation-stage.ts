/**
 * What a turn needs before it may run: the chain that it goes on from, and a reservation in its
 * program's token account. Both need the replicas; requests without them pass at once. What was reserved
 * beyond the tokens handed out is given back when the request is over.
 */
import { budgetSpent, noSuchTurn, outOfReach } from '../answers/own-answers.js';
import { nameForTenant } from '../request/tenant.js';
import type { Passage } from './passage.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageEnd } from './stage.js';

/** Longest time for a reservation or a chain, in milliseconds: the rest of its time is for the runner. */
const STATE_MILLISECONDS = 700;

type Resume = (end: StageEnd) => void;

function replicaTimeoutMilliseconds(passage: Passage): number {
  return Math.min(STATE_MILLISECONDS, passage.remainingMilliseconds);
}

function outOfReachHere({ context }: Passage, what: 'turns' | 'account'): StageEnd {
  return refuseWith(outOfReach(what, context.turns.isReachable));
}

function needsChain({ request }: Passage): boolean {
  return request.route.retained && request.previousTurn !== undefined;
}

function needsReservation({ request }: Passage): boolean {
  return request.route.kind === 'stream' && request.program?.budgetTokens !== undefined;
}

/** Puts the earlier turns before the new input, then reserves. */
function readChain(passage: Passage, resume: Resume): void {
  const { request, context } = passage;
  const turn = nameForTenant(request.tenant, request.previousTurn ?? '');
  context.turns.readChain(turn, replicaTimeoutMilliseconds(passage), (chain) => {
    switch (chain.tag) {
      case 'found':
        passage.replaceBody(Buffer.concat([chain.body, request.body]));
        if (needsReservation(passage)) {
          reserve(passage, resume);
        } else {
          resume(GO_ON);
        }
        return;
      case 'missing':
        resume(refuseWith(noSuchTurn()));
        return;
      case 'unsure':
        resume(outOfReachHere(passage, 'turns'));
    }
  });
}

function reserve(passage: Passage, resume: Resume): void {
  const { request, context } = passage;
  const { id: turn, program, maximumOutputTokens: mostTokens, tenant } = request;
  const budgetTokens = program?.budgetTokens;
  if (passage.isOver || program === undefined || budgetTokens === undefined) {
    resume(GO_ON);
    return;
  }
  const account = nameForTenant(tenant, program.program);
  const reservation = { program: account, turn, mostTokens, budgetTokens };
  context.turns.reserve(reservation, replicaTimeoutMilliseconds(passage), (outcome) => {
    if (outcome === 'spent') {
      resume(refuseWith(budgetSpent()));
      return;
    }
    // Without an answer it may stand at some replicas all the same.
    passage.onOver((used) => context.turns.settle(account, turn, mostTokens, used));
    resume(outcome === 'granted' ? GO_ON : outOfReachHere(passage, 'account'));
  });
}

/** See the head of this file. */
export const PREPARATION_STAGE: RequestStage = {
  name: 'preparation',
  decide: (passage) => {
    if (needsChain(passage)) {
      return { tag: 'Wait', begin: (resume) => readChain(passage, resume) };
    }
    if (needsReservation(passage)) {
      return { tag: 'Wait', begin: (resume) => reserve(passage, resume) };
    }
    return GO_ON;
  },
};
