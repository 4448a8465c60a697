/** Counts the votes of an election or of the pre-vote before it. */
import type { NodeId } from '../model/identifiers.js';

/** Number of votes that form a majority of a shard's voters. */
export function quorumOf(voters: readonly NodeId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** Votes that one candidate has received for one term. */
export class Ballot {
  private readonly votes: Set<NodeId>;

  /** A candidate votes for itself. */
  constructor(
    self: NodeId,
    /** Whether this is a pre-vote, which asks if an election could be won and changes no term. */
    readonly preVote: boolean,
    /** Term for which the candidate requests votes. */
    readonly term: number,
  ) {
    this.votes = new Set([self]);
  }

  /** Counts a vote; repeated votes of a voter count once. */
  add(voter: NodeId): void {
    this.votes.add(voter);
  }

  /** Whether a majority of the voters has voted for the candidate. */
  isWon(voters: readonly NodeId[]): boolean {
    const count = voters.filter((voter) => this.votes.has(voter)).length;
    return count >= quorumOf(voters);
  }
}
