/** Draws several different items of a list. */
import type { RandomSource } from '../runtime/random.js';

/** As many different items as asked for, in the order in which they were drawn. */
export function drawSeveral<Item>(
  random: RandomSource,
  items: readonly Item[],
  count: number,
): Item[] {
  const left = [...items];
  return Array.from(
    { length: count },
    () => left.splice(random.integer(0, left.length - 1), 1)[0]!,
  );
}
