/** Views of the runners' state that placement and admission work on. */

/** State of a runner that may get a request, as placement needs it. */
export interface RunnerView {
  readonly id: string;
  /** Hash of the incarnation. */
  readonly hash: number;
  readonly zone: string;
  /** Number of requests the runner processes at the same time. */
  readonly slots: number;
  /** Estimated requests in flight on the runner, from this and all other gateways. */
  readonly inFlight: number;
  /** Mean time from sending a request to the end of its answer, in milliseconds. */
  readonly meanMilliseconds: number;
  /** Estimated leading tokens of the request's prompt in the runner's cache. */
  readonly cachedTokens: number;
  /** From 1 for a cold runner to 0 for a warm one; falls gradually after a cold period. Absent for a warm runner. */
  readonly coldness?: number;
  /** Whether a request may be there under which other runners have ended. Absent if there is none. */
  readonly hasSuspect?: boolean;
  /** Whether an idle connection to the runner is open. */
  readonly hasIdleConnection: boolean;
}

/** A runner's state with the load from other gateways listed separately. */
export interface LoadView extends RunnerView {
  /** Estimated requests of other gateways in flight on the runner. */
  readonly inFlightOfOthers: number;
}

/** Total load of a service's runners, from all gateways. */
export interface ServiceLoad {
  /** Requests running or queued on the runners. */
  readonly inFlight: number;
  /** Number of requests that can run at the same time. */
  readonly slots: number;
  /** Number of runners that accept new requests. */
  readonly runners: number;
}
