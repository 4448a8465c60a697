/** Node storage in virtual time: writes become durable in order, after a delay. */
import type { ShardId } from '../model/identifiers.js';
import type { NodeStorage } from '../node/node-options.js';
import { applyChange, emptyReplica } from '../replication/log-entry.js';
import type { PersistChange, PersistedReplica } from '../replication/log-entry.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';

/** Duration of a synced write. */
const WRITE_MILLISECONDS = 0.6;

/** The disk of one machine. Its content outlives processes; a kill discards pending writes. */
export class SimulatedDisk {
  private readonly replicas = new Map<ShardId, PersistedReplica>();
  private configuration: { revision: number; documents: string } | undefined;

  constructor(private readonly map: ShardMap) {}

  /** Returns the storage for one run of the machine's process. */
  open(runtime: Runtime): NodeStorage {
    return {
      load: (shard) => this.replicas.get(shard),
      replica: (shard) => ({
        persist: (change, done) => this.persist(runtime, shard, change, done),
      }),
      configuration: {
        save: (revision, documents) => {
          this.configuration = { revision, documents };
        },
      },
      ...(this.configuration === undefined ? {} : { storedConfiguration: this.configuration }),
    };
  }

  /**
   * Drops the newest entries of every log, as a torn write does. The acknowledged index is kept, so
   * that the replica knows that entries are missing.
   */
  tearTails(count: number): void {
    for (const [shard, replica] of this.replicas) {
      const acknowledgedIndex = replica.snapshot.lastIndex + replica.entries.length;
      const entries = replica.entries.slice(0, Math.max(0, replica.entries.length - count));
      this.replicas.set(shard, { ...replica, entries, acknowledgedIndex });
    }
  }

  private persist(runtime: Runtime, shard: ShardId, change: PersistChange, done: () => void): void {
    // Timers of a killed process don't fire, so its pending writes are lost.
    runtime.setTimer(WRITE_MILLISECONDS, () => {
      const known = this.replicas.get(shard) ?? emptyReplica(this.map.voters[shard] ?? []);
      this.replicas.set(shard, applyChange(known, change));
      done();
    });
  }
}
