/**
 * Non-cryptographic hashes (xxhash) for placement, digests and identifiers; not for secrets. Each program
 * calls `prepareHashing` first. This module does not await it itself, since the bundled program is a script
 * with a V8 code cache, which rules out a top-level await.
 */
import xxhash from 'xxhash-wasm';
import type { XXHashAPI } from 'xxhash-wasm';

let prepared: XXHashAPI | undefined;

/** Loads the WebAssembly module; resolves once the functions below may be called. */
export async function prepareHashing(): Promise<void> {
  prepared ??= await xxhash();
}

function hasher(): XXHashAPI {
  if (prepared === undefined) {
    throw new Error('prepareHashing() must resolve before a hash is computed');
  }
  return prepared;
}

/** 64-bit hash of a text, as 16 hexadecimal digits. */
export function hashText(text: string): string {
  return hasher().h64ToString(text);
}

/** 32-bit hash of a text, as an unsigned number. */
export function hashToNumber(text: string): number {
  return hasher().h32(text);
}

/** Number of bits that a JavaScript number holds exactly. */
const EXACT_BITS = 53;

/** 64-bit hash of some bytes. */
export function hashBytes(bytes: Uint8Array): bigint {
  return hasher().h64Raw(bytes);
}

/** 53-bit hash of a text, as an unsigned number; a seed makes it depend on what else belongs to the text. */
export function hashToExactNumber(text: string, seed: bigint): number {
  return Number(BigInt.asUintN(EXACT_BITS, hasher().h64(text, seed)));
}

const MIX_MULTIPLIER = 0x9e37_79b1;
const MIX_SHIFT = 15;

/** Combines two hashes into an unsigned 32-bit one; ranks pairs without building a text for each. */
export function mixHashes(left: number, right: number): number {
  let mixed = Math.imul(left ^ right, MIX_MULTIPLIER);
  mixed ^= mixed >>> MIX_SHIFT;
  mixed = Math.imul(mixed, MIX_MULTIPLIER);
  mixed ^= mixed >>> MIX_SHIFT;
  return mixed >>> 0;
}
