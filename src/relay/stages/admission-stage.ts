/** Programs under way go before new ones when the runners are full. */
import { overloaded } from '../answers/own-answers.js';
import { isLate } from '../request/urgency.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

/** See the head of this file. */
export const ADMISSION_STAGE: RequestStage = {
  name: 'admission',
  decide: (passage) => {
    const { context, request, service } = passage;
    const { route, program } = request;
    if (route.kind !== 'stream' || program === undefined) {
      return GO_ON;
    }
    const late = isLate(request, context.runtime.now());
    const load = (): ReturnType<typeof context.book.loadOf> => context.book.loadOf(service ?? '');
    const isAdmitted = context.admission.admit(program.program, late, load, route.priority);
    return isAdmitted ? GO_ON : refuseWith(overloaded());
  },
};
