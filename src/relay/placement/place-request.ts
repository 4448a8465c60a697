/** Chooses the runner of a request's next try from what is believed of the runners of its service. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerLife } from '../runners/runner.js';
import type { RunnerCandidate } from '../runners/runner-book.js';
import type { RequestState } from '../stages/request-state.js';
import { chooseRunner } from './choose-runner.js';
import { drawCandidates } from './draw-candidates.js';
import type { PlacementNeed } from './placement-charges.js';

/** What the tries so far leave to choose from. */
export interface OpenRunners {
  readonly mayGoTo: (runner: RunnerLife) => boolean;
  /** Runners that refused it: asking them again at once helps nobody. */
  readonly refusedBy: ReadonlySet<RunnerLife>;
  /** Runners at which a try failed: taken only when no other is left. */
  readonly failedAt: ReadonlySet<RunnerLife>;
}

function needOf(context: RelayContext, requestState: RequestState, service: string): PlacementNeed {
  const { request, routingKey: routingKey, body } = requestState;
  const isEngine = context.currentTable()?.services.get(service)?.cachesPrompts === true;
  return {
    zone: context.zone,
    promptTokens: request.promptTokens,
    bodyBytes: body.length,
    affinityHash:
      request.promptParts[0]?.key ?? hashToNumber(request.program?.session ?? routingKey),
    engine: isEngine ? context.book.engineCosts(service) : undefined,
  };
}

/**
 * The runner of least cost among those that may be asked; undefined when there is none. Runners that take no bytes
 * are left out as long as others are left: one that only waits for a burst to pass is better than none.
 */
export function placeRequest(
  context: RelayContext,
  requestState: RequestState,
  { mayGoTo, refusedBy, failedAt }: OpenRunners,
): RunnerCandidate | undefined {
  const { service, request } = requestState;
  if (service === undefined) {
    return undefined;
  }
  const all = context.book.candidates(service, request.promptParts, refusedBy);
  const allowed = all.filter((candidate) => mayGoTo(candidate.id));
  const taking = allowed.filter((candidate) => context.backpressure.isWritable(candidate.id));
  const open = taking.length > 0 ? taking : allowed;
  const fresh = open.filter((candidate) => !failedAt.has(candidate.id));
  const usable = fresh.length > 0 ? fresh : open;
  const weighed = context.samplesCandidates
    ? drawCandidates(usable, context.book.loadAgeMilliseconds(), context.runtime.random)
    : usable;
  return chooseRunner(weighed, needOf(context, requestState, service), context.charges);
}
