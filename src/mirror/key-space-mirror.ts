/**
 * A copy of the items under one prefix of a store, kept up to date by a watch. The watch may be
 * silent, cut or forgotten: waits are bounded, a lost history leads to a new list, a cheap list that
 * may be old is read now and then, and a peer that knows a newer change shows that this watch hangs.
 * An item never goes back to an older revision.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { Runtime } from '../runtime/runtime.js';
import type { KeySpaceError, KeySpacePort, StoredItem } from './key-space-port.js';

/** What a mirror is made with. */
export interface KeySpaceMirrorOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly prefix: string;
  /** Pause between cheap lists, read since a watch can be silent, in milliseconds. */
  readonly verifyMilliseconds: number;
  /** Longest wait of one watch call, in milliseconds. */
  readonly watchMilliseconds: number;
  /** An item is new or changed. */
  readonly onPut: (item: StoredItem) => void;
  /** An item is gone. */
  readonly onGone: (key: string) => void;
  /** The store was reached again, or is out of reach. */
  readonly onReachable: (reachable: boolean) => void;
}

const FIRST_PAUSE_MILLISECONDS = 60;
const LONGEST_PAUSE_MILLISECONDS = 800;
/** Pause after changes before the next watch, so that changes in quick succession come in one call. */
const GATHER_MILLISECONDS = 100;
/** Time that a watch has to bring a change that a peer knows already, in milliseconds. */
const BEHIND_MILLISECONDS = 400;

/** See the head of this file. */
export class KeySpaceMirror {
  private readonly items = new Map<string, StoredItem>();
  /** Revisions at which keys were removed since the last whole list. */
  private readonly goneAt = new Map<string, number>();
  /** Revision of the last whole list: what is older and was not in it was gone by then. */
  private listedRevision = 0;
  private revision = 0;
  /** Revision of the newest change seen. */
  private changedRevision = 0;
  /** Rises with each list: what an earlier watch brings later is not followed up. */
  private generation = 0;
  private watching = false;
  private checkingBehind = false;
  private failures = 0;
  private reachable: boolean | undefined;
  private closed = false;

  constructor(private readonly options: KeySpaceMirrorOptions) {}

  /** Begins with a list. */
  start(): void {
    this.readList();
    this.verifyLater();
  }

  /** An item as last seen. */
  get(key: string): StoredItem | undefined {
    return this.items.get(key);
  }

  /** All items as last seen. */
  list(): StoredItem[] {
    return [...this.items.values()];
  }

  /** Revision of the newest change that is known here. */
  get newestChange(): number {
    return this.changedRevision;
  }

  /** Takes a peer's word for its newest change: if the watch does not bring it, the watch hangs. */
  heedRevision(revision: number): void {
    if (revision <= this.revision || this.checkingBehind || !this.watching) {
      return;
    }
    this.checkingBehind = true;
    const { runtime } = this.options;
    runtime.setTimer(BEHIND_MILLISECONDS, () => {
      this.checkingBehind = false;
      if (revision > this.revision && this.watching && !this.closed) {
        const fields = { event: 'mirror.behind', known: this.revision, elsewhere: revision };
        runtime.log('warn', 'the watch hangs', fields);
        this.readList();
      }
    });
  }

  /** Whether a whole list was ever taken. */
  get listed(): boolean {
    return this.revision > 0;
  }

  /** Takes an item that another source has, such as a change of our own. */
  offer(item: StoredItem): void {
    if (item.revision > this.knownRevision(item.key)) {
      this.items.set(item.key, item);
      this.changedRevision = Math.max(this.changedRevision, item.revision);
      this.goneAt.delete(item.key);
      this.options.onPut(item);
    }
  }

  /** Stops following. */
  close(): void {
    this.closed = true;
  }

