/**
 * A copy of the store's items, built from what the store and peers that follow it report. An item
 * never returns to an older revision, and a removed item does not reappear from an older list.
 */
import type { StoredItem } from './key-space-port.js';

export interface RemovedKey {
  readonly key: string;
  /** Revision at which the key was known to be removed. */
  readonly revision: number;
}

/** Changes after one revision, up to another. */
export interface KeySpaceChanges {
  /** Revision after which these are all changes; 0 if `items` holds all items. */
  readonly since: number;
  /** Revision up to which the receiver has all changes once these are applied. */
  readonly revision: number;
  readonly items: readonly StoredItem[];
  readonly gone: readonly RemovedKey[];
}

/** Called with the changes of the copy. */
export interface KeySpaceCopyListener {
  /** Called with each new or changed item. */
  readonly onPut: (item: StoredItem) => void;
  /** Called with the key of each removed item and the revision at which it was known to be removed. */
  readonly onRemoved: (key: string, revision: number) => void;
}

/**
 * Maximum number of removed keys to remember; older removals can only be sent as a complete list of
 * items.
 */
const MAXIMUM_REMEMBERED_REMOVALS = 1_000;

/** Merges items from several sources by revision. */
export class KeySpaceCopy {
  private readonly items = new Map<string, StoredItem>();
  /** Revision of each remembered removal; complete after `compactedRevision`. */
  private readonly removedAt = new Map<string, number>();
  /** Keys that are neither here nor in `removedAt` had been removed by this revision. */
  private compactedRevision = 0;
  private completeUpTo = 0;
  /** Revision of the newest complete list of the store itself. */
  private listedRevision = 0;

  constructor(private readonly listener: KeySpaceCopyListener) {}

  /** Revision up to which the copy has all changes; 0 before the first list. */
  get completeRevision(): number {
    return this.completeUpTo;
  }

  /** Returns the last known state of an item. */
  get(key: string): StoredItem | undefined {
    return this.items.get(key);
  }

  /** Returns the last known state of all items. */
  list(): StoredItem[] {
    return [...this.items.values()];
  }

  /** Stores an item unless a newer state of its key is known. */
  putIfNewer(item: StoredItem): void {
    if (item.revision > this.knownRevision(item.key)) {
      this.items.set(item.key, item);
      this.removedAt.delete(item.key);
      this.listener.onPut(item);
    }
  }

  /** Removes an item as of a revision, unless a newer state of its key is known. */
  removeIfNewer(key: string, revision: number): void {
    if (revision <= this.knownRevision(key)) {
      return;
    }
    // Also remembered for keys that were never here: a peer that still has the item may ask for
    // changes.
    this.removedAt.set(key, revision);
    if (this.items.delete(key)) {
      this.listener.onRemoved(key, revision);
    }
    this.compactRemovals();
  }

  /**
   * Replaces the copy by all items of the store at a revision. Removals known from later ones are kept: the list may
   * have arrived late.
   */
  replaceAll(items: readonly StoredItem[], revision: number): void {
    for (const [key, removedRevision] of this.removedAt) {
      if (removedRevision <= revision) {
        this.removedAt.delete(key);
      }
    }
    // What peers claim to be complete is no longer relied on, only what the store listed.
    this.compactedRevision = this.listedRevision > revision ? this.listedRevision : 0;
    this.merge(items, revision);
    this.listedRevision = Math.max(this.listedRevision, revision);
    this.compactedRevision = this.listedRevision;
    this.completeUpTo = revision;
  }

  /** Merges all items of the store at a revision that may be old; newer states of keys are kept. */
  merge(items: readonly StoredItem[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.items.keys()]) {
      if (!present.has(key)) {
        this.removeIfNewer(key, revision);
      }
    }
    items.forEach((item) => this.putIfNewer(item));
  }

  /** Records that all changes up to a revision have been applied. */
  raiseCompleteRevision(revision: number): void {
    this.completeUpTo = Math.max(this.completeUpTo, revision);
  }

  /**
   * Withdraws the claim to have all changes after a revision, in case a peer overstated its own
   * revision.
   */
  lowerCompleteRevision(revision: number): void {
    this.completeUpTo = Math.min(this.completeUpTo, revision);
  }

  /** Returns the changes that a copy lacks which has all changes up to a revision. */
  changesSince(revision: number): KeySpaceChanges {
    const isKnown = revision > 0 && revision >= this.compactedRevision;
    const since = isKnown ? revision : 0;
    const items = this.list().filter((item) => item.revision > since);
    const removed = [...this.removedAt].map(([key, removedRevision]) => ({
      key,
      revision: removedRevision,
    }));
    const gone = removed.filter((each) => each.revision > since);
    return { since, revision: this.completeUpTo, items, gone };
  }

  /** Applies the changes of a peer. */
  applyChanges(changes: KeySpaceChanges): void {
    const { since, revision, items, gone } = changes;
    if (since === 0 && revision > 0) {
      this.merge(items, revision);
      this.compactedRevision = Math.max(this.compactedRevision, revision);
    } else {
      items.forEach((item) => this.putIfNewer(item));
    }
    gone.forEach((each) => this.removeIfNewer(each.key, each.revision));
    if (since <= this.completeUpTo) {
      this.raiseCompleteRevision(revision);
    }
  }

  /** Revision at which the state of a key, present or removed, was last known. */
  private knownRevision(key: string): number {
    const present = this.items.get(key);
    return present?.revision ?? Math.max(this.removedAt.get(key) ?? 0, this.compactedRevision);
  }

  private compactRemovals(): void {
    if (this.removedAt.size <= MAXIMUM_REMEMBERED_REMOVALS) {
      return;
    }
    const oldestFirst = [...this.removedAt]
      .filter(([, revision]) => revision <= this.completeUpTo)
      .sort((left, right) => left[1] - right[1]);
    for (const [key, revision] of oldestFirst.slice(0, MAXIMUM_REMEMBERED_REMOVALS / 2)) {
      this.removedAt.delete(key);
      this.compactedRevision = Math.max(this.compactedRevision, revision);
    }
  }
}
