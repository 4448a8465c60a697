/** Tracks how far each follower's log matches the leader's and when the follower last answered. */
import type { NodeId } from '../model/identifiers.js';

/** Replication state of one follower. */
export interface FollowerProgress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index known to be stored by the follower. */
  matchIndex: number;
  /** Send time of the newest append that the follower has answered, in milliseconds on the leader's clock. */
  acknowledgedAt: number;
}

/** Replication state of all followers during one leadership. */
export class LeaderProgress {
  private readonly followers: Map<NodeId, FollowerProgress>;

  /** `acknowledgedAt` must lie in the past: a lease starts only with answers to this leader. */
  constructor(
    private readonly voters: readonly NodeId[],
    private readonly self: NodeId,
    nextIndex: number,
    acknowledgedAt: number,
  ) {
    const others = voters.filter((voter) => voter !== self);
    this.followers = new Map(
      others.map((voter) => [voter, { nextIndex, matchIndex: 0, acknowledgedAt }]),
    );
  }

  /** State of one follower; undefined for the leader itself and for nodes that are not voters. */
  get(voter: NodeId): FollowerProgress | undefined {
    return this.followers.get(voter);
  }

  /** Highest index stored by a quorum, counting the leader's own. */
  quorumMatch(ownIndex: number): number {
    return this.quorumValue(ownIndex, (follower) => follower.matchIndex);
  }

  /** Send time of the newest append that a quorum has answered, in milliseconds on the leader's clock. */
  quorumAcknowledgedAt(now: number): number {
    return this.quorumValue(now, (follower) => follower.acknowledgedAt);
  }

  /** The follower with the highest matching index among those that have answered since a time. */
  mostAdvanced(since: number): NodeId | undefined {
    const candidates = [...this.followers].filter(
      ([, follower]) => follower.acknowledgedAt >= since,
    );
    candidates.sort(([, left], [, right]) => right.matchIndex - left.matchIndex);
    return candidates[0]?.[0];
  }

  /** The highest value that a majority of the voters reaches. */
  private quorumValue(own: number, valueOf: (follower: FollowerProgress) => number): number {
    const values = this.voters.map((voter) => {
      const follower = this.followers.get(voter);
      return voter === this.self || follower === undefined ? own : valueOf(follower);
    });
    values.sort((left, right) => right - left);
    return values[Math.floor(this.voters.length / 2)] ?? own;
  }
}
