/** Which runners are left to a request by its own tries, and by how far each is trusted. */
import type { RandomSource } from '../../runtime/random.js';
import { lifeOf } from './runner.js';
import type { Runner, RunnerLife } from './runner.js';
import { openByStanding } from './service-review.js';
import type { BelievedRunner } from './service-review.js';

/** What one request leaves to choose from. */
export interface RunnerChoice {
  readonly mayGoTo: (runner: RunnerLife) => boolean;
  /** Runners at which a try of it failed: taken only when no other is left. */
  readonly failedAt: ReadonlySet<RunnerLife>;
  /** Whether its try may serve as a trial of a runner that is out. */
  readonly mayBeTrial: boolean;
}

/** A request that leaves all, and is no trial. */
export const ANY_RUNNER: RunnerChoice = {
  mayGoTo: () => true,
  failedAt: new Set(),
  mayBeTrial: false,
};

/** Runners that a request may be weighed for: first what it allows, then drawn by their standings. */
export function openRunners<Item extends BelievedRunner & { readonly runner: Runner }>(
  runners: readonly Item[],
  { mayGoTo, failedAt, mayBeTrial }: RunnerChoice,
  random: RandomSource,
): readonly Item[] {
  const allowed = runners.filter(({ runner }) => mayGoTo(lifeOf(runner)));
  const fresh = allowed.filter(({ runner }) => !failedAt.has(lifeOf(runner)));
  return openByStanding(fresh.length > 0 ? fresh : allowed, mayBeTrial, random);
}
