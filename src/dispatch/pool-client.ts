/** An owner's side of the pool schedulers: enqueues calls, repeats what may be lost, reports ends. */
import type { NodeId, ProgramId, ServiceName, ShardId } from '../model/identifiers.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
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
export interface PoolContent {
  readonly waiting: CallTicket[];
  readonly running: RunningCall[];
}

/** What the client is made with. */
export interface PoolClientOptions {
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Sends to the pool schedulers. */
export class PoolClient {
  constructor(private readonly options: PoolClientOptions) {}

  /** Puts one call into a pool's queue. */
  enqueue(service: ServiceName, from: ShardId, ticket: CallTicket): void {
    this.sendReport(service, from, false, { waiting: [ticket], running: [] });
  }

  /** Tells a pool everything a shard has in it; what is not listed is no longer there. */
  reportAll(service: ServiceName, from: ShardId, content: PoolContent): void {
    this.sendReport(service, from, true, content);
  }

  /** Tells that a call has left its engine. */
  finish(finished: PoolFinished): void {
    this.options.send(this.targetOf(finished.service), finished);
  }

  /** Tells the pools of these services that a program is over. */
  announceGone(services: readonly ServiceName[], program: ProgramId): void {
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
    content: PoolContent,
  ): void {
    const shard = shardOfPool(this.options.map, service);
    const report: PoolReport = { type: 'poolReport', service, shard, from, complete, ...content };
    this.options.send(this.options.leaders.targetOf(shard), report);
  }
}
