/**
 * Catches up with changes of the store that peers already have. A gateway that follows the store
 * checks that its watch is not stalled; any other gateway fetches the changes from a peer. One
 * fetch runs at a time, with a short deadline after which the next one may start.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { PeerStoreState } from './load-gossip.js';

/** The part of the mirror that catch-up uses. */
export interface CatchUpMirror {
  /** Whether the mirror follows the store and the store answers it. */
  readonly isFollowingReachableStore: boolean;
  /** Revision up to which the mirror has all changes. */
  readonly completeRevision: number;
  noteStoreRevision(revision: number): void;
}

export interface StoreCatchUpOptions {
  readonly runtime: Runtime;
  readonly mirror: CatchUpMirror;
  /** Returns other hosts that are likely to have a change that one of them has. */
  readonly otherSources: () => readonly string[];
  /** Whether a host is in the own region; such hosts are asked first. @default all are */
  readonly isInOwnRegion?: (host: string) => boolean;
  /**
   * Fetches the missing changes from a host into the mirror; `done` is called at the end, also
   * after a failure.
   */
  readonly fetch: (host: string, done: () => void) => void;
}

/** Pause after a fetch that brought nothing, in milliseconds. */
const EMPTY_FETCH_PAUSE_MILLISECONDS = 300;
/**
 * Time after which a fetch no longer holds back the next one, in milliseconds: the peer may be dead
 * or stalled.
 */
const HEDGE_DELAY_MILLISECONDS = 150;
/**
 * Maximum delay before a fetch, in milliseconds. It spreads the load, since all gateways of a zone
 * learn of a change at about the same time.
 */
const FETCH_JITTER_MILLISECONDS = 120;

/** Tracks how far this gateway lags behind its peers, and fetches the changes that it lacks. */
export class StoreCatchUp {
  private fetching = false;
  /**
   * Whether the last fetch brought nothing; the next one asks only the peer that announced the
   * change.
   */
  private wasEmpty = false;
  /** Newest revision announced by a peer. */
  private newestPeerRevision = 0;
  /** Local time since which a peer has been ahead, in milliseconds; undefined while none is. */
  private behindSinceTime: number | undefined;

  constructor(private readonly options: StoreCatchUpOptions) {}

  /** Time for which peers have been ahead of this gateway, in milliseconds; 0 while none is. */
  get lagMilliseconds(): number {
    const { mirror, runtime } = this.options;
    if (mirror.isFollowingReachableStore) {
      // The store's own answers take precedence over the claims of peers.
      this.newestPeerRevision = mirror.completeRevision;
    }
    if (mirror.completeRevision >= this.newestPeerRevision) {
      this.behindSinceTime = undefined;
    }
    return this.behindSinceTime === undefined ? 0 : runtime.now() - this.behindSinceTime;
  }

  /** Records that the store has reached a revision. */
  noteStoreRevision(revision: number): void {
    if (revision > this.options.mirror.completeRevision) {
      this.newestPeerRevision = Math.max(this.newestPeerRevision, revision);
      this.behindSinceTime ??= this.options.runtime.now();
    }
  }

  /** Handles what a peer knows of the store. */
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

  /** Returns the sources of the own region if there are any, else all. */
  private nearSources(sources: readonly string[]): string[] {
    const { isInOwnRegion = () => true } = this.options;
    const distinct = [...new Set(sources)];
    const near = distinct.filter(isInOwnRegion);
    return near.length > 0 ? near : distinct;
  }

  private fetchFrom(from: string): void {
    const { runtime, mirror, otherSources, fetch } = this.options;
    const before = mirror.completeRevision;
    const sources = this.wasEmpty ? [from] : this.nearSources([from, ...otherSources()]);
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
