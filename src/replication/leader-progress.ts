/** What a leader knows of its followers: how far they agree and when they last answered. */
import type { NodeId } from '../model/identifiers.js';

/** One follower. */
export interface FollowerProgress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Newest index known to be stored there. */
  matchIndex: number;
  /** Send time of the newest append this follower has answered, on the leader's clock. */
  acknowledgedAt: number;
}

/** Followers of one leadership. */
export class LeaderProgress {
  private readonly followers: Map<NodeId, FollowerProgress>;

  /** `acknowledgedAt` is a time in the past: a lease starts only with real answers. */
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

  /** One follower. */
  get(voter: NodeId): FollowerProgress | undefined {
    return this.followers.get(voter);
  }

  /** Newest index that a quorum stores, given the leader's own. */
  quorumMatch(ownIndex: number): number {
    return this.quorumValue(ownIndex, (follower) => follower.matchIndex);
  }

  /** Time since which a quorum is known to have supported the leader. */
  quorumAcknowledgedAt(now: number): number {
    return this.quorumValue(now, (follower) => follower.acknowledgedAt);
  }

  /** The follower that agrees farthest among those that answered since a time. */
  mostAdvanced(since: number): NodeId | undefined {
    const candidates = [...this.followers].filter(
      ([, follower]) => follower.acknowledgedAt >= since,
    );
    candidates.sort(([, left], [, right]) => right.matchIndex - left.matchIndex);
    return candidates[0]?.[0];
  }

  /** The value that a majority of the voters reaches. */
  private quorumValue(own: number, valueOf: (follower: FollowerProgress) => number): number {
    const values = this.voters.map((voter) => {
      const follower = this.followers.get(voter);
      return voter === this.self || follower === undefined ? own : valueOf(follower);
    });
    values.sort((left, right) => right - left);
    return values[Math.floor(this.voters.length / 2)] ?? own;
  }
}
