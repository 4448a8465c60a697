/**
 * Logs the outcome at each member when no majority of the replicas acknowledged a write. Rate-limited, since every
 * request fails the same way while a majority is missing.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MemberOutcomes } from './quorum-write.js';

/** Minimum interval between two log entries, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Rate-limited log of writes that failed to reach a majority. */
export class FailedWriteLog {
  private nextLogAt = -Infinity;
  /** Writes that failed since the last log entry. */
  private failures = 0;

  constructor(private readonly runtime: Runtime) {}

  /** Records a write, made under the given epoch, that no majority acknowledged. */
  recordFailure(epoch: number, outcomes: MemberOutcomes): void {
    const now = this.runtime.now();
    this.failures += 1;
    if (now < this.nextLogAt) {
      return;
    }
    this.runtime.log('warn', 'write not acknowledged by a majority of the replicas', {
      event: 'replicas.unacknowledged',
      epoch,
      outcomes: [...outcomes].map(([member, outcome]) => `${member.id}=${outcome}`).join(' '),
      failures: this.failures,
    });
    this.failures = 0;
    this.nextLogAt = now + LOG_INTERVAL_MILLISECONDS;
  }
}
