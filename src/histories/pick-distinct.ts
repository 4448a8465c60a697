import type { RandomSource } from '../runtime/random.js';

/** Draws `count` distinct items at random, in the order of drawing. `items` must hold at least that many. */
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
