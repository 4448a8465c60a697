/**
 * The items of a store as far as they are known, whoever told them: the store itself or a peer that
 * follows it. An item never goes back to an older revision, and one that is gone does not come back
 * from an older list.
 */
import type { StoredItem } from './key-space-port.js';

/** A key that was removed. */
export interface RemovedKey {
  readonly key: string;
  /** Revision at which it was gone for sure. */
  readonly revision: number;
}

/** What changed after one revision, up to another. */
export interface KeySpaceChanges {
  /** Revision after which these are all changes; 0 when `items` are all items there are. */
  readonly since: number;
  /** Revision up to which nothing is missing once these are taken. */
  readonly revision: number;
  readonly items: readonly StoredItem[];
  readonly gone: readonly RemovedKey[];
}

/** Who is told what becomes known. */
export interface KeySpaceCopyListener {
  /** An item is new or changed. */
  readonly onPut: (item: StoredItem) => void;
  /** An item is gone. */
  readonly onRemoved: (key: string) => void;
}

/** Removed keys that are remembered; older ones are told by sending all items. */
const MAXIMUM_REMEMBERED_REMOVALS = 1_000;

/** See the head of this file. */
export class KeySpaceCopy {
  private readonly items = new Map<string, StoredItem>();
  /** Revisions at which keys were removed; all removals after `forgottenRevision` are among them. */
  private readonly removedAt = new Map<string, number>();
  /** What is older and not in `items` was gone by then. */
  private compactedRevision = 0;
  private completeUpTo = 0;

  constructor(private readonly listener: KeySpaceCopyListener) {}

  /** Revision up to which nothing is missing here; 0 before the first list. */
  get completeRevision(): number {
    return this.completeUpTo;
  }

  /** An item as last seen. */
  get(key: string): StoredItem | undefined {
    return this.items.get(key);
  }

  /** All items as last seen. */
  list(): StoredItem[] {
    return [...this.items.values()];
  }

  /** Takes one item, unless something newer is known of its key. */
  putIfNewer(item: StoredItem): void {
    if (item.revision > this.knownRevision(item.key)) {
      this.items.set(item.key, item);
      this.removedAt.delete(item.key);
      this.listener.onPut(item);
    }
  }

  /** Takes word that a key was gone at a revision. */
  removeIfNewer(key: string, revision: number): void {
    if (revision <= this.knownRevision(key)) {
      return;
    }
    // Remembered even if the key was never seen here: a peer that has it may ask.
    this.removedAt.set(key, revision);
    if (this.items.delete(key)) {
      this.listener.onRemoved(key);
    }
    this.compactRemovals();
  }

  /** Takes all items as the store had them at a revision. */
  replaceAll(items: readonly StoredItem[], revision: number): void {
    this.removedAt.clear();
    this.compactedRevision = 0;
    this.merge(items, revision);
    this.compactedRevision = revision;
    this.completeUpTo = revision;
  }

  /** Takes all items as they were at a revision that may be old: only what is newer counts. */
  merge(items: readonly StoredItem[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.items.keys()]) {
      if (!present.has(key)) {
        this.removeIfNewer(key, revision);
      }
    }
    items.forEach((item) => this.putIfNewer(item));
  }

  /** Notes that every change up to a revision has been taken. */
  raiseCompleteRevision(revision: number): void {
    this.completeUpTo = Math.max(this.completeUpTo, revision);
  }

  /** Notes that nothing is known for sure after a revision: peers may have told more than there is. */
  lowerCompleteRevision(revision: number): void {
    this.completeUpTo = Math.min(this.completeUpTo, revision);
  }

  /** What one that is complete up to a revision lacks. */
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

  /** Takes what a peer has. */
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

  /** Revision of what is known of a key, be it that it is there or that it is not. */
  private knownRevision(key: string): number {
    return this.items.get(key)?.revision ?? this.removedAt.get(key) ?? this.compactedRevision;
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
