/** What placement knows of one runner when it weighs it for a request, and of a service's runners together. */

import type { RunnerSpeed } from './runner-speed.js';

/** What is known of one runner that may get the request. */
export interface RunnerView {
  readonly id: string;
  /** Short name of its life. */
  readonly hash: number;
  readonly zone: string;
  readonly slots: number;
  /** Requests that are believed to be there, ours and those of other nodes. */
  readonly inFlight: number;
  /** Mean time from sending to the end of a request there, in milliseconds. */
  readonly meanMilliseconds: number;
  /** How it compares with its peers. */
  readonly speed: RunnerSpeed;
  /** Tokens of the prompt's leading parts believed to be in its memory. */
  readonly cachedTokens: number;
  /** Whether a connection to it is open and idle. */
  readonly hasIdleConnection: boolean;
}

/** What is known of one runner's load. */
export interface LoadView extends RunnerView {
  /** Requests of other gateways that are believed to be there. */
  readonly inFlightOfOthers: number;
}

/** How busy the runners of a service are, all gateways' requests together. */
export interface ServiceLoad {
  /** Requests there, running or waiting. */
  readonly inFlight: number;
  /** Requests that can run at the same time. */
  readonly slots: number;
  /** Runners that take new requests. */
  readonly runners: number;
}
