/** The interface to a store of keys with revisions, as far as a mirror needs it. */
import type { Either } from 'fp-ts/lib/Either.js';

/** An item of the store. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Revision of the item's last change. */
  readonly revision: number;
}

/** A change reported by a watch. */
export type ItemChange =
  | { readonly tag: 'Put'; readonly item: StoredItem }
  | { readonly tag: 'Gone'; readonly key: string; readonly revision: number };

/** All items under a prefix; changes after `revision` may be missing. */
export interface ItemList {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** Changes, and the revision from which to continue the watch. */
export interface ChangeList {
  readonly changes: readonly ItemChange[];
  readonly revision: number;
}

/** Reason why a call failed. */
export type KeySpaceError =
  /** The store did not answer, or not in time. */
  | { readonly tag: 'Unreachable'; readonly detail: string }
  /** The store is up but refuses the call for now. */
  | { readonly tag: 'Refused'; readonly detail: string }
  /** The store no longer keeps the requested changes; a new list is needed. */
  | { readonly tag: 'HistoryLost' };

/** Receives the result of a call. */
export type KeySpaceListener<Result> = (result: Either<KeySpaceError, Result>) => void;

/** Calls to the store. Each call ends within its own timeout, whether answered or not. */
export interface KeySpacePort {
  list(prefix: string, listener: KeySpaceListener<ItemList>): void;
  /** Returns a list that may be seconds old; cheap for the store. */
  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void;
  /**
   * Waits for changes after a revision, for at most `waitMilliseconds`; returns an empty list if
   * there are none.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    listener: KeySpaceListener<ChangeList>,
  ): void;
}
