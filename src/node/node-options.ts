/** What one node of the cluster is made with. */
import type { NodeId, ShardId, ZoneName } from '../model/identifiers.js';
import type { ConfigurationStore } from '../configuration/configuration-follower.js';
import type { BackEndPort } from '../platform/back-end-port.js';
import type { KeyValuePort } from '../platform/key-value-port.js';
import type { OwnerLimits } from '../program/program-limits.js';
import type { PersistedReplica, ReplicaStorage } from '../replication/log-entry.js';
import type { PlacedNode, ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';
import type { SchedulingPolicy } from '../scheduling/pool-view.js';
import type { Transport } from '../wire/messages.js';

/** Durable storage of a node's replicas. */
export interface NodeStorage {
  /** What was persisted of a replica; undefined when nothing was. */
  load(shard: ShardId): PersistedReplica | undefined;
  /** Storage of one replica. */
  replica(shard: ShardId): ReplicaStorage;
  readonly configuration?: ConfigurationStore;
  readonly storedConfiguration?: { readonly revision: number; readonly documents: string };
}

/** Everything a node needs from outside. */
export interface NodeOptions {
  readonly self: NodeId;
  readonly zone: ZoneName;
  /** Nodes of the region that hold replicas, this one among them. */
  readonly nodes: readonly PlacedNode[];
  readonly map: ShardMap;
  readonly runtime: Runtime;
  readonly transport: Transport;
  readonly storage: NodeStorage;
  readonly backEnds: BackEndPort;
  readonly keyValue: KeyValuePort;
  readonly limits: OwnerLimits;
  readonly createPolicy: () => SchedulingPolicy;
}
