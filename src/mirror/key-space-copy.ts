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
  readonly onGone: (key: string) => void;
}

/** Removed keys that are remembered; older ones are told by sending all items. */
const REMEMBERED_REMOVALS = 1_000;

/** See the head of this file. */
export class KeySpaceCopy {
  private readonly items = new Map<string, StoredItem>();
  /** Revisions at which keys were removed; all removals after `forgottenRevision` are among them. */
  private readonly goneAt = new Map<string, number>();
  /** What is older and not in `items` was gone by then. */
  private forgottenRevision = 0;
  private complete = 0;

  constructor(private readonly listener: KeySpaceCopyListener) {}

  /** Revision up to which nothing is missing here; 0 before the first list. */
  get completeRevision(): number {
    return this.complete;
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
  offer(item: StoredItem): void {
    if (item.revision > this.knownRevision(item.key)) {
      this.items.set(item.key, item);
      this.goneAt.delete(item.key);
      this.listener.onPut(item);
    }
  }

  /** Takes word that a key was gone at a revision. */
  drop(key: string, revision: number): void {
    if (revision <= this.knownRevision(key)) {
      return;
    }
    // Remembered even if the key was never seen here: a peer that has it may ask.
    this.goneAt.set(key, revision);
    if (this.items.delete(key)) {
      this.listener.onGone(key);
    }
    this.forgetOldRemovals();
  }

  /** Takes all items as the store had them at a revision. */
  replaceAll(items: readonly StoredItem[], revision: number): void {
    this.goneAt.clear();
    this.forgottenRevision = 0;
    this.merge(items, revision);
    this.forgottenRevision = revision;
    this.complete = revision;
  }

  /** Takes all items as they were at a revision that may be old: only what is newer counts. */
  merge(items: readonly StoredItem[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.items.keys()]) {
      if (!present.has(key)) {
        this.drop(key, revision);
      }
    }
    items.forEach((item) => this.offer(item));
  }

  /** Notes that every change up to a revision has been taken. */
  completeTo(revision: number): void {
    this.complete = Math.max(this.complete, revision);
  }

  /** Notes that nothing is known for sure after a revision: peers may have told more than there is. */
  trustOnlyTo(revision: number): void {
    this.complete = Math.min(this.complete, revision);
  }

  /** What one that is complete up to a revision lacks. */
  changesSince(revision: number): KeySpaceChanges {
    const isKnown = revision > 0 && revision >= this.forgottenRevision;
    const since = isKnown ? revision : 0;
    const items = this.list().filter((item) => item.revision > since);
    const removed = [...this.goneAt].map(([key, goneRevision]) => ({
      key,
      revision: goneRevision,
    }));
    const gone = removed.filter((each) => each.revision > since);
    return { since, revision: this.complete, items, gone };
  }

  /** Takes what a peer has. */
  take(changes: KeySpaceChanges): void {
    const { since, revision, items, gone } = changes;
    if (since === 0 && revision > 0) {
      this.merge(items, revision);
      this.forgottenRevision = Math.max(this.forgottenRevision, revision);
    } else {
      items.forEach((item) => this.offer(item));
    }
    gone.forEach((each) => this.drop(each.key, each.revision));
    if (since <= this.complete) {
      this.completeTo(revision);
    }
  }

  /** Revision of what is known of a key, be it that it is there or that it is not. */
  private knownRevision(key: string): number {
    return this.items.get(key)?.revision ?? this.goneAt.get(key) ?? this.forgottenRevision;
  }

  private forgetOldRemovals(): void {
    if (this.goneAt.size <= REMEMBERED_REMOVALS) {
      return;
    }
    const oldestFirst = [...this.goneAt]
      .filter(([, revision]) => revision <= this.complete)
      .sort((left, right) => left[1] - right[1]);
    for (const [key, revision] of oldestFirst.slice(0, REMEMBERED_REMOVALS / 2)) {
      this.goneAt.delete(key);
      this.forgottenRevision = Math.max(this.forgottenRevision, revision);
    }
  }
}
