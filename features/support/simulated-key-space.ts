/**
 * A store of keys in virtual time with faults on demand: unreachable, refusing, silent, compacted
 * or stale.
 */
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
const TIMEOUT_MILLISECONDS = 1_000;
/** Time after which a caller gives up a short call, as the real client does, in milliseconds. */
const SHORT_CALL_TIMEOUT_MILLISECONDS = 1_500;

/** Simulated store with switchable faults. */
export class SimulatedKeySpace implements KeySpacePort {
  mode: 'well' | 'unreachable' | 'refusing' = 'well';
  hangWatches = false;
  /** While true, waiting watches end with a refusal. */
  refuseWatches = false;
  /** Answer to stale lists while they are behind; undefined while they are current. */
  staleList: { items: StoredItem[]; revision: number } | undefined;
  callCount = 0;
  /** Number of lists of a single key or prefix. */
  keyReadCount = 0;
  /** While true, calls are neither answered nor refused. */
  private isSilent = false;
  /** Number of times that all open connections were lost; calls sent before are never answered. */
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

  compact(): void {
    this.store.compact();
  }

  /**
   * Stops answering; calls that are waiting are never answered, not even after `resumeAnswering`.
   */
  stopAnswering(): void {
    this.isSilent = true;
    this.loseConnections();
  }

  /** Answers calls sent from now on. */
  resumeAnswering(): void {
    this.isSilent = false;
  }

  /** Makes all open connections stop responding for good; new ones work. */
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
    const poll = (): void => {
      if (connections !== this.connections) {
        this.timeOutAt(until + TIMEOUT_MILLISECONDS, listener);
        return;
      }
      if (this.refuseWatches) {
        listener(E.left({ tag: 'Refused', detail: 'status 503' }));
        return;
      }
      const changes = this.store.changesAfter(after);
      if (changes === undefined) {
        listener(E.left({ tag: 'HistoryLost' }));
        return;
      }
      if (!this.hangWatches && (changes.length > 0 || this.clock.now >= until)) {
        listener(E.right({ changes, revision: this.revision }));
      } else if (this.clock.now >= until + TIMEOUT_MILLISECONDS) {
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' }));
      } else {
        this.clock.schedule(20, poll);
      }
    };
    this.answer(listener, () => undefined, poll, wait + TIMEOUT_MILLISECONDS);
  }

  listStale(prefix: string, listener: KeySpaceListener<ItemList>): void {
    if (this.staleList === undefined) {
      this.list(prefix, listener);
    } else {
      const staleList = this.staleList;
      this.answer(listener, () => E.right(staleList));
    }
  }

  private answer<Result>(
    listener: KeySpaceListener<Result>,
    result: () => E.Either<never, Result> | undefined,
    ifNotReady: () => void = () => undefined,
    deadline = SHORT_CALL_TIMEOUT_MILLISECONDS,
  ): void {
    this.callCount += 1;
    const { connections } = this;
    const sentAt = this.clock.now;
    if (this.isSilent) {
      this.timeOutAt(sentAt + deadline, listener);
      return;
    }
    if (this.mode === 'unreachable') {
      this.clock.schedule(TIMEOUT_MILLISECONDS, () =>
        listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
      );
      return;
    }
    this.clock.schedule(ANSWER_MILLISECONDS, () => {
      if (connections !== this.connections) {
        this.timeOutAt(sentAt + deadline, listener);
        return;
      }
      if (this.mode === 'refusing') {
        listener(E.left({ tag: 'Refused', detail: 'status 429' }));
        return;
      }
      const ready = result();
      if (ready === undefined) {
        ifNotReady();
      } else {
        listener(ready);
      }
    });
  }

  private timeOutAt<Result>(time: number, listener: KeySpaceListener<Result>): void {
    this.clock.schedule(Math.max(0, time - this.clock.now), () =>
      listener(E.left({ tag: 'Unreachable', detail: 'no answer in time' })),
    );
  }
}
