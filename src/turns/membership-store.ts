/** The port to where the record of members is stored and operators say which machines to empty. */

/** The record where all processes find it. */
export type StoredRecord =
  /** Nothing was read yet. */
  | { readonly tag: 'Unknown' }
  | { readonly tag: 'Absent' }
  | { readonly tag: 'Present'; readonly text: string; readonly revision: number };

/** See the head of this file. */
export interface MembershipStore {
  readRecord(): StoredRecord;
  /** Replaces the record if its revision is still the expected one; 0 when there must be none. */
  swapRecord(expectedRevision: number, text: string, done: (swapped: boolean) => void): void;
  /** Names of machines that are to be emptied. */
  retiringNodes(): ReadonlySet<string>;
  /** Tells operators how far the emptying of this machine is. */
  reportRetirement(node: string, finished: boolean, done: (written: boolean) => void): void;
}
