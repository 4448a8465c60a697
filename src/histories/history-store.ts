/**
 * A store of keys in virtual time that many processes use, each over a path of its own: silent,
 * refusing, slow or forgetful as asked, with lists that may be old. What it owes on a connection that
 * went silent is never answered.
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

/** How a path answers. */
export type StoreClientMode = 'well' | 'silent' | 'refusing';

/** Time until a short call is answered, and given up, in milliseconds. */
const REPLY_DELAY_MILLISECONDS = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_500;
const WATCH_SLACK_MILLISECONDS = 1_000;
const WATCH_POLL_INTERVAL_MILLISECONDS = 20;

const TIMED_OUT: KeySpaceError = { tag: 'Unreachable', detail: 'no answer in time' };
const BUSY: KeySpaceError = { tag: 'Refused', detail: 'status 503' };

/** What the store holds, and what of its past it remembers. */
export class HistoryStore {
  readonly items = new Map<string, StoredItem>();
  revision = 0;
  /** Time that an answer takes beyond the usual, in milliseconds. */
  extraLatencyMilliseconds = 0;
  /** While true, watches hear nothing of what changes. */
  suppressesWatches = false;
  /** Rises when waiting watches are cut. */
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

  /** Drops the past, and cuts the watches that wait. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    this.watchCutCount += 1;
  }

  /** Cheap lists answer from now on what the store holds now, until they are let go on. */
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

  /** Changes after a revision; undefined when they are forgotten. */
  changesAfter(revision: number): readonly ItemChange[] | undefined {
    if (revision < this.compactedRevision) {
      return undefined;
    }
    return this.history.filter((change) => revisionOf(change) > revision);
  }
}

function revisionOf(change: ItemChange): number {
  return change.tag === 'Put' ? change.item.revision : change.revision;
}

/** One process's way to the store. */
export class StoreClient implements KeySpacePort {
  mode: StoreClientMode = 'well';
  /** Whether lists that are asked for as proofs come from the past: a planted fault. */
  readsStale = false;
  callCount = 0;
  private connectionGeneration = 0;

  constructor(private readonly store: HistoryStore) {}

  /** Open connections go silent for good; new ones work. */
  dropConnections(): void {
    this.connectionGeneration += 1;
  }

  list(prefix: string, listener: KeySpaceListener<ItemList>): void {
    this.reply(CALL_TIMEOUT_MILLISECONDS, listener, () =>
      this.readsStale ? this.store.staleListOf(prefix) : this.store.listOf(prefix),
    );
  }

  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void {
    this.reply(CALL_TIMEOUT_MILLISECONDS, listener, () => this.store.staleListOf(prefix));
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

  private reply<Result>(
    deadline: number,
    listener: KeySpaceListener<Result>,
    result: () => Result,
  ): void {
    this.send(deadline, listener, () => listener(E.right(result())));
  }

  /** Lets a call arrive, unless the path keeps it from that. */
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
