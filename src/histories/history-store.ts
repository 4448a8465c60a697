/**
 * Key-value store in virtual time, used by each process through a client of its own. It can be made slow,
 * compact its history, suppress watches and return stale lists; a client can be silent or refusing. A call
 * on a dropped connection is never answered and times out.
 */
import * as E from 'fp-ts/lib/Either.js';
import type {
  ChangeList,
  ItemChange,
  ItemList,
  KeySpaceError,
  KeySpaceListener,
  KeySpacePort,
  StoredItem,
} from '../mirror/key-space-port.js';
import type { VirtualClock } from '../simulation/virtual-clock.js';

/** State of a client: 'well' answers, 'silent' lets calls time out, 'refusing' fails them with an error. */
export type StoreClientMode = 'well' | 'silent' | 'refusing';

const REPLY_DELAY_MILLISECONDS = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_500;
/** Time beyond the wait of a watch after which it times out. */
const WATCH_SLACK_MILLISECONDS = 1_000;
const WATCH_POLL_INTERVAL_MILLISECONDS = 20;

const TIMED_OUT: KeySpaceError = { tag: 'Unreachable', detail: 'no answer in time' };
const BUSY: KeySpaceError = { tag: 'Refused', detail: 'status 503' };

/** Items of the store and the changes since the last compaction. */
export class HistoryStore {
  readonly items = new Map<string, StoredItem>();
  revision = 0;
  /** Delay added to each reply. */
  extraLatencyMilliseconds = 0;
  /** Number of items in each page of a list; the pages are read one after another. */
  pageItems = Infinity;
  /** While true, watches report no changes. */
  suppressesWatches = false;
  /** Rises when all open watches are cut. */
  watchCutCount = 0;
  private history: ItemChange[] = [];
  private compactedRevision = 0;
  private staleList: ItemList | undefined;

  constructor(readonly clock: VirtualClock) {}

  put(key: string, value: string): void {
    this.revision += 1;
    const item = { key, value, revision: this.revision };
    this.items.set(key, item);
    this.history.push({ tag: 'Put', item });
  }

  remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.history.push({ tag: 'Gone', key, revision: this.revision });
  }

  /** Drops the history of changes and cuts all open watches. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.watchCutCount += 1;
  }

  /** Freezes the content of stale lists at the present state until they are thawed. */
  freezeStaleLists(): void {
    this.staleList = this.listOf('');
  }

  thawStaleLists(): void {
    this.staleList = undefined;
  }

  listOf(prefix: string): ItemList {
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, revision: this.revision };
  }

  staleListOf(prefix: string): ItemList {
    return this.staleList ?? this.listOf(prefix);
  }

  /** Changes after a revision; undefined if some of them were compacted. */
  changesAfter(revision: number): readonly ItemChange[] | undefined {
    if (revision < this.compactedRevision) {
      return undefined;
    }
    return this.history.filter((change) => revisionOf(change) > revision);
  }
}

function byKey(left: StoredItem, right: StoredItem): number {
  return left.key < right.key ? -1 : 1;
}

function revisionOf(change: ItemChange): number {
  return change.tag === 'Put' ? change.item.revision : change.revision;
}

/** Access of one process to the store. */
export class StoreClient implements KeySpacePort {
  mode: StoreClientMode = 'well';
  /** Injected fault: consistent lists, which serve as proofs, return stale data. */
  readsStale = false;
  callCount = 0;
  private connectionGeneration = 0;

  constructor(private readonly store: HistoryStore) {}

  /** Drops open connections: their calls time out, new calls work. */
  dropConnections(): void {
    this.connectionGeneration += 1;
  }

  list(prefix: string, listener: KeySpaceListener<ItemList>): void {
    const read = (): ItemList =>
      this.readsStale ? this.store.staleListOf(prefix) : this.store.listOf(prefix);
    this.readPages(read, { items: [], revision: Infinity }, listener);
  }

  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void {
    const read = (): ItemList => this.store.staleListOf(prefix);
    this.readPages(read, { items: [], revision: Infinity }, listener);
  }

  watch(
    _prefix: string,
    after: number,
    wait: number,
    listener: KeySpaceListener<ChangeList>,
  ): void {
    const { clock } = this.store;
    const deadline = clock.now + wait;
    const { connectionGeneration } = this;
    const { watchCutCount } = this.store;
    const poll = (): void => {
      if (connectionGeneration !== this.connectionGeneration || this.mode === 'silent') {
        this.timeOutAt(deadline + WATCH_SLACK_MILLISECONDS, listener);
      } else if (this.mode === 'refusing' || watchCutCount !== this.store.watchCutCount) {
        listener(E.left(BUSY));
      } else {
        const changes = this.store.changesAfter(after);
        if (changes === undefined) {
          listener(E.left({ tag: 'HistoryLost' }));
        } else if (!this.store.suppressesWatches && (changes.length > 0 || clock.now >= deadline)) {
          listener(E.right({ changes, revision: this.store.revision }));
        } else {
          clock.schedule(WATCH_POLL_INTERVAL_MILLISECONDS, poll);
        }
      }
    };
    this.send(wait + WATCH_SLACK_MILLISECONDS, listener, poll);
  }

  /** Reads the pages after those in `earlier`, each by a call of its own; reports the lowest revision of all pages. */
  private readPages(
    read: () => ItemList,
    earlier: ItemList,
    listener: KeySpaceListener<ItemList>,
  ): void {
    this.reply<ItemList>(
      CALL_TIMEOUT_MILLISECONDS,
      (result) => {
        if (E.isLeft(result)) {
          listener(result);
          return;
        }
        const { items, revision } = result.right;
        const after = earlier.items.at(-1)?.key ?? '';
        const remaining = items.filter(({ key }) => key > after).sort(byKey);
        const list: ItemList = {
          items: [...earlier.items, ...remaining.slice(0, this.store.pageItems)],
          revision: Math.min(earlier.revision, revision),
        };
        if (remaining.length > this.store.pageItems) {
          this.readPages(read, list, listener);
        } else {
          listener(E.right(list));
        }
      },
      read,
    );
  }

  private reply<Result>(
    deadline: number,
    listener: KeySpaceListener<Result>,
    result: () => Result,
  ): void {
    this.send(deadline, listener, () => listener(E.right(result())));
  }

  /** Delivers a call to the store after the reply delay, or fails it as the mode of the client says. */
  private send<Result>(
    deadline: number,
    listener: KeySpaceListener<Result>,
    arrive: () => void,
  ): void {
    this.callCount += 1;
    const { clock, extraLatencyMilliseconds } = this.store;
    const sentAt = clock.now;
    const { connectionGeneration } = this;
    if (this.mode === 'silent') {
      this.timeOutAt(sentAt + deadline, listener);
      return;
    }
    clock.schedule(REPLY_DELAY_MILLISECONDS + extraLatencyMilliseconds, () => {
      if (connectionGeneration !== this.connectionGeneration || this.mode === 'silent') {
        this.timeOutAt(sentAt + deadline, listener);
      } else if (this.mode === 'refusing') {
        listener(E.left(BUSY));
      } else {
        arrive();
      }
    });
  }

  private timeOutAt<Result>(time: number, listener: KeySpaceListener<Result>): void {
    const { clock } = this.store;
    clock.schedule(Math.max(0, time - clock.now), () => listener(E.left(TIMED_OUT)));
  }
}
