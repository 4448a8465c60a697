/** Chooses the runner for the next attempt of a request from the state of its service's runners. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { RelayContext } from '../relay-context.js';
import type { Runner, RunnerIncarnation } from '../runners/runner.js';
import type { RunnerCandidate } from '../runners/runner-registry.js';
import type { RequestState } from '../stages/request-state.js';
import type { IsolatedPlacement } from '../suspects/suspect-send.js';
import { chooseRunner } from './choose-runner.js';
import { compareInRegions } from './sample-candidates.js';
import type { PlacementNeed } from './placement-charges.js';

/** Runners that earlier attempts of the request rule out or make less preferable. */
export interface RunnerConstraints {
  /** Whether the retry rules allow an attempt on a runner. */
  readonly isAllowed: (runner: RunnerIncarnation) => boolean;
  /** Runners that refused the request; never chosen again, since they would most likely refuse it again. */
  readonly refusedBy: ReadonlySet<RunnerIncarnation>;
  /** Runners on which an attempt failed; chosen only if no other runner is left. */
  readonly failedAt: ReadonlySet<RunnerIncarnation>;
  /** Set for the last permitted send of a request under which other runners have ended. */
  readonly isolated?: IsolatedPlacement | undefined;
}

/** Returns the runners among which one for an isolated request is chosen. */
function isolate(
  candidates: readonly RunnerCandidate[],
  { isShared, isRisky, isStrict }: IsolatedPlacement,
): readonly RunnerCandidate[] {
  const alone = candidates.filter(({ hash }) => !isShared(hash));
  const safer = candidates.filter(({ hash }) => !isRisky(hash));
  const preferences = isStrict ? [alone] : [alone, safer, candidates];
  const usable = preferences.find(({ length }) => length > 0) ?? [];
  const least = Math.min(...usable.map(({ inFlight }) => inFlight));
  return usable.filter(({ inFlight }) => inFlight === least);
}

function needOf(context: RelayContext, requestState: RequestState, service: string): PlacementNeed {
  const { request, routingKey, body } = requestState;
  const isEngine = context.currentTable()?.services.get(service)?.cachesPrompts === true;
  return {
    zone: context.zone,
    distances: context.distances,
    promptTokens: request.promptTokens,
    bodyBytes: body.length,
    affinityHash:
      request.promptParts[0]?.key ?? hashToNumber(request.program?.session ?? routingKey),
    engine: isEngine ? context.registry.engineCosts(service) : undefined,
  };
}

/**
 * Returns the allowed runner with the lowest cost, or undefined if there is none. Runners under backpressure are
 * skipped while other runners are left, but are still preferred to no runner at all.
 */
export function placeRequest(
  context: RelayContext,
  requestState: RequestState,
  { isAllowed, refusedBy, failedAt, isolated }: RunnerConstraints,
): RunnerCandidate | undefined {
  const { service, request } = requestState;
  if (service === undefined) {
    return undefined;
  }
  requestState.excludedBy = undefined;
  const mayGetRequest = (runner: Runner): boolean => {
    const rule = context.exclusions.reasonAgainst(runner, request, requestState.origin);
    requestState.excludedBy = rule ?? requestState.excludedBy;
    return rule === undefined;
  };
  const all = context.registry.candidates(service, request.promptParts, refusedBy, mayGetRequest);
  const allowed = all.filter((candidate) => isAllowed(candidate.id));
  const accepting = allowed.filter((candidate) => context.backpressure.isWritable(candidate.id));
  const available = accepting.length > 0 ? accepting : allowed;
  const untried = available.filter((candidate) => !failedAt.has(candidate.id));
  const preferred = untried.length > 0 ? untried : available;
  const usable = isolated === undefined ? preferred : isolate(preferred, isolated);
  const ageMilliseconds = context.samplesCandidates
    ? context.registry.loadAgeMilliseconds()
    : undefined;
  const compared = compareInRegions(
    usable,
    context.distances,
    ageMilliseconds,
    context.runtime.random,
  );
  return chooseRunner(compared, needOf(context, requestState, service), context.charges);
}
