/**
 * Holds a request whose only runners are cold until this gateway may send one to them, or refuses it. It is the last
 * stage, so that the request is placed as soon as it is released.
 */
import { computeRetryDelay } from '../admission/retry-delay.js';
import type { ColdOutlook } from '../admission/cold-queue.js';
import { coldRunnersBusy } from '../answers/local-answers.js';
import type { Runner } from '../runners/runner.js';
import type { RequestState } from './request-state.js';
import { GO_ON, refuseWith } from './stage.js';
import type { RequestStage, StageOutcome } from './stage.js';

/**
 * Maximum time that a request is held, in milliseconds: within it, a gateway may send another request to each runner
 * to which it may send any.
 */
const MAXIMUM_HOLD_MILLISECONDS = 1_050;
/** The same maximum as a share of the time that the request has left. */
const MAXIMUM_HOLD_SHARE = 0.25;
/** Excess wait that is assumed if it is unknown when a request may be sent, in milliseconds. */
const UNKNOWN_WAIT_MILLISECONDS = 1_000;

/**
 * Returns the cold runners that may take the request once their limits allow it; undefined if it needs not wait for
 * them, since another runner may take it.
 */
function runnersToWaitFor({
  context,
  request,
  service,
  origin,
}: RequestState): Runner[] | undefined {
  const { registry, exclusions, coldLimits } = context;
  if (service === undefined || registry.coldPeriods.coldCount === 0) {
    return undefined;
  }
  const limited: Runner[] = [];
  for (const runner of registry.readyRunners(service)) {
    const reason = exclusions.reasonAgainst(runner, request, origin);
    if (reason === undefined && !coldLimits.isLimited(runner)) {
      return undefined;
    }
    if (reason === undefined || reason === coldLimits.name) {
      limited.push(runner);
    }
  }
  return limited;
}

function outlookOf(requestState: RequestState): ColdOutlook {
  const runners = runnersToWaitFor(requestState);
  return {
    hasOtherRunner: runners === undefined,
    permitDelays: requestState.context.coldLimits.permitDelays(runners ?? []),
  };
}

function refuse(
  requestState: RequestState,
  delayMilliseconds = UNKNOWN_WAIT_MILLISECONDS,
): StageOutcome {
  const { context, remainingMilliseconds } = requestState;
  const jitter = context.runtime.random.uniform();
  return refuseWith(
    coldRunnersBusy(computeRetryDelay(delayMilliseconds, remainingMilliseconds, jitter)),
  );
}

/** Waits until a request may be sent to a cold runner. */
export const COLD_STAGE: RequestStage = {
  name: 'cold',
  decide: (requestState) => {
    const { context, service, remainingMilliseconds } = requestState;
    const runners = runnersToWaitFor(requestState) ?? [];
    // Without any runner, the first attempt refuses the request.
    if (service === undefined || runners.length === 0) {
      return GO_ON;
    }
    const patienceMilliseconds = Math.min(
      MAXIMUM_HOLD_MILLISECONDS,
      remainingMilliseconds * MAXIMUM_HOLD_SHARE,
    );
    const enteredAt = context.runtime.now();
    return {
      tag: 'Wait',
      begin: (resume) =>
        context.coldQueue.enter({
          service,
          patienceMilliseconds,
          isCancelled: () => requestState.isFinished,
          outlook: () => outlookOf(requestState),
          done: (result) => {
            const { metrics, runtime } = context;
            metrics.observe('ivyloom_relay_cold_wait_milliseconds', runtime.now() - enteredAt);
            resume(result.tag === 'GoOn' ? GO_ON : refuse(requestState, result.delayMilliseconds));
          },
        }),
    };
  },
};
