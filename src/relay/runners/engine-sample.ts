/** What an answered stream shows of the engine that made it. */
import type { EngineSample } from './engine-estimate.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { RunnerCandidate } from './runner-book.js';

/** Events of one stream and when they came; local times in milliseconds. */
export interface StreamTimes {
  readonly sentAt: number;
  readonly firstEventAt: number;
  readonly lastEventAt: number;
  readonly eventCount: number;
}

/** Fewest events whose mean pause tells anything. */
const EVENTS_WITH_PAUSE = 4;

/**
 * Tokens that the runner had to read; undefined when another node may have sent the prompt there
 * before without this one's knowledge, as after a start.
 */
function surelyUnreadTokens(
  request: RelayRequest,
  { cachedTokens }: RunnerCandidate,
): number | undefined {
  const { promptParts, promptTokens, route, previousTurn } = request;
  const last = promptParts.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const before = promptTokens - last.tokens;
  const beginsLine = route.retained && previousTurn === undefined;
  const isSure = cachedTokens > before || (beginsLine && cachedTokens >= before);
  return isSure ? promptTokens - cachedTokens : undefined;
}

/** The sample of one stream that its first try answered whole. */
export function engineSampleOf(
  request: RelayRequest,
  chosen: RunnerCandidate,
  times: StreamTimes,
): EngineSample {
  const { sentAt, firstEventAt, lastEventAt, eventCount } = times;
  const pauses = eventCount - 1;
  const hasPause = eventCount >= EVENTS_WITH_PAUSE;
  return {
    unreadTokens: surelyUnreadTokens(request, chosen),
    running: chosen.inFlight + 1,
    firstEventMilliseconds: firstEventAt - sentAt,
    pauseMilliseconds: hasPause ? (lastEventAt - firstEventAt) / pauses : undefined,
    eventCount,
  };
}
