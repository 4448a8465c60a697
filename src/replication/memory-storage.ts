/** Storage of a node without a data folder: keeps nothing across restarts. */
import type { NodeStorage } from '../node/node-options.js';

/**
 * Creates a storage that acknowledges every change at once and keeps none. A process that uses it must
 * take a new node name at every start: under the old name it might vote twice in the same term.
 */
export function createMemoryStorage(): NodeStorage {
  return {
    load: () => undefined,
    replica: () => ({ persist: (_change, done) => done() }),
  };
}
