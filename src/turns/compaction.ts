/**
 * Writes the state of a replica anew so that the disk gets rid of what is superseded or past its time.
 * The work is done in slices with pauses between them, since callers' writes wait for the same disk and
 * the same processor; and it is due only when enough has been written since the last time, measured
 * against what was left then: a state that is itself large must not be written anew with each change.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { StorageChange } from './turn-storage.js';

/** What a disk holds. */
export interface DiskUse {
  readonly bytes: number;
  readonly segments: number;
}

/** Bytes written since the last compaction below which none is worth its work. */
const MINIMUM_GARBAGE_BYTES = 48 * 1024 * 1024;
/** The same as a share of what the last compaction left: bounds the work to two bytes a byte written. */
const GARBAGE_SHARE = 0.5;
/** Segments since the last compaction; each start of a process makes one, however short. */
const MAXIMUM_SEGMENTS = 12;

/** Whether to compact, from what the disk holds and what the last compaction left there. */
export function isCompactionDue(current: DiskUse, afterLastCompaction: DiskUse): boolean {
  const garbageBytes = current.bytes - afterLastCompaction.bytes;
  const isLarge =
    garbageBytes >= Math.max(MINIMUM_GARBAGE_BYTES, afterLastCompaction.bytes * GARBAGE_SHARE);
  return isLarge || current.segments - afterLastCompaction.segments >= MAXIMUM_SEGMENTS;
}

/** Records in one slice: some milliseconds of a fraction of a core. */
const SLICE_RECORDS = 200;
/** Bytes of turns in one slice. */
const SLICE_BYTES = 128 * 1024;
/** Pause between two slices, in milliseconds. */
const SLICE_PAUSE_MILLISECONDS = 20;

function bytesOf(change: StorageChange): number {
  return change.tag === 'turn' ? change.turn.turn.input.length + change.turn.turn.output.length : 0;
}

/** The next changes of a slice; empty at the end. */
function takeSlice(changes: Iterator<StorageChange>): StorageChange[] {
  const slice: StorageChange[] = [];
  let bytes = 0;
  while (slice.length < SLICE_RECORDS && bytes < SLICE_BYTES) {
    const next = changes.next();
    if (next.done === true) {
      break;
    }
    slice.push(next.value);
    bytes += bytesOf(next.value);
  }
  return slice;
}

/** Makes changes durable; calls back when they are. */
export type SliceWriter = (changes: readonly StorageChange[], done: () => void) => void;

/** Writes changes in slices with pauses; calls back once after the last is durable. */
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
