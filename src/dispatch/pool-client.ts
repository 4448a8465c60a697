/** The shard owners' client of the pool schedulers. */
import type { NodeId, ProgramId, ServiceName, ShardId } from '../model/identifiers.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
import type { Runtime } from '../runtime/runtime.js';
import { shardOfPool } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';
import type {
  CallTicket,
  Message,
  PoolFinished,
  PoolReport,
  RunningCall,
} from '../wire/messages.js';

/** The waiting and running calls of one shard in one pool. */
export interface PoolCalls {
  readonly waiting: CallTicket[];
  readonly running: RunningCall[];
}

/** Time without an acknowledgement after which another node is tried, in milliseconds. */
const SCHEDULER_TIMEOUT_MILLISECONDS = 2_500;

interface UnansweredReport {
  readonly target: NodeId;
  /** Monotonic time in milliseconds of the first unacknowledged report. */
  readonly since: number;
}

/** Dependencies of a `PoolClient`. */
export interface PoolClientOptions {
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly runtime: Runtime;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Sends calls, reports and ends of calls and programs to the leaders of the pools' shards. */
export class PoolClient {
  private readonly unansweredReports = new Map<ShardId, UnansweredReport>();

  constructor(private readonly options: PoolClientOptions) {}

  /** Confirms the node that acknowledged a report as leader of the pool's shard. */
  receiveAcknowledgement(from: NodeId, shard: ShardId): void {
    this.options.leaders.confirm(shard, from);
    this.unansweredReports.delete(shard);
  }

  /** Adds a call to a pool's queue. */
  enqueue(service: ServiceName, from: ShardId, ticket: CallTicket): void {
    this.sendReport(service, from, false, { waiting: [ticket], running: [] });
  }

  /** Sends a complete report; the scheduler drops the shard's calls that are not listed. */
  reportAll(service: ServiceName, from: ShardId, calls: PoolCalls): void {
    this.suspectSilentScheduler(shardOfPool(this.options.map, service));
    this.sendReport(service, from, true, calls);
  }

  private suspectSilentScheduler(shard: ShardId): void {
    const { leaders, runtime } = this.options;
    const now = runtime.now();
    const target = leaders.targetOf(shard);
    const known = this.unansweredReports.get(shard);
    if (known === undefined || known.target !== target) {
      this.unansweredReports.set(shard, { target, since: now });
    } else if (now - known.since > SCHEDULER_TIMEOUT_MILLISECONDS) {
      leaders.suspect(shard, target);
      this.unansweredReports.delete(shard);
    }
  }

  /** Reports that a call no longer runs on its engine. */
  reportFinished(finished: PoolFinished): void {
    this.options.send(this.targetOf(finished.service), finished);
  }

  /** Notifies the pools of these services that a program has ended. */
  announceProgramEnded(services: readonly ServiceName[], program: ProgramId): void {
    const targets = new Set(services.map((service) => this.targetOf(service)));
    for (const target of targets) {
      this.options.send(target, { type: 'programGone', program });
    }
  }

  private targetOf(service: ServiceName): NodeId {
    return this.options.leaders.targetOf(shardOfPool(this.options.map, service));
  }

  private sendReport(
    service: ServiceName,
    from: ShardId,
    complete: boolean,
    calls: PoolCalls,
  ): void {
    const shard = shardOfPool(this.options.map, service);
    const report: PoolReport = { type: 'poolReport', service, shard, from, complete, ...calls };
    this.options.send(this.options.leaders.targetOf(shard), report);
  }
}
