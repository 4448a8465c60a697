/** Totals of what simulated power losses removed from disks. */
import type { PowerLoss } from './power-loss-ledger.js';

/** Totals over all power losses of one soak. */
export interface PowerLossCounts {
  /** Power losses of single disks. */
  disks: number;
  /** Directory entries whose creation or removal was undone. */
  names: number;
  /** Written but unsynced bytes that were discarded. */
  bytes: number;
}

/** Adds the loss of one disk. */
export function addLoss(
  counts: PowerLossCounts,
  { lostNames, returnedNames, lostBytes }: PowerLoss,
): void {
  counts.disks += 1;
  counts.names += lostNames.length + returnedNames.length;
  counts.bytes += lostBytes;
}
