/** The port to a store of keys with revisions, as far as a mirror of it needs. */
import type { Either } from 'fp-ts/lib/Either.js';

/** One stored item. */
export interface StoredItem {
  readonly key: string;
  readonly value: string;
  /** Revision of its last change. */
  readonly revision: number;
}

/** A change that a watch tells. */
export type ItemChange =
  | { readonly tag: 'Put'; readonly item: StoredItem }
  | { readonly tag: 'Gone'; readonly key: string; readonly revision: number };

/** All items under a prefix; changes after `revision` are not in it for sure. */
export interface ItemList {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** Changes, and the revision to go on from. */
export interface ChangeList {
  readonly changes: readonly ItemChange[];
  readonly revision: number;
}

/** Why a call brought nothing. */
export type KeySpaceError =
  /** No answer in time, or none at all. */
  | { readonly tag: 'Unreachable'; readonly detail: string }
  /** The store is up and refuses for now. */
  | { readonly tag: 'Refused'; readonly detail: string }
  /** The changes asked for are forgotten: a new list is needed. */
  | { readonly tag: 'HistoryLost' };

/** Receives one answer. */
export type KeySpaceListener<Result> = (result: Either<KeySpaceError, Result>) => void;

/** See the head of this file. Each call ends within a time of its own, answered or not. */
export interface KeySpacePort {
  list(prefix: string, listener: KeySpaceListener<ItemList>): void;
  /** A list that may be seconds old and costs the store little. */
  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void;
  /** Waits for changes after a revision, for `waitMilliseconds` at most; none is an empty list. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMilliseconds: number,
    listener: KeySpaceListener<ChangeList>,
  ): void;
}
