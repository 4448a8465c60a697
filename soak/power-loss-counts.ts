/** Sums up what losses of power took from disks. */
import type { PowerLoss } from './power-loss-ledger.js';

/** Sums over all losses of one soak. */
export interface PowerLossCounts {
  /** Disks that lost power. */
  disks: number;
  /** Names that were made and are gone, or were removed and are back. */
  names: number;
  /** Bytes that were written and are gone. */
  bytes: number;
}

/** Adds one disk's loss. */
export function addLoss(
  counts: PowerLossCounts,
  { lostNames, returnedNames, lostBytes }: PowerLoss,
): void {
  counts.disks += 1;
  counts.names += lostNames.length + returnedNames.length;
  counts.bytes += lostBytes;
}
