/** 64-bit hashes (xxhash) for placement, digests and identifiers. Not for secrets. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hash of a text as 16 hexadecimal digits. */
export function hashText(text: string): string {
  return hasher.h64ToString(text);
}

/** Hash of a text as an unsigned 32-bit number, for buckets. */
export function hashToNumber(text: string): number {
  return hasher.h32(text);
}
