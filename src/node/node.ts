/** One node: creates its components, routes messages to them and drives their periodic work. */
import type { NodeId, ProgramId, ShardId } from '../model/identifiers.js';
import { ConfigurationFollower } from '../configuration/configuration-follower.js';
import { ConfigurationWriter } from '../configuration/configuration-writer.js';
import type { ClusterConfiguration } from '../configuration/documents.js';
import { PoolClient } from '../dispatch/pool-client.js';
import { Gateway, PROBE_INTERVAL_MILLISECONDS } from '../gateway/gateway.js';
import { answerProgramRequest } from '../program/program-requests.js';
import { LeaderDirectory } from '../replication/leader-directory.js';
import { shardOfProgram } from '../replication/shard-map.js';
import { HEARTBEAT_INTERVAL_MILLISECONDS } from '../replication/raft-replica.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { CancelTimer } from '../runtime/runtime.js';
import type {
  AccountingMessage,
  CallProbe,
  HoldCheck,
  Message,
  NotLeader,
  PoolAssignment,
  PoolFinished,
  PoolRefusal,
  PoolReport,
  ProgramRequest,
  ReplicationMessage,
} from '../wire/messages.js';
import type { NodeOptions } from './node-options.js';
import { RowCollector } from './row-collector.js';
import { listRows } from './node-rows.js';
import { ShardRoles } from './shard-roles.js';

/** Time between ticks of the replicas, in milliseconds. */
const REPLICA_TICK_INTERVAL_MILLISECONDS = HEARTBEAT_INTERVAL_MILLISECONDS / 3;
/** Time between ticks of the roles that work only on a shard's leader, in milliseconds. */
const ROLE_TICK_INTERVAL_MILLISECONDS = 250;
/** Time between complete reports of a shard owner to the pools, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1_000;
/** Maximum time that a graceful shutdown waits for pending calls, in milliseconds. */
export const STOP_TIMEOUT_MILLISECONDS = 60_000;
/** Time for which a leaving node still accepts connections, in milliseconds. */
const LEAVING_GRACE_MILLISECONDS = 500;
/** Extra time to accept connections that were queued during a pause of the process, in milliseconds. */
const PENDING_ACCEPT_MILLISECONDS = 20;
/** Time between sweeps of abandoned programs and out-of-order calls, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 1_000;
/** Number of nodes that read the configuration from the key-value service; the others get it from peers. */
const KEY_VALUE_READER_COUNT = 3;

/** A node of the cluster with its gateway, its configuration and its shards. */
export class IvyloomNode {
  readonly gateway: Gateway;
  readonly configuration: ConfigurationFollower;
  readonly writer: ConfigurationWriter;
  readonly rows: RowCollector;
  private readonly shards = new Map<ShardId, ShardRoles>();
  private readonly leaders: LeaderDirectory;
  private readonly pools: PoolClient;
  private readonly timers: CancelTimer[] = [];
  private leaving = false;
  private refusesConnections = false;

  constructor(readonly options: NodeOptions) {
    const { self, map, runtime, keyValue } = options;
    this.leaders = new LeaderDirectory(map);
    const send = (to: NodeId, message: Message): void => this.send(to, message);
    this.pools = new PoolClient({ map, leaders: this.leaders, runtime, send });
    this.gateway = new Gateway({ runtime, map, leaders: this.leaders, send });
    this.writer = new ConfigurationWriter({ runtime, keyValue });
    this.rows = new RowCollector({
      runtime,
      self,
      peers: () => options.nodes.map((node) => node.node),
      send,
      listLocalRows: (table) => listRows(this, table),
    });
    this.configuration = new ConfigurationFollower({
      self,
      runtime,
      keyValue,
      readsService: () => this.readsService(),
      peers: () => options.nodes.map((node) => node.node),
      send,
      ...(options.storage.configuration ? { store: options.storage.configuration } : {}),
      onChange: (configuration) => this.onConfigurationChange(configuration),
    });
    map.voters.forEach((voters, shard) => {
      if (voters.includes(self)) {
        this.shards.set(shard, this.createShard(shard));
      }
    });
  }

