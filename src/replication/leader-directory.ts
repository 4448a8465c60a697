/** Guesses which node leads each shard; corrected by refusals and by silence. */
import type { NodeId, ShardId } from '../model/identifiers.js';
import type { ShardMap } from './shard-map.js';

/** Leader guesses of one node. */
export class LeaderDirectory {
  private readonly hints = new Map<ShardId, NodeId>();
  private readonly attempts = new Map<ShardId, number>();

  constructor(private readonly map: ShardMap) {}

  /** The node to ask next about a shard. */
  targetOf(shard: ShardId): NodeId {
    const hint = this.hints.get(shard);
    if (hint !== undefined) {
      return hint;
    }
    const voters = this.map.voters[shard] ?? [];
    return voters[(this.attempts.get(shard) ?? 0) % Math.max(1, voters.length)] ?? '';
  }

  /** Takes a hint from a node that does not lead; an empty one tells only that it does not. */
  learn(shard: ShardId, hint: NodeId, from: NodeId): void {
    if (hint !== '' && hint !== from) {
      this.hints.set(shard, hint);
    } else {
      this.suspect(shard, from);
    }
  }

  /** Stops asking a node that did not answer. */
  suspect(shard: ShardId, node: NodeId): void {
    if (this.targetOf(shard) !== node) {
      return;
    }
    this.hints.delete(shard);
    this.attempts.set(shard, (this.attempts.get(shard) ?? 0) + 1);
  }

  /** Notes a node that has acted as the leader. */
  confirm(shard: ShardId, node: NodeId): void {
    this.hints.set(shard, node);
  }
}
