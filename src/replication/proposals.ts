/** Tracks the commands that a leader has appended until their outcomes are known. */

/** Outcome of a proposed command. */
export type ProposalResult<Outcome> =
  | { readonly type: 'committed'; readonly outcome: Outcome }
  /** Leadership was lost before the commit: the command may or may not be committed later. */
  | { readonly type: 'unknown' }
  /** This replica is not the leader: the command was not appended and will never be committed. */
  | { readonly type: 'notLeader' };

/** Receives the result of a proposal, exactly once. */
export type ProposalListener<Outcome> = (result: ProposalResult<Outcome>) => void;

interface PendingProposal<Outcome> {
  readonly term: number;
  readonly listener: ProposalListener<Outcome>;
}

/** Pending proposals of one leader, by their index in the log. */
export class PendingProposals<Outcome> {
  private readonly byIndex = new Map<number, PendingProposal<Outcome>>();

  /** Registers the listener of the entry that was appended at an index in a term. */
  add(index: number, term: number, listener: ProposalListener<Outcome>): void {
    this.byIndex.set(index, { term, listener });
  }

  /** Reports the entry that was applied at an index to the proposal pending there, if any. */
  resolve(index: number, term: number, outcome: Outcome): void {
    const proposal = this.byIndex.get(index);
    if (proposal === undefined) {
      return;
    }
    this.byIndex.delete(index);
    // An entry of another term has replaced the proposed one.
    const isSameTerm = proposal.term === term;
    proposal.listener(isSameTerm ? { type: 'committed', outcome } : { type: 'unknown' });
  }

  /** Reports all pending proposals as `unknown`. */
  abandon(): void {
    const abandoned = [...this.byIndex.values()];
    this.byIndex.clear();
    for (const proposal of abandoned) {
      proposal.listener({ type: 'unknown' });
    }
  }
}