  /** Roles of the shards that this node replicates. */
  listShards(): ShardRoles[] {
    return [...this.shards.values()];
  }

  /** True from the start of a graceful shutdown on; HTTP responses then close their connections. */
  get isLeaving(): boolean {
    return this.leaving;
  }

  /** True when the node can serve callers: the configuration is known and the node is not leaving. */
  get isReady(): boolean {
    return !this.leaving && this.configuration.current.revision > 0;
  }

  /** Starts following the configuration and the periodic work. */
  start(): void {
    const { runtime, storage } = this.options;
    this.configuration.start(storage.storedConfiguration);
    this.every(REPLICA_TICK_INTERVAL_MILLISECONDS, () => {
      this.shards.forEach((roles) => roles.host.tick());
    });
    this.every(ROLE_TICK_INTERVAL_MILLISECONDS, () => {
      this.shards.forEach((roles) => roles.tickRoles());
    });
    this.every(REPORT_INTERVAL_MILLISECONDS, () => this.report());
    this.every(SWEEP_INTERVAL_MILLISECONDS, () => this.shards.forEach((roles) => roles.sweep()));
    this.every(PROBE_INTERVAL_MILLISECONDS, () => this.gateway.probe());
    runtime.log('info', 'node started', { node: this.options.self, zone: this.options.zone });
  }

  /** False once a graceful shutdown has stopped accepting connections. */
  get acceptsConnections(): boolean {
    return !this.refusesConnections;
  }

  /**
   * First phase of a graceful shutdown: transfers leadership to other nodes. Connections are accepted
   * for a grace period, for callers that don't know yet that the node is leaving; then `stopAccepting`
   * is called.
   */
  beginLeaving(stopAccepting: () => void): void {
    if (this.leaving) {
      return;
    }
    this.leaving = true;
    this.transferAllLeaderships();
    this.every(ROLE_TICK_INTERVAL_MILLISECONDS, () => this.transferAllLeaderships());
    const { runtime } = this.options;
    const close = (): void => {
      this.refusesConnections = true;
      stopAccepting();
    };
    // After a pause of the process, due timers run before connections that were queued meanwhile are
    // accepted. The second timer leaves time to accept them.
    runtime.setTimer(LEAVING_GRACE_MILLISECONDS, () =>
      runtime.setTimer(PENDING_ACCEPT_MILLISECONDS, close),
    );
  }

  /** Graceful shutdown of a node without sockets; calls `done` when the node has stopped. */
  leave(done: () => void): void {
    this.beginLeaving(() => this.awaitIdle(done));
  }

  /**
   * Last phase of a graceful shutdown: waits until this node leads no shard and relays no call, or until
   * the timeout, then stops the node and calls `done`.
   */
  awaitIdle(done: () => void): void {
    const { runtime } = this.options;
    const started = runtime.now();
    const check = (): void => {
      const leads = this.listShards().some((roles) => roles.host.role === 'leader');
      const timedOut = runtime.now() - started > STOP_TIMEOUT_MILLISECONDS;
      if ((!leads && this.gateway.pendingCount === 0) || timedOut) {
        this.stop();
        done();
        return;
      }
      runtime.setTimer(ROLE_TICK_INTERVAL_MILLISECONDS, check);
    };
    check();
  }

  private transferAllLeaderships(): void {
    for (const roles of this.shards.values()) {
      roles.host.transferLeadership();
    }
  }

  /** Stops all activity at once. */
  stop(): void {
    this.timers.forEach((cancel) => cancel());
    this.configuration.stop();
    this.shards.forEach((roles) => roles.host.stop());
  }

