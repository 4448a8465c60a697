/** Creates requests for the admission stage, without a network. */
import { ProgramAdmission } from '../../src/relay/admission/program-admission.js';
import { LoadCorrection } from '../../src/relay/admission/load-correction.js';
import { ProgramStats } from '../../src/relay/admission/program-stats.js';
import { ServiceDemand } from '../../src/relay/admission/service-demand.js';
import { AggregateRegistry } from '../../src/peers/aggregate-registry.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import { RelayMetrics } from '../../src/relay/relay-metrics.js';
import type { PromptPart, RelayRequest } from '../../src/relay/request/relay-request.js';
import { EngineEstimate } from '../../src/relay/runners/engine-estimate.js';
import { RunnerExclusions } from '../../src/relay/runners/runner-exclusions.js';
import { RequestState } from '../../src/relay/stages/request-state.js';

/** Returns admission control that has admitted no program yet. */
export function freshAdmission(): ProgramAdmission {
  return new ProgramAdmission(createRandom(3));
}

/**
 * Returns a tenant's request at a gateway that knows none of its programs; the runners cache
 * `cachedTokens` tokens of its prompt.
 */
export function requestStateWith(
  program: string,
  promptParts: readonly PromptPart[],
  cachedTokens: number,
  resumed: Partial<RelayRequest> = {},
): RequestState {
  const context = {
    admission: freshAdmission(),
    kindStats: new ProgramStats(),
    loadCorrection: new LoadCorrection({ now: () => 0 }),
    demand: new ServiceDemand(new AggregateRegistry()),
    metrics: new RelayMetrics(),
    runtime: { now: () => 0, log: () => undefined },
    split: { pick: () => 's' },
    exclusions: new RunnerExclusions(),
    registry: {
      loadOf: () => ({ inFlight: 0, slots: 6, runners: 1 }),
      engineCosts: () => new EngineEstimate(),
      candidates: () => [{ cachedTokens }],
      loadAgeMilliseconds: () => 100,
    },
  } as unknown as RelayContext;
  const route = {
    kind: 'stream',
    name: 'r',
    priority: 0,
    timeoutMilliseconds: 3_000,
    resumable: true,
  };
  const quota = { ratePerSecond: 1, burst: 1 };
  const request = {
    arrivedAt: 0,
    deadlineAt: 3_000,
    route,
    promptParts,
    program: { program },
    tenant: { id: 't', priority: 0, quota },
    ...resumed,
  };
  return new RequestState(context, request as unknown as RelayRequest);
}
