/** Logs and counts the exceptions that no code expected. */
import type { LogFields, Runtime } from '../runtime/runtime.js';

/** What an exception interrupted; the rest of the process goes on, except after one of scope `process`. */
export type ExceptionScope = 'request' | 'datagram' | 'message' | 'snapshot' | 'item' | 'process';

/** Minimum time between two log lines about one exception, in milliseconds: it may recur with every request. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Bounds the memory for messages, which may contain values from outside. */
const MAXIMUM_REMEMBERED_MESSAGES = 100;
/** Characters of a stack that are logged. */
const MAXIMUM_STACK_LENGTH = 2_000;

/** The log of one process. */
export class ExceptionLog {
  private readonly counts = new Map<ExceptionScope, number>();
  private readonly loggedAt = new Map<string, number>();

  constructor(private readonly runtime: Pick<Runtime, 'now' | 'log'>) {}

  /** Number of exceptions recorded so far. */
  get count(): number {
    return [...this.counts.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Counts an exception, and logs it with its stack unless the same one was logged shortly before. */
  record(scope: ExceptionScope, cause: unknown, fields: LogFields = {}): void {
    this.counts.set(scope, (this.counts.get(scope) ?? 0) + 1);
    const reason = cause instanceof Error ? cause.message : String(cause);
    if (this.wasJustLogged(`${scope}: ${reason}`)) {
      return;
    }
    const stack = cause instanceof Error ? (cause.stack ?? '') : '';
    this.runtime.log('error', 'unexpected exception', {
      event: 'process.exception',
      scope,
      reason: reason.slice(0, MAXIMUM_STACK_LENGTH),
      stack: stack.slice(0, MAXIMUM_STACK_LENGTH),
      count: this.counts.get(scope) ?? 0,
      ...fields,
    });
  }

  /** Runs `work`; records an exception instead of throwing it. */
  contain(scope: ExceptionScope, work: () => void, fields: LogFields = {}): void {
    try {
      work();
    } catch (cause) {
      this.record(scope, cause, fields);
    }
  }

  /** Number of exceptions by scope; scopes without any are omitted. */
  get countByScope(): ReadonlyMap<ExceptionScope, number> {
    return this.counts;
  }

  private wasJustLogged(message: string): boolean {
    const now = this.runtime.now();
    const before = this.loggedAt.get(message) ?? -Infinity;
    if (now - before < LOG_INTERVAL_MILLISECONDS) {
      return true;
    }
    this.loggedAt.delete(message);
    this.loggedAt.set(message, now);
    if (this.loggedAt.size > MAXIMUM_REMEMBERED_MESSAGES) {
      const [oldest] = this.loggedAt.keys();
      this.loggedAt.delete(oldest!);
    }
    return false;
  }
}
