/**
 * Rules by which a runner must not get a request, whatever it costs to place the request elsewhere. They are checked
 * when runners are listed for placement, and again immediately before a request is written to a connection.
 */
import type { StreamOrigin } from '../../turns/stream-origins.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { Runner } from './runner.js';

/** One rule. */
export interface RunnerExclusion {
  /** Name of the rule in logs and metrics. */
  readonly name: string;
  /**
   * Whether the runner must not get the request; has no effect on later checks.
   * @param origin where the stream began that the request continues; undefined for a new one
   */
  readonly excludes: (runner: Runner, request: RelayRequest, origin?: StreamOrigin) => boolean;
  /**
   * Whether the runner must get no request at all, so that its slots do not count as capacity. Omitted by rules that
   * depend on the request or that only delay requests.
   */
  readonly withdrawsCapacity?: (runner: Runner) => boolean;
  /** Called immediately before a request is written to a runner. */
  readonly recordSend?: (runner: Runner) => void;
}

/** The rules in force at a gateway. */
export class RunnerExclusions {
  constructor(private readonly rules: readonly RunnerExclusion[] = []) {}

  /** Returns the name of the first rule that excludes a runner, or undefined if the runner may get the request. */
  reasonAgainst(runner: Runner, request: RelayRequest, origin?: StreamOrigin): string | undefined {
    return this.rules.find((rule) => rule.excludes(runner, request, origin))?.name;
  }

  /** Returns the name of the first rule by which a runner gets no request at all, or undefined. */
  reasonAgainstAll(runner: Runner): string | undefined {
    return this.rules.find((rule) => rule.withdrawsCapacity?.(runner) === true)?.name;
  }

  /** Records that a request is about to be written to a runner. */
  recordSend(runner: Runner): void {
    this.rules.forEach((rule) => rule.recordSend?.(runner));
  }
}
