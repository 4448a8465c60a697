/** What a process plans its memory for, against the limit of its machine. */
import { NO_BOUNDS, boundsForBudget } from './memory-bounds.js';
import type { MemoryBounds } from './memory-bounds.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;
/**
 * Memory beside the heap, in bytes: the runtime's own tables, 13 MB measured at rest, and the native parts of some
 * 3,500 connections, 5.4 KB each.
 */
const NATIVE_BYTES = 32 * BYTES_PER_MEGABYTE;
/** Least budget that is worked with where the limit leaves less, in bytes: some hundred requests at once. */
const MINIMUM_BUDGET_BYTES = 8 * BYTES_PER_MEGABYTE;

/** What a plan is made from. */
export interface MemoryRequirements {
  /** Limit of the process, in bytes; infinite where none is told. */
  readonly limitBytes: number;
  /** Most that the heap may grow to, in bytes. */
  readonly heapBytes: number;
  /** Most that caches beside the heap grow to, in bytes. */
  readonly cacheBytes: number;
}

/** See the head of this file. All amounts in bytes. */
export interface MemoryPlan extends MemoryRequirements {
  readonly nativeBytes: number;
  /** What is left for bytes held for clients and runners. */
  readonly budgetBytes: number;
  /** Whether all of it fits the limit. */
  readonly fits: boolean;
}

/** Plans a process. */
export function planMemory(requirements: MemoryRequirements): MemoryPlan {
  const { limitBytes, heapBytes, cacheBytes } = requirements;
  const availableBytes = limitBytes - NATIVE_BYTES - heapBytes - cacheBytes;
  const fits = availableBytes >= MINIMUM_BUDGET_BYTES;
  const budgetBytes = Math.max(availableBytes, MINIMUM_BUDGET_BYTES);
  return { ...requirements, nativeBytes: NATIVE_BYTES, budgetBytes, fits };
}

/** Bounds of what may be held under a plan; none where no limit is told. */
export function boundsForPlan({ budgetBytes }: MemoryPlan): MemoryBounds {
  return budgetBytes === Infinity ? NO_BOUNDS : boundsForBudget(budgetBytes);
}

/** The plan in whole megabytes, as fields of a log line; -1 where there is no limit. */
export function planFields(plan: MemoryPlan): Readonly<Record<string, number | boolean>> {
  const megabytes = (bytes: number): number =>
    bytes === Infinity ? -1 : Math.round(bytes / BYTES_PER_MEGABYTE);
  return {
    limit: megabytes(plan.limitBytes),
    native: megabytes(plan.nativeBytes),
    heap: megabytes(plan.heapBytes),
    caches: megabytes(plan.cacheBytes),
    budget: megabytes(plan.budgetBytes),
    fits: plan.fits,
  };
}
