/** Checks, by what runners ran, the requests of clients that keep their connections. */
import type { RunnerRun } from '../src/emulator/relay-runner.js';
import type { ConnectionRequest } from './connection-requests.js';

/** Statuses by which a gateway guarantees that the request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const OK = 200;
/** Time by which the end of a run may be noted after the gateway got the answer, in milliseconds. */
const NOTE_MILLISECONDS = 20;

/** Counts of the requests on kept connections. */
export interface ConnectionCounts {
  readonly connections: number;
  readonly sent: number;
  readonly answered: number;
  readonly refused: number;
  /** Requests whose connection ended without a whole answer, those left by their clients included. */
  readonly unanswered: number;
  /** Requests that were sent before the answer to the one ahead of them, and ran, as that one did. */
  readonly ranAhead: number;
}

/** Dependencies of the check. */
export interface ConnectionCheckOptions {
  readonly requests: readonly ConnectionRequest[];
  readonly connectionCount: number;
  /** Returns the runs of a request, at all runners. */
  readonly runsOf: (id: string) => readonly RunnerRun[];
  readonly violate: (promise: string, detail: string) => void;
}

/** The only run of a request that its runner and its client have seen end in order; undefined if there is none. */
function cleanRunOf(
  { status }: ConnectionRequest,
  runs: readonly RunnerRun[],
): RunnerRun | undefined {
  const [run] = runs;
  const isClean = status === OK && run?.behaviour === 'answer' && run.answeredAt !== undefined;
  return runs.length === 1 && isClean ? run : undefined;
}

/** Checks all requests of a soak. Call when all have ended, and runners run none of them. */
export function checkConnections(options: ConnectionCheckOptions): ConnectionCounts {
  const { requests, connectionCount: connections, runsOf, violate } = options;
  const last = new Map<number, ConnectionRequest>();
  let ranAhead = 0;
  for (const request of requests) {
    const { id, kind, path, body, status, connection } = request;
    const runs = runsOf(id);
    if (runs.some((run) => run.path !== path || run.body !== body)) {
      violate('own request', `request ${id} reached a runner with another path or body`);
    }
    if (kind === 'single' && runs.length > 1) {
      violate('at most once', `request ${id} ran ${runs.length} times`);
    }
    if (kind === 'single' && runs.length > 0 && NOT_RUN_STATUSES.has(status)) {
      violate('not run', `request ${id} got status ${status}, but ran`);
    }
    const before = last.get(connection);
    last.set(connection, request);
    const isAhead = before !== undefined && request.sentAt < (before.answeredAt ?? Infinity);
    const earlier = isAhead ? cleanRunOf(before, runsOf(before.id)) : undefined;
    const later = cleanRunOf(request, runs);
    if (earlier !== undefined && later !== undefined) {
      ranAhead += 1;
      const overlap = earlier.answeredAt! - later.startedAt;
      if (overlap > NOTE_MILLISECONDS) {
        const detail = `${before!.id} ran for ${Math.round(overlap)} ms more`;
        violate('one at a time', `request ${id} ran while the one ahead of it, ${detail}`);
      }
    }
  }
  return {
    connections,
    sent: requests.length,
    answered: requests.filter(({ status }) => status === OK).length,
    refused: requests.filter(({ status }) => NOT_RUN_STATUSES.has(status)).length,
    unanswered: requests.filter(({ endedAt }) => endedAt !== undefined).length,
    ranAhead,
  };
}
