/** An owner's side of the pool schedulers: enqueues calls, repeats what may be lost, reports ends. */
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

/** Everything an owner has in one pool. */
export interface PoolCalls {
  readonly waiting: CallTicket[];
  readonly running: RunningCall[];
}

/** Silence of a scheduler after which another node is asked, in milliseconds. */
const SCHEDULER_TIMEOUT_MILLISECONDS = 2_500;

interface UnansweredReport {
  readonly target: NodeId;
  /** Monotonic milliseconds of the first report that was not answered. */
  readonly since: number;
}

/** What the client is made with. */
export interface PoolClientOptions {
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly runtime: Runtime;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Sends to the pool schedulers. */
export class PoolClient {
  private readonly unansweredReports = new Map<ShardId, UnansweredReport>();

  constructor(private readonly options: PoolClientOptions) {}

  /** Takes the word of a pool's scheduler that it has heard. */
  receiveAcknowledgement(from: NodeId, shard: ShardId): void {
    this.options.leaders.confirm(shard, from);
    this.unansweredReports.delete(shard);
  }

  /** Puts one call into a pool's queue. */
  enqueue(service: ServiceName, from: ShardId, ticket: CallTicket): void {
    this.sendReport(service, from, false, { waiting: [ticket], running: [] });
  }

  /** Tells a pool everything a shard has in it; what is not listed is no longer there. */
  reportAll(service: ServiceName, from: ShardId, content: PoolCalls): void {
    this.suspectSilentScheduler(shardOfPool(this.options.map, service));
    this.sendReport(service, from, true, content);
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

  /** Tells that a call has left its engine. */
  reportFinished(finished: PoolFinished): void {
    this.options.send(this.targetOf(finished.service), finished);
  }

  /** Tells the pools of these services that a program is over. */
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
    content: PoolCalls,
  ): void {
    const shard = shardOfPool(this.options.map, service);
    const report: PoolReport = { type: 'poolReport', service, shard, from, complete, ...content };
    this.options.send(this.options.leaders.targetOf(shard), report);
  }
}
