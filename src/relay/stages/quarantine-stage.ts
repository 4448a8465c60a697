/** Refuses requests under which as many runners have ended as may, before they reserve anything. */
import { quarantined } from '../answers/local-answers.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

/** Refuses quarantined requests. */
export const QUARANTINE_STAGE: RequestStage = {
  name: 'quarantine',
  decide: ({ context: { suspects }, request }) =>
    suspects.table.size > 0 && suspects.verdictOf(request) === 'quarantined'
      ? refuseWith(quarantined(suspects.quarantineSeconds(request)))
      : GO_ON,
};
