/** Caches the probable leader of each shard; updated by `notLeader` replies, timeouts and leader traffic. */
import type { NodeId, ShardId } from '../model/identifiers.js';
import type { ShardMap } from './shard-map.js';

/** One node's cache of shard leaders. */
export class LeaderDirectory {
  private readonly hints = new Map<ShardId, NodeId>();
  private readonly attempts = new Map<ShardId, number>();

  constructor(private readonly map: ShardMap) {}

  /** The node to send a shard's next request to: the cached leader, else one of the voters in turn. */
  targetOf(shard: ShardId): NodeId {
    const hint = this.hints.get(shard);
    if (hint !== undefined) {
      return hint;
    }
    const voters = this.map.voters[shard] ?? [];
    return voters[(this.attempts.get(shard) ?? 0) % Math.max(1, voters.length)] ?? '';
  }

  /** Handles a `notLeader` reply; its hint is empty when the replying node knows no leader. */
  learn(shard: ShardId, hint: NodeId, from: NodeId): void {
    if (hint !== '' && hint !== from) {
      this.hints.set(shard, hint);
    } else {
      this.suspect(shard, from);
    }
  }

  /** Moves on to the next voter after a node did not answer. */
  suspect(shard: ShardId, node: NodeId): void {
    if (this.targetOf(shard) !== node) {
      return;
    }
    this.hints.delete(shard);
    this.attempts.set(shard, (this.attempts.get(shard) ?? 0) + 1);
  }

  /** Records a node that has acted as the shard's leader. */
  confirm(shard: ShardId, node: NodeId): void {
    this.hints.set(shard, node);
  }
}
