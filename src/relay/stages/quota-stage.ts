/**
 * Checks the quota of the tenant, concurrently with the preparation, since both are round trips to
 * the replicas.
 */
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

/** Refuses requests above the quota of their tenant. */
export const QUOTA_STAGE: RequestStage = {
  name: 'quota',
  decide: ({ request, context, startsProgram, remainingMilliseconds }) => {
    if (request.tenant?.quota === undefined) {
      return GO_ON;
    }
    return {
      tag: 'Wait',
      begin: (resume) =>
        context.quotas.check(
          request,
          startsProgram,
          remainingMilliseconds,
          (refusal, isProgramRefused) => {
            if (refusal === undefined) {
              resume(GO_ON);
              return;
            }
            if (startsProgram && isProgramRefused && request.program !== undefined) {
              context.admission.forget(request.program.program);
            }
            resume(refuseWith(refusal));
          },
        ),
    };
  },
};
