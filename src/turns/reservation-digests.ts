/**
 * Names the state of each reservation by a digest of eight bytes, so that replicas which hold the same
 * reservations find that out without sending them. Most reservations reach every replica directly.
 */
import { hashText } from '../runtime/hashing.js';
import type { AccountEntry } from './messages.js';

/** Bytes of one digest. */
export const DIGEST_BYTES = 8;
const OPEN = 'open';

/** Where a reservation is found. */
export interface ReservationKey {
  readonly program: string;
  readonly turn: string;
}

/** The digest of a reservation in its present state, as hexadecimal digits. */
export function digestOf(entry: AccountEntry): string {
  const used = entry.usedTokens ?? OPEN;
  return hashText(`${entry.program} ${entry.turn} ${entry.mostTokens} ${used}`);
}

/** Writes digests one behind the other. */
export function packDigests(digests: readonly string[]): Buffer {
  return Buffer.from(digests.join(''), 'hex');
}

/** Reads digests that stand one behind the other; bytes left over are no digest. */
export function unpackDigests(bytes: Buffer): string[] {
  const digests: string[] = [];
  for (let offset = 0; offset + DIGEST_BYTES <= bytes.length; offset += DIGEST_BYTES) {
    digests.push(bytes.toString('hex', offset, offset + DIGEST_BYTES));
  }
  return digests;
}

/** The digests of all reservations that one replica holds. */
export class ReservationDigests {
  private readonly keys = new Map<string, ReservationKey>();

  /** Notes the new state of a reservation; who knows it settled needs no word of it open. */
  add(entry: AccountEntry): string {
    const key = { program: entry.program, turn: entry.turn };
    if (entry.usedTokens !== undefined) {
      this.keys.set(digestOf({ ...entry, usedTokens: undefined }), key);
    }
    const digest = digestOf(entry);
    this.keys.set(digest, key);
    return digest;
  }

  /** Forgets a reservation that was dropped, in its state and as it was while it was open. */
  drop(entry: AccountEntry): void {
    this.keys.delete(digestOf(entry));
    this.keys.delete(digestOf({ ...entry, usedTokens: undefined }));
  }

  /** Where the reservation of a digest is; undefined when none is held. */
  find(digest: string): ReservationKey | undefined {
    return this.keys.get(digest);
  }
}
