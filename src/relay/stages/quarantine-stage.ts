/** Refuses requests under which as many runners have ended as may, before they reserve anything. */
import { quarantined } from '../answers/local-answers.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

function decideBy({ context: { suspects }, request }: RequestState): StageOutcome {
  return suspects.verdictOf(request) === 'quarantined'
    ? refuseWith(quarantined(suspects.quarantineSeconds(request)))
    : GO_ON;
}

/** Refuses quarantined requests; a gateway that starts first reads which those are. */
export const QUARANTINE_STAGE: RequestStage = {
  name: 'quarantine',
  decide: (requestState) => {
    const { suspects } = requestState.context;
    return suspects.isLoaded()
      ? decideBy(requestState)
      : {
          tag: 'Wait',
          begin: (resume) => suspects.whenLoaded(() => resume(decideBy(requestState))),
        };
  },
};
