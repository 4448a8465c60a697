/** Suggestions for mistyped words. */

/** Largest edit distance at which a word is suggested. */
const MAXIMUM_EDITS = 2;

function editDistance(left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= right.length; column += 1) {
      const substitutionCost = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          previous[column]! + 1,
          current[column - 1]! + 1,
          previous[column - 1]! + substitutionCost,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length]!;
}

/** The known word with the smallest edit distance to a mistyped one; undefined when none is close. */
export function closestWord(word: string, known: readonly string[]): string | undefined {
  const typed = word.toLowerCase();
  const ranked = known
    .map((candidate) => ({ candidate, distance: editDistance(typed, candidate) }))
    .sort((left, right) => left.distance - right.distance);
  const best = ranked[0];
  return best !== undefined && best.distance <= MAXIMUM_EDITS ? best.candidate : undefined;
}
