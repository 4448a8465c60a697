/**
 * Output stage: reads what the client has received of a turn that it resumes, since the whole turn is stored when its answer ends.
 * Refuses the request if that is not known, before the request reserves anything.
 */
import { outputUnknown } from '../answers/local-answers.js';
import { isResumption } from '../request/relay-request.js';
import { tenantScopedId } from '../request/tenant.js';
import { MAXIMUM_OUTPUT_ID_LENGTH } from '../../turns/stream-outputs.js';
import type { FoundOutput } from '../../turns/stream-outputs.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

function decideBy(
  requestState: RequestState,
  found: FoundOutput | undefined,
  isAnswered: boolean,
): StageOutcome {
  const result = found === undefined ? 'unknown' : 'found';
  const { metrics } = requestState.context;
  metrics.count('ivyloom_relay_resumed_outputs_total', `result="${result}"`);
  if (found === undefined) {
    return refuseWith(outputUnknown(!isAnswered));
  }
  requestState.receivedOutput = found;
  return GO_ON;
}

/** Refuses resumptions of turns whose output so far is not known. */
export const OUTPUT_STAGE: RequestStage = {
  name: 'output',
  decide: (requestState) => {
    const { context, request, unnamedStream, remainingMilliseconds } = requestState;
    const { lastEventId, resumes, route, tenant } = request;
    if (!route.retained || !isResumption(request) || lastEventId === undefined) {
      return GO_ON;
    }
    const stream = resumes === undefined ? unnamedStream : tenantScopedId(tenant, resumes);
    const isPossible = [stream ?? '', lastEventId].every(
      ({ length }) => length > 0 && length <= MAXIMUM_OUTPUT_ID_LENGTH,
    );
    if (stream === undefined || !isPossible) {
      return decideBy(requestState, undefined, true);
    }
    return {
      tag: 'Wait',
      begin: (resume) =>
        context.turns.outputs.find(stream, lastEventId, remainingMilliseconds, (found, answered) =>
          resume(decideBy(requestState, found, answered)),
        ),
    };
  },
};
