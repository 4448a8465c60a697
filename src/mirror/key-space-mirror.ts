/**
 * Mirrors the items under a prefix of the store. While it follows the store, a watch keeps the copy
 * up to date. A watch proves nothing, since it may be stalled, cut or outdated: if the history is
 * lost, the mirror lists all items again; it periodically reads a stale list, which is cheap; and
 * if the store is known to have a newer revision, the watch counts as stalled. Only short calls are
 * sent to an unreachable store. While the mirror does not follow the store, peers provide
 * the changes, and stale lists, read less often, reveal what the peers missed.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { FreshnessTimings } from './freshness-timings.js';
import { KeySpaceCopy } from './key-space-copy.js';
import type { KeySpaceChanges } from './key-space-copy.js';
import type { ItemList, KeySpaceError, KeySpacePort, StoredItem } from './key-space-port.js';
import { ListAttempts } from './list-attempts.js';
import type { StoreCall } from './list-attempts.js';

export interface KeySpaceMirrorOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly prefix: string;
  readonly timings: FreshnessTimings;
  /** Time between stale lists, which detect a stalled watch, in milliseconds. */
  readonly verifyIntervalMilliseconds: number;
  /** Maximum wait of one watch call, in milliseconds. */
  readonly watchTimeoutMilliseconds: number;
  /** Whether `noteStoreRevision` is called when the store answers another gateway. */
  readonly awaitsProof: boolean;
  /** Called with each new or changed item. */
  readonly onPut: (item: StoredItem) => void;
  /** Called with the key of each removed item and the revision at which it was known to be removed. */
  readonly onRemoved: (key: string, revision: number) => void;
  /** Called when the store becomes reachable or unreachable. */
  readonly onReachable: (reachable: boolean) => void;
  /** Called with the revision of a complete list and the local time at which it was requested. */
  readonly onListed?: (revision: number, sentAt: number) => void;
}

/**
 * Pause after changes before the next watch, in milliseconds, so that one call returns several
 * changes.
 */
const BATCH_DELAY_MILLISECONDS = 100;
/** Factor on the time between stale lists while the mirror does not follow the store. */
const NON_FOLLOWING_VERIFY_FACTOR = 5;

/** Keeps a copy of the store's items up to date. */
export class KeySpaceMirror {
  private readonly copy: KeySpaceCopy;
  private readonly lists: ListAttempts;
  /**
   * Increases with each list and whenever following stops, to ignore the answers to earlier
   * watches.
   */
  private generation = 0;
  private following = false;
  private watching = false;
  private isLagCheckPending = false;
  private failures = 0;
  private reachable: boolean | undefined;
  /** Local time of the store's last answer, in milliseconds; undefined before the first. */
  private answeredAt: number | undefined;
  private closed = false;
  private cancelVerify: CancelTimer | undefined;

  constructor(private readonly options: KeySpaceMirrorOptions) {
    this.copy = new KeySpaceCopy(options);
    const { runtime, port, prefix, awaitsProof, timings } = options;
    const { hedgeDelayMilliseconds } = timings;
    this.lists = new ListAttempts({
      runtime,
      port,
      prefix,
      hedgeDelayMilliseconds,
      awaitsProof,
      onAnswer: (list, sentAt) => this.handleList(list, sentAt),
      onFailure: (call, error) => this.noteFailure(call, error),
    });
  }

  /** Starts to follow the store, with a list or from the last complete revision. */
  startFollowing(): void {
    if (this.following) {
      return;
    }
    this.following = true;
    this.scheduleVerify();
    if (this.hasListed && !this.lists.running) {
      this.watch();
    } else {
      this.readList();
    }
  }

  /** Stops following the store; peers' changes are applied by `applyChanges`. */
  stopFollowing(): void {
    this.following = false;
    this.watching = false;
    this.generation += 1;
    this.lists.stop();
    this.scheduleVerify();
  }

