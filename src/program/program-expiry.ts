/**
 * Ends idle programs and deletes programs whose retention time has passed. Idle time is measured on
 * the leader's monotonic clock since it last observed a change, so a jump of the wall clock expires
 * nothing. A new leader starts measuring from zero.
 */
import type { ProgramId } from '../model/identifiers.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { Runtime } from '../runtime/runtime.js';
import type { OwnerLimits } from './program-limits.js';
import { firstUnfinishedCall } from './program-record.js';
import type { ProgramRecord } from './program-record.js';

/** Dependencies of a `ProgramExpiry`. */
export interface ProgramExpiryOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly limits: OwnerLimits;
  readonly onProgramEnded: (program: ProgramId) => void;
}

interface ActivityObservation {
  /** Value derived from the program's record; a different value means activity. */
  readonly activityStamp: number;
  /** Monotonic time in milliseconds at which this value was first observed. */
  readonly observedAt: number;
}

/** Expires the idle and ended programs of one shard. */
export class ProgramExpiry {
  private readonly observations = new Map<ProgramId, ActivityObservation>();

  constructor(private readonly options: ProgramExpiryOptions) {}

  /** Checks all programs; called about once a second by the leader. */
  sweep(): void {
    const { host, limits } = this.options;
    for (const program of host.state.programs.values()) {
      const idle = this.idleTime(program);
      if (program.end !== undefined && idle > limits.retentionMilliseconds) {
        this.forget(program);
      } else if (program.end === undefined && idle > limits.idleMilliseconds) {
        this.expire(program);
      }
    }
  }

  /** Drops all observations; called when leadership ends. */
  reset(): void {
    this.observations.clear();
  }

  private idleTime(program: ProgramRecord): number {
    const now = this.options.runtime.now();
    const stamp = program.lastActivityAt + program.nextSequence;
    const known = this.observations.get(program.program);
    if (known === undefined || known.activityStamp !== stamp) {
      this.observations.set(program.program, { activityStamp: stamp, observedAt: now });
      return 0;
    }
    return now - known.observedAt;
  }

  private forget(program: ProgramRecord): void {
    this.observations.delete(program.program);
    const command = { type: 'forgetProgram', program: program.program } as const;
    this.options.host.propose(command, () => undefined);
  }

  private expire(program: ProgramRecord): void {
    if (firstUnfinishedCall(program) !== undefined) {
      return;
    }
    const { host, runtime, onProgramEnded } = this.options;
    const { program: name } = program;
    const at = runtime.wallTime();
    host.propose({ type: 'endProgram', at, program: name, reason: 'expired' }, (result) => {
      if (result.type === 'committed') {
        onProgramEnded(name);
      }
    });
  }
}
