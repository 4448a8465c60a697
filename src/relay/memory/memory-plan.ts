/** Divides the memory limit of a process between the heap, caches and buffers. */
import { NO_BOUNDS, boundsForBudget } from './memory-bounds.js';
import type { MemoryBounds } from './memory-bounds.js';

const BYTES_PER_MEGABYTE = 1024 * 1024;
/**
 * Memory outside the heap, in bytes: 13 MB of the runtime itself, and 5.4 KB for each of some 3,500
 * connections.
 */
const NATIVE_BYTES = 32 * BYTES_PER_MEGABYTE;
/**
 * Minimum budget, in bytes, even if the limit leaves less: enough for some hundred concurrent
 * requests.
 */
const MINIMUM_BUDGET_BYTES = 8 * BYTES_PER_MEGABYTE;

/** Share of the heap for requests in progress; the rest is for the state of the gateway, and for what is not collected yet. */
const REQUESTS_HEAP_SHARE = 0.5;

/** Share of the memory for buffers that they may use; the rest is for buffers that wait to be collected. */
const USABLE_SHARE = 0.5;

/** Inputs of a memory plan. */
export interface MemoryRequirements {
  /** Limit of the process, in bytes; infinite if there is none. */
  readonly limitBytes: number;
  /** Maximum size of the heap, in bytes. */
  readonly heapBytes: number;
  /** Maximum size of the caches outside the heap, in bytes. */
  readonly cacheBytes: number;
}

/** Division of the memory of a process. All amounts in bytes. */
export interface MemoryPlan extends MemoryRequirements {
  readonly nativeBytes: number;
  /** Budget for what is buffered for clients and runners. */
  readonly budgetBytes: number;
  /** Memory for buffers that wait to be collected. */
  readonly uncollectedBytes: number;
  /** Whether the plan fits the limit. */
  readonly fits: boolean;
}

/** Returns the memory plan of a process. */
export function planMemory(requirements: MemoryRequirements): MemoryPlan {
  const { limitBytes, heapBytes, cacheBytes } = requirements;
  const availableBytes = limitBytes - NATIVE_BYTES - heapBytes - cacheBytes;
  const fits = availableBytes >= MINIMUM_BUDGET_BYTES;
  const budgetBytes = Math.max(availableBytes * USABLE_SHARE, MINIMUM_BUDGET_BYTES);
  const uncollectedBytes = Math.max(availableBytes * (1 - USABLE_SHARE), MINIMUM_BUDGET_BYTES);
  return { ...requirements, nativeBytes: NATIVE_BYTES, budgetBytes, uncollectedBytes, fits };
}

/** Returns the thresholds for a plan; unlimited if the process has no limit. */
export function boundsForPlan({ budgetBytes, heapBytes }: MemoryPlan): MemoryBounds {
  return budgetBytes === Infinity
    ? NO_BOUNDS
    : boundsForBudget(budgetBytes, heapBytes * REQUESTS_HEAP_SHARE);
}

/** Returns the plan in whole megabytes, as log fields; -1 if there is no limit. */
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
