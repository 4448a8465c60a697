/**
 * Knows as of which time the copy of the store misses nothing, by proof alone: a short read that the
 * store answered. An open watch proves nothing, since it may hang. The gateway that comes first reads
 * one key each fraction of the bound and tells the others what revision the store was at; the next
 * ones read when no newer proof comes. While the store is silent, short reads are the only calls it
 * gets, a few at a time from all gateways together, and none is waited for before the next is sent.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { PROOF_JITTER, RANK_DELAY_MILLISECONDS } from './freshness-timings.js';
import type { FreshnessTimings } from './freshness-timings.js';
import type { ItemList, KeySpacePort } from './key-space-port.js';

/** Word of one gateway that the store had nothing newer than a revision. */
export interface StoreProof {
  /** Names the life of the gateway that read the store. */
  readonly life: number;
  /** Rises with each proof of that life. */
  readonly number: number;
  /** Revision that the store was at. */
  readonly revision: number;
  /** Time since the read was sent, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Where a gateway stands among those that may read the store. */
export interface ProofRank {
  /** Gateways that come before it. */
  readonly rank: number;
  /** Gateways known to be alive, this one among them. */
  readonly gateways: number;
}

/** What of the mirror is read and driven from here. */
export interface FreshnessMirror {
  readonly completeRevision: number;
  /** Takes the answer of a short read. */
  applyRead(list: ItemList): void;
  /** Takes word that the store has answered somebody, at a revision. */
  noteStoreRevision(revision: number): void;
  /** The same, where this gateway itself was answered: it lists what it lacks. */
  noteOwnReadRevision(revision: number): void;
}

/** What it is made with. */
export interface StoreFreshnessOptions {
  readonly runtime: Runtime;
  readonly port: Pick<KeySpacePort, 'list'>;
  /** The key that is read; its value is taken too. */
  readonly key: string;
  readonly mirror: FreshnessMirror;
  readonly timings: FreshnessTimings;
  readonly rank: () => ProofRank;
  /** Time after the start in which others may read first, in milliseconds. */
  readonly startDelayMilliseconds: number;
  /** The key was read: what was taken then was the newest at a local time. */
  readonly onRead?: (sentAt: number) => void;
}

/** Gateways that wait for one another; those beyond draw a time, so that not all read at once. */
const RANKED_GATEWAYS = 4;
/** Time over which those beyond spread, for each gateway known, in milliseconds. */
const SPREAD_PER_GATEWAY_MILLISECONDS = 25;
const MAXIMUM_SPREAD_MILLISECONDS = 1_000;
/** Reads that all gateways together send each period while none is answered. */
const SHARED_READS_PER_INTERVAL = 4;
const MAXIMUM_LIFE = 2 ** 31;
/** Time without a proof in which entries may have lapsed that their owners could not renew, in milliseconds. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after the store's return within which those entries are back, in milliseconds: the platform's 2 s and some way. */
const EXPIRY_GRACE_MILLISECONDS = 2_400;
/** Lives of which the newest proof is remembered. */
const MAXIMUM_REMEMBERED_LIVES = 1_000;
/** Reads without an answer that one gateway has under way at most. */
const MAXIMUM_READS_IN_FLIGHT = 4;

/** See the head of this file. */
export class StoreFreshness {
  private readonly life: number;
  private number = 0;
  /** Newest proof known, be it an own one or another's, with the local time that it holds for. */
  private newest: (StoreProof & { readonly provenAt: number }) | undefined;
  /** Numbers of the newest proofs by life: one that comes back over others isn't taken as newer. */
  private readonly newestNumbers = new Map<number, number>();
  /** Local time as of which the copy misses nothing, in milliseconds. */
  private freshAt = -Infinity;
  private readonly startedAt: number;
  /** Local time at which the first proof after an outage came, in milliseconds. */
  private recoveredAt = -Infinity;
  private sentAt = -Infinity;
  private readsInFlight = 0;
  private jitter: number;
  private cancelTimer: CancelTimer = () => undefined;
  private closed = false;

  constructor(private readonly options: StoreFreshnessOptions) {
    const { runtime, startDelayMilliseconds } = options;
    this.life = runtime.random.integer(1, MAXIMUM_LIFE);
    this.startedAt = runtime.now() + startDelayMilliseconds;
    this.jitter = runtime.random.uniform();
    this.scheduleRead();
  }

  /** Time since the newest proof known, in milliseconds; infinite before the first. */
  get proofAgeMilliseconds(): number {
    const { newest } = this;
    return newest === undefined ? Infinity : this.options.runtime.now() - newest.provenAt;
  }

  /** Time as of which the copy is known to miss nothing, as an age in milliseconds. */
  get ageMilliseconds(): number {
    this.updateFreshness();
    return this.options.runtime.now() - this.freshAt;
  }

  /**
   * Time left in which entries that lapsed while the store was away may still be written again, in
   * milliseconds; 0 when an entry that is missing is gone.
   */
  get expiryGraceMilliseconds(): number {
    if (this.newest !== undefined && this.proofAgeMilliseconds > OUTAGE_MILLISECONDS) {
      return EXPIRY_GRACE_MILLISECONDS;
    }
    return Math.max(0, this.recoveredAt + EXPIRY_GRACE_MILLISECONDS - this.options.runtime.now());
  }

