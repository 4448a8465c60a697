/**
 * Tracks the time up to which the copy of the store is proven to have all changes. The only proof
 * is a short read that the store answered; an open watch proves nothing, since it may be stalled.
 * The first-ranked gateway reads one key several times within the bound and gossips the store's
 * revision; gateways of lower rank read when no newer proof arrives. Independently of ranks, a
 * gateway reads when its copy reaches a maximum age: those that it depends on may be stalled or cut
 * off. While the store is silent, short reads are the only calls sent to it: a few at a time from
 * all gateways together, and a gateway does not wait for the answer to one before it sends the next.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { PROOF_JITTER, RANK_DELAY_MILLISECONDS } from './freshness-timings.js';
import type { FreshnessTimings } from './freshness-timings.js';
import type { ItemList, KeySpacePort } from './key-space-port.js';

/** Proof of one gateway that the store held nothing newer than a revision. */
export interface StoreProof {
  /** Random number of the process run that read the store. */
  readonly life: number;
  /** Increases with each proof of that life. */
  readonly number: number;
  /** Revision of the store when it was read. */
  readonly revision: number;
  /** Time since the read was sent, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Rank of a gateway among those that may read the store. */
export interface ProofRank {
  /** Number of gateways ranked before this one. */
  readonly rank: number;
  /** Number of gateways known to be alive, including this one. */
  readonly gateways: number;
}

/** The part of the mirror that is used here. */
export interface FreshnessMirror {
  readonly completeRevision: number;
  /** Applies the answer to a short read. */
  applyRead(list: ItemList): void;
  /** Records that the store answered another gateway at a revision. */
  noteStoreRevision(revision: number): void;
  /** Records that the store answered this gateway at a revision; the mirror lists what it lacks. */
  noteOwnReadRevision(revision: number): void;
  /** Lists what the copy lacks of a revision that the store told this gateway, without waiting for others to deliver it. */
  listIfBehind(revision: number): void;
}

export interface StoreFreshnessOptions {
  readonly runtime: Runtime;
  readonly port: Pick<KeySpacePort, 'list'>;
  /** Key that is read; its item is applied as well. */
  readonly key: string;
  readonly mirror: FreshnessMirror;
  readonly timings: FreshnessTimings;
  readonly rank: () => ProofRank;
  /** Delay after the start during which other gateways may read first, in milliseconds. */
  readonly startDelayMilliseconds: number;
  /** Called when the key was read, with the local time at which the read was sent. */
  readonly onRead?: (sentAt: number) => void;
}

/**
 * Number of gateways that take turns by rank; those beyond wait for a random time, so that they do
 * not all read at once.
 */
const RANKED_GATEWAYS = 4;
/** Maximum of the random wait for each known gateway, in milliseconds. */
const SPREAD_PER_GATEWAY_MILLISECONDS = 25;
/** Maximum of the random wait for any number of gateways, in milliseconds. */
const MAXIMUM_SPREAD_MILLISECONDS = 1_000;
/** Number of reads that all gateways together send in an interval while none is answered. */
const SHARED_READS_PER_INTERVAL = 4;
const MAXIMUM_LIFE = 2 ** 31;
/**
 * Time without a proof after which entries may have expired because their owners could not renew
 * them, in milliseconds.
 */
const OUTAGE_MILLISECONDS = 2_000;
/**
 * Time after the end of an outage within which owners write their entries again, in milliseconds.
 * The platform allows them 2 s; the rest is a margin for propagation.
 */
const EXPIRY_GRACE_MILLISECONDS = 2_400;
/** Maximum number of lives whose newest proof number is remembered. */
const MAXIMUM_REMEMBERED_LIVES = 1_000;
/** Maximum number of unanswered reads of one gateway. */
const MAXIMUM_READS_IN_FLIGHT = 4;
/** Number of reads at the maximum age; the second one hedges the first. */
const READS_AT_MAXIMUM_AGE = 2;
/**
 * Share of the maximum age by which a read may be earlier, drawn at random, so that not all
 * gateways that lost the same peers read at once.
 */
const MAXIMUM_AGE_JITTER = 0.15;

/**
 * Reads the store for proofs when it is this gateway's turn, and accepts those of other gateways.
 */
export class StoreFreshness {
  private readonly life: number;
  private number = 0;
  /** Newest proof, of this gateway or another, with the local time for which it holds. */
  private newest: (StoreProof & { readonly provenAt: number }) | undefined;
  /**
   * Newest proof number of each life, so that a proof that returns through other gateways does not
   * count as a newer one.
   */
  private readonly newestNumbers = new Map<number, number>();
  /** Local time up to which the copy is known to have all changes, in milliseconds. */
  private freshAt = -Infinity;
  private readonly startsAt: number;
  /** Local time of the first proof after an outage, in milliseconds. */
  private recoveredAt = -Infinity;
  private sentAt = -Infinity;
  private readsInFlight = 0;
  /** Local time from which the maximum age was last counted, in milliseconds. */
  private ageBase = -Infinity;
  /** Number of reads sent because of the maximum age since then. */
  private readsAtMaximumAge = 0;
  private jitter: number;
  private cancelTimer: CancelTimer = () => undefined;
  private closed = false;

