/** Chooses the runner of a request's next try from what is believed of the runners of its service. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { RelayContext } from '../relay-context.js';
import { mayRepeat } from '../request/relay-request.js';
import type { RunnerLife } from '../runners/runner.js';
import type { RunnerCandidate } from '../runners/runner-book.js';
import type { Passage } from '../stages/passage.js';
import { chooseRunner } from './choose-runner.js';
import { drawCandidates } from './draw-candidates.js';
import type { PlacementNeed } from './placement-charges.js';

/** What the tries so far leave to choose from. */
export interface OpenRunners {
  readonly mayGoTo: (runner: RunnerLife) => boolean;
  /** Runners that refused it: asking them again at once helps nobody. */
  readonly refusedBy: ReadonlySet<RunnerLife>;
  /** Runners at which a try failed: taken only when no other is left. */
  readonly failedAt: ReadonlySet<RunnerLife>;
  /** Whether nothing of it was tried before: what failed once is no trial. */
  readonly isFirstTry: boolean;
}

function needOf(context: RelayContext, passage: Passage, service: string): PlacementNeed {
  const { request, key, body } = passage;
  const isEngine = context.currentTable()?.services.get(service)?.cachesPrompts === true;
  return {
    zone: context.zone,
    promptTokens: request.promptTokens,
    bodyBytes: body.length,
    affinityHash: request.promptParts[0]?.key ?? hashToNumber(request.program?.session ?? key),
    engine: isEngine ? context.book.engineCosts(service) : undefined,
  };
}

/** The runner of least cost among those that may be asked; undefined when there is none. */
export function placeRequest(
  context: RelayContext,
  passage: Passage,
  { mayGoTo, refusedBy, failedAt, isFirstTry }: OpenRunners,
): RunnerCandidate | undefined {
  const { service, request } = passage;
  if (service === undefined) {
    return undefined;
  }
  const { promptParts, route } = request;
  const mayBeTrial = isFirstTry && request.lastEventId === undefined && mayRepeat(route);
  const choice = { mayGoTo, failedAt, mayBeTrial };
  const usable = context.book.candidates(service, promptParts, refusedBy, choice);
  const weighed = context.drawsCandidates
    ? drawCandidates(usable, context.book.loadAgeMilliseconds(), context.runtime.random)
    : usable;
  return chooseRunner(weighed, needOf(context, passage, service), context.charges);
}
