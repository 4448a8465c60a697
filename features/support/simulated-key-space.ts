/** A store of keys in virtual time: out of reach, refusing, silent, forgetful or behind as asked. */
import * as E from 'fp-ts/lib/Either.js';
import { HistoryStore } from '../../src/histories/history-store.js';
import type {
  ChangeList,
  ItemList,
  KeySpaceListener,
  KeySpacePort,
  StoredItem,
} from '../../src/mirror/key-space-port.js';
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';

const ANSWER_MILLISECONDS = 4;
const GIVE_UP_MILLISECONDS = 1_000;
/** Time after which a caller gives up a short call that is owed an answer, as the real client does. */
const SHORT_CALL_MILLISECONDS = 1_500;

/** A store in virtual time. */
export class SimulatedKeySpace implements KeySpacePort {
  mode: 'well' | 'unreachable' | 'refusing' = 'well';
  silentWatches = false;
  /** While true, watches that wait end with a refusal. */
  cutWatches = false;
  /** What stale lists answer while they are behind; undefined when they are not. */
  frozenList: { items: StoredItem[]; revision: number } | undefined;
  callCount = 0;
  /** Lists of less than all keys. */
  keyReadCount = 0;
  /** While true, calls are neither answered nor refused. */
  private silent = false;
  /** Rises when open connections go silent for good: calls sent before are never answered. */
  private connections = 0;
  private readonly store: HistoryStore;

  constructor(private readonly clock: VirtualClock) {
    this.store = new HistoryStore(clock);
  }

  get items(): ReadonlyMap<string, StoredItem> {
    return this.store.items;
  }

  get revision(): number {
    return this.store.revision;
  }

  put(key: string, value: string): void {
    this.store.put(key, value);
  }

  remove(key: string): void {
    this.store.remove(key);
  }

  forget(): void {
    this.store.forget();
  }

  /** Says nothing from now on; what it owes is never answered, not even after its return. */
  fallSilent(): void {
    this.silent = true;
    this.loseConnections();
  }

  /** Answers again what is sent from now on. */
  speakAgain(): void {
    this.silent = false;
  }

  /** All open connections go silent for good, while new ones work. */
  loseConnections(): void {
    this.connections += 1;
  }

  list(prefix: string, listener: KeySpaceListener<ItemList>): void {
    this.keyReadCount += prefix === '' ? 0 : 1;
    this.answer(listener, () => E.right(this.store.listOf(prefix)));
  }

  watch(
    _prefix: string,
    after: number,
    wait: number,
    listener: KeySpaceListener<ChangeList>,
  ): void {
    const until = this.clock.now + wait;
    const { connections } = this;
    const look = (): void => {
      if (connections !== this.connections) {
        this.giveUpAt(until + GIVE_UP_MILLISECONDS, listener);
        return;
      }
      if (this.cutWatches) {
        listener(E.left({ tag: 'Refused', detail: 'status 503' }));
        return;
      }
      const changes = this.store.changesAfter(after);
      if (changes === undefined) {
        listener(E.left({ tag: 'HistoryLost' }));
        return;
      }
      if (!this.silentWatches && (changes.length > 0 || this.clock.now >= until)) {
        listener(E.right({ changes, revision: this.revision }));
      } else if (this.clock.now >= until + GIVE_UP_MILLISECONDS) {
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' }));
      } else {
        this.clock.schedule(20, look);
      }
    };
    this.answer(listener, () => undefined, look, wait + GIVE_UP_MILLISECONDS);
  }

  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void {
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
    deadline = SHORT_CALL_MILLISECONDS,
  ): void {
    this.callCount += 1;
    const { connections } = this;
    const sentAt = this.clock.now;
    if (this.silent) {
      this.giveUpAt(sentAt + deadline, listener);
      return;
    }
    if (this.mode === 'unreachable') {
      this.clock.schedule(GIVE_UP_MILLISECONDS, () =>
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
      );
      return;
    }
    this.clock.schedule(ANSWER_MILLISECONDS, () => {
      if (connections !== this.connections) {
        this.giveUpAt(sentAt + deadline, listener);
        return;
      }
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

  private giveUpAt<Result>(time: number, listener: KeySpaceListener<Result>): void {
    this.clock.schedule(Math.max(0, time - this.clock.now), () =>
      listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
    );
  }
}
