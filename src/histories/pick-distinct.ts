/** Draws several different items of a list. */
import type { RandomSource } from '../runtime/random.js';

/** As many different items as asked for, in the order in which they were drawn. */
export function pickDistinct<Item>(
  random: RandomSource,
  items: readonly Item[],
  count: number,
): Item[] {
  const remaining = [...items];
  return Array.from(
    { length: count },
    () => remaining.splice(random.integer(0, remaining.length - 1), 1)[0]!,
  );
}