  /** Whether the mirror follows the store and the store answers it. */
  get isFollowingReachableStore(): boolean {
    return this.following && this.reachable === true;
  }

  get isFollowing(): boolean {
    return this.following;
  }

  /** Time since the store's last answer, in milliseconds; undefined before the first. */
  get answerAgeMilliseconds(): number | undefined {
    return this.answeredAt === undefined ? undefined : this.options.runtime.now() - this.answeredAt;
  }

  /** Returns the last known state of an item. */
  get(key: string): StoredItem | undefined {
    return this.copy.get(key);
  }

  /** Returns the last known state of all items. */
  list(): StoredItem[] {
    return this.copy.list();
  }

  /** Revision up to which the mirror has all changes; 0 before the first list. */
  get completeRevision(): number {
    return this.copy.completeRevision;
  }

  /** Returns the changes that a peer lacks which has all changes up to a revision. */
  changesSince(revision: number): KeySpaceChanges {
    return this.copy.changesSince(revision);
  }

  /** Applies the changes of a peer. */
  applyChanges(changes: KeySpaceChanges): void {
    this.copy.applyChanges(changes);
  }

  /** Applies items that this process read from the store by other means. */
  applyRead({ items }: ItemList): void {
    items.forEach((item) => this.copy.putIfNewer(item));
  }

  /**
   * Records that the store has reached a revision, as another gateway reports. A watch that does
   * not deliver it in time counts as stalled.
   */
  noteStoreRevision(revision: number): void {
    this.lists.noteProof();
    if (this.watching) {
      this.relistIfBehind(revision, () => this.watching);
    }
  }

  /**
   * Records that the store answered this process at a revision. Unlike `noteStoreRevision`, it also
   * lists the missing items while the mirror does not follow the store.
   */
  noteOwnReadRevision(revision: number): void {
    this.noteStoreRevision(revision);
    if (!this.following) {
      this.relistIfBehind(revision, () => !this.following);
    }
  }

  /** Lists all items at once if the copy lacks a revision at which the store answered this process. */
  listIfBehind(revision: number): void {
    this.lists.noteProof();
    if (revision > this.completeRevision) {
      this.logBehind(revision);
      this.readList();
    }
  }

  /** Whether the mirror has ever received a complete list. */
  get hasListed(): boolean {
    return this.completeRevision > 0;
  }

  /**
   * Stores an item from another source, such as a change made by this process, unless a newer state
   * is known.
   */
  putIfNewer(item: StoredItem): void {
    this.copy.putIfNewer(item);
  }

  /** Stops all calls and timers. */
  close(): void {
    this.closed = true;
    this.lists.stop();
    this.cancelVerify?.();
  }

  /**
   * Lists all items if the copy still lacks a revision after the time that a watch or peers have to
   * deliver it.
   */
  private relistIfBehind(revision: number, isStillRelevant: () => boolean): void {
    if (revision <= this.completeRevision || this.isLagCheckPending) {
      return;
    }
    this.isLagCheckPending = true;
    const { runtime, timings } = this.options;
    runtime.setTimer(timings.watchDeadlineMilliseconds, () => {
      this.isLagCheckPending = false;
      if (revision > this.completeRevision && isStillRelevant() && !this.closed) {
        this.logBehind(revision);
        this.readList();
      }
    });
  }

  private logBehind(revision: number): void {
    const { following, completeRevision: known } = this;
    const fields = { event: 'mirror.behind', known, elsewhere: revision, following };
    this.options.runtime.log(
      'warn',
      'mirror lacks changes of the store, listing all items',
      fields,
    );
  }

  private readList(): void {
    this.generation += 1;
    this.watching = false;
    this.lists.start();
  }

  private handleList({ items, revision }: ItemList, sentAt: number): void {
    this.noteReached();
    this.copy.replaceAll(items, Math.max(1, revision));
    this.options.onListed?.(revision, sentAt);
    if (this.following) {
      this.watch();
    }
  }

