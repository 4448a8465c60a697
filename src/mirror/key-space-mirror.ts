/**
 * A copy of the items under one prefix of a store. While it follows the store it is kept up to date by
 * a watch. The watch may be silent, cut or forgotten: waits are bounded, a lost history leads to a new
 * list, a cheap list that may be old is read now and then, and a peer that knows a newer change shows
 * that this watch hangs. While it rests, peers bring the changes, and the cheap list, read seldom,
 * finds what they have missed.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { KeySpaceCopy } from './key-space-copy.js';
import type { KeySpaceChanges } from './key-space-copy.js';
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

/** A call to the store that waits for its answer. */
interface StoreCall {
  readonly kind: 'list' | 'watch';
  /** Local time at which it was sent, in milliseconds. */
  readonly sentAt: number;
}

const FIRST_PAUSE_MILLISECONDS = 60;
const LONGEST_PAUSE_MILLISECONDS = 800;
/** Pause after changes before the next watch, so that changes in quick succession come in one call. */
const GATHER_MILLISECONDS = 100;
/** Time that a watch has to bring a change that a peer knows already, in milliseconds. */
const BEHIND_MILLISECONDS = 400;
/** Cheap lists of a resting mirror are that many times as far apart. */
const RESTING_VERIFY_FACTOR = 5;

/** See the head of this file. */
export class KeySpaceMirror {
  private readonly copy: KeySpaceCopy;
  /** Rises with each list and each rest: what an earlier call brings later is not followed up. */
  private generation = 0;
  private following = false;
  private watching = false;
  private checkingBehind = false;
  private failures = 0;
  private reachable: boolean | undefined;
  /** Local time of the store's last answer, in milliseconds; undefined before the first. */
  private answeredAt: number | undefined;
  private closed = false;
  private cancelVerify: CancelTimer | undefined;

  constructor(private readonly options: KeySpaceMirrorOptions) {
    this.copy = new KeySpaceCopy(options);
  }

  /** Begins to follow the store: with a list, or after the last change that is known for sure. */
  follow(): void {
    if (this.following) {
      return;
    }
    this.following = true;
    this.verifyLater();
    if (this.listed) {
      this.watch();
    } else {
      this.readList();
    }
  }

  /** Leaves the store to others; their word is taken by `take`. */
  rest(): void {
    this.following = false;
    this.watching = false;
    this.generation += 1;
    this.verifyLater();
  }

  /** Whether it follows the store and hears from it. */
  get hearsStore(): boolean {
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
  take(changes: KeySpaceChanges): void {
    this.copy.take(changes);
  }

  /** Takes a peer's word for how far it knows all: if the watch does not bring it, the watch hangs. */
  heedRevision(revision: number): void {
    if (revision <= this.completeRevision || this.checkingBehind || !this.watching) {
      return;
    }
    this.checkingBehind = true;
    const { runtime } = this.options;
    runtime.setTimer(BEHIND_MILLISECONDS, () => {
      this.checkingBehind = false;
      if (revision > this.completeRevision && this.watching && !this.closed) {
        const known = this.completeRevision;
        const fields = { event: 'mirror.behind', known, elsewhere: revision };
        runtime.log('warn', 'the watch hangs', fields);
        this.readList();
      }
    });
  }

  /** Whether a whole list was ever taken. */
  get listed(): boolean {
    return this.completeRevision > 0;
  }

  /** Takes an item that another source has, such as a change of our own. */
  offer(item: StoredItem): void {
    this.copy.offer(item);
  }

  /** Stops following. */
  close(): void {
    this.closed = true;
    this.cancelVerify?.();
  }

  private readList(): void {
    this.generation += 1;
    this.watching = false;
    const { generation } = this;
    const sentAt = this.options.runtime.now();
    this.options.port.list(this.options.prefix, (result) => {
      if (this.isOver(generation)) {
        return;
      }
      if (!isRight(result)) {
        this.retry({ kind: 'list', sentAt }, result.left, () => this.readList());
        return;
      }
      this.noteReached();
      const { items, revision } = result.right;
      this.copy.replaceAll(items, Math.max(1, revision));
      this.watch();
    });
  }

  private watch(): void {
    const { port, prefix, watchMilliseconds, runtime } = this.options;
    const { generation } = this;
    this.watching = true;
    const sentAt = runtime.now();
    port.watch(prefix, this.completeRevision, watchMilliseconds, (result) => {
      if (this.isOver(generation)) {
        return;
      }
      this.watching = false;
      if (!isRight(result)) {
        if (result.left.tag === 'HistoryLost') {
          this.readList();
        } else {
          this.retry({ kind: 'watch', sentAt }, result.left, () => this.watch());
        }
        return;
      }
      this.noteReached();
      const { changes, revision } = result.right;
      for (const change of changes) {
        if (change.tag === 'Put') {
          this.copy.offer(change.item);
        } else {
          this.copy.drop(change.key, change.revision);
        }
      }
      this.copy.completeTo(revision);
      if (changes.length === 0) {
        this.watch();
      } else {
        runtime.setTimer(GATHER_MILLISECONDS, () =>
          this.unlessOver(generation, () => this.watch()),
        );
      }
    });
  }

  private isOver(generation: number): boolean {
    return this.closed || generation !== this.generation;
  }

  private unlessOver(generation: number, action: () => void): void {
    if (!this.isOver(generation)) {
      action();
    }
  }

  private verifyLater(): void {
    const { runtime, verifyMilliseconds } = this.options;
    this.cancelVerify?.();
    const period = verifyMilliseconds * (this.following ? 1 : RESTING_VERIFY_FACTOR);
    const pause = period * (0.8 + 0.4 * runtime.random.uniform());
    this.cancelVerify = runtime.setTimer(pause, () => {
      this.verifyLater();
      this.verify();
    });
  }

  private verify(): void {
    if (this.following && this.reachable !== true) {
      return;
    }
    this.options.port.listStale(this.options.prefix, (result) => {
      if (!isRight(result) || this.closed) {
        // The next list comes soon; a store out of reach is logged by those that follow it.
        return;
      }
      const { items, revision } = result.right;
      this.copy.merge(items, revision);
      if (!this.following) {
        // Heals what a peer told wrongly: what came after this list is asked for once more.
        this.copy.trustOnlyTo(revision);
      }
    });
  }

  private retry(call: StoreCall, error: KeySpaceError, again: () => void): void {
    this.failures += 1;
    this.logFailure(call, error);
    if (this.reachable !== false && error.tag !== 'HistoryLost') {
      this.reachable = false;
      this.options.onReachable(false);
    }
    const longest = Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      FIRST_PAUSE_MILLISECONDS * 2 ** (this.failures - 1),
    );
    const pause = longest * (0.5 + 0.5 * this.options.runtime.random.uniform());
    const { generation } = this;
    this.options.runtime.setTimer(pause, () => this.unlessOver(generation, again));
  }

  /** Logs each failed call with the time for which it was owed: a hanging one is told by it. */
  private logFailure(call: StoreCall, error: KeySpaceError): void {
    const { runtime } = this.options;
    const isNews = this.reachable !== false && error.tag !== 'HistoryLost';
    runtime.log(isNews ? 'warn' : 'info', isNews ? 'store out of reach' : 'store call failed', {
      event: isNews ? 'store.lost' : 'store.failed',
      call: call.kind,
      owed: Math.round(runtime.now() - call.sentAt),
      answerAge: Math.round(this.answerAgeMilliseconds ?? -1),
      tag: error.tag,
      detail: error.tag === 'HistoryLost' ? '' : error.detail,
      failures: this.failures,
    });
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
