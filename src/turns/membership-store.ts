/** The port to the store of the membership record and of the operators' retirement requests. */

/** The membership record as last read from the store. */
export type StoredRecord =
  /** The store has not been read yet. */
  | { readonly tag: 'Unknown' }
  | { readonly tag: 'Absent' }
  | { readonly tag: 'Present'; readonly text: string; readonly revision: number };

/** Reads and swaps the membership record and reports on retirements. */
export interface MembershipStore {
  readRecord(): StoredRecord;
  /** Compare-and-swap: replaces the record if its revision is the expected one; 0 expects that there is none. */
  swapRecord(expectedRevision: number, text: string, done: (swapped: boolean) => void): void;
  /** Names of the machines that operators are retiring. */
  retiringNodes(): ReadonlySet<string>;
  /** Publishes whether the retirement of a machine is running or finished. */
  reportRetirement(node: string, finished: boolean, done: (written: boolean) => void): void;
}
