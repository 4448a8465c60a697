/** Excludes runners that can't continue a stream, since another service or software version began it. */
import { softwareVersionOf } from './runner.js';
import type { RunnerExclusion } from './runner-exclusions.js';

/** What two versions write doesn't fit together, and runners don't check it. */
export const SOFTWARE_VERSION_RULE: RunnerExclusion = {
  name: 'software-version',
  excludes: (runner, _request, origin) =>
    origin !== undefined &&
    (runner.service !== origin.service || softwareVersionOf(runner) !== origin.version),
};
