/** Chooses the runner of a request's next try from what is believed of the runners of its service. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerIncarnation } from '../runners/runner.js';
import type { RunnerCandidate } from '../runners/runner-registry.js';
import type { RequestState } from '../stages/request-state.js';
import { chooseRunner } from './choose-runner.js';
import { sampleCandidates } from './sample-candidates.js';
import type { PlacementNeed } from './placement-charges.js';

/** What the tries so far leave to choose from. */
export interface RunnerConstraints {
  readonly isAllowed: (runner: RunnerIncarnation) => boolean;
  /** Runners that refused it: asking them again at once helps nobody. */
  readonly refusedBy: ReadonlySet<RunnerIncarnation>;
  /** Runners at which a try failed: taken only when no other is left. */
  readonly failedAt: ReadonlySet<RunnerIncarnation>;
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
    engine: isEngine ? context.registry.engineCosts(service) : undefined,
  };
}

/**
 * The runner of least cost among those that may be asked; undefined when there is none. Runners that take no bytes
 * are left out as long as others are left: one that only waits for a burst to pass is better than none.
 */
export function placeRequest(
  context: RelayContext,
  requestState: RequestState,
  { isAllowed, refusedBy, failedAt }: RunnerConstraints,
): RunnerCandidate | undefined {
  const { service, request } = requestState;
  if (service === undefined) {
    return undefined;
  }
  const all = context.registry.candidates(service, request.promptParts, refusedBy);
  const allowed = all.filter((candidate) => isAllowed(candidate.id));
  const accepting = allowed.filter((candidate) => context.backpressure.isWritable(candidate.id));
  const available = accepting.length > 0 ? accepting : allowed;
  const untried = available.filter((candidate) => !failedAt.has(candidate.id));
  const usable = untried.length > 0 ? untried : available;
  const weighed = context.samplesCandidates
    ? sampleCandidates(usable, context.registry.loadAgeMilliseconds(), context.runtime.random)
    : usable;
  return chooseRunner(weighed, needOf(context, requestState, service), context.charges);
}
