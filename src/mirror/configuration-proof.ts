/**
 * Tracks the time up to which the configuration in force is proven to be the newest one. Revoked
 * keys are rejected on this basis, so a frozen process or a slow link must not make the
 * configuration look newer than it is: a time counts only if this process took it before it sent
 * the request that was answered. See docs/design/tenants.md.
 */
import type { Runtime } from '../runtime/runtime.js';

/** Proof that the newest configuration had a revision at some time. */
export interface ProvenRevision {
  /** Revision of the configuration's item; 0 when there is none. */
  readonly revision: number;
  /** Local time up to which the proof holds, in milliseconds. */
  readonly provenAt: number;
}

/** Keeps the newest proof of the configuration in force. */
export class ConfigurationProof {
  private newest: ProvenRevision | undefined;
  /** Newest proof of a revision that is not yet in force here. */
  private awaited: ProvenRevision | undefined;

  constructor(
    private readonly runtime: Runtime,
    /** Revision of the configuration's item that is in force here; 0 when there is none. */
    private readonly ownRevision: () => number,
  ) {}

  /**
   * Records that the store answered a read of the configuration that was sent at a local time.
   * @param revision of the configuration that was read, which proves nothing as long as it is not in force here
   */
  noteRead(revision: number, sentAt: number): void {
    this.note({ revision, provenAt: sentAt });
  }

  /** Records a proof, such as one obtained from another gateway. */
  note(proof: ProvenRevision): void {
    if (proof.revision > this.ownRevision()) {
      if (this.awaited === undefined || proof.provenAt > this.awaited.provenAt) {
        this.awaited = proof;
      }
    } else if (this.newest === undefined || proof.provenAt > this.newest.provenAt) {
      this.newest = proof;
    }
  }

  /** Newest proof; undefined before the first one. */
  get proven(): ProvenRevision | undefined {
    const { awaited } = this;
    if (awaited !== undefined && awaited.revision <= this.ownRevision()) {
      this.awaited = undefined;
      this.note(awaited);
    }
    return this.newest;
  }

  /** Age of the newest proof, in milliseconds; `Infinity` before the first one. */
  get ageMilliseconds(): number {
    const { proven } = this;
    return proven === undefined ? Infinity : this.runtime.now() - proven.provenAt;
  }
}
