/** Options of one node of the cluster. */
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

/** Durable storage of a node's replicas and of its configuration. */
export interface NodeStorage {
  /** Durable state of a replica; undefined if there is none. */
  load(shard: ShardId): PersistedReplica | undefined;
  /** Storage of one replica. */
  replica(shard: ShardId): ReplicaStorage;
  readonly configuration?: ConfigurationStore;
  readonly storedConfiguration?: { readonly revision: number; readonly documents: string };
}

/** Identity, dependencies and limits of a node. */
export interface NodeOptions {
  readonly self: NodeId;
  readonly zone: ZoneName;
  /** Nodes of the region that hold replicas, including this one. */
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
