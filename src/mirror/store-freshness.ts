/**
 * Knows as of which time the copy of the store misses nothing, by proof alone: a short read that the
 * store answered. An open watch proves nothing, since it may hang. The gateway that comes first reads
 * one key each fraction of the bound and tells the others what revision the store was at; the next
 * ones read when no newer proof comes. While the store is silent, short reads are the only calls it
 * gets, a few at a time from all gateways together, and none is waited for before the next is sent.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { PROOF_JITTER, RANK_MILLISECONDS } from './freshness-timings.js';
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
export interface ProvenMirror {
  readonly completeRevision: number;
  /** Takes the answer of a short read. */
  takeRead(list: ItemList): void;
  /** Takes word that the store has answered somebody, at a revision. */
  heedRevision(revision: number): void;
  /** The same, where this gateway itself was answered: it lists what it lacks. */
  heedOwnRead(revision: number): void;
}

/** What it is made with. */
export interface StoreFreshnessOptions {
  readonly runtime: Runtime;
  readonly port: Pick<KeySpacePort, 'list'>;
  /** The key that is read; its value is taken too. */
  readonly key: string;
  readonly mirror: ProvenMirror;
  readonly timings: FreshnessTimings;
  readonly rank: () => ProofRank;
  /** Time after the start in which others may read first, in milliseconds. */
  readonly patienceMilliseconds: number;
  /** The key was read: what was taken then was the newest at a local time. */
  readonly onRead?: (sentAt: number) => void;
}

/** Gateways that wait for one another; those beyond draw a time, so that not all read at once. */
const RANKED_GATEWAYS = 4;
/** Time over which those beyond spread, for each gateway known, in milliseconds. */
const SPREAD_MILLISECONDS = 25;
const LONGEST_SPREAD_MILLISECONDS = 1_000;
/** Reads that all gateways together send each period while none is answered. */
const READS_AT_ONCE = 4;
const LARGEST_LIFE = 2 ** 31;
/** Time without a proof in which entries may have lapsed that their owners could not renew, in milliseconds. */
const OUTAGE_MILLISECONDS = 2_000;
/** Time after the store's return within which those entries are back, in milliseconds: the platform's 2 s and some way. */
const SETTLE_MILLISECONDS = 2_400;
/** Lives of which the newest proof is remembered. */
const REMEMBERED_LIVES = 1_000;
/** Reads without an answer that one gateway has under way at most. */
const READS_UNDER_WAY = 4;

/** See the head of this file. */
export class StoreFreshness {
  private readonly life: number;
  private number = 0;
  /** Newest proof known, be it an own one or another's, with the local time that it holds for. */
  private newest: (StoreProof & { readonly provenAt: number }) | undefined;
  /** Numbers of the newest proofs by life: one that comes back over others isn't taken as newer. */
  private readonly heardNumbers = new Map<number, number>();
  /** Local time as of which the copy misses nothing, in milliseconds. */
  private freshAt = -Infinity;
  private readonly startedAt: number;
  /** Local time at which the first proof after an outage came, in milliseconds. */
  private returnedAt = -Infinity;
  private sentAt = -Infinity;
  private underWay = 0;
  private drawn: number;
  private cancelTimer: CancelTimer = () => undefined;
  private closed = false;

  constructor(private readonly options: StoreFreshnessOptions) {
    const { runtime, patienceMilliseconds } = options;
    this.life = runtime.random.integer(1, LARGEST_LIFE);
    this.startedAt = runtime.now() + patienceMilliseconds;
    this.drawn = runtime.random.uniform();
    this.arm();
  }

  /** Time since the newest proof known, in milliseconds; infinite before the first. */
  get proofAgeMilliseconds(): number {
    const { newest } = this;
    return newest === undefined ? Infinity : this.options.runtime.now() - newest.provenAt;
  }

  /** Time as of which the copy is known to miss nothing, as an age in milliseconds. */
  get ageMilliseconds(): number {
    this.noteFresh();
    return this.options.runtime.now() - this.freshAt;
  }