  /** Handles a message from another node or from this one. */
  receive(from: NodeId, message: Message): void {
    switch (message.type) {
      case 'appendEntries':
      case 'appendReply':
      case 'voteRequest':
      case 'voteReply':
      case 'installSnapshot':
      case 'timeoutNow':
        return this.receiveReplication(from, message);
      case 'submitCall':
        return this.runAsLeader(from, message.shard, message.request.call, (roles) =>
          roles.owner.submit(from, message.request),
        );
      case 'callEvent':
        return this.gateway.receiveEvent(from, message);
      case 'notLeader':
        return this.receiveNotLeader(from, message);
      case 'callProbe':
        return this.answerProbe(from, message);
      case 'callProbeReply':
        return this.gateway.receiveProbeReply(from, message);
      case 'programRequest':
        return this.receiveProgramRequest(from, message);
      case 'programReply':
        return this.gateway.receiveProgramReply(message);
      case 'configurationAnnounce':
        return this.configuration.receiveAnnounce(from, message);
      case 'configurationFetch':
        return this.configuration.receiveFetch(from, message);
      case 'configurationTransfer':
        return this.configuration.receiveTransfer(from, message);
      case 'configurationChanges':
        return this.configuration.receiveChanges(from, message);
      case 'rowsRequest':
        return this.rows.receiveRequest(from, message);
      case 'rowsReply':
        return this.rows.receiveReply(from, message);
      default:
        return this.receiveAccounting(from, message);
    }
  }

  /** Handles the messages between shard owners, pool schedulers and ledgers. */
  private receiveAccounting(from: NodeId, message: AccountingMessage): void {
    switch (message.type) {
      case 'poolReport':
        return this.receivePoolReport(from, message);
      case 'poolAcknowledgement':
        return this.pools.receiveAcknowledgement(from, message.shard);
      case 'poolAssignment':
        return this.receiveAssignment(from, message);
      case 'poolRefusal':
        return this.receiveRefusal(message);
      case 'poolFinished':
        return this.receiveFinished(message);
      case 'programGone':
        return this.forEachScheduler((scheduler) => scheduler.receiveProgramGone(message.program));
      case 'holdCheck':
        return this.receiveHoldCheck(from, message);
      case 'sliceRequest':
        return this.runAsLeader(from, message.ledgerShard, '', (roles) =>
          roles.ledger.receiveRequest(from, message),
        );
      case 'sliceReturn':
        return this.runAsLeader(from, message.ledgerShard, '', (roles) =>
          roles.ledger.receiveReturn(from, message),
        );
      case 'sliceReply':
        return this.shards.get(message.holder)?.slices.receiveReply(message);
      case 'sliceReturnSettled':
        return this.shards.get(message.holder)?.slices.receiveSettled(message);
    }
  }

  private every(milliseconds: number, work: () => void): void {
    this.timers.push(setRepeatingTimer(this.options.runtime, milliseconds, work));
  }

  private send(to: NodeId, message: Message): void {
    if (to === this.options.self) {
      this.options.runtime.setTimer(0, () => this.receive(to, message));
    } else if (to !== '') {
      this.options.transport.send(to, message);
    }
  }

  private createShard(shard: ShardId): ShardRoles {
    return new ShardRoles({
      options: this.options,
      shard,
      leaders: this.leaders,
      pools: this.pools,
      configuration: () => this.configuration.current,
      send: (to, message) => this.send(to, message),
      checkHolds: (programs) => this.checkHolds(programs),
    });
  }

  private readsService(): boolean {
    const nodeNames = this.options.nodes.map((node) => node.node).sort();
    return nodeNames.slice(0, KEY_VALUE_READER_COUNT).includes(this.options.self);
  }

  private onConfigurationChange(configuration: ClusterConfiguration): void {
    const { revision } = configuration;
    this.options.runtime.log('info', 'configuration in force', { revision });
    this.shards.forEach((roles) => roles.applyConfiguration());
  }

  private report(): void {
    for (const service of this.configuration.current.services.keys()) {
      this.shards.forEach((roles) => roles.report(service));
    }
  }

