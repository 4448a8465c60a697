/** Read progress of a replica in the logs of its peers. */

/** How far this replica has read the log of one peer. */
export interface PeerProgress {
  log: string;
  position: number;
  /** Epoch that the peer knew when this replica last reached the end of its log; 0 before that. */
  caughtUpEpoch: number;
  /** Local time at which this replica last reached the end of the peer's log, in milliseconds. */
  caughtUpAt: number;
  /** Whether the peer was an active member, with complete state, at its last reply. */
  active: boolean;
  /** Epoch under which the peer reported that it had acknowledged nothing as a member; 0 when it did not. */
  freshEpoch: number;
}

/** A read-only view of the progress in one peer's log. */
export type PeerView = Readonly<PeerProgress>;
