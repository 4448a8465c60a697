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
export type PathMode = 'well' | 'silent' | 'refusing';

/** Time until a short call is answered, and given up, in milliseconds. */
const ANSWER_MILLISECONDS = 4;
const SHORT_CALL_MILLISECONDS = 1_500;
const WATCH_SLACK_MILLISECONDS = 1_000;
const WATCH_STEP_MILLISECONDS = 20;

const NO_ANSWER: KeySpaceError = { tag: 'Unreachable', detail: 'no answer in time' };
const BUSY: KeySpaceError = { tag: 'Refused', detail: 'status 503' };

/** What the store holds, and what of its past it remembers. */
export class HistoryStore {
  readonly items = new Map<string, StoredItem>();
  revision = 0;
  /** Time that an answer takes beyond the usual, in milliseconds. */
  slowMilliseconds = 0;
  /** While true, watches hear nothing of what changes. */
  watchesDeaf = false;
  /** Rises when waiting watches are cut. */
  cuts = 0;
  private history: ItemChange[] = [];
  private forgottenBefore = 0;
  private oldList: ItemList | undefined;

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
  forget(): void {
    this.history = [];
    this.forgottenBefore = this.revision;
    this.cuts += 1;
  }

  /** Cheap lists answer from now on what the store holds now, until they are let go on. */
  freezeOldLists(): void {
    this.oldList = this.listOf('');
  }

  thawOldLists(): void {
    this.oldList = undefined;
  }

  listOf(prefix: string): ItemList {
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix));
    return { items, revision: this.revision };
  }

  oldListOf(prefix: string): ItemList {
    return this.oldList ?? this.listOf(prefix);
  }

  /** Changes after a revision; undefined when they are forgotten. */
  changesAfter(revision: number): readonly ItemChange[] | undefined {
    if (revision < this.forgottenBefore) {
      return undefined;
    }
    return this.history.filter((change) => revisionOf(change) > revision);
  }
}

function revisionOf(change: ItemChange): number {
  return change.tag === 'Put' ? change.item.revision : change.revision;
}

/** One process's way to the store. */
export class StorePath implements KeySpacePort {
  mode: PathMode = 'well';
  /** Whether lists that are asked for as proofs come from the past: a planted fault. */
  readsOld = false;
  callCount = 0;
  private connections = 0;

  constructor(private readonly store: HistoryStore) {}

  /** Open connections go silent for good; new ones work. */
  loseConnections(): void {
    this.connections += 1;
  }

  list(prefix: string, listener: KeySpaceListener<ItemList>): void {
    this.answer(SHORT_CALL_MILLISECONDS, listener, () =>
      this.readsOld ? this.store.oldListOf(prefix) : this.store.listOf(prefix),
    );
  }

  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void {
    this.answer(SHORT_CALL_MILLISECONDS, listener, () => this.store.oldListOf(prefix));
  }

  watch(
    _prefix: string,
    after: number,
    wait: number,
    listener: KeySpaceListener<ChangeList>,
  ): void {
    const { clock } = this.store;
    const until = clock.now + wait;
    const { connections } = this;
    const { cuts } = this.store;
    const look = (): void => {
      if (connections !== this.connections || this.mode === 'silent') {
        this.giveUpAt(until + WATCH_SLACK_MILLISECONDS, listener);
      } else if (this.mode === 'refusing' || cuts !== this.store.cuts) {
        listener(E.left(BUSY));
      } else {
        const changes = this.store.changesAfter(after);
        if (changes === undefined) {
          listener(E.left({ tag: 'HistoryLost' }));
        } else if (!this.store.watchesDeaf && (changes.length > 0 || clock.now >= until)) {
          listener(E.right({ changes, revision: this.store.revision }));
        } else {
          clock.schedule(WATCH_STEP_MILLISECONDS, look);
        }
      }
    };
    this.begin(wait + WATCH_SLACK_MILLISECONDS, listener, look);
  }

  private answer<Result>(
    deadline: number,
    listener: KeySpaceListener<Result>,
    result: () => Result,
  ): void {
    this.begin(deadline, listener, () => listener(E.right(result())));
  }

  /** Lets a call arrive, unless the path keeps it from that. */
  private begin<Result>(
    deadline: number,
    listener: KeySpaceListener<Result>,
    arrive: () => void,
  ): void {
    this.callCount += 1;
    const { clock, slowMilliseconds } = this.store;
    const sentAt = clock.now;
    const { connections } = this;
    if (this.mode === 'silent') {
      this.giveUpAt(sentAt + deadline, listener);
      return;
    }
    clock.schedule(ANSWER_MILLISECONDS + slowMilliseconds, () => {
      if (connections !== this.connections || this.mode === 'silent') {
        this.giveUpAt(sentAt + deadline, listener);
      } else if (this.mode === 'refusing') {
        listener(E.left(BUSY));
      } else {
        arrive();
      }
    });
  }

  private giveUpAt<Result>(time: number, listener: KeySpaceListener<Result>): void {
    const { clock } = this.store;
    clock.schedule(Math.max(0, time - clock.now), () => listener(E.left(NO_ANSWER)));
  }
}
