/** Holds tenants to their limits; asked beside the preparation, since both are a way to the replicas and back. */
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

/** See the head of this file. */
export const QUOTA_STAGE: RequestStage = {
  name: 'quota',
  decide: ({ request, context, startsProgram: startsProgram, remainingMilliseconds }) => {
    if (request.tenant?.quota === undefined) {
      return GO_ON;
    }
    return {
      tag: 'Wait',
      begin: (resume) =>
        context.quotas.check(request, startsProgram, remainingMilliseconds, (refusal) => {
          if (refusal === undefined) {
            resume(GO_ON);
            return;
          }
          if (startsProgram && request.program !== undefined) {
            context.admission.forget(request.program.program);
          }
          resume(refuseWith(refusal));
        }),
    };
  },
};