  /** The newest proof as it is told to others; undefined before the first. */
  get proof(): StoreProof | undefined {
    const { newest } = this;
    if (newest === undefined) {
      return undefined;
    }
    const { life, number, revision } = newest;
    return { life, number, revision, ageMilliseconds: this.proofAgeMilliseconds };
  }

  /** Takes the word of another gateway. */
  receiveProof(proof: StoreProof): void {
    const { life, number, revision, ageMilliseconds } = proof;
    if (life === this.life || number <= (this.newestNumbers.get(life) ?? 0)) {
      return;
    }
    this.rememberNumber(life, number);
    this.acceptProof({ ...proof, provenAt: this.options.runtime.now() - ageMilliseconds });
    this.options.mirror.noteStoreRevision(revision);
  }

  /** Notes that the store answered this gateway a list that was asked for at a local time. */
  noteRead(revision: number, sentAt: number): void {
    this.number += 1;
    const { life, number } = this;
    this.acceptProof({ life, number, revision, ageMilliseconds: 0, provenAt: sentAt });
  }

  /** Stops reading. */
  close(): void {
    this.closed = true;
    this.cancelTimer();
  }

  private acceptProof(proof: StoreProof & { readonly provenAt: number }): void {
    if (proof.provenAt <= (this.newest?.provenAt ?? -Infinity)) {
      return;
    }
    if (this.newest !== undefined && proof.provenAt - this.newest.provenAt > OUTAGE_MILLISECONDS) {
      this.recoveredAt = this.options.runtime.now();
    }
    this.updateFreshness();
    this.newest = proof;
    this.jitter = this.options.runtime.random.uniform();
    this.updateFreshness();
    this.scheduleRead();
  }

  private updateFreshness(): void {
    const { newest, options } = this;
    if (newest !== undefined && options.mirror.completeRevision >= newest.revision) {
      this.freshAt = Math.max(this.freshAt, newest.provenAt);
    }
  }

  private rememberNumber(life: number, number: number): void {
    this.newestNumbers.delete(life);
    this.newestNumbers.set(life, number);
    if (this.newestNumbers.size > MAXIMUM_REMEMBERED_LIVES) {
      const [oldest] = this.newestNumbers.keys();
      this.newestNumbers.delete(oldest!);
    }
  }

  /** Local time at which the next read is due, in milliseconds. */
  private dueAt(): number {
    const { timings, rank: rankOf } = this.options;
    const { rank, gateways } = rankOf();
    const { proofIntervalMilliseconds } = timings;
    const provenAt = Math.max(this.newest?.provenAt ?? -Infinity, this.startedAt);
    const afterProof =
      provenAt + proofIntervalMilliseconds + this.rankDelayMilliseconds(rank, gateways);
    if (provenAt >= this.sentAt) {
      return afterProof;
    }
    // The last read is not answered: while the store is silent all gateways share a few reads.
    const periods = Math.max(1, gateways / SHARED_READS_PER_INTERVAL);
    return Math.max(afterProof, this.sentAt + proofIntervalMilliseconds * periods);
  }

  /** Time that is left to those that come before. */
  private rankDelayMilliseconds(rank: number, gateways: number): number {
    if (rank < RANKED_GATEWAYS) {
      const jitter = PROOF_JITTER * this.options.timings.proofIntervalMilliseconds;
      return rank * RANK_DELAY_MILLISECONDS + jitter * this.jitter;
    }
    const spread = Math.min(
      MAXIMUM_SPREAD_MILLISECONDS,
      gateways * SPREAD_PER_GATEWAY_MILLISECONDS,
    );
    return RANKED_GATEWAYS * RANK_DELAY_MILLISECONDS + spread * this.jitter;
  }

  private scheduleRead(): void {
    if (this.closed) {
      return;
    }
    this.cancelTimer();
    const { runtime } = this.options;
    const pause = Math.max(1, this.dueAt() - runtime.now());
    this.cancelTimer = runtime.setTimer(pause, () => {
      if (runtime.now() >= this.dueAt()) {
        this.read();
      }
      this.scheduleRead();
    });
  }

  private read(): void {
    const { runtime, port, key, mirror } = this.options;
    this.sentAt = runtime.now();
    if (this.readsInFlight >= MAXIMUM_READS_IN_FLIGHT) {
      return;
    }
    const { sentAt } = this;
    this.readsInFlight += 1;
    port.list(key, (result) => {
      this.readsInFlight -= 1;
      if (this.closed) {
        return;
      }
      if (!isRight(result)) {
        // The next read is due soon.
        const waitedMilliseconds = Math.round(runtime.now() - sentAt);
        const fields = {
          event: 'store.failed',
          call: 'proof',
          owed: waitedMilliseconds,
          tag: result.left.tag,
        };
        runtime.log('info', 'store call failed', fields);
        return;
      }
      mirror.applyRead(result.right);
      this.options.onRead?.(sentAt);
      this.noteRead(result.right.revision, sentAt);
      mirror.noteOwnReadRevision(result.right.revision);
    });
  }
}
