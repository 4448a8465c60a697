/** A store of keys in virtual time: out of reach, refusing, silent, forgetful or behind as asked. */
import * as E from 'fp-ts/lib/Either.js';
import type {
  ItemChange,
  KeySpaceListener,
  KeySpacePort,
  StoredItem,
} from '../../src/mirror/key-space-port.js';
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';

const ANSWER_MILLISECONDS = 4;
const GIVE_UP_MILLISECONDS = 1_000;

/** A store in virtual time. */
export class SimulatedKeySpace implements KeySpacePort {
  readonly items = new Map<string, StoredItem>();
  revision = 0;
  mode: 'well' | 'unreachable' | 'refusing' = 'well';
  silentWatches = false;
  /** While true, watches that wait end with a refusal. */
  cutWatches = false;
  /** What stale lists answer while they are behind; undefined when they are not. */
  frozenList: { items: StoredItem[]; revision: number } | undefined;
  callCount = 0;
  private history: ItemChange[] = [];
  private forgottenBefore = 0;

  constructor(private readonly clock: VirtualClock) {}

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

  forget(): void {
    this.history = [];
    this.forgottenBefore = this.revision;
  }

  list(
    prefix: string,
    listener: KeySpaceListener<{ items: StoredItem[]; revision: number }>,
  ): void {
    this.answer(listener, () => {
      const items = [...this.items.values()].filter((item) => item.key.startsWith(prefix));
      return E.right({ items, revision: this.revision });
    });
  }

  watch(
    _prefix: string,
    after: number,
    wait: number,
    listener: KeySpaceListener<{ changes: ItemChange[]; revision: number }>,
  ): void {
    const until = this.clock.now + wait;
    const look = (): void => {
      if (this.cutWatches) {
        listener(E.left({ tag: 'Refused', detail: 'status 503' }));
        return;
      }
      if (after < this.forgottenBefore) {
        listener(E.left({ tag: 'HistoryLost' }));
        return;
      }
      const changes = this.history.filter(
        (change) => (change.tag === 'Put' ? change.item.revision : change.revision) > after,
      );
      if (!this.silentWatches && (changes.length > 0 || this.clock.now >= until)) {
        listener(E.right({ changes, revision: this.revision }));
      } else if (this.clock.now >= until + GIVE_UP_MILLISECONDS) {
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' }));
      } else {
        this.clock.schedule(20, look);
      }
    };
    this.answer(listener, () => undefined, look);
  }

  listStale(
    prefix: string,
    listener: KeySpaceListener<{ items: StoredItem[]; revision: number }>,
  ): void {
    if (this.frozenList === undefined) {
      this.list(prefix, listener);
    } else {
      const frozen = this.frozenList;
      this.answer(listener, () => E.right(frozen));
    }
  }

  private answer<Result>(
    listener: KeySpaceListener<Result>,
    result: () => E.Either<never, Result> | undefined,
    otherwise: () => void = () => undefined,
  ): void {
    this.callCount += 1;
    if (this.mode === 'unreachable') {
      this.clock.schedule(GIVE_UP_MILLISECONDS, () =>
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
      );
      return;
    }
    this.clock.schedule(ANSWER_MILLISECONDS, () => {
      if (this.mode === 'refusing') {
        listener(E.left({ tag: 'Refused', detail: 'status 429' }));
        return;
      }
      const ready = result();
      if (ready === undefined) {
        otherwise();
      } else {
        listener(ready);
      }
    });
  }
}
