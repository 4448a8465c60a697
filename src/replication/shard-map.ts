/** Maps shards to the nodes that replicate them, and programs, groups and services to shards. */
import { hashText, hashToNumber } from '../runtime/hashing.js';
import type {
  GroupName,
  NodeId,
  ProgramId,
  ServiceName,
  ShardId,
  ZoneName,
} from '../model/identifiers.js';
import { rootOf } from '../program/program-name.js';

/** Number of replicas of a shard; in distinct zones if there are enough zones. */
export const REPLICAS_PER_SHARD = 3;

/** A node that may hold replicas, and its zone. */
export interface PlacedNode {
  readonly node: NodeId;
  readonly zone: ZoneName;
}

/** Assignment of a region's shards to nodes. */
export interface ShardMap {
  readonly shardCount: number;
  /** Voters of each shard, indexed by shard number. */
  readonly voters: readonly (readonly NodeId[])[];
}

function rankNodes(shard: ShardId, nodes: readonly PlacedNode[]): PlacedNode[] {
  const scored = nodes.map((node) => ({ node, score: hashText(`${shard}:${node.node}`) }));
  scored.sort((left, right) => (left.score < right.score ? -1 : 1));
  return scored.map((entry) => entry.node);
}

/** Chooses a shard's voters by rendezvous hashing; reuses a zone only if there are too few zones. */
export function chooseVoters(shard: ShardId, nodes: readonly PlacedNode[]): NodeId[] {
  const ranked = rankNodes(shard, nodes);
  const chosen: PlacedNode[] = [];
  for (const candidate of ranked) {
    const zoneTaken = chosen.some((node) => node.zone === candidate.zone);
    if (!zoneTaken && chosen.length < REPLICAS_PER_SHARD) {
      chosen.push(candidate);
    }
  }
  for (const candidate of ranked) {
    if (chosen.length < REPLICAS_PER_SHARD && !chosen.includes(candidate)) {
      chosen.push(candidate);
    }
  }
  return chosen.map((node) => node.node).sort();
}

/** Chooses the voters of every shard. */
export function createShardMap(shardCount: number, nodes: readonly PlacedNode[]): ShardMap {
  const voters = Array.from({ length: shardCount }, (_, shard) => chooseVoters(shard, nodes));
  return { shardCount, voters };
}

/** The shard that stores a program and all its sub-agents. */
export function shardOfProgram(map: ShardMap, program: ProgramId): ShardId {
  return hashToNumber(`program:${rootOf(program)}`) % map.shardCount;
}

/** The shard that stores a group's ledger. */
export function shardOfGroup(map: ShardMap, group: GroupName): ShardId {
  return hashToNumber(`group:${group}`) % map.shardCount;
}

/** The shard whose leader schedules a service's pool. */
export function shardOfPool(map: ShardMap, service: ServiceName): ShardId {
  return hashToNumber(`pool:${service}`) % map.shardCount;
}