  private watch(): void {
    const { port, prefix, watchTimeoutMilliseconds, runtime } = this.options;
    const { generation } = this;
    this.watching = true;
    const sentAt = runtime.now();
    port.watch(prefix, this.completeRevision, watchTimeoutMilliseconds, (result) => {
      if (this.isSuperseded(generation)) {
        return;
      }
      this.watching = false;
      if (!isRight(result)) {
        if (result.left.tag !== 'HistoryLost') {
          this.noteFailure({ kind: 'watch', sentAt }, result.left);
        }
        this.readList();
        return;
      }
      this.noteReached();
      const { changes, revision } = result.right;
      for (const change of changes) {
        if (change.tag === 'Put') {
          this.copy.putIfNewer(change.item);
        } else {
          this.copy.removeIfNewer(change.key, change.revision);
        }
      }
      this.copy.raiseCompleteRevision(revision);
      if (changes.length === 0) {
        this.watch();
      } else {
        runtime.setTimer(BATCH_DELAY_MILLISECONDS, () =>
          this.unlessSuperseded(generation, () => this.watch()),
        );
      }
    });
  }

  private isSuperseded(generation: number): boolean {
    return this.closed || generation !== this.generation;
  }

  private unlessSuperseded(generation: number, action: () => void): void {
    if (!this.isSuperseded(generation)) {
      action();
    }
  }

  private scheduleVerify(): void {
    const { runtime, verifyIntervalMilliseconds } = this.options;
    this.cancelVerify?.();
    const period = verifyIntervalMilliseconds * (this.following ? 1 : NON_FOLLOWING_VERIFY_FACTOR);
    const pause = period * (0.8 + 0.4 * runtime.random.uniform());
    this.cancelVerify = runtime.setTimer(pause, () => {
      this.scheduleVerify();
      this.verify();
    });
  }

  private verify(): void {
    if (this.lists.running) {
      return;
    }
    const sentAt = this.options.runtime.now();
    const { generation } = this;
    this.options.port.listStale(this.options.prefix, (result) => {
      if (this.closed) {
        return;
      }
      if (!isRight(result)) {
        if (this.following && generation === this.generation) {
          // The watch may be stalled as well, so all items are listed again.
          this.noteFailure({ kind: 'stale list', sentAt }, result.left);
          this.readList();
        }
        return;
      }
      const { items, revision } = result.right;
      this.copy.merge(items, revision);
      if (!this.following) {
        // Corrects a complete revision that a peer overstated: later changes are requested again.
        this.copy.lowerCompleteRevision(revision);
      }
    });
  }

  /** Logs a failed call with the time spent waiting for it, which shows calls that hang. */
  private noteFailure(call: StoreCall, error: KeySpaceError): void {
    const { runtime } = this.options;
    this.failures += 1;
    const fields = {
      call: call.kind,
      owed: Math.round(runtime.now() - call.sentAt),
      answerAge: Math.round(this.answerAgeMilliseconds ?? -1),
      tag: error.tag,
      detail: error.tag === 'HistoryLost' ? '' : error.detail,
      failures: this.failures,
    };
    if (this.reachable === false) {
      runtime.log('info', 'store call failed', { event: 'store.failed', ...fields });
      return;
    }
    this.reachable = false;
    runtime.log('warn', 'store unreachable', { event: 'store.lost', ...fields });
    this.options.onReachable(false);
  }

  private noteReached(): void {
    this.failures = 0;
    const answerAge = Math.round(this.answerAgeMilliseconds ?? -1);
    this.answeredAt = this.options.runtime.now();
    if (this.reachable !== true) {
      this.reachable = true;
      const fields = { event: 'store.reached', answerAge, revision: this.completeRevision };
      this.options.runtime.log('info', 'store reachable', fields);
      this.options.onReachable(true);
    }
  }
}