  /**
   * Time left in which entries that lapsed while the store was away may still be written again, in
   * milliseconds; 0 when an entry that is missing is gone.
   */
  get settlingMilliseconds(): number {
    if (this.newest !== undefined && this.proofAgeMilliseconds > OUTAGE_MILLISECONDS) {
      return SETTLE_MILLISECONDS;
    }
    return Math.max(0, this.returnedAt + SETTLE_MILLISECONDS - this.options.runtime.now());
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
  hear(proof: StoreProof): void {
    const { life, number, revision, ageMilliseconds } = proof;
    if (life === this.life || number <= (this.heardNumbers.get(life) ?? 0)) {
      return;
    }
    this.remember(life, number);
    this.take({ ...proof, provenAt: this.options.runtime.now() - ageMilliseconds });
    this.options.mirror.heedRevision(revision);
  }

  /** Notes that the store answered this gateway a list that was asked for at a local time. */
  noteRead(revision: number, sentAt: number): void {
    this.number += 1;
    const { life, number } = this;
    this.take({ life, number, revision, ageMilliseconds: 0, provenAt: sentAt });
  }

  /** Stops reading. */
  close(): void {
    this.closed = true;
    this.cancelTimer();
  }

  private take(proof: StoreProof & { readonly provenAt: number }): void {
    if (proof.provenAt <= (this.newest?.provenAt ?? -Infinity)) {
      return;
    }
    if (this.newest !== undefined && proof.provenAt - this.newest.provenAt > OUTAGE_MILLISECONDS) {
      this.returnedAt = this.options.runtime.now();
    }
    this.noteFresh();
    this.newest = proof;
    this.drawn = this.options.runtime.random.uniform();
    this.noteFresh();
    this.arm();
  }

  private noteFresh(): void {
    const { newest, options } = this;
    if (newest !== undefined && options.mirror.completeRevision >= newest.revision) {
      this.freshAt = Math.max(this.freshAt, newest.provenAt);
    }
  }

  private remember(life: number, number: number): void {
    this.heardNumbers.delete(life);
    this.heardNumbers.set(life, number);
    if (this.heardNumbers.size > REMEMBERED_LIVES) {
      const [oldest] = this.heardNumbers.keys();
      this.heardNumbers.delete(oldest!);
    }
  }

  /** Local time at which the next read is due, in milliseconds. */
  private dueAt(): number {
    const { timings, rank: rankOf } = this.options;
    const { rank, gateways } = rankOf();
    const { proofMilliseconds } = timings;
    const provenAt = Math.max(this.newest?.provenAt ?? -Infinity, this.startedAt);
    const afterProof = provenAt + proofMilliseconds + this.turnMilliseconds(rank, gateways);
    if (provenAt >= this.sentAt) {
      return afterProof;
    }
    // The last read is not answered: while the store is silent all gateways share a few reads.
    const periods = Math.max(1, gateways / READS_AT_ONCE);
    return Math.max(afterProof, this.sentAt + proofMilliseconds * periods);
  }

  /** Time that is left to those that come before. */
  private turnMilliseconds(rank: number, gateways: number): number {
    if (rank < RANKED_GATEWAYS) {
      const jitter = PROOF_JITTER * this.options.timings.proofMilliseconds;
      return rank * RANK_MILLISECONDS + jitter * this.drawn;
    }
    const spread = Math.min(LONGEST_SPREAD_MILLISECONDS, gateways * SPREAD_MILLISECONDS);
    return RANKED_GATEWAYS * RANK_MILLISECONDS + spread * this.drawn;
  }

  private arm(): void {
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
      this.arm();
    });
  }

  private read(): void {
    const { runtime, port, key, mirror } = this.options;
    this.sentAt = runtime.now();
    if (this.underWay >= READS_UNDER_WAY) {
      return;
    }
    const { sentAt } = this;
    this.underWay += 1;
    port.list(key, (result) => {
      this.underWay -= 1;
      if (this.closed) {
        return;
      }
      if (!isRight(result)) {
        // The next read is due soon.
        const owed = Math.round(runtime.now() - sentAt);
        const fields = { event: 'store.failed', call: 'proof', owed, tag: result.left.tag };
        runtime.log('info', 'store call failed', fields);
        return;
      }
      mirror.takeRead(result.right);
      this.options.onRead?.(sentAt);
      this.noteRead(result.right.revision, sentAt);
      mirror.heedOwnRead(result.right.revision);
    });
  }
}
