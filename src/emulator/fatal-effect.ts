/**
 * Requests that end the runner that runs them, as a fault of the runner's software does that the content of a request
 * triggers. A query parameter of the path names what happens, or the request's id, where the content must not tell.
 */

/** What becomes of a runner that runs a fatal request. */
export const FATAL_EFFECTS = [
  /** It ends before it answers: all its connections are reset. */
  'crash',
  /** It ends after two events of a stream, or in the middle of a plain answer. */
  'crashMidway',
  /** It ends some time later, even if the request was given up meanwhile. */
  'crashLate',
  /** It ends soon after the whole answer. */
  'crashAfterAnswer',
  /** It stands still: connections stay open, and nothing is read or written any more. */
  'freeze',
  /** As `freeze`, and no new connection is accepted. */
  'dark',
] as const;

/** What becomes of a runner that runs a fatal request. */
export type FatalEffect = (typeof FATAL_EFFECTS)[number];

const EFFECT_QUERY = /fatal=(\w+)/;
const EFFECT_IN_ID = /-fatal-(\w+)/;

/** Returns what a request does to its runner; undefined for an ordinary request. */
export function fatalEffectOf(path: string, requestId: string): FatalEffect | undefined {
  const name = (EFFECT_QUERY.exec(path) ?? EFFECT_IN_ID.exec(requestId))?.[1];
  return FATAL_EFFECTS.find((effect) => effect === name);
}
