/**
 * Decides whether this gateway follows the store itself or leaves that to others and takes the changes
 * from peers. The few gateways of each zone that come first follow it; nobody elects them, and some that
 * wrongly believe themselves among them cost a few calls more. When none of them is heard of, whoever
 * notices follows the store itself.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';

/** What of the mirror is driven from here. */
export interface FollowableMirror {
  readonly isFollowing: boolean;
  startFollowing(): void;
  stopFollowing(): void;
}

/** What the followers are made with. */
export interface StoreFollowersOptions {
  readonly runtime: Runtime;
  /** Gateways of this zone that come before this one. */
  readonly rank: () => number;
  readonly mirror: FollowableMirror;
  /** Time since the store was last proved to answer some gateway, in milliseconds. */
  readonly proofAgeMilliseconds: () => number;
  /** Time for which peers have known more of the store than came here, in milliseconds. */
  readonly lagMilliseconds: () => number;
  /** Time after the start in which others may follow the store first, in milliseconds. */
  readonly startDelayMilliseconds: number;
}

/** What is known when the decision is taken. */
export interface FollowDecisionInput {
  /** Gateways of the zone that come before this one. */
  readonly rank: number;
  readonly isFollowing: boolean;
  /** Time since this gateway began to follow or to rest, in milliseconds. */
  readonly roleAgeMilliseconds: number;
  /** Time since the store was last known to answer a gateway, in milliseconds. */
  readonly silenceMilliseconds: number;
  /** Silence that is borne, in milliseconds. */
  readonly silenceLimitMilliseconds: number;
  /** Time for which peers have known more than came here, in milliseconds. */
  readonly lagMilliseconds: number;
}

/** Gateways of each zone that follow the store: a third may be refused by it, and some be dead. */
export const FOLLOWERS_PER_ZONE = 3;
/** Ranks beyond these at which one that follows goes on: peers are not always heard all. */
const RANK_SLACK = 1;
/** Least time for which this gateway goes on to follow, in milliseconds. */
const MINIMUM_FOLLOWING_MILLISECONDS = 4_000;
/** Time after the start in which peers are found and nobody is told to rest, in milliseconds. */
const DISCOVERY_MILLISECONDS = 2_000;
/** Silence of the store beyond which one that follows it goes on; a proof is usually 0.6 s old at most. */
const FOLLOWER_SILENCE_LIMIT_MILLISECONDS = 900;
/** Silence that one which rests bears at least: proofs may have to wait for the next of the rank. */
const NON_FOLLOWER_SILENCE_LIMIT_MILLISECONDS = 1_400;
/** Drawn on top, so that not all take the place of followers at once. */
const SILENCE_JITTER_MILLISECONDS = 600;
/** Time for which a change that peers know may not come from them before the store is asked itself. */
const MAXIMUM_LAG_MILLISECONDS = 900;
const DECISION_INTERVAL_MILLISECONDS = 200;

/** Whether to follow the store; plain data in. */
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

/** See the head of this file. */
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

  /** Whether changes of the store are bound to come, by itself or through peers. */
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
      runtime.log('info', 'follows the store', { event: 'store.follow', ...inputs });
      mirror.startFollowing();
    } else {
      runtime.log('info', 'takes changes from peers', { event: 'store.rest', ...inputs });
      mirror.stopFollowing();
    }
  }
}
