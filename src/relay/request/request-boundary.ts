/**
 * Confines an unexpected exception to the request during whose processing it was thrown. The request and its connection end, what
 * it holds is given back, and all other requests go on.
 */
import type { ExceptionLog } from '../../telemetry/exception-log.js';

/** One step of ending a request; each step runs even if others throw. */
export type CleanupStep = () => void;

/** Boundary around all event handlers and timers of one request. */
export class RequestBoundary {
  private hasFailed = false;
  private steps: readonly CleanupStep[] = [];

  constructor(
    private readonly exceptions: ExceptionLog,
    private readonly requestId: string,
  ) {}

  /** Sets the steps that end the request after an exception, in their order; they replace the earlier ones. */
  setCleanup(...steps: CleanupStep[]): void {
    this.steps = steps;
  }

  /** Runs `work`; an exception ends the request instead of the process. */
  run(work: () => void): void {
    try {
      work();
    } catch (cause) {
      this.endAfter(cause);
    }
  }

  /** Returns a listener that does the same and ends the request if it throws. */
  guard<Values extends unknown[]>(
    listener: (...values: Values) => void,
  ): (...values: Values) => void {
    return (...values) => this.run(() => listener(...values));
  }

  private endAfter(cause: unknown): void {
    const fields = { request: this.requestId };
    this.exceptions.record('request', cause, fields);
    if (this.hasFailed) {
      return;
    }
    this.hasFailed = true;
    this.steps.forEach((step) => this.exceptions.contain('request', step, fields));
  }
}
