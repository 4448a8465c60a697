/**
 * Thresholds of the bytes that a gateway may hold for clients and runners, and the levels between
 * them.
 */

/** Thresholds of one process, in bytes. */
export interface MemoryBounds {
  /** Below this threshold, answers may be buffered for slow readers. */
  readonly slowReaderBytes: number;
  /** From this threshold on, bodies of new requests wait unread. */
  readonly waitBytes: number;
  /** From this threshold on, new requests are refused. */
  readonly refuseBytes: number;
  /** From this threshold on, slow readers are disconnected. */
  readonly cutBytes: number;
  /** Bytes of the account `requests` that weigh as much as all bytes at the threshold `cutBytes`. */
  readonly requestBytes: number;
}

/**
 * Share of the budget for buffering answers of slow readers, so that they alone never keep out
 * other requests.
 */
const SLOW_READER_SHARE = 0.3;
/**
 * Share of the budget at which new bodies wait; the rest is for requests in progress, which are
 * worth more.
 */
const WAIT_SHARE = 0.6;
/**
 * Share of the budget at which new requests are refused; requests in progress may still double
 * their answers from there.
 */
const REFUSE_SHARE = 0.75;

/** Thresholds that are never reached, for a process without a limit. */
export const NO_BOUNDS: MemoryBounds = {
  slowReaderBytes: Infinity,
  waitBytes: Infinity,
  refuseBytes: Infinity,
  cutBytes: Infinity,
  requestBytes: Infinity,
};

/**
 * Returns the thresholds for a budget.
 * @param budgetBytes budget outside the heap, in bytes
 * @param requestBytes bytes of the heap for requests in progress
 */
export function boundsForBudget(budgetBytes: number, requestBytes = Infinity): MemoryBounds {
  return {
    slowReaderBytes: budgetBytes * SLOW_READER_SHARE,
    waitBytes: budgetBytes * WAIT_SHARE,
    refuseBytes: budgetBytes * REFUSE_SHARE,
    cutBytes: budgetBytes,
    requestBytes,
  };
}

/**
 * Level of memory use: `calm`, `wait` (new bodies wait), `refuse` (new requests are refused) or
 * `cut` (slow readers are disconnected).
 */
export type MemoryLevel = 'calm' | 'wait' | 'refuse' | 'cut';

/** Share of a threshold below which its level is left again; the hysteresis prevents flapping. */
const HYSTERESIS_SHARE = 0.9;

/** Levels and their thresholds, the highest first; `levelOf` depends on the order. */
const LEVELS: readonly { readonly level: MemoryLevel; readonly mark: keyof MemoryBounds }[] = [
  { level: 'cut', mark: 'cutBytes' },
  { level: 'refuse', mark: 'refuseBytes' },
  { level: 'wait', mark: 'waitBytes' },
];

/** Returns the level for a number of bytes, given the previous level. */
export function levelOf(bytes: number, bounds: MemoryBounds, before: MemoryLevel): MemoryLevel {
  let hasReached = false;
  for (const { level, mark } of LEVELS) {
    hasReached ||= level === before;
    if (bytes >= bounds[mark] * (hasReached ? HYSTERESIS_SHARE : 1)) {
      return level;
    }
  }
  return 'calm';
}
