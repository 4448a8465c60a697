/** Derives what a complete stream shows about the engine that generated it. */
import type { EngineSample } from './engine-estimate.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { RunnerCandidate } from './runner-registry.js';

/** Number and timing of a stream's events; local clock times in milliseconds. */
export interface StreamTimes {
  readonly sentAt: number;
  readonly firstEventAt: number;
  readonly lastEventAt: number;
  readonly eventCount: number;
}

/** Fewest events of a stream from which a mean pause is computed. */
const MINIMUM_EVENTS_FOR_PAUSE = 4;

/**
 * Returns the number of prompt tokens that the runner had to prefill, or undefined if that is uncertain because
 * another gateway may have sent earlier parts of the prompt without this gateway's knowledge, as after a restart.
 */
function knownUncachedTokens(
  request: RelayRequest,
  { cachedTokens }: RunnerCandidate,
): number | undefined {
  const { promptParts, promptTokens, route, previousTurn } = request;
  const last = promptParts.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const earlierTokens = promptTokens - last.tokens;
  const startsChain = route.retained && previousTurn === undefined;
  const isKnown = cachedTokens > earlierTokens || (startsChain && cachedTokens >= earlierTokens);
  return isKnown ? promptTokens - cachedTokens : undefined;
}

/** Creates the sample of a stream that its first attempt answered completely. */
export function engineSampleOf(
  request: RelayRequest,
  chosen: RunnerCandidate,
  times: StreamTimes,
): EngineSample {
  const { sentAt, firstEventAt, lastEventAt, eventCount } = times;
  const pauses = eventCount - 1;
  const hasPause = eventCount >= MINIMUM_EVENTS_FOR_PAUSE;
  return {
    uncachedTokens: knownUncachedTokens(request, chosen),
    running: chosen.inFlight + 1,
    firstEventMilliseconds: firstEventAt - sentAt,
    pauseMilliseconds: hasPause ? (lastEventAt - firstEventAt) / pauses : undefined,
    eventCount,
  };
}
