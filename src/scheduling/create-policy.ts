/** Makes policies by name; every one stays selectable, so that they can be compared for ever. */
import { IvyloomPolicy } from './policies/ivyloom.js';
import type { Oracle } from './policies/ivyloom.js';
import { LeastLoadedPolicy } from './policies/least-loaded-fifo.js';
import { RoundRobinPolicy } from './policies/round-robin-fifo.js';
import type { SchedulingPolicy } from './pool-view.js';

/** Names of the policies a node may be set to use. */
export type PolicyName = 'ivyloom' | 'least-loaded-fifo' | 'round-robin-fifo' | 'clairvoyant';

/** Every policy name. */
export const POLICY_NAMES: readonly PolicyName[] = [
  'ivyloom',
  'least-loaded-fifo',
  'round-robin-fifo',
  'clairvoyant',
];

/** Makes a policy; `clairvoyant` needs an oracle and is `ivyloom` without one. */
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
