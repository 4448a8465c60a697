/**
 * Capacity stage: refuses requests of services whose runners all get no requests at present, before
 * the request reserves anything. A service without any known runner passes: its runners may be
 * listed while the request is prepared.
 */
import { computeRetryDelay } from '../admission/retry-delay.js';
import { noCapacity } from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import { isResumption } from '../request/relay-request.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage } from './stage.js';

/** Returns the rule that excludes all usable runners of a request's service, or undefined. */
function ruleAgainstService({ context, service }: RequestState): string | undefined {
  const { registry, exclusions } = context;
  if (service === undefined) {
    return undefined;
  }
  let rule: string | undefined;
  const hasRunnerLeft = registry.hasUsableRunner(service, (runner) => {
    rule = exclusions.reasonAgainstAll(runner);
    return rule === undefined;
  });
  return hasRunnerLeft ? undefined : rule;
}

/** Returns the answer to a request whose service has no runner left; undefined if it has one. */
export function refusalWithoutCapacity(requestState: RequestState): LocalAnswer | undefined {
  const rule = ruleAgainstService(requestState);
  if (rule === undefined) {
    return undefined;
  }
  // How long the exclusion lasts is unknown, so the client retries late within its own time.
  const { remainingMilliseconds, context } = requestState;
  const jitter = context.runtime.random.uniform();
  return noCapacity(rule, computeRetryDelay(Infinity, remainingMilliseconds, jitter));
}

/** Refuses requests that no runner may get, whichever request it is. */
export const CAPACITY_STAGE: RequestStage = {
  name: 'capacity',
  decide: (requestState) => {
    if (isResumption(requestState.request)) {
      // Its service is that which began the stream; the origin stage decides.
      return GO_ON;
    }
    const refusal = refusalWithoutCapacity(requestState);
    return refusal === undefined ? GO_ON : refuseWith(refusal);
  },
};
