/**
 * A copy of the items under one prefix of a store, kept up to date by a watch. The watch may be
 * silent, cut or forgotten: waits are bounded, a lost history leads to a new list, and chosen keys
 * are read again now and then. An item never goes back to an older revision.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { Runtime } from '../runtime/runtime.js';
import type { KeySpaceError, KeySpacePort, StoredItem } from './key-space-port.js';

/** What a mirror is made with. */
export interface KeySpaceMirrorOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly prefix: string;
  /** Keys read again now and then, since a watch can be silent. */
  readonly verifiedKeys: readonly string[];
  /** Pause between these reads, in milliseconds. */
  readonly verifyMilliseconds: number;
  /** Longest wait of one watch call, in milliseconds. */
  readonly watchMilliseconds: number;
  /** An item is new or changed. */
  readonly onPut: (item: StoredItem) => void;
  /** An item is gone. */
  readonly onGone: (key: string) => void;
  /** A whole list was taken; everything known is as the store had it. */
  readonly onListed: () => void;
  /** The store was reached again, or is out of reach. */
  readonly onReachable: (reachable: boolean) => void;
}

const FIRST_PAUSE_MILLISECONDS = 60;
const LONGEST_PAUSE_MILLISECONDS = 800;

/** See the head of this file. */
export class KeySpaceMirror {
  private readonly items = new Map<string, StoredItem>();
  /** Revisions at which keys were removed, until the next list. */
  private readonly goneAt = new Map<string, number>();
  private revision = 0;
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

  /** Whether a whole list was ever taken. */
  get listed(): boolean {
    return this.revision > 0;
  }

  /** Takes an item that another source has, such as a change of our own. */
  offer(item: StoredItem): void {
    const known = this.items.get(item.key)?.revision ?? this.goneAt.get(item.key) ?? 0;
    if (item.revision > known) {
      this.items.set(item.key, item);
      this.goneAt.delete(item.key);
      this.options.onPut(item);
    }
  }

  /** Stops following. */
  close(): void {
    this.closed = true;
  }

  private readList(): void {
    this.options.port.list(this.options.prefix, (result) => {
      if (this.closed) {
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
      this.options.onListed();
      this.watch();
    });
  }

  private watch(): void {
    const { port, prefix, watchMilliseconds } = this.options;
    port.watch(prefix, this.revision, watchMilliseconds, (result) => {
      if (this.closed) {
        return;
      }
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
      this.watch();
    });
  }

  private verifyLater(): void {
    const { runtime, verifyMilliseconds, verifiedKeys, port } = this.options;
    if (verifiedKeys.length === 0) {
      return;
    }
    const pause = verifyMilliseconds * (0.8 + 0.4 * runtime.random.uniform());
    runtime.setTimer(pause, () => {
      if (this.closed) {
        return;
      }
      this.verifyLater();
      if (this.reachable === true) {
        verifiedKeys.forEach((key) => {
          port.read(key, (result) => {
            if (isRight(result) && result.right !== undefined && !this.closed) {
              this.offer(result.right);
            }
          });
        });
      }
    });
  }

  private replaceAll(items: readonly StoredItem[], revision: number): void {
    const present = new Set(items.map((item) => item.key));
    this.goneAt.clear();
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
