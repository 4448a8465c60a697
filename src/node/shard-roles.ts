/** The roles of one shard on one node: replica, shard owner, ledger and pool schedulers. */
import type { NodeId, ServiceName, ShardId } from '../model/identifiers.js';
import { Ledger } from '../budget/ledger.js';
import { SliceClient } from '../budget/slice-client.js';
import type { ClusterConfiguration } from '../configuration/documents.js';
import { PoolScheduler } from '../dispatch/pool-scheduler.js';
import type { PoolClient, PoolCalls } from '../dispatch/pool-client.js';
import { ShardOwner } from '../program/shard-owner.js';
import { emptyReplica } from '../replication/log-entry.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
import { ShardHost } from '../replication/shard-host.js';
import { shardOfPool } from '../replication/shard-map.js';
import type { Message } from '../wire/messages.js';
import type { NodeOptions } from './node-options.js';

/** Number of successive empty reports to a pool after which no more are sent. */
const MAXIMUM_EMPTY_REPORTS = 5;

/** What a node provides to the roles of a shard. */
export interface ShardRolesContext {
  readonly options: NodeOptions;
  readonly shard: ShardId;
  readonly leaders: LeaderDirectory;
  readonly pools: PoolClient;
  readonly configuration: () => ClusterConfiguration;
  readonly send: (to: NodeId, message: Message) => void;
  readonly checkHolds: (programs: readonly string[]) => void;
}

/** The replica of a shard and the roles that work while it leads. */
export class ShardRoles {
  readonly host: ShardHost;
  readonly owner: ShardOwner;
  readonly slices: SliceClient;
  readonly ledger: Ledger;
  private readonly emptyReportCounts = new Map<ServiceName, number>();
  private readonly schedulers = new Map<ServiceName, PoolScheduler>();

  constructor(private readonly context: ShardRolesContext) {
    const { options, shard, send, leaders, pools } = context;
    const { runtime, map, limits, backEnds } = options;
    const budgetOf = (group: string): number =>
      context.configuration().groups.get(group)?.budget ?? 0;
    this.host = new ShardHost({
      shard,
      self: options.self,
      runtime,
      storage: options.storage.replica(shard),
      persisted: options.storage.load(shard) ?? emptyReplica(map.voters[shard] ?? []),
      send,
      onLeadership: (leading) => this.changeLeadership(leading),
    });
    this.slices = new SliceClient({ host: this.host, runtime, map, leaders, budgetOf, send });
    this.ledger = new Ledger({ host: this.host, budgetOf, send });
    this.owner = new ShardOwner({
      host: this.host,
      runtime,
      limits,
      backEnds,
      pools,
      slices: this.slices,
      send,
      onProgramEnded: (program) => pools.announceProgramEnded(this.allServices(), program),
    });
  }

  /** The scheduler of a service's pool; created on first use while this node leads the pool's shard. */
  schedulerOf(service: ServiceName): PoolScheduler | undefined {
    const { options, shard, configuration, send, checkHolds } = this.context;
    const existing = this.schedulers.get(service);
    if (existing !== undefined || !this.host.canServe()) {
      return existing;
    }
    if (shardOfPool(options.map, service) !== shard || !configuration().services.has(service)) {
      return undefined;
    }
    const scheduler = new PoolScheduler({
      service,
      runtime: options.runtime,
      policy: options.createPolicy(),
      backEnds: options.backEnds,
      configuration,
      fence: () => ({ shard, term: this.host.term }),
      canServe: () => this.host.canServe(),
      send,
      checkHolds,
    });
    this.schedulers.set(service, scheduler);
    return scheduler;
  }

  /** Schedulers of this shard's pools; creates those that are missing. */
  listSchedulers(): PoolScheduler[] {
    for (const service of this.context.configuration().services.keys()) {
      this.schedulerOf(service);
    }
    return [...this.schedulers.values()];
  }

  /** Sends a service's pool a complete report of this shard's calls, unless the last ones were empty. */
  report(service: ServiceName): void {
    if (!this.host.canServe()) {
      return;
    }
    const content: PoolCalls = { waiting: [], running: [] };
    this.owner.addToReport(service, content);
    const empty = content.waiting.length === 0 && content.running.length === 0;
    const isSuppressed = empty && this.emptyReportCounts.get(service) === MAXIMUM_EMPTY_REPORTS;
    // Several empty reports make up for lost messages; further ones would be useless traffic.
    this.emptyReportCounts.set(
      service,
      empty ? Math.min(MAXIMUM_EMPTY_REPORTS, this.emptyReportCountOf(service) + 1) : 0,
    );
    if (!isSuppressed) {
      this.context.pools.reportAll(service, this.host.shard, content);
    }
  }

  /** Applies a new configuration at once instead of at the next tick. */
  applyConfiguration(): void {
    this.schedulers.forEach((scheduler) => scheduler.tick());
  }

  /** Periodic work of the leader, several times a second. */
  tickRoles(): void {
    if (!this.host.canServe()) {
      return;
    }
    this.slices.tick();
    for (const service of this.context.configuration().services.keys()) {
      this.schedulerOf(service)?.tick();
    }
  }

  /** Ends abandoned programs and overdue out-of-order calls; run by the leader about once a second. */
  sweep(): void {
    if (this.host.canServe()) {
      this.owner.sweep();
    }
  }

  private emptyReportCountOf(service: ServiceName): number {
    return this.emptyReportCounts.get(service) ?? 0;
  }

  private allServices(): ServiceName[] {
    return [...this.context.configuration().services.keys()];
  }

  private changeLeadership(leading: boolean): void {
    const { runtime, self } = this.context.options;
    const { shard, term } = this.host;
    runtime.log('info', leading ? 'started leading shard' : 'stopped leading shard', {
      shard,
      term,
      node: self,
    });
    if (leading) {
      this.context.leaders.confirm(shard, self);
      this.owner.startLeading();
    } else {
      this.owner.stopLeading();
      this.slices.reset();
      this.schedulers.clear();
      this.emptyReportCounts.clear();
    }
  }
}
