/** Storage of a node without a data folder: nothing outlives the process. */
import type { NodeStorage } from '../node/node-options.js';

/**
 * Makes such a storage. A process with it must take a new node name at every start, since it has
 * forgotten its votes.
 */
export function createMemoryStorage(): NodeStorage {
  return {
    load: () => undefined,
    replica: () => ({ persist: (_change, done) => done() }),
  };
}