  private readList(): void {
    this.generation += 1;
    this.watching = false;
    const { generation } = this;
    this.options.port.list(this.options.prefix, (result) => {
      if (this.closed || generation !== this.generation) {
        return;
      }
      if (!isRight(result)) {
        this.retry(result.left, () => this.readList());
        return;
      }
      this.noteReached();
      const { items, revision } = result.right;
      this.replaceAll(items, revision);
      this.revision = Math.max(1, revision);
      this.watch();
    });
  }

  private watch(): void {
    const { port, prefix, watchMilliseconds, runtime } = this.options;
    const { generation } = this;
    this.watching = true;
    port.watch(prefix, this.revision, watchMilliseconds, (result) => {
      if (this.closed || generation !== this.generation) {
        return;
      }
      this.watching = false;
      if (!isRight(result)) {
        if (result.left.tag === 'HistoryLost') {
          this.readList();
        } else {
          this.retry(result.left, () => this.watch());
        }
        return;
      }
      this.noteReached();
      for (const change of result.right.changes) {
        if (change.tag === 'Put') {
          this.offer(change.item);
        } else {
          this.drop(change.key, change.revision);
        }
      }
      this.revision = Math.max(this.revision, result.right.revision);
      if (result.right.changes.length === 0) {
        this.watch();
      } else {
        runtime.setTimer(GATHER_MILLISECONDS, () => this.watchUnless(generation));
      }
    });
  }

  private watchUnless(generation: number): void {
    if (!this.closed && generation === this.generation) {
      this.watch();
    }
  }

  private verifyLater(): void {
    const { runtime, verifyMilliseconds, prefix, port } = this.options;
    const pause = verifyMilliseconds * (0.8 + 0.4 * runtime.random.uniform());
    runtime.setTimer(pause, () => {
      if (this.closed) {
        return;
      }
      this.verifyLater();
      if (this.reachable === true) {
        port.listStale(prefix, (result) => {
          if (isRight(result) && !this.closed) {
            this.merge(result.right.items, result.right.revision);
          }
        });
      }
    });
  }

  /** Revision of what is known of a key, be it that it is there or that it is not. */
  private knownRevision(key: string): number {
    return this.items.get(key)?.revision ?? this.goneAt.get(key) ?? this.listedRevision;
  }

  private replaceAll(items: readonly StoredItem[], revision: number): void {
    this.goneAt.clear();
    this.listedRevision = 0;
    this.merge(items, revision);
    this.listedRevision = revision;
  }

  /** Takes a list that may be old: only what is newer than known counts. */
  private merge(items: readonly StoredItem[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    for (const key of [...this.items.keys()]) {
      if (!present.has(key)) {
        this.drop(key, revision);
      }
    }
    items.forEach((item) => this.offer(item));
  }

  private drop(key: string, revision: number): void {
    const known = this.items.get(key);
    if (known !== undefined && known.revision < revision) {
      this.items.delete(key);
      this.goneAt.set(key, revision);
      this.changedRevision = Math.max(this.changedRevision, revision);
      this.options.onGone(key);
    }
  }

  private retry(error: KeySpaceError, again: () => void): void {
    this.failures += 1;
    const detail = error.tag === 'HistoryLost' ? '' : error.detail;
    if (this.reachable !== false && error.tag !== 'HistoryLost') {
      this.reachable = false;
      const fields = { event: 'store.lost', tag: error.tag, detail, failures: this.failures };
      this.options.runtime.log('warn', 'store out of reach', fields);
      this.options.onReachable(false);
    }
    const longest = Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      FIRST_PAUSE_MILLISECONDS * 2 ** (this.failures - 1),
    );
    const pause = longest * (0.5 + 0.5 * this.options.runtime.random.uniform());
    this.options.runtime.setTimer(pause, () => {
      if (!this.closed) {
        again();
      }
    });
  }

  private noteReached(): void {
    this.failures = 0;
    if (this.reachable !== true) {
      this.reachable = true;
      this.options.runtime.log('info', 'store reached', { event: 'store.reached' });
      this.options.onReachable(true);
    }
  }
}
