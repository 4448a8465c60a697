/**
 * Decides whether this gateway follows the store itself or receives the changes from its peers. The
 * first-ranked gateways of each zone follow the store. There is no election; a gateway that wrongly
 * considers itself among the first only costs a few more calls. When the store seems silent,
 * because none of the followers is heard from, any gateway that notices follows the store itself.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';

/** The part of the mirror that is controlled here. */
export interface FollowableMirror {
  readonly isFollowing: boolean;
  startFollowing(): void;
  stopFollowing(): void;
}

export interface StoreFollowersOptions {
  readonly runtime: Runtime;
  /** Returns the number of gateways of this zone that rank before this one. */
  readonly rank: () => number;
  readonly mirror: FollowableMirror;
  /** Time since the newest proof that the store answered some gateway, in milliseconds. */
  readonly proofAgeMilliseconds: () => number;
  /** Time for which peers have been ahead of this gateway, in milliseconds. */
  readonly lagMilliseconds: () => number;
  /**
   * Delay after the start during which other gateways may follow the store first, in milliseconds.
   */
  readonly startDelayMilliseconds: number;
}

/** Inputs of the decision whether to follow the store. */
export interface FollowDecisionInput {
  /** Number of gateways of this zone that rank before this one. */
  readonly rank: number;
  readonly isFollowing: boolean;
  /** Time since this gateway last started or stopped following, in milliseconds. */
  readonly roleAgeMilliseconds: number;
  /** Time since the store was last known to answer a gateway, in milliseconds. */
  readonly silenceMilliseconds: number;
  /** Silence after which a gateway starts to follow the store, in milliseconds. */
  readonly silenceLimitMilliseconds: number;
  /** Time for which peers have been ahead of this gateway, in milliseconds. */
  readonly lagMilliseconds: number;
}

/**
 * Gateways of each zone that follow the store. Leaves a margin for followers that are dead or
 * refused by the store.
 */
export const FOLLOWERS_PER_ZONE = 3;
/**
 * Ranks beyond `FOLLOWERS_PER_ZONE` at which a follower goes on following, since a gateway does not
 * always hear from all its peers.
 */
const RANK_SLACK = 1;
/** Minimum time for which a gateway follows the store once it has started, in milliseconds. */
const MINIMUM_FOLLOWING_MILLISECONDS = 4_000;
/** Time after the start in which peers are discovered and no follower stops, in milliseconds. */
const DISCOVERY_MILLISECONDS = 2_000;
/**
 * Silence of the store beyond which a surplus follower goes on following, in milliseconds; exceeds
 * the usual age of a proof, which is at most 0.6 s.
 */
const FOLLOWER_SILENCE_LIMIT_MILLISECONDS = 900;
/**
 * Minimum silence after which a gateway that does not follow the store starts to, in milliseconds.
 * Allows for proofs that come from the next gateway in rank.
 */
const NON_FOLLOWER_SILENCE_LIMIT_MILLISECONDS = 1_400;
/**
 * Random addition to the silence limit, in milliseconds, so that not all gateways start following
 * at once.
 */
const SILENCE_JITTER_MILLISECONDS = 600;
/**
 * Time for which peers may be ahead without delivering the change, in milliseconds; after it, the
 * gateway asks the store itself.
 */
const MAXIMUM_LAG_MILLISECONDS = 900;
const DECISION_INTERVAL_MILLISECONDS = 200;

/** Decides whether to follow the store. */
export function shouldFollow(input: FollowDecisionInput): boolean {
  const { rank, isFollowing, roleAgeMilliseconds, silenceMilliseconds } = input;
  if (isFollowing) {
    const isRankedFirst = rank < FOLLOWERS_PER_ZONE + RANK_SLACK;
    const isStoreSilent = silenceMilliseconds > FOLLOWER_SILENCE_LIMIT_MILLISECONDS;
    return isRankedFirst || isStoreSilent || roleAgeMilliseconds < MINIMUM_FOLLOWING_MILLISECONDS;
  }
  const lags = input.lagMilliseconds > MAXIMUM_LAG_MILLISECONDS;
  return rank < FOLLOWERS_PER_ZONE || silenceMilliseconds > input.silenceLimitMilliseconds || lags;
}

/** Periodically decides whether this gateway follows the store, and tells its mirror. */
export class StoreFollowers {
  private readonly startedAt: number;
  private readonly jitterMilliseconds: number;
  private readonly cancelTimer: CancelTimer;
  private changedAt: number;

  constructor(private readonly options: StoreFollowersOptions) {
    const { runtime, mirror, startDelayMilliseconds } = options;
    this.startedAt = runtime.now();
    this.changedAt = this.startedAt;
    this.jitterMilliseconds = SILENCE_JITTER_MILLISECONDS * runtime.random.uniform();
    this.cancelTimer = setRepeatingTimer(runtime, DECISION_INTERVAL_MILLISECONDS, () =>
      this.decide(),
    );
    if (startDelayMilliseconds <= 0) {
      mirror.startFollowing();
    }
  }

  /**
   * Whether some gateway had an answer of the store recently, so that changes can be expected to
   * arrive.
   */
  get hasRecentProof(): boolean {
    return this.options.proofAgeMilliseconds() <= NON_FOLLOWER_SILENCE_LIMIT_MILLISECONDS;
  }

  /** Stops deciding. */
  close(): void {
    this.cancelTimer();
  }

  private get silenceMilliseconds(): number {
    const { runtime, proofAgeMilliseconds } = this.options;
    return Math.min(proofAgeMilliseconds(), runtime.now() - this.startedAt);
  }

  private decide(): void {
    const { runtime, mirror, startDelayMilliseconds } = this.options;
    const now = runtime.now();
    const uptimeMilliseconds = now - this.startedAt;
    const isDiscovering =
      uptimeMilliseconds < Math.max(DISCOVERY_MILLISECONDS, startDelayMilliseconds);
    if (isDiscovering && (mirror.isFollowing || uptimeMilliseconds < startDelayMilliseconds)) {
      return;
    }
    const rank = this.options.rank();
    const follows = shouldFollow({
      rank,
      isFollowing: mirror.isFollowing,
      roleAgeMilliseconds: now - this.changedAt,
      silenceMilliseconds: this.silenceMilliseconds,
      silenceLimitMilliseconds: NON_FOLLOWER_SILENCE_LIMIT_MILLISECONDS + this.jitterMilliseconds,
      lagMilliseconds: this.options.lagMilliseconds(),
    });
    if (follows === mirror.isFollowing) {
      return;
    }
    this.changedAt = now;
    const behind = Math.round(this.options.lagMilliseconds());
    const inputs = { rank, behind, silence: Math.round(this.silenceMilliseconds) };
    if (follows) {
      runtime.log('info', 'following the store', { event: 'store.follow', ...inputs });
      mirror.startFollowing();
    } else {
      runtime.log('info', 'receiving store changes from peers', { event: 'store.rest', ...inputs });
      mirror.stopFollowing();
    }
  }
}
