/** What an answered stream shows of the engine that made it. */
import type { EngineSample } from './engine-estimate.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { RunnerCandidate } from './runner-registry.js';

/** Events of one stream and when they came; local times in milliseconds. */
export interface StreamTimes {
  readonly sentAt: number;
  readonly firstEventAt: number;
  readonly lastEventAt: number;
  readonly eventCount: number;
}

/** Fewest events whose mean pause tells anything. */
const MINIMUM_EVENTS_FOR_PAUSE = 4;

/**
 * Tokens that the runner had to read; undefined when another node may have sent the prompt there
 * before without this one's knowledge, as after a start.
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

/** The sample of one stream that its first try answered whole. */
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
