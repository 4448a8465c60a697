/**
 * Observes the traffic of attempts with other regions: counts the bytes of requests and answers, and measures how long
 * new connections take to open.
 */
import type { RelayContext } from '../relay-context.js';
import type { AttemptListener } from './attempt.js';

type SendListener = Pick<AttemptListener, 'onConnected' | 'onSendEnd'>;

/** Returns the listener for sending to a runner of a zone, extended by the observation. */
export function observeSend(
  context: Pick<RelayContext, 'runtime' | 'distances' | 'traffic'>,
  zone: string,
  bodyBytes: number,
  listener: SendListener,
): SendListener & Pick<AttemptListener, 'onOpening'> {
  const { runtime, distances, traffic } = context;
  if (distances?.hasSeveralRegions !== true) {
    return listener;
  }
  let openingAt: number | undefined;
  return {
    onOpening: () => {
      openingAt = runtime.now();
    },
    onConnected: () => {
      if (openingAt !== undefined) {
        distances.recordRoundTrip(zone, runtime.now() - openingAt);
      }
      traffic?.recordZone('runners', 'sent', zone, bodyBytes);
      listener.onConnected();
    },
    onSendEnd: () => listener.onSendEnd(),
  };
}
