/**
 * A copy of the items under one prefix of a store. While it follows the store it is kept up to date by
 * a watch. The watch may be silent, cut or forgotten, so it proves nothing: a lost history leads to a
 * new list, a cheap list that may be old is read now and then, and word that the store is at a newer
 * revision shows that this watch hangs. A store out of reach gets short calls only, never a long wait.
 * While the mirror rests, peers bring the changes, and the cheap list, read seldom, finds what they
 * have missed.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { FreshnessTimings } from './freshness-timings.js';
import { KeySpaceCopy } from './key-space-copy.js';
import type { KeySpaceChanges } from './key-space-copy.js';
import type { ItemList, KeySpaceError, KeySpacePort, StoredItem } from './key-space-port.js';
import { ListAttempts } from './list-attempts.js';
import type { StoreCall } from './list-attempts.js';

/** What a mirror is made with. */
export interface KeySpaceMirrorOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly prefix: string;
  readonly timings: FreshnessTimings;
  /** Pause between cheap lists, read since a watch can be silent, in milliseconds. */
  readonly verifyIntervalMilliseconds: number;
  /** Longest wait of one watch call, in milliseconds. */
  readonly watchTimeoutMilliseconds: number;
  /** Whether others say by `heedRevision` when the store answers them. */
  readonly awaitsProof: boolean;
  /** An item is new or changed. */
  readonly onPut: (item: StoredItem) => void;
  /** An item is gone. */
  readonly onRemoved: (key: string) => void;
  /** The store was reached again, or is out of reach. */
  readonly onReachable: (reachable: boolean) => void;
  /** The store answered a whole list that was asked for at a local time: it was at that revision. */
  readonly onListed?: (revision: number, sentAt: number) => void;
}

/** Pause after changes before the next watch, so that changes in quick succession come in one call. */
const BATCH_DELAY_MILLISECONDS = 100;
/** Cheap lists of a resting mirror are that many times as far apart. */
const NON_FOLLOWING_VERIFY_FACTOR = 5;

/** See the head of this file. */
export class KeySpaceMirror {
  private readonly copy: KeySpaceCopy;
  private readonly lists: ListAttempts;
  /** Rises with each list and each rest: what an earlier watch brings later is not followed up. */
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

  /** Begins to follow the store: with a list, or after the last change that is known for sure. */
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

  /** Leaves the store to others; their word is taken by `take`. */
  stopFollowing(): void {
    this.following = false;
    this.watching = false;
    this.generation += 1;
    this.lists.stop();
    this.scheduleVerify();
  }

  /** Whether it follows the store and hears from it. */
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

  /** An item as last seen. */
  get(key: string): StoredItem | undefined {
    return this.copy.get(key);
  }

  /** All items as last seen. */
  list(): StoredItem[] {
    return this.copy.list();
  }

  /** Revision up to which nothing is missing here; 0 before the first list. */
  get completeRevision(): number {
    return this.copy.completeRevision;
  }

  /** What a peer that is complete up to a revision lacks. */
  changesSince(revision: number): KeySpaceChanges {
    return this.copy.changesSince(revision);
  }

  /** Takes what a peer has. */
  applyChanges(changes: KeySpaceChanges): void {
    this.copy.applyChanges(changes);
  }

  /** Takes items that the store has told this process outside of the mirror's own calls. */
  applyRead({ items }: ItemList): void {
    items.forEach((item) => this.copy.putIfNewer(item));
  }

  /** Takes word that the store is at a revision: if the watch does not bring it, the watch hangs. */
  noteStoreRevision(revision: number): void {
    this.lists.noteProof();
    if (this.watching) {
      this.relistIfBehind(revision, () => this.watching);
    }
  }

  /** The same, where the store told this process itself: also one that rests lists what it lacks. */
  noteOwnReadRevision(revision: number): void {
    this.noteStoreRevision(revision);
    if (!this.following) {
      this.relistIfBehind(revision, () => !this.following);
    }
  }

  /** Whether a whole list was ever taken. */
  get hasListed(): boolean {
    return this.completeRevision > 0;
  }

  /** Takes an item that another source has, such as a change of our own. */
  putIfNewer(item: StoredItem): void {
    this.copy.putIfNewer(item);
  }

  /** Stops following. */
  close(): void {
    this.closed = true;
    this.lists.stop();
    this.cancelVerify?.();
  }

  /** Lists anew if the copy still lacks a revision after the time that a watch or peers have for it. */
  private relistIfBehind(revision: number, isStillRelevant: () => boolean): void {
    if (revision <= this.completeRevision || this.isLagCheckPending) {
      return;
    }
    this.isLagCheckPending = true;
    const { runtime, timings } = this.options;
    runtime.setTimer(timings.watchDeadlineMilliseconds, () => {
      this.isLagCheckPending = false;
      if (revision > this.completeRevision && isStillRelevant() && !this.closed) {
        const { following, completeRevision: known } = this;
        const fields = { event: 'mirror.behind', known, elsewhere: revision, following };
        runtime.log('warn', 'changes of the store are missing here', fields);
        this.readList();
      }
    });
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
          // The watch may hang as well: what it would bring is asked for.
          this.noteFailure({ kind: 'stale list', sentAt }, result.left);
          this.readList();
        }
        return;
      }
      const { items, revision } = result.right;
      this.copy.merge(items, revision);
      if (!this.following) {
        // Heals what a peer told wrongly: what came after this list is asked for once more.
        this.copy.lowerCompleteRevision(revision);
      }
    });
  }

  /** Logs each failed call with the time for which it was owed: a hanging one is told by it. */
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
    runtime.log('warn', 'store out of reach', { event: 'store.lost', ...fields });
    this.options.onReachable(false);
  }

  private noteReached(): void {
    this.failures = 0;
    const answerAge = Math.round(this.answerAgeMilliseconds ?? -1);
    this.answeredAt = this.options.runtime.now();
    if (this.reachable !== true) {
      this.reachable = true;
      const fields = { event: 'store.reached', answerAge, revision: this.completeRevision };
      this.options.runtime.log('info', 'store reached', fields);
      this.options.onReachable(true);
    }
  }
}
