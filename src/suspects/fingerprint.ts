/** Identifies a request whoever asks for it, in whichever try. */

/** Fingerprint of a request, 53 bits. */
export type Fingerprint = number & { readonly brand: 'Fingerprint' };

/** Radix in which fingerprints are written in logs and keys. */
const HEXADECIMAL = 16;

/** Returns a fingerprint as logs name it. */
export function fingerprintText(fingerprint: Fingerprint): string {
  return fingerprint.toString(HEXADECIMAL);
}

/** Returns the fingerprint that a text names; undefined if it names none. */
export function parseFingerprint(text: string): Fingerprint | undefined {
  const value = /^[0-9a-f]+$/.test(text) ? Number.parseInt(text, HEXADECIMAL) : NaN;
  return Number.isSafeInteger(value) ? (value as Fingerprint) : undefined;
}
