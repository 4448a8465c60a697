/**
 * Compaction rewrites the live state of a replica so that superseded and expired records can be deleted.
 * The rewrite runs in slices with pauses in between, because callers' writes compete for the same disk and CPU.
 * It is triggered by the amount written since the previous compaction, relative to the live size at that time;
 * otherwise a large live state would be rewritten after every few changes.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { StorageChange } from './turn-storage.js';

/** Disk usage of a replica. */
export interface DiskUse {
  readonly bytes: number;
  readonly segments: number;
}

/** Minimum number of bytes written since the last compaction before the next one is triggered. */
const MINIMUM_GARBAGE_BYTES = 48 * 1024 * 1024;
/** Minimum written amount as a fraction of the live size; limits compaction to two bytes per byte written. */
const GARBAGE_SHARE = 0.5;
/** Number of new segments that triggers a compaction; each process start creates one, however short. */
const MAXIMUM_SEGMENTS = 12;

/** Whether a compaction is due, given the current disk usage and the usage right after the last compaction. */
export function isCompactionDue(current: DiskUse, afterLastCompaction: DiskUse): boolean {
  const garbageBytes = current.bytes - afterLastCompaction.bytes;
  const isLarge =
    garbageBytes >= Math.max(MINIMUM_GARBAGE_BYTES, afterLastCompaction.bytes * GARBAGE_SHARE);
  return isLarge || current.segments - afterLastCompaction.segments >= MAXIMUM_SEGMENTS;
}

/** Maximum number of records in one slice. */
const SLICE_RECORDS = 200;
/** Number of bytes of turn content that ends a slice. */
const SLICE_BYTES = 128 * 1024;
/** Pause between two slices, in milliseconds. */
const SLICE_PAUSE_MILLISECONDS = 20;

/** Size of the turn content of a change, in bytes. */
export function contentBytesOf(change: StorageChange): number {
  return change.tag === 'turn' ? change.turn.turn.input.length + change.turn.turn.output.length : 0;
}

/** Takes the changes of the next slice from the iterator; empty when it is exhausted. */
function takeSlice(changes: Iterator<StorageChange>): StorageChange[] {
  const slice: StorageChange[] = [];
  let bytes = 0;
  while (slice.length < SLICE_RECORDS && bytes < SLICE_BYTES) {
    const next = changes.next();
    if (next.done === true) {
      break;
    }
    slice.push(next.value);
    bytes += contentBytesOf(next.value);
  }
  return slice;
}

/** Persists changes and calls back once they are durable. */
export type SliceWriter = (changes: readonly StorageChange[], done: () => void) => void;

/** Writes changes in slices with pauses in between; calls back once after the last slice is durable. */
export function writeInSlices(
  runtime: Runtime,
  changes: Iterable<StorageChange>,
  write: SliceWriter,
  done: () => void,
): CancelTimer {
  const iterator = changes[Symbol.iterator]();
  let cancel: CancelTimer = () => undefined;
  const writeNext = (): void => {
    const slice = takeSlice(iterator);
    if (slice.length === 0) {
      done();
      return;
    }
    write(slice, () => {
      cancel = runtime.setTimer(SLICE_PAUSE_MILLISECONDS, writeNext);
    });
  };
  writeNext();
  return () => cancel();
}
