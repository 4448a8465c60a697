/** Log entries and metrics of the ends of runners. */
import type { Runtime } from '../../runtime/runtime.js';
import { fingerprintText } from '../../suspects/fingerprint.js';
import { fingerprintsOf } from '../request/fingerprint.js';
import type { RelayMetrics } from '../relay-metrics.js';
import { END_EVIDENCE } from './runner-ends.js';
import type { EndExposures, Exposure, RunnerEnd } from './runner-ends.js';
import type { RunnerRecord } from './runner-registry.js';

/** Largest number of requests that a log entry names. */
const MAXIMUM_NAMED = 16;

/** Returns the id and the fingerprint of a request, as `id:fingerprint`. */
function requestText({ request }: Exposure): string {
  return `${request.id}:${fingerprintText(fingerprintsOf(request).own)}`;
}

function requestsText(exposures: readonly Exposure[]): string {
  return exposures.slice(0, MAXIMUM_NAMED).map(requestText).join(' ');
}

/** Logs and counts the end of a runner and the requests that were there. */
export function logRunnerEnd(
  { runtime, metrics }: { readonly runtime: Runtime; readonly metrics: RelayMetrics },
  { runner }: RunnerRecord,
  { evidence, wasAnnounced }: RunnerEnd,
  { lost, givenUp }: EndExposures,
  isFirst: boolean,
): void {
  const surety = END_EVIDENCE[evidence];
  metrics.count('ivyloom_relay_ended_runners_total', `evidence="${evidence}"`, isFirst ? 1 : 0);
  metrics.count('ivyloom_relay_requests_at_end_total', `surety="${surety}"`, lost.length);
  metrics.count('ivyloom_relay_given_up_at_end_total', `surety="${surety}"`, givenUp.length);
  runtime.log('info', 'runner ended', {
    event: 'runner.ended',
    runner: runner.id,
    service: runner.service,
    evidence,
    surety,
    announced: wasAnnounced,
    requests: lost.length,
    under: requestsText(lost),
    givenUp: givenUp.length,
    after: requestsText(givenUp),
  });
}

/** Logs that a runner that was presumed to have ended is alive. */
export function logRunnerEndWithdrawn(runtime: Runtime, { runner }: RunnerRecord): void {
  const { id, service } = runner;
  const fields = { event: 'runner.alive', runner: id, service };
  runtime.log('info', 'runner that was presumed to have ended is alive', fields);
}
