/** The votes of one election, or of the poll before it that asks whether an election could be won. */
import type { NodeId } from '../model/identifiers.js';

/** Replicas that make a majority of a shard's voters. */
export function quorumOf(voters: readonly NodeId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** See the head of this file. */
export class Ballot {
  private readonly votes: Set<NodeId>;

  /** A candidate votes for itself. */
  constructor(
    self: NodeId,
    /** Whether this is the poll before an election (pre-vote), which changes no term. */
    readonly preVote: boolean,
    /** Term for which votes are asked. */
    readonly term: number,
  ) {
    this.votes = new Set([self]);
  }

  /** Takes a vote. */
  add(voter: NodeId): void {
    this.votes.add(voter);
  }

  /** Whether a majority of the voters has voted for the candidate. */
  isWon(voters: readonly NodeId[]): boolean {
    const count = voters.filter((voter) => this.votes.has(voter)).length;
    return count >= quorumOf(voters);
  }
}
