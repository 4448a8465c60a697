/** What the bytes that a gateway holds for others may come to, and the marks on the way there. */

/** Bounds of one process, in bytes. */
export interface MemoryBounds {
  /** Below this there is memory for waiting for slow readers. */
  readonly slowReaderBytes: number;
  /** From here on the bodies of new requests wait unread. */
  readonly waitBytes: number;
  /** From here on new requests are refused. */
  readonly refuseBytes: number;
  /** From here on readers are cut. */
  readonly cutBytes: number;
}

/** Part of the budget that may be spent on waiting for slow readers, so that they alone keep nobody out. */
const SLOW_READER_SHARE = 0.3;
/** Part of the budget at which new bodies wait: the rest holds what has begun, which is worth more. */
const WAIT_SHARE = 0.6;
/** Part at which new requests are refused: what is under way may still double its answers from there. */
const REFUSE_SHARE = 0.75;

/** Bounds that are never met, for a process that is told no limit. */
export const NO_BOUNDS: MemoryBounds = {
  slowReaderBytes: Infinity,
  waitBytes: Infinity,
  refuseBytes: Infinity,
  cutBytes: Infinity,
};

/** Bounds for a budget in bytes. */
export function boundsForBudget(budgetBytes: number): MemoryBounds {
  return {
    slowReaderBytes: budgetBytes * SLOW_READER_SHARE,
    waitBytes: budgetBytes * WAIT_SHARE,
    refuseBytes: budgetBytes * REFUSE_SHARE,
    cutBytes: budgetBytes,
  };
}

/** How near the budget is to its end. */
export type MemoryLevel = 'calm' | 'wait' | 'refuse' | 'cut';

/** Part of a mark below which its level is left again: a level that came and went would be only noise. */
const HYSTERESIS_SHARE = 0.9;

/** The highest first: the order decides. */
const LEVELS: readonly { readonly level: MemoryLevel; readonly mark: keyof MemoryBounds }[] = [
  { level: 'cut', mark: 'cutBytes' },
  { level: 'refuse', mark: 'refuseBytes' },
  { level: 'wait', mark: 'waitBytes' },
];

/** The level of an amount of bytes, given the level before. */
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
