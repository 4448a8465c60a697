/**
 * Logs why no majority of the replicas acknowledged: what each of them said. One line a second at most,
 * since every request fails alike while a majority is missing.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MemberOutcomes } from './quorum-write.js';

/** Least time between two lines, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** See the head of this file. */
export class FailedWriteLog {
  private nextLogAt = -Infinity;
  /** Writes that failed since the last line. */
  private failures = 0;

  constructor(private readonly runtime: Runtime) {}

  /** Notes a write of an epoch that no majority acknowledged. */
  recordFailure(epoch: number, outcomes: MemberOutcomes): void {
    const now = this.runtime.now();
    this.failures += 1;
    if (now < this.nextLogAt) {
      return;
    }
    this.runtime.log('warn', 'no majority of the replicas acknowledged', {
      event: 'replicas.unacknowledged',
      epoch,
      outcomes: [...outcomes].map(([member, outcome]) => `${member.id}=${outcome}`).join(' '),
      failures: this.failures,
    });
    this.failures = 0;
    this.nextLogAt = now + LOG_INTERVAL_MILLISECONDS;
  }
}