  private checkHolds(programs: readonly ProgramId[]): void {
    const byShard = new Map<ShardId, ProgramId[]>();
    for (const program of programs) {
      const shard = shardOfProgram(this.options.map, program);
      byShard.set(shard, [...(byShard.get(shard) ?? []), program]);
    }
    for (const [shard, shardPrograms] of byShard) {
      this.send(this.leaders.targetOf(shard), {
        type: 'holdCheck',
        shard,
        programs: shardPrograms,
      });
    }
  }

  private receiveReplication(from: NodeId, message: ReplicationMessage): void {
    const roles = this.shards.get(message.shard);
    roles?.host.receive(from, message);
    if (message.type === 'appendEntries' && roles?.host.leaderHint === from) {
      this.leaders.confirm(message.shard, from);
    }
  }

  /** Runs an action if this node leads the shard, else replies `notLeader`. */
  private runAsLeader(
    from: NodeId,
    shard: ShardId,
    call: string,
    act: (roles: ShardRoles) => void,
  ): void {
    const roles = this.shards.get(shard);
    if (roles?.host.canServe() === true) {
      act(roles);
      return;
    }
    const hint = roles?.host.leaderHint ?? '';
    this.send(from, {
      type: 'notLeader',
      shard,
      call,
      hint: hint === this.options.self ? '' : hint,
    });
  }

  private receiveNotLeader(from: NodeId, message: NotLeader): void {
    if (message.call === '') {
      this.leaders.learn(message.shard, message.hint, from);
    } else {
      this.gateway.receiveNotLeader(from, message);
    }
  }

  private answerProbe(from: NodeId, message: CallProbe): void {
    const owners = this.listShards().filter((roles) => roles.host.canServe());
    const unknown = message.calls.filter(
      (call) => !owners.some((roles) => roles.owner.isTracking(call)),
    );
    this.send(from, { type: 'callProbeReply', probed: message.calls, unknown });
  }

  private receiveProgramRequest(from: NodeId, message: ProgramRequest): void {
    this.runAsLeader(from, message.shard, message.call, (roles) => {
      const { runtime } = this.options;
      answerProgramRequest(roles.host, roles.owner, runtime, message, ({ status, body }) => {
        this.send(from, { type: 'programReply', call: message.call, status, body });
      });
    });
  }

  private receivePoolReport(from: NodeId, message: PoolReport): void {
    this.runAsLeader(from, message.shard, '', (roles) => {
      roles.schedulerOf(message.service)?.receiveReport(from, message);
      if (message.complete) {
        this.send(from, { type: 'poolAcknowledgement', shard: message.shard });
      }
    });
  }

  private receiveAssignment(from: NodeId, message: PoolAssignment): void {
    this.leaders.confirm(message.shard, from);
    const owners = this.listShards().filter((roles) => roles.host.canServe());
    const owner = owners.find((roles) => roles.owner.isTracking(message.call)) ?? owners[0];
    owner?.owner.assign(message);
  }

  private receiveRefusal(message: PoolRefusal): void {
    for (const roles of this.shards.values()) {
      roles.owner.refuse(message.call, message.detail, message.retryAfterSeconds);
    }
  }

  private receiveFinished(message: PoolFinished): void {
    for (const roles of this.shards.values()) {
      roles.schedulerOf(message.service)?.receiveFinished(message);
    }
  }

  private forEachScheduler(
    act: (scheduler: ReturnType<ShardRoles['listSchedulers']>[number]) => void,
  ): void {
    this.shards.forEach((roles) => roles.listSchedulers().forEach(act));
  }

  private receiveHoldCheck(from: NodeId, message: HoldCheck): void {
    this.runAsLeader(from, message.shard, '', (roles) => {
      for (const program of message.programs) {
        const record = roles.host.state.programs.get(program);
        if (record === undefined || record.end !== undefined) {
          this.send(from, { type: 'programGone', program });
        }
      }
    });
  }
}
