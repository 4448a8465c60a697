/**
 * Origin stage: finds out which service and software version began a stream that the client resumes, and refuses the
 * request if that is unknown, or if no runner of it is left, before the request reserves anything.
 */
import { originLost, originUnknown, originUnnamed } from '../answers/local-answers.js';
import { isResumption } from '../request/relay-request.js';
import { tenantScopedId } from '../request/tenant.js';
import type { FoundOrigin } from '../runners/resumable-streams.js';
import { softwareVersionOf } from '../runners/runner.js';
import { refusalWithoutCapacity } from './capacity-stage.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

function hasRunnerOf({ context }: RequestState, { origin }: FoundOrigin): boolean {
  const { registry, exclusions } = context;
  return registry.hasUsableRunner(
    origin.service,
    (runner) =>
      softwareVersionOf(runner) === origin.version &&
      exclusions.reasonAgainstAll(runner) === undefined,
  );
}

function decideBy(requestState: RequestState, found: FoundOrigin | undefined): StageOutcome {
  const { context, request } = requestState;
  context.metrics.count(
    'ivyloom_relay_stream_origins_total',
    `source="${found?.source ?? 'unknown'}"`,
  );
  if (found === undefined) {
    return refuseWith(request.resumes === undefined ? originUnnamed() : originUnknown());
  }
  const { service } = found.origin;
  const isServed = request.route.services.some((part) => part.service === service);
  if (!isServed) {
    return refuseWith(originLost(found.origin));
  }
  requestState.continueAt(found);
  const refusal = refusalWithoutCapacity(requestState);
  if (refusal !== undefined) {
    return refuseWith(refusal);
  }
  return hasRunnerOf(requestState, found) ? GO_ON : refuseWith(originLost(found.origin));
}

/** Refuses resumptions of streams that can't continue at the version that began them. */
export const ORIGIN_STAGE: RequestStage = {
  name: 'origin',
  decide: (requestState) => {
    const { context, request, remainingMilliseconds } = requestState;
    if (!isResumption(request)) {
      return GO_ON;
    }
    const { resumes, route, tenant } = request;
    const stream = resumes === undefined ? undefined : tenantScopedId(tenant, resumes);
    return {
      tag: 'Wait',
      begin: (resume) =>
        context.streams.find(stream, route, remainingMilliseconds, (found) =>
          resume(decideBy(requestState, found)),
        ),
    };
  },
};
