/** What a replica has of another one's log, as completeness and synchronisation see it. */

/** How far this replica has read the log of another. */
export interface PeerProgress {
  log: string;
  position: number;
  /** Epoch that the peer knew when this replica last stood at its log's end; 0 before. */
  caughtUpEpoch: number;
  /** Local time at which this replica last stood at its log's end, in milliseconds. */
  caughtUpAt: number;
  /** Whether the peer's own state was complete then. */
  active: boolean;
  /** Epoch under which it said that it had acknowledged nothing as a member; 0 when it did not. */
  freshEpoch: number;
}

/** What a replica knows of another. */
export type PeerView = Readonly<PeerProgress>;
