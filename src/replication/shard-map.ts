/** Which nodes replicate which shard, and which shard a program, group or service belongs to. */
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

/** Replicas of a shard, in distinct zones where there are enough. */
export const REPLICAS_PER_SHARD = 3;

/** A node that may hold replicas. */
export interface PlacedNode {
  readonly node: NodeId;
  readonly zone: ZoneName;
}

/** Placement of a region's shards. */
export interface ShardMap {
  readonly shardCount: number;
  /** Voters of each shard, by its number. */
  readonly voters: readonly (readonly NodeId[])[];
}

function rankNodes(shard: ShardId, nodes: readonly PlacedNode[]): PlacedNode[] {
  const scored = nodes.map((node) => ({ node, score: hashText(`${shard}:${node.node}`) }));
  scored.sort((left, right) => (left.score < right.score ? -1 : 1));
  return scored.map((entry) => entry.node);
}

/** Picks a shard's voters by rendezvous hashing, one a zone before a second in any. */
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

/** Places every shard. */
export function createShardMap(shardCount: number, nodes: readonly PlacedNode[]): ShardMap {
  const voters = Array.from({ length: shardCount }, (_, shard) => chooseVoters(shard, nodes));
  return { shardCount, voters };
}

/** The shard that keeps a program, with all its sub-agents. */
export function shardOfProgram(map: ShardMap, program: ProgramId): ShardId {
  return hashToNumber(`program:${rootOf(program)}`) % map.shardCount;
}

/** The shard that keeps a group's ledger. */
export function shardOfGroup(map: ShardMap, group: GroupName): ShardId {
  return hashToNumber(`group:${group}`) % map.shardCount;
}

/** The shard whose leader schedules a service's pool. */
export function shardOfPool(map: ShardMap, service: ServiceName): ShardId {
  return hashToNumber(`pool:${service}`) % map.shardCount;
}
