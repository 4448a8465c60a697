/** Disks in virtual time: writes become durable after a while, in order; a death loses the rest. */
import type { ShardId } from '../model/identifiers.js';
import type { NodeStorage } from '../node/node-options.js';
import { applyChange, emptyReplica } from '../replication/log-entry.js';
import type { PersistChange, PersistedReplica } from '../replication/log-entry.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';

/** Milliseconds a synced write takes. */
const WRITE_MILLISECONDS = 0.6;

/** The disk of one machine; survives its processes. */
export class SimulatedDisk {
  private readonly replicas = new Map<ShardId, PersistedReplica>();
  private configuration: { revision: number; documents: string } | undefined;

  constructor(private readonly map: ShardMap) {}

  /** The disk as a process of one life uses it. */
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

  /** Loses the newest entries of every log, as a torn write does; what was promised is known. */
  tearTails(count: number): void {
    for (const [shard, replica] of this.replicas) {
      const acknowledgedIndex = replica.snapshot.lastIndex + replica.entries.length;
      const entries = replica.entries.slice(0, Math.max(0, replica.entries.length - count));
      this.replicas.set(shard, { ...replica, entries, acknowledgedIndex });
    }
  }

  private persist(runtime: Runtime, shard: ShardId, change: PersistChange, done: () => void): void {
    // The timer dies with the process, and with it whatever was not yet written.
    runtime.setTimer(WRITE_MILLISECONDS, () => {
      const known = this.replicas.get(shard) ?? emptyReplica(this.map.voters[shard] ?? []);
      this.replicas.set(shard, applyChange(known, change));
      done();
    });
  }
}
