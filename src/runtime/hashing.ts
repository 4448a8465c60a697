/**
 * 64-bit hashes (xxhash) for placement, digests and identifiers. Not for secrets. Each program prepares them
 * before anything else: a module that waits for itself could not be kept as compiled code.
 */
import xxhash from 'xxhash-wasm';
import type { XXHashAPI } from 'xxhash-wasm';

let prepared: XXHashAPI | undefined;

/** Resolves when hashes can be taken. */
export async function prepareHashing(): Promise<void> {
  prepared ??= await xxhash();
}

function hasher(): XXHashAPI {
  if (prepared === undefined) {
    throw new Error('hashes are taken before prepareHashing()');
  }
  return prepared;
}

/** Hash of a text as 16 hexadecimal digits. */
export function hashText(text: string): string {
  return hasher().h64ToString(text);
}

/** Hash of a text as an unsigned 32-bit number, for buckets. */
export function hashToNumber(text: string): number {
  return hasher().h32(text);
}

const MIX_MULTIPLIER = 0x9e37_79b1;
const MIX_SHIFT = 15;

/** A hash of two hashes, unsigned 32 bits: ranks things for a key without building a text for each pair. */
export function mixHashes(left: number, right: number): number {
  let mixed = Math.imul(left ^ right, MIX_MULTIPLIER);
  mixed ^= mixed >>> MIX_SHIFT;
  mixed = Math.imul(mixed, MIX_MULTIPLIER);
  mixed ^= mixed >>> MIX_SHIFT;
  return mixed >>> 0;
}
