/** Commands that a leader has appended and whose proposers wait for the outcome. */

/** What became of a proposed command. */
export type ProposalResult<Outcome> =
  | { readonly type: 'committed'; readonly outcome: Outcome }
  /** Leadership was lost first: the command may or may not be committed later. */
  | { readonly type: 'unknown' }
  /** This replica does not lead: the command will never be committed. */
  | { readonly type: 'notLeader' };

/** Receives the result of a proposal, exactly once. */
export type ProposalListener<Outcome> = (result: ProposalResult<Outcome>) => void;

interface PendingProposal<Outcome> {
  readonly term: number;
  readonly listener: ProposalListener<Outcome>;
}

/** See the head of this file; proposals by their index in the log. */
export class PendingProposals<Outcome> {
  private readonly byIndex = new Map<number, PendingProposal<Outcome>>();

  /** Notes that an entry of a term waits at an index. */
  add(index: number, term: number, listener: ProposalListener<Outcome>): void {
    this.byIndex.set(index, { term, listener });
  }

  /** Tells who waits at an index, if anybody does, that an entry of a term was applied there. */
  resolve(index: number, term: number, outcome: Outcome): void {
    const proposal = this.byIndex.get(index);
    if (proposal === undefined) {
      return;
    }
    this.byIndex.delete(index);
    // An entry of another term took the place of the one that was proposed.
    const isSameTerm = proposal.term === term;
    proposal.listener(isSameTerm ? { type: 'committed', outcome } : { type: 'unknown' });
  }

  /** Ends all proposals as unknown. */
  abandon(): void {
    const abandoned = [...this.byIndex.values()];
    this.byIndex.clear();
    for (const proposal of abandoned) {
      proposal.listener({ type: 'unknown' });
    }
  }
}
