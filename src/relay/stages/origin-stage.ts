/**
 * Origin stage: finds out which service and software version began a stream that the client resumes, and refuses the
 * request if that is unknown, or if no runner of it is left, before the request reserves anything.
 */
import {
  originLost,
  originNotListed,
  originUnknown,
  originUnnamed,
} from '../answers/local-answers.js';
import { streamContentOf } from '../request/fingerprint.js';
import { isResumption } from '../request/relay-request.js';
import { tenantScopedId } from '../request/tenant.js';
import type { FoundOrigin, OriginSource } from '../runners/resumable-streams.js';
import { softwareVersionOf } from '../runners/runner.js';
import type { Runner } from '../runners/runner.js';
import { refusalWithoutCapacity } from './capacity-stage.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

/**
 * Whether only runners of other versions are left. If there is no runner at all, the request goes on to its first attempt
 * like any other: runners may be listed meanwhile.
 */
function isOriginLost({ context }: RequestState, { origin }: FoundOrigin): boolean {
  const { registry, exclusions } = context;
  const hasRunner = (test: (runner: Runner) => boolean): boolean =>
    registry.hasUsableRunner(
      origin.service,
      (runner) => exclusions.reasonAgainstAll(runner) === undefined && test(runner),
    );
  return (
    hasRunner(() => true) && !hasRunner((runner) => softwareVersionOf(runner) === origin.version)
  );
}

function countOrigin({ context }: RequestState, source: OriginSource | 'unknown'): void {
  context.metrics.count('ivyloom_relay_stream_origins_total', `source="${source}"`);
}

/** To wait only helps a client that names its stream, or while this gateway may still learn what was listed. */
function refuseUnknown({ context, request }: RequestState): StageOutcome {
  const mayBecomeKnown = request.resumes !== undefined || !context.streams.isPastKnown;
  return refuseWith(mayBecomeKnown ? originUnknown() : originUnnamed());
}

function decideBy(requestState: RequestState, found: FoundOrigin | undefined): StageOutcome {
  countOrigin(requestState, found?.source ?? 'unknown');
  if (found === undefined) {
    return refuseUnknown(requestState);
  }
  const { service } = found.origin;
  const isServed = requestState.request.route.services.some((part) => part.service === service);
  const { versions } = requestState.context.registry;
  if (!isServed) {
    const mayBeServed = versions.mayBeServedSoon(requestState.request.route, service);
    return refuseWith((mayBeServed ? originNotListed : originLost)(found.origin));
  }
  requestState.continueAt(found);
  const refusal = refusalWithoutCapacity(requestState);
  if (refusal !== undefined) {
    return refuseWith(refusal);
  }
  if (!isOriginLost(requestState, found)) {
    return GO_ON;
  }
  const refuseBy = versions.mayBeListedSoon(found.origin) ? originNotListed : originLost;
  return refuseWith(refuseBy(found.origin));
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
    const { streams } = context;
    return {
      tag: 'Wait',
      begin: (resume) => {
        const decide = (found: FoundOrigin | undefined): void =>
          resume(decideBy(requestState, found));
        if (resumes === undefined) {
          streams.findUnnamed(streamContentOf(request), route, remainingMilliseconds, decide);
        } else {
          streams.find(tenantScopedId(tenant, resumes), route, remainingMilliseconds, decide);
        }
      },
    };
  },
};
