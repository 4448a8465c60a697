/**
 * Eight-byte digests of reservation states, with which replicas compare their reservations without sending them. Most
 * reservations reach every replica directly, so few have to be sent.
 */
import { hashText } from '../runtime/hashing.js';
import type { AccountEntry } from './messages.js';

/** Size of one digest, in bytes. */
export const DIGEST_BYTES = 8;
const OPEN = 'open';

/** Identifies a reservation. */
export interface ReservationKey {
  readonly program: string;
  readonly turn: string;
}

/** Returns the digest of a reservation's current state, in hexadecimal. */
export function digestOf(entry: AccountEntry): string {
  const used = entry.usedTokens ?? OPEN;
  return hashText(`${entry.program} ${entry.turn} ${entry.mostTokens} ${used}`);
}

/** Concatenates hexadecimal digests into bytes. */
export function packDigests(digests: readonly string[]): Buffer {
  return Buffer.from(digests.join(''), 'hex');
}

/** Splits concatenated digests; trailing bytes are ignored. */
export function unpackDigests(bytes: Buffer): string[] {
  const digests: string[] = [];
  for (let offset = 0; offset + DIGEST_BYTES <= bytes.length; offset += DIGEST_BYTES) {
    digests.push(bytes.toString('hex', offset, offset + DIGEST_BYTES));
  }
  return digests;
}

/** An index of the reservations of one replica by digest. */
export class ReservationDigests {
  private readonly keys = new Map<string, ReservationKey>();

  /** Adds a reservation state and returns its digest; a settled state is also added under its open digest. */
  add(entry: AccountEntry): string {
    const key = { program: entry.program, turn: entry.turn };
    if (entry.usedTokens !== undefined) {
      this.keys.set(digestOf({ ...entry, usedTokens: undefined }), key);
    }
    const digest = digestOf(entry);
    this.keys.set(digest, key);
    return digest;
  }

  /** Removes a dropped reservation, in its current state and in its open state. */
  drop(entry: AccountEntry): void {
    this.keys.delete(digestOf(entry));
    this.keys.delete(digestOf({ ...entry, usedTokens: undefined }));
  }

  /** Returns the key of the reservation with a digest; undefined when there is none. */
  find(digest: string): ReservationKey | undefined {
    return this.keys.get(digest);
  }
}