  constructor(private readonly options: StoreFreshnessOptions) {
    const { runtime, startDelayMilliseconds } = options;
    this.life = runtime.random.integer(1, MAXIMUM_LIFE);
    this.startsAt = runtime.now() + startDelayMilliseconds;
    this.jitter = runtime.random.uniform();
    this.scheduleRead();
  }

  /** Age of the newest proof, in milliseconds; `Infinity` before the first. */
  get proofAgeMilliseconds(): number {
    const { newest } = this;
    return newest === undefined ? Infinity : this.options.runtime.now() - newest.provenAt;
  }

  /** Time since the copy was last known to have all changes, in milliseconds. */
  get ageMilliseconds(): number {
    this.updateFreshness();
    return this.options.runtime.now() - this.freshAt;
  }

  /**
   * Remaining time in which entries that expired during an outage may be written again, in
   * milliseconds; 0 when a missing entry counts as removed.
   */
  get expiryGraceMilliseconds(): number {
    if (this.newest !== undefined && this.proofAgeMilliseconds > OUTAGE_MILLISECONDS) {
      return EXPIRY_GRACE_MILLISECONDS;
    }
    return Math.max(0, this.recoveredAt + EXPIRY_GRACE_MILLISECONDS - this.options.runtime.now());
  }

  /** The newest proof, to be sent to other gateways; undefined before the first. */
  get proof(): StoreProof | undefined {
    const { newest } = this;
    if (newest === undefined) {
      return undefined;
    }
    const { life, number, revision } = newest;
    return { life, number, revision, ageMilliseconds: this.proofAgeMilliseconds };
  }

  /** Accepts a proof from another gateway. */
  receiveProof(proof: StoreProof): void {
    const { life, number, revision, ageMilliseconds } = proof;
    if (life === this.life || number <= (this.newestNumbers.get(life) ?? 0)) {
      return;
    }
    this.rememberNumber(life, number);
    this.acceptProof({ ...proof, provenAt: this.options.runtime.now() - ageMilliseconds });
    this.options.mirror.noteStoreRevision(revision);
  }

  /** Records that the store answered a list of this gateway that was requested at a local time. */
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
    if (this.options.mirror.completeRevision >= proof.revision) {
      this.freshAt = Math.max(this.freshAt, proof.provenAt);
    }
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
    return Math.min(this.rankedReadAt(), this.maximumAgeAt());
  }

  /** Local time at which the copy's age requires a read of this gateway's own, in milliseconds. */
  private maximumAgeAt(): number {
    this.updateFreshness();
    const { maximumAgeMilliseconds, hedgeDelayMilliseconds } = this.options.timings;
    const base = Math.max(this.freshAt, this.startsAt, this.recoveredAt);
    if (base > this.ageBase) {
      this.ageBase = base;
      this.readsAtMaximumAge = 0;
    }
    if (this.readsAtMaximumAge === 0) {
      return base + maximumAgeMilliseconds * (1 - MAXIMUM_AGE_JITTER * this.jitter);
    }
    return this.readsAtMaximumAge < READS_AT_MAXIMUM_AGE
      ? this.sentAt + hedgeDelayMilliseconds
      : Infinity;
  }

  /** Local time at which this gateway's rank requires a read, in milliseconds. */
  private rankedReadAt(): number {
    const { timings, rank: rankOf } = this.options;
    const { rank, gateways } = rankOf();
    const { proofIntervalMilliseconds } = timings;
    const provenAt = Math.max(this.newest?.provenAt ?? -Infinity, this.startsAt);
    const afterProof =
      provenAt + proofIntervalMilliseconds + this.rankDelayMilliseconds(rank, gateways);
    if (provenAt >= this.sentAt) {
      return afterProof;
    }
    // The last read was not answered: while the store is silent, all gateways share a few reads.
    const periods = Math.max(1, gateways / SHARED_READS_PER_INTERVAL);
    return Math.max(afterProof, this.sentAt + proofIntervalMilliseconds * periods);
  }

  /** Returns the time left to gateways that rank before this one, in milliseconds. */
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
      const now = runtime.now();
      if (now >= this.maximumAgeAt()) {
        this.readAtMaximumAge();
      } else if (now >= this.rankedReadAt()) {
        this.read();
      }
      this.scheduleRead();
    });
  }

  private readAtMaximumAge(): void {
    const { runtime, rank } = this.options;
    this.readsAtMaximumAge += 1;
    const proofAge = this.newest === undefined ? -1 : Math.round(this.proofAgeMilliseconds);
    const fields = {
      event: 'store.overdue',
      age: Math.round(runtime.now() - this.ageBase),
      proofAge,
      ...rank(),
    };
    runtime.log('info', 'no peer has brought the copy up to date, reading the store', fields);
    this.read();
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
        // The failure is only logged, since the next read is due soon.
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
      const { revision } = result.right;
      mirror.applyRead(result.right);
      this.options.onRead?.(sentAt);
      this.noteRead(revision, sentAt);
      if (this.readsAtMaximumAge > 0) {
        mirror.listIfBehind(revision);
      } else {
        mirror.noteOwnReadRevision(revision);
      }
    });
  }
}
