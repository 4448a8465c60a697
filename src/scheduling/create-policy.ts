/** Creates scheduling policies by name. */
import { IvyloomPolicy } from './policies/ivyloom.js';
import type { Oracle } from './policies/ivyloom.js';
import { LeastLoadedPolicy } from './policies/least-loaded-fifo.js';
import { RoundRobinPolicy } from './policies/round-robin-fifo.js';
import type { SchedulingPolicy } from './pool-view.js';

/** Policy names accepted in the settings. */
export type PolicyName = 'ivyloom' | 'least-loaded-fifo' | 'round-robin-fifo' | 'clairvoyant';

/** All policy names. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'ivyloom',
  'least-loaded-fifo',
  'round-robin-fifo',
  'clairvoyant',
];

/** Creates a policy. Without an oracle, `clairvoyant` behaves like `ivyloom`. */
export function createPolicy(name: PolicyName, oracle?: Oracle): SchedulingPolicy {
  switch (name) {
    case 'ivyloom':
      return new IvyloomPolicy();
    case 'least-loaded-fifo':
      return new LeastLoadedPolicy();
    case 'round-robin-fifo':
      return new RoundRobinPolicy();
    case 'clairvoyant':
      return new IvyloomPolicy(oracle === undefined ? {} : { oracle });
  }
}
