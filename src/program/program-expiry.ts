/**
 * Ends programs that were left and forgets those that ended long ago. Quiet time is counted on the
 * leader's monotonic clock from the last change it has seen, so a jump of the wall clock ends nothing;
 * a new leader counts afresh.
 */
import type { ProgramId } from '../model/identifiers.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { Runtime } from '../runtime/runtime.js';
import type { OwnerLimits } from './program-limits.js';
import { firstUnfinishedCall } from './program-record.js';
import type { ProgramRecord } from './program-record.js';

/** What the expiry is made with. */
export interface ProgramExpiryOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly limits: OwnerLimits;
  readonly onProgramEnded: (program: ProgramId) => void;
}

interface ActivityObservation {
  /** The program's own mark of its last change; any change of it is an activity. */
  readonly activityStamp: number;
  /** Monotonic milliseconds at which that mark was first seen. */
  readonly observedAt: number;
}

/** See the head of this file. */
export class ProgramExpiry {
  private readonly observations = new Map<ProgramId, ActivityObservation>();

  constructor(private readonly options: ProgramExpiryOptions) {}

  /** Looks at every program; called about once a second by the leader. */
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

  /** Forgets what was seen; called when leadership ends. */
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
