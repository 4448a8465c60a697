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
  follow(): void;
  rest(): void;
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
  readonly behindMilliseconds: () => number;
  /** Time after the start in which others may follow the store first, in milliseconds. */
  readonly patienceMilliseconds: number;
}

/** What is known when the decision is taken. */
export interface FollowerView {
  /** Gateways of the zone that come before this one. */
  readonly rank: number;
  readonly isFollowing: boolean;
  /** Time since this gateway began to follow or to rest, in milliseconds. */
  readonly sinceChangeMilliseconds: number;
  /** Time since the store was last known to answer a gateway, in milliseconds. */
  readonly silenceMilliseconds: number;
  /** Silence that is borne, in milliseconds. */
  readonly patienceMilliseconds: number;
  /** Time for which peers have known more than came here, in milliseconds. */
  readonly behindMilliseconds: number;
}

/** Gateways of each zone that follow the store: a third may be refused by it, and some be dead. */
export const FOLLOWERS_OF_ZONE = 3;
/** Ranks beyond these at which one that follows goes on: peers are not always heard all. */
const RANK_SLACK = 1;
/** Least time for which this gateway goes on to follow, in milliseconds. */
const LEAST_FOLLOWING_MILLISECONDS = 4_000;
/** Time after the start in which peers are found and nobody is told to rest, in milliseconds. */
const FINDING_MILLISECONDS = 2_000;
/** Silence of the store beyond which one that follows it goes on; a proof is usually 0.6 s old at most. */
const LEAST_SILENCE_MILLISECONDS = 900;
/** Silence that one which rests bears at least: proofs may have to wait for the next of the rank. */
const RESTING_SILENCE_MILLISECONDS = 1_400;
/** Drawn on top, so that not all take the place of followers at once. */
const DRAWN_SILENCE_MILLISECONDS = 600;
/** Time for which a change that peers know may not come from them before the store is asked itself. */
const LONGEST_BEHIND_MILLISECONDS = 900;
const STEP_MILLISECONDS = 200;

/** Whether to follow the store; plain data in. */
export function decideFollowing(view: FollowerView): boolean {
  const { rank, isFollowing, sinceChangeMilliseconds, silenceMilliseconds } = view;
  if (isFollowing) {
    const isNeeded = rank < FOLLOWERS_OF_ZONE + RANK_SLACK;
    const isAlone = silenceMilliseconds > LEAST_SILENCE_MILLISECONDS;
    return isNeeded || isAlone || sinceChangeMilliseconds < LEAST_FOLLOWING_MILLISECONDS;
  }
  const isBehind = view.behindMilliseconds > LONGEST_BEHIND_MILLISECONDS;
  return rank < FOLLOWERS_OF_ZONE || silenceMilliseconds > view.patienceMilliseconds || isBehind;
}

/** See the head of this file. */
export class StoreFollowers {
  private readonly startedAt: number;
  private readonly drawnMilliseconds: number;
  private readonly cancelTimer: CancelTimer;
  private changedAt: number;

  constructor(private readonly options: StoreFollowersOptions) {
    const { runtime, mirror, patienceMilliseconds } = options;
    this.startedAt = runtime.now();
    this.changedAt = this.startedAt;
    this.drawnMilliseconds = DRAWN_SILENCE_MILLISECONDS * runtime.random.uniform();
    this.cancelTimer = setRepeatingTimer(runtime, STEP_MILLISECONDS, () => this.step());
    if (patienceMilliseconds <= 0) {
      mirror.follow();
    }
  }

  /** Whether changes of the store are bound to come, by itself or through peers. */
  get isInformed(): boolean {
    return this.options.proofAgeMilliseconds() <= RESTING_SILENCE_MILLISECONDS;
  }

  /** Stops deciding. */
  close(): void {
    this.cancelTimer();
  }

  private get silenceMilliseconds(): number {
    const { runtime, proofAgeMilliseconds } = this.options;
    return Math.min(proofAgeMilliseconds(), runtime.now() - this.startedAt);
  }

  private step(): void {
    const { runtime, mirror, patienceMilliseconds } = this.options;
    const now = runtime.now();
    const upMilliseconds = now - this.startedAt;
    const isFinding = upMilliseconds < Math.max(FINDING_MILLISECONDS, patienceMilliseconds);
    if (isFinding && (mirror.isFollowing || upMilliseconds < patienceMilliseconds)) {
      return;
    }
    const rank = this.options.rank();
    const follows = decideFollowing({
      rank,
      isFollowing: mirror.isFollowing,
      sinceChangeMilliseconds: now - this.changedAt,
      silenceMilliseconds: this.silenceMilliseconds,
      patienceMilliseconds: RESTING_SILENCE_MILLISECONDS + this.drawnMilliseconds,
      behindMilliseconds: this.options.behindMilliseconds(),
    });
    if (follows === mirror.isFollowing) {
      return;
    }
    this.changedAt = now;
    const behind = Math.round(this.options.behindMilliseconds());
    const inputs = { rank, behind, silence: Math.round(this.silenceMilliseconds) };
    if (follows) {
      runtime.log('info', 'follows the store', { event: 'store.follow', ...inputs });
      mirror.follow();
    } else {
      runtime.log('info', 'takes changes from peers', { event: 'store.rest', ...inputs });
      mirror.rest();
    }
  }
}
