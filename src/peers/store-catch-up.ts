/**
 * Takes what peers know of the store and this gateway doesn't: who follows the store checks that its
 * watch does not hang, all others fetch the changes from a peer that has them. One fetch is awaited at a
 * time, and not for long.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { PeerStoreState } from './load-gossip.js';

/** What of the mirror is read and told from here. */
export interface CatchUpMirror {
  /** Whether it follows the store and hears from it. */
  readonly isFollowingReachableStore: boolean;
  /** Revision up to which nothing is missing here. */
  readonly completeRevision: number;
  noteStoreRevision(revision: number): void;
}

/** What the catching up is made with. */
export interface StoreCatchUpOptions {
  readonly runtime: Runtime;
  readonly mirror: CatchUpMirror;
  /** Other hosts that are likely to have what one of them has. */
  readonly otherSources: () => readonly string[];
  /** Gives the mirror what a host has and it lacks; calls back when that is over, well or not. */
  readonly fetch: (host: string, done: () => void) => void;
}

/** Pause after a peer had nothing new although it had said so, in milliseconds. */
const EMPTY_FETCH_PAUSE_MILLISECONDS = 300;
/** Time after which a fetch no longer keeps others back: the peer asked may be gone or stand still. */
const HEDGE_DELAY_MILLISECONDS = 150;
/** Longest pause before a fetch: all of a zone hear of a change in the same moment, in milliseconds. */
const FETCH_JITTER_MILLISECONDS = 120;

/** See the head of this file. */
export class StoreCatchUp {
  private fetching = false;
  /** Whether the last fetch brought nothing: the next asks just who told of the change. */
  private wasEmpty = false;
  /** Newest revision that a peer told. */
  private newestPeerRevision = 0;
  /** Local time since which a peer has known more, in milliseconds; undefined while none does. */
  private behindSinceTime: number | undefined;

  constructor(private readonly options: StoreCatchUpOptions) {}

  /** Time for which peers have known more than came here, in milliseconds. */
  get lagMilliseconds(): number {
    const { mirror, runtime } = this.options;
    if (mirror.isFollowingReachableStore) {
      // The store's own word goes before that of peers.
      this.newestPeerRevision = mirror.completeRevision;
    }
    if (mirror.completeRevision >= this.newestPeerRevision) {
      this.behindSinceTime = undefined;
    }
    return this.behindSinceTime === undefined ? 0 : runtime.now() - this.behindSinceTime;
  }

  /** Takes word that the store is at a revision, whoever has what it holds. */
  noteStoreRevision(revision: number): void {
    if (revision > this.options.mirror.completeRevision) {
      this.newestPeerRevision = Math.max(this.newestPeerRevision, revision);
      this.behindSinceTime ??= this.options.runtime.now();
    }
  }

  /** Heeds what a peer told. */
  handlePeerState({ from, revision }: Pick<PeerStoreState, 'from' | 'revision'>): void {
    const { mirror } = this.options;
    this.noteStoreRevision(revision);
    if (mirror.isFollowingReachableStore) {
      mirror.noteStoreRevision(revision);
    } else if (revision > mirror.completeRevision && !this.fetching) {
      this.fetching = true;
      const { runtime } = this.options;
      runtime.setTimer(FETCH_JITTER_MILLISECONDS * runtime.random.uniform(), () =>
        this.fetchFrom(from),
      );
    }
  }

  private fetchFrom(from: string): void {
    const { runtime, mirror, otherSources, fetch } = this.options;
    const before = mirror.completeRevision;
    const sources = this.wasEmpty ? [from] : [...new Set([from, ...otherSources()])];
    let isAwaited = true;
    const end = (wasEmpty: boolean, pause: number): void => {
      if (!isAwaited) {
        return;
      }
      isAwaited = false;
      this.wasEmpty = wasEmpty;
      runtime.setTimer(pause, () => {
        this.fetching = false;
      });
    };
    runtime.setTimer(HEDGE_DELAY_MILLISECONDS, () => end(true, 0));
    fetch(runtime.random.pick(sources), () => {
      const wasEmpty = mirror.completeRevision <= before;
      end(wasEmpty, wasEmpty ? EMPTY_FETCH_PAUSE_MILLISECONDS : 0);
    });
  }
}
